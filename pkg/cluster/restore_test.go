package cluster

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

// restoreTolerance is the time after a restore of the store within which all instances read
// the new generation, apart from the time over which they register again.
const restoreTolerance = 3 * time.Second

// listed returns the ids in the platform's list.
func (tc *testCluster) listed(t *testing.T) []string {
	t.Helper()
	list, err := tc.store.list.ListInstances(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, in := range list {
		ids = append(ids, in.ID)
	}
	return ids
}

// TestInstancesRegisterAgainAfterARestore restores the store from a copy that lacks half of
// the instances and still lists one that has left. Nobody must lose sight of an instance,
// or of a target, because of the copy.
func TestInstancesRegisterAgainAfterARestore(t *testing.T) {
	for _, n := range []int{12, largeRegion} {
		runWithFeeds(t, n, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
			time.Sleep(settleTime)
			older := r.copy()
			r.setTarget("t2", true)
			waitFor(t, maxFeedDelay, "target t2 in force", func() bool { return tc.allHaveTarget("t2", true) })
			writes := tc.store.list.Stats().Writes
			left := platform.Instance{ID: "left", Zone: "zone-00", Region: "osrednja", Cell: "osrednja", Incarnation: "00000000", PeerAddress: "left"}
			if err := tc.store.list.Register(t.Context(), left); err != nil {
				t.Fatal(err)
			}
			for _, node := range tc.nodes[:n/2] {
				if err := tc.store.list.Deregister(t.Context(), node.self.ID, node.self.Incarnation); err != nil {
					t.Fatal(err)
				}
			}
			r.restore(older)
			rewritten := time.AfterFunc(time.Second, func() { r.setTarget("t2", true) })
			defer rewritten.Stop()
			limit := restoreSpread(n) + restoreTolerance
			for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
				for _, node := range tc.nodes {
					if len(node.Instances()) < n || !node.hasTarget("t2") {
						t.Fatalf("%s lists %d of %d instances and has t2 %t, %v after the restore", node.self.ID, len(node.Instances()), n, node.hasTarget("t2"), time.Since(began))
					}
				}
			}
			ids := tc.listed(t)
			for _, node := range tc.nodes {
				if !slices.Contains(ids, node.self.ID) {
					t.Errorf("%s has not registered again within %v", node.self.ID, limit)
				}
			}
			t.Logf("%d instances: %d writes to the list within %v of the restore", n, tc.store.list.Stats().Writes-writes, limit)
		})
	}
}

// maxFeedDelay is a time within which all instances of a region have a change.
const maxFeedDelay = 5 * time.Second

// TestInstanceCutOffFromTheStoreFollowsARestore has an instance learn of a restore from the
// others, while its own reads of the store stay unanswered.
func TestInstanceCutOffFromTheStoreFollowsARestore(t *testing.T) {
	runWithFeeds(t, 5, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		time.Sleep(settleTime)
		alone := tc.nodes[0]
		r.setUnresponsive(alone.self.ID, true)
		for restores := range 2 {
			older := r.copy()
			r.setTarget("lost", true)
			waitFor(t, maxFeedDelay, "the target of before the restore in force", func() bool { return tc.allHaveTarget("lost", true) })
			r.restore(older)
			fresh := fmt.Sprintf("fresh-%d", restores)
			r.setTarget(fresh, true)
			waitFor(t, maxFeedDelay, "the target of after the restore in force everywhere", func() bool { return tc.allHaveTarget(fresh, true) })
		}
		waitFor(t, 2*maxFeedDelay, "the target that was lost and not written again gone everywhere", func() bool { return tc.allHaveTarget("lost", false) })
		if !tc.allHaveTarget("t1", true) {
			t.Error("a target of the copy is missing")
		}
	})
}

func TestRestoreSpreadKeepsWithinTheStoresRate(t *testing.T) {
	for _, n := range []int{12, 84, 195, 6000} {
		spread := restoreSpread(n)
		t.Logf("%d instances register again over %v", n, spread)
		if rate := float64(n) / spread.Seconds(); rate > restoreWritesPerSecond {
			t.Errorf("%d instances: %.0f writes a second, at most %d", n, rate, restoreWritesPerSecond)
		}
		if spread > DefaultTiming().Member.ForgetAfter {
			t.Errorf("%d instances: %v is longer than the members that the list lacks are kept", n, spread)
		}
	}
}
