package cluster

import (
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
)

// TestRefusedEntryIsCountedAtEveryInstance has one entry that makes no sense reach the
// instances, from the store or from others: each counts it, and follows the next one.
func TestRefusedEntryIsCountedAtEveryInstance(t *testing.T) {
	runWithFeeds(t, 5, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		time.Sleep(settleTime)
		odd := catalog.Target{ID: "odd", Service: "feedlog", Address: "10.0.0.1:0", Zone: "a", Region: "osrednja", Slots: 4}
		r.write(catalog.Entry{Topic: catalog.Targets, Key: odd.ID, Target: &odd})
		r.setTarget("t2", true)
		waitFor(t, maxFeedDelay, "the target after it in force everywhere", func() bool { return tc.allHaveTarget("t2", true) })
		for _, n := range tc.nodes {
			if got := n.TakeRefusedEntries(); got != 1 || n.hasTarget(odd.ID) {
				t.Errorf("%s counts %d refused entries, want 1, and uses the target %t", n.addr, got, n.hasTarget(odd.ID))
			}
			if got := n.TakeRefusedEntries(); got != 0 {
				t.Errorf("%s counts %d once more", n.addr, got)
			}
		}
	})
}
