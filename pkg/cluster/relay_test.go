package cluster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
)

// largeRegion is a number of instances at which a region has relays.
const largeRegion = 40

// currentTree returns the reporting tree according to the first instance.
func (b *testCluster) currentTree() spread.Tree {
	n := b.nodes[0]
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentTree(time.Now())
}

// nodeByID returns the running instance with the given id.
func (b *testCluster) nodeByID(id string) *testNode {
	return b.nodes[slices.IndexFunc(b.nodes, func(n *testNode) bool { return n.self.ID == id })]
}

// nodesByID returns the running instances with the given ids.
func (b *testCluster) nodesByID(ids []string) (nodes []*testNode) {
	for _, id := range ids {
		nodes = append(nodes, b.nodeByID(id))
	}
	return nodes
}

// relays returns the running instances that are relays.
func (b *testCluster) relays() []*testNode { return b.nodesByID(b.currentTree().Relays()) }

// leaf returns an instance that reports to the first relay.
func (b *testCluster) leaf() *testNode {
	tree := b.currentTree()
	return b.nodeByID(tree.Below(tree.Relays()[0])[0])
}

// membershipMismatch describes the first instance that lists more or fewer instances
// than are running, or returns "".
func (b *testCluster) membershipMismatch() string {
	for _, n := range b.nodes {
		if got := len(n.Instances()); got != len(b.nodes) {
			return fmt.Sprintf("%s lists %d of %d instances", n.self.ID, got, len(b.nodes))
		}
	}
	return ""
}

// terminateAll terminates instances at once and without notice, as a loss of power
// does, and returns their ids.
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

// listsAny returns the first of the instances listed here that is among ids, or "".
func (n *testNode) listsAny(ids []string) string {
	for _, in := range n.Instances() {
		if slices.Contains(ids, in.ID) {
			return in.ID
		}
	}
	return ""
}

// runInLargeRegion runs a test in a region with relays once all instances list each
// other.
func runInLargeRegion(t *testing.T, test func(t *testing.T, b *testCluster, r *fakeFeedStore)) {
	runWithFeeds(t, largeRegion, func(t *testing.T, b *testCluster, r *fakeFeedStore) {
		time.Sleep(settleTime / 2)
		if !b.currentTree().HasRelays() || b.membershipMismatch() != "" {
			t.Fatalf("the region has no relays, or its members are not settled: %s", b.membershipMismatch())
		}
		test(t, b, r)
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
				t.Errorf("the busiest of %d instances sends and receives %.0f bytes per second, more than the budget", size, busiest)
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
				if mismatch := b.membershipMismatch(); mismatch != "" {
					t.Fatalf("%.0f%% of messages lost, after %v: %s", 100*loss, time.Since(began), mismatch)
				}
			}
		})
	}
}

// lossCases return the instances of a large region to terminate at once, by subtest
// name.
var lossCases = map[string]func(b *testCluster) []*testNode{
	"leaf":  func(b *testCluster) []*testNode { return []*testNode{b.leaf()} },
	"relay": func(b *testCluster) []*testNode { return b.relays()[:1] },
	"relay with its downstream members": func(b *testCluster) []*testNode {
		first := b.relays()[0]
		return append(b.nodesByID(b.currentTree().Below(first.self.ID)), first)
	},
	"all watchers": func(b *testCluster) []*testNode { return b.nodesByID(b.currentTree().Watchers()) },
	"all relays":   (*testCluster).relays,
}

// everySecond returns every second instance.
func (b *testCluster) everySecond() (half []*testNode) {
	for i := 1; i < len(b.nodes); i += 2 {
		half = append(half, b.nodes[i])
	}
	return half
}

// expectDetectedInTime terminates instances of a large region and expects that all
// others stop listing them within maxStaleLookup, and list each other again soon
// after.
func expectDetectedInTime(t *testing.T, selectNodes func(b *testCluster) []*testNode) {
	runInLargeRegion(t, func(t *testing.T, b *testCluster, _ *fakeFeedStore) {
		began := time.Now()
		terminated := b.terminateAll(selectNodes(b))
		waitFor(t, 2*maxStaleLookup, "no instance lists the terminated ones", func() bool {
			return !slices.ContainsFunc(b.nodes, func(n *testNode) bool { return n.listsAny(terminated) != "" })
		})
		took := time.Since(began)
		t.Logf("known at all instances after %v", took)
		if took > maxStaleLookup {
			t.Errorf("terminated instances were still listed for %v", took)
		}
		t.Logf("remaining instances all listed after another %v", waitFor(t, maxStaleLookup, "all instances list the remaining ones", func() bool { return b.membershipMismatch() == "" }))
	})
}

func TestTerminationInLargeRegionIsDetectedInTime(t *testing.T) {
	for name, selectNodes := range lossCases {
		t.Run(name, func(t *testing.T) { expectDetectedInTime(t, selectNodes) })
	}
}

func TestTerminationOfHalfALargeRegionIsDetectedInTime(t *testing.T) {
	expectDetectedInTime(t, (*testCluster).everySecond)
}

func TestNewInstanceInLargeRegionIsKnownInTime(t *testing.T) {
	runInLargeRegion(t, func(t *testing.T, b *testCluster, _ *fakeFeedStore) {
		b.start("late", "osr-a")
		t.Logf("known at all instances after %v", waitFor(t, maxStaleLookup, "all instances list the new one", func() bool { return b.membershipMismatch() == "" }))
	})
}

func TestChangesReachALargeRegionInTime(t *testing.T) {
	runInLargeRegion(t, func(t *testing.T, b *testCluster, r *fakeFeedStore) {
		r.mu.Lock()
		clear(r.reads)
		r.mu.Unlock()
		r.setTarget("t2", true)
		t.Logf("in force at all instances after %v", waitFor(t, maxApplyDelay, "new target in force at all instances", func() bool { return b.allHaveTarget("t2", true) }))
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.reads) > feedReaders {
			t.Errorf("%d instances have read the feeds, more than the feed readers", len(r.reads))
		}
	})
}

// TestChangesBypassPartitionedRelay checks that changes arrive in time at the
// members downstream of a relay that can reach them, but neither the watchers nor
// the store.
func TestChangesBypassPartitionedRelay(t *testing.T) {
	runInLargeRegion(t, func(t *testing.T, b *testCluster, r *fakeFeedStore) {
		cut, watchers := b.relays()[0].self.ID, b.currentTree().Watchers()
		r.setUnresponsive(cut, true)
		b.setPartition(func(from, to string) bool {
			return from == cut && slices.Contains(watchers, to) || to == cut && slices.Contains(watchers, from)
		})
		for i := range 8 {
			id := fmt.Sprintf("new-%d", i)
			r.setTarget(id, true)
			t.Logf("in force at all instances after %v", waitFor(t, maxApplyDelay, "new target in force at all instances but the relay", func() bool {
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
		t.Logf("known at all instances after %v", waitFor(t, 2*DefaultTiming().HeartbeatInterval+memberAnnounceSpacing, "all instances list it as leaving", func() bool {
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
