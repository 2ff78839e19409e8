package cluster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
)

// largeRegion is the number of instances of a region that has relays.
const largeRegion = 40

// treeOf returns the tree of the running instances.
func (b *bench) treeOf() spread.Tree {
	n := b.nodes[0]
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tree(time.Now())
}

// node returns the running instance with an id.
func (b *bench) node(id string) *node {
	return b.nodes[slices.IndexFunc(b.nodes, func(n *node) bool { return n.self.ID == id })]
}

// all returns the running instances with these ids.
func (b *bench) all(ids []string) (nodes []*node) {
	for _, id := range ids {
		nodes = append(nodes, b.node(id))
	}
	return nodes
}

// relays returns the relays.
func (b *bench) relays() []*node { return b.all(b.treeOf().Relays()) }

// leaf returns an instance that reports to the first relay.
func (b *bench) leaf() *node {
	tree := b.treeOf()
	return b.node(tree.Below(tree.Relays()[0])[0])
}

// misnamed returns an instance that names another one number of members than
// run, or "".
func (b *bench) misnamed() string {
	for _, n := range b.nodes {
		if got := len(n.Instances()); got != len(b.nodes) {
			return fmt.Sprintf("%s names %d of %d", n.self.ID, got, len(b.nodes))
		}
	}
	return ""
}

// endSilently ends instances at once, as a loss of power does, and returns their
// ids.
func (b *bench) endSilently(nodes []*node) []string {
	var ids []string
	for _, n := range nodes {
		ids = append(ids, n.self.ID)
	}
	b.setCut(func(from, to string) bool { return slices.Contains(ids, from) || slices.Contains(ids, to) })
	for _, n := range nodes {
		n.cancel()
	}
	for _, n := range nodes {
		b.kill(n)
	}
	return ids
}

// namesAny returns one of ids that the instance names in look-ups, or "".
func (n *node) namesAny(ids []string) string {
	for _, in := range n.Instances() {
		if slices.Contains(ids, in.ID) {
			return in.ID
		}
	}
	return ""
}

// inLargeRegion plays a test in a region that has come to rest.
func inLargeRegion(t *testing.T, play func(t *testing.T, b *bench, r *fakeRecord)) {
	discovering(t, largeRegion, func(t *testing.T, b *bench, r *fakeRecord) {
		time.Sleep(settleTime / 2)
		if !b.treeOf().HasRelays() || b.misnamed() != "" {
			t.Fatalf("the region has not come to rest: %s", b.misnamed())
		}
		play(t, b, r)
	})
}

func TestControlTrafficOfALargeRegionIsWithinItsBudget(t *testing.T) {
	sizes := []int{largeRegion}
	if *measure != "" {
		sizes = measuredSizes(t)
	}
	for _, size := range sizes {
		discovering(t, size, func(t *testing.T, b *bench, _ *fakeRecord) {
			mean, busiest := controlRates(b)
			t.Logf("| %d | %.1f kB/s | %.1f kB/s |", size, mean/1000, busiest/1000)
			if busiest > controlBytes {
				t.Errorf("the busiest of %d instances sends and receives %.0f bytes a second", size, busiest)
			}
		})
	}
}

func TestNobodyIsTakenForSilentAtRest(t *testing.T) {
	for _, loss := range []float64{0, 0.02} {
		inLargeRegion(t, func(t *testing.T, b *bench, _ *fakeRecord) {
			b.net.mu.Lock()
			b.net.loss = loss
			b.net.mu.Unlock()
			for began := time.Now(); time.Since(began) < restSpan; time.Sleep(100 * time.Millisecond) {
				if wrong := b.misnamed(); wrong != "" {
					t.Fatalf("%.0f%% of messages lost, after %v: %s", 100*loss, time.Since(began), wrong)
				}
			}
		})
	}
}

// losses are the instances of a large region that end at once, by name.
var losses = map[string]func(b *bench) []*node{
	"leaf":  func(b *bench) []*node { return []*node{b.leaf()} },
	"relay": func(b *bench) []*node { return b.relays()[:1] },
	"relay with all who report to it": func(b *bench) []*node {
		first := b.relays()[0]
		return append(b.all(b.treeOf().Below(first.self.ID)), first)
	},
	"all watchers": func(b *bench) []*node { return b.all(b.treeOf().Watchers()) },
	"all relays":   (*bench).relays,
}

// everyOther returns half of the instances.
func (b *bench) everyOther() (half []*node) {
	for i := 1; i < len(b.nodes); i += 2 {
		half = append(half, b.nodes[i])
	}
	return half
}

// expectKnownInTime ends instances of a large region and expects that soon
// nobody names them, and everybody the others.
func expectKnownInTime(t *testing.T, victims func(b *bench) []*node) {
	inLargeRegion(t, func(t *testing.T, b *bench, _ *fakeRecord) {
		began := time.Now()
		ended := b.endSilently(victims(b))
		until(t, 2*lookupBound, "nobody names the ended instances", func() bool {
			return !slices.ContainsFunc(b.nodes, func(n *node) bool { return n.namesAny(ended) != "" })
		})
		took := time.Since(began)
		t.Logf("known everywhere after %v", took)
		if took > lookupBound {
			t.Errorf("ended instances were named for %v", took)
		}
		t.Logf("all others named after another %v", until(t, lookupBound, "everybody names the others", func() bool { return b.misnamed() == "" }))
	})
}

func TestEndedInstancesOfALargeRegionAreKnownInTime(t *testing.T) {
	for name, victims := range losses {
		t.Run(name, func(t *testing.T) { expectKnownInTime(t, victims) })
	}
}

func TestTheLossOfHalfALargeRegionIsKnownInTime(t *testing.T) {
	expectKnownInTime(t, (*bench).everyOther)
}

func TestANewInstanceOfALargeRegionIsKnownInTime(t *testing.T) {
	inLargeRegion(t, func(t *testing.T, b *bench, _ *fakeRecord) {
		b.start("late", "osr-a")
		t.Logf("known everywhere after %v", until(t, lookupBound, "everybody names the new one", func() bool { return b.misnamed() == "" }))
	})
}

func TestChangesReachALargeRegionInTime(t *testing.T) {
	inLargeRegion(t, func(t *testing.T, b *bench, r *fakeRecord) {
		r.mu.Lock()
		clear(r.reads)
		r.mu.Unlock()
		r.setTarget("t2", true)
		t.Logf("in force after %v", until(t, configApply, "the new target", func() bool { return b.allHave("t2", true) }))
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.reads) > followers {
			t.Errorf("%d instances read the feeds", len(r.reads))
		}
	})
}

// TestChangesPassARelayThatIsCutOff cuts a relay off from the watchers and the
// store, though not from those who report to it.
func TestChangesPassARelayThatIsCutOff(t *testing.T) {
	inLargeRegion(t, func(t *testing.T, b *bench, r *fakeRecord) {
		cut, watchers := b.relays()[0].self.ID, b.treeOf().Watchers()
		r.setSilent(cut, true)
		b.setCut(func(from, to string) bool {
			return from == cut && slices.Contains(watchers, to) || to == cut && slices.Contains(watchers, from)
		})
		for i := range 8 {
			id := fmt.Sprintf("new-%d", i)
			r.setTarget(id, true)
			t.Logf("in force after %v", until(t, configApply, "the new target at all but the relay", func() bool {
				return !slices.ContainsFunc(b.nodes, func(n *node) bool { return n.self.ID != cut && !n.has(id) })
			}))
			time.Sleep(700 * time.Millisecond)
		}
	})
}

func TestALeavingInstanceOfALargeRegionIsKnownInTime(t *testing.T) {
	inLargeRegion(t, func(t *testing.T, b *bench, _ *fakeRecord) {
		leaf := b.leaf()
		if err := leaf.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Logf("known everywhere after %v", until(t, 2*DefaultTiming().HeartbeatInterval+pushSpacing, "all know that it leaves", func() bool {
			for _, n := range b.nodes {
				for _, in := range n.Instances() {
					if in.ID == leaf.self.ID && !in.Leaving {
						return false
					}
				}
			}
			return true
		}))
	})
}
