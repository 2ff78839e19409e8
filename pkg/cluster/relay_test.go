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

// currentTree returns the tree of the running instances.
func (b *testCluster) currentTree() spread.Tree {
	n := b.nodes[0]
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentTree(time.Now())
}

// nodeByID returns the running instance with an id.
func (b *testCluster) nodeByID(id string) *testNode {
	return b.nodes[slices.IndexFunc(b.nodes, func(n *testNode) bool { return n.self.ID == id })]
}

// nodesByID returns the running instances with these ids.
func (b *testCluster) nodesByID(ids []string) (nodes []*testNode) {
	for _, id := range ids {
		nodes = append(nodes, b.nodeByID(id))
	}
	return nodes
}

// relays returns the relays.
func (b *testCluster) relays() []*testNode { return b.nodesByID(b.currentTree().Relays()) }

// leaf returns an instance that reports to the first relay.
func (b *testCluster) leaf() *testNode {
	tree := b.currentTree()
	return b.nodeByID(tree.Below(tree.Relays()[0])[0])
}

// membershipMismatch returns an instance that names another one number of members than
// run, or "".
func (b *testCluster) membershipMismatch() string {
	for _, n := range b.nodes {
		if got := len(n.Instances()); got != len(b.nodes) {
			return fmt.Sprintf("%s names %d of %d", n.self.ID, got, len(b.nodes))
		}
	}
	return ""
}

// terminateAll ends instances at once, as a loss of power does, and returns their
// ids.
func (b *testCluster) terminateAll(nodes []*testNode) []string {
	var ids []string
	for _, n := range nodes {
		ids = append(ids, n.self.ID)
	}
	b.setPartition(func(from, to string) bool { return slices.Contains(ids, from) || slices.Contains(ids, to) })
	for _, n := range nodes {
		n.cancel()
	}
	for _, n := range nodes {
		b.kill(n)
	}
	return ids
}

// listsAny returns one of ids that the instance names in look-ups, or "".
func (n *testNode) listsAny(ids []string) string {
	for _, in := range n.Instances() {
		if slices.Contains(ids, in.ID) {
			return in.ID
		}
	}
	return ""
}

// runInLargeRegion plays a test in a region that has come to rest.
func runInLargeRegion(t *testing.T, play func(t *testing.T, b *testCluster, r *fakeFeedStore)) {
	runWithFeeds(t, largeRegion, func(t *testing.T, b *testCluster, r *fakeFeedStore) {
		time.Sleep(settleTime / 2)
		if !b.currentTree().HasRelays() || b.membershipMismatch() != "" {
			t.Fatalf("the region has not come to rest: %s", b.membershipMismatch())
		}
		play(t, b, r)
	})
}

func TestControlTrafficOfLargeRegionWithinBudget(t *testing.T) {
	sizes := []int{largeRegion}
	if *measure != "" {
		sizes = measuredSizes(t)
	}
	for _, size := range sizes {
		runWithFeeds(t, size, func(t *testing.T, b *testCluster, _ *fakeFeedStore) {
			mean, busiest := measureControlTraffic(b)
			t.Logf("| %d | %.1f kB/s | %.1f kB/s |", size, mean/1000, busiest/1000)
			if busiest > controlBudget {
				t.Errorf("the busiest of %d instances sends and receives %.0f bytes a second", size, busiest)
			}
		})
	}
}

func TestNobodyIsTakenForSilentAtRest(t *testing.T) {
	for _, loss := range []float64{0, 0.02} {
		runInLargeRegion(t, func(t *testing.T, b *testCluster, _ *fakeFeedStore) {
			b.net.mu.Lock()
			b.net.loss = loss
			b.net.mu.Unlock()
			for began := time.Now(); time.Since(began) < measureSpan; time.Sleep(100 * time.Millisecond) {
				if wrong := b.membershipMismatch(); wrong != "" {
					t.Fatalf("%.0f%% of messages lost, after %v: %s", 100*loss, time.Since(began), wrong)
				}
			}
		})
	}
}

// lossCases are the instances of a large region that end at once, by name.
var lossCases = map[string]func(b *testCluster) []*testNode{
	"leaf":  func(b *testCluster) []*testNode { return []*testNode{b.leaf()} },
	"relay": func(b *testCluster) []*testNode { return b.relays()[:1] },
	"relay with all who report to it": func(b *testCluster) []*testNode {
		first := b.relays()[0]
		return append(b.nodesByID(b.currentTree().Below(first.self.ID)), first)
	},
	"all watchers": func(b *testCluster) []*testNode { return b.nodesByID(b.currentTree().Watchers()) },
	"all relays":   (*testCluster).relays,
}

// everySecond returns half of the instances.
func (b *testCluster) everySecond() (half []*testNode) {
	for i := 1; i < len(b.nodes); i += 2 {
		half = append(half, b.nodes[i])
	}
	return half
}

// expectDetectedInTime ends instances of a large region and expects that soon
// nobody names them, and everybody the others.
func expectDetectedInTime(t *testing.T, victims func(b *testCluster) []*testNode) {
	runInLargeRegion(t, func(t *testing.T, b *testCluster, _ *fakeFeedStore) {
		began := time.Now()
		ended := b.terminateAll(victims(b))
		waitFor(t, 2*maxStaleLookup, "nobody names the ended instances", func() bool {
			return !slices.ContainsFunc(b.nodes, func(n *testNode) bool { return n.listsAny(ended) != "" })
		})
		took := time.Since(began)
		t.Logf("known everywhere after %v", took)
		if took > maxStaleLookup {
			t.Errorf("ended instances were named for %v", took)
		}
		t.Logf("all others named after another %v", waitFor(t, maxStaleLookup, "everybody names the others", func() bool { return b.membershipMismatch() == "" }))
	})
}

func TestTerminationInLargeRegionIsDetectedInTime(t *testing.T) {
	for name, victims := range lossCases {
		t.Run(name, func(t *testing.T) { expectDetectedInTime(t, victims) })
	}
}

func TestTerminationOfHalfALargeRegionIsDetectedInTime(t *testing.T) {
	expectDetectedInTime(t, (*testCluster).everySecond)
}

func TestNewInstanceInLargeRegionIsKnownInTime(t *testing.T) {
	runInLargeRegion(t, func(t *testing.T, b *testCluster, _ *fakeFeedStore) {
		b.start("late", "osr-a")
		t.Logf("known everywhere after %v", waitFor(t, maxStaleLookup, "everybody names the new one", func() bool { return b.membershipMismatch() == "" }))
	})
}

func TestChangesReachALargeRegionInTime(t *testing.T) {
	runInLargeRegion(t, func(t *testing.T, b *testCluster, r *fakeFeedStore) {
		r.mu.Lock()
		clear(r.reads)
		r.mu.Unlock()
		r.setTarget("t2", true)
		t.Logf("in force after %v", waitFor(t, maxApplyDelay, "the new target", func() bool { return b.allHaveTarget("t2", true) }))
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.reads) > feedReaders {
			t.Errorf("%d instances read the feeds", len(r.reads))
		}
	})
}

// TestChangesBypassPartitionedRelay cuts a relay off from the watchers and the
// store, though not from those who report to it.
func TestChangesBypassPartitionedRelay(t *testing.T) {
	runInLargeRegion(t, func(t *testing.T, b *testCluster, r *fakeFeedStore) {
		cut, watchers := b.relays()[0].self.ID, b.currentTree().Watchers()
		r.setSilent(cut, true)
		b.setPartition(func(from, to string) bool {
			return from == cut && slices.Contains(watchers, to) || to == cut && slices.Contains(watchers, from)
		})
		for i := range 8 {
			id := fmt.Sprintf("new-%d", i)
			r.setTarget(id, true)
			t.Logf("in force after %v", waitFor(t, maxApplyDelay, "the new target at all but the relay", func() bool {
				return !slices.ContainsFunc(b.nodes, func(n *testNode) bool { return n.self.ID != cut && !n.hasTarget(id) })
			}))
			time.Sleep(700 * time.Millisecond)
		}
	})
}

func TestLeavingInstanceInLargeRegionIsKnownInTime(t *testing.T) {
	runInLargeRegion(t, func(t *testing.T, b *testCluster, _ *fakeFeedStore) {
		leaf := b.leaf()
		if err := leaf.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Logf("known everywhere after %v", waitFor(t, 2*DefaultTiming().HeartbeatInterval+memberAnnounceSpacing, "all know that it leaves", func() bool {
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
