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
func (tc *testCluster) currentTree() spread.Tree {
	n := tc.nodes[0]
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentTree(time.Now())
}

// nodeByID returns the running instance with the given id.
func (tc *testCluster) nodeByID(id string) *testNode {
	return tc.nodes[slices.IndexFunc(tc.nodes, func(n *testNode) bool { return n.self.ID == id })]
}

// nodesByID returns the running instances with the given ids.
func (tc *testCluster) nodesByID(ids []string) (nodes []*testNode) {
	for _, id := range ids {
		nodes = append(nodes, tc.nodeByID(id))
	}
	return nodes
}

// relays returns the running instances that are relays.
func (tc *testCluster) relays() []*testNode { return tc.nodesByID(tc.currentTree().Relays()) }

// leaf returns an instance that reports to the first relay.
func (tc *testCluster) leaf() *testNode {
	tree := tc.currentTree()
	return tc.nodeByID(tree.Recipients(tree.Relays()[0])[0])
}

// membershipMismatch describes the first instance that lists more or fewer instances
// than are running, or returns "".
func (tc *testCluster) membershipMismatch() string {
	for _, n := range tc.nodes {
		if got := len(n.Instances()); got != len(tc.nodes) {
			return fmt.Sprintf("%s lists %d of %d instances", n.self.ID, got, len(tc.nodes))
		}
	}
	return ""
}

// terminateAll terminates instances at once and without notice, as a loss of power
// does, and returns their ids.
func (tc *testCluster) terminateAll(nodes []*testNode) []string {
	var ids []string
	for _, n := range nodes {
		ids = append(ids, n.self.ID)
	}
	tc.setPartition(func(from, to string) bool { return slices.Contains(ids, from) || slices.Contains(ids, to) })
	for _, n := range nodes {
		n.cancel()
	}
	for _, n := range nodes {
		tc.kill(n)
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
func runInLargeRegion(t *testing.T, test func(t *testing.T, tc *testCluster, r *fakeFeedStore)) {
	runWithFeeds(t, largeRegion, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		time.Sleep(settleTime / 2)
		if !tc.currentTree().HasRelays() || tc.membershipMismatch() != "" {
			t.Fatalf("the region has no relays, or its members are not settled: %s", tc.membershipMismatch())
		}
		test(t, tc, r)
	})
}

func TestControlTrafficOfLargeRegionWithinBudget(t *testing.T) {
	sizes := []int{largeRegion}
	if *measure != "" {
		sizes = measuredSizes(t)
	}
	for _, size := range sizes {
		runWithFeeds(t, size, func(t *testing.T, tc *testCluster, _ *fakeFeedStore) {
			mean, busiest := measureControlTraffic(tc)
			t.Logf("| %d | %.1f kB/s | %.1f kB/s |", size, mean/1000, busiest/1000)
			if busiest > controlBudget {
				t.Errorf("the busiest of %d instances sends and receives %.0f bytes per second, more than the budget", size, busiest)
			}
		})
	}
}

// TestIdleLargeRegionSuspectsNoLiveMember checks that no live member of an idle
// large region is suspected, without loss and with 2% of the messages lost.
func TestIdleLargeRegionSuspectsNoLiveMember(t *testing.T) {
	for _, loss := range []float64{0, 0.02} {
		runInLargeRegion(t, func(t *testing.T, tc *testCluster, _ *fakeFeedStore) {
			tc.net.mu.Lock()
			tc.net.loss = loss
			tc.net.mu.Unlock()
			for began := time.Now(); time.Since(began) < measureSpan; time.Sleep(100 * time.Millisecond) {
				if mismatch := tc.membershipMismatch(); mismatch != "" {
					t.Fatalf("%.0f%% of messages lost, after %v: %s", 100*loss, time.Since(began), mismatch)
				}
			}
		})
	}
}

// terminationCases holds functions that select the instances of a large region to
// terminate at once, by subtest name.
var terminationCases = map[string]func(tc *testCluster) []*testNode{
	"leaf":  func(tc *testCluster) []*testNode { return []*testNode{tc.leaf()} },
	"relay": func(tc *testCluster) []*testNode { return tc.relays()[:1] },
	"relay with its downstream members": func(tc *testCluster) []*testNode {
		first := tc.relays()[0]
		return append(tc.nodesByID(tc.currentTree().Recipients(first.self.ID)), first)
	},
	"all watchers": func(tc *testCluster) []*testNode { return tc.nodesByID(tc.currentTree().Watchers()) },
	"all relays":   (*testCluster).relays,
}

// everySecond returns every second instance.
func (tc *testCluster) everySecond() (half []*testNode) {
	for i := 1; i < len(tc.nodes); i += 2 {
		half = append(half, tc.nodes[i])
	}
	return half
}

// expectDetectedInTime terminates instances of a large region and expects that all
// others stop listing them within maxStaleLookup, and list each other again soon
// after.
func expectDetectedInTime(t *testing.T, selectNodes func(tc *testCluster) []*testNode) {
	runInLargeRegion(t, func(t *testing.T, tc *testCluster, _ *fakeFeedStore) {
		began := time.Now()
		terminated := tc.terminateAll(selectNodes(tc))
		waitFor(t, 2*maxStaleLookup, "no instance lists the terminated ones", func() bool {
			return !slices.ContainsFunc(tc.nodes, func(n *testNode) bool { return n.listsAny(terminated) != "" })
		})
		took := time.Since(began)
		t.Logf("known at all instances after %v", took)
		if took > maxStaleLookup {
			t.Errorf("terminated instances were still listed for %v", took)
		}
		t.Logf("remaining instances all listed after another %v", waitFor(t, maxStaleLookup, "all instances list the remaining ones", func() bool { return tc.membershipMismatch() == "" }))
	})
}

func TestTerminationInLargeRegionIsDetectedInTime(t *testing.T) {
	for name, selectNodes := range terminationCases {
		t.Run(name, func(t *testing.T) { expectDetectedInTime(t, selectNodes) })
	}
}

func TestTerminationOfHalfALargeRegionIsDetectedInTime(t *testing.T) {
	expectDetectedInTime(t, (*testCluster).everySecond)
}

func TestNewInstanceInLargeRegionIsKnownInTime(t *testing.T) {
	runInLargeRegion(t, func(t *testing.T, tc *testCluster, _ *fakeFeedStore) {
		tc.start("late", "osr-a")
		t.Logf("known at all instances after %v", waitFor(t, maxStaleLookup, "all instances list the new one", func() bool { return tc.membershipMismatch() == "" }))
	})
}

func TestChangesReachALargeRegionInTime(t *testing.T) {
	runInLargeRegion(t, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		r.mu.Lock()
		clear(r.reads)
		r.mu.Unlock()
		r.setTarget("t2", true)
		t.Logf("in force at all instances after %v", waitFor(t, maxApplyDelay, "new target in force at all instances", func() bool { return tc.allHaveTarget("t2", true) }))
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
	runInLargeRegion(t, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		cut, watchers := tc.relays()[0].self.ID, tc.currentTree().Watchers()
		r.setUnresponsive(cut, true)
		tc.setPartition(func(from, to string) bool {
			return from == cut && slices.Contains(watchers, to) || to == cut && slices.Contains(watchers, from)
		})
		for i := range 8 {
			id := fmt.Sprintf("new-%d", i)
			r.setTarget(id, true)
			t.Logf("in force at all instances after %v", waitFor(t, maxApplyDelay, "new target in force at all instances but the relay", func() bool {
				return !slices.ContainsFunc(tc.nodes, func(n *testNode) bool { return n.self.ID != cut && !n.hasTarget(id) })
			}))
			time.Sleep(700 * time.Millisecond)
		}
	})
}

func TestLeavingInstanceInLargeRegionIsKnownInTime(t *testing.T) {
	runInLargeRegion(t, func(t *testing.T, tc *testCluster, _ *fakeFeedStore) {
		leaf := tc.leaf()
		if err := leaf.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Logf("known at all instances after %v", waitFor(t, 2*DefaultTiming().HeartbeatInterval+memberAnnounceSpacing, "all instances list it as leaving", func() bool {
			for _, n := range tc.nodes {
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
