package cluster

import (
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/test/virtualtime"
)

func TestHasHeldLeaseOnceSharesAreUsable(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		tc := newTestCluster(1)
		defer tc.stop()
		tc.store.accept(testTables(1, 1))
		startAll(tc, 1, 1)
		n := tc.nodes[0]
		waitFor(t, 5*time.Second, "shares", func() bool {
			usable := tc.usableShares("feedlog-0") > 0
			if n.HasHeldLease() && !usable {
				t.Fatal("HasHeldLease is true before any slot is usable")
			}
			return n.HasHeldLease() && usable
		})
		tc.store.setDown(true)
		time.Sleep(time.Hour)
		if got := tc.usableShares("feedlog-0"); got != 0 {
			t.Fatalf("%d slots are usable after a store outage of an hour, want none", got)
		}
		if !n.HasHeldLease() {
			t.Error("HasHeldLease became false again after the outage")
		}
	})
}

func TestNoLeaseWhileStoreIsDown(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		tc := newTestCluster(1)
		defer tc.stop()
		tc.store.accept(testTables(1, 1))
		tc.store.setDown(true)
		startAll(tc, 1, 1)
		time.Sleep(10 * time.Second)
		if tc.nodes[0].HasHeldLease() {
			t.Error("HasHeldLease is true although the zone's row was never read")
		}
	})
}
