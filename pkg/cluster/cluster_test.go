package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/test/virtualtime"
)

// waitFor waits in virtual time for cond, at most for limit, and returns how
// long it took.
func waitFor(t *testing.T, limit time.Duration, what string, cond func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for !cond() {
		if time.Since(begin) > limit {
			t.Fatalf("%s: condition not met within %v", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begin)
}

func startAll(tc *testCluster, n, zones int) {
	for i := range n {
		tc.start(fmt.Sprintf("instance-%03d", i), zoneName(i, zones))
	}
}

// runInZone runs a test in virtual time on n instances of one zone that share the
// slots of one target, starting when version 1 of the tables is in force.
func runInZone(t *testing.T, n int, test func(t *testing.T, tc *testCluster)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		tc := newTestCluster(uint64(n))
		defer tc.stop()
		tc.seeds = []string{"instance-000", "instance-001"}
		tc.store.accept(testTables(1, 1))
		startAll(tc, n, 1)
		waitFor(t, 5*time.Second, "all shares usable", func() bool { return tc.allInForce(1) && tc.allSharesUsable() })
		test(t, tc)
	})
}

// allSharesUsable reports whether the instances together may use all four slots
// of target feedlog-0.
func (tc *testCluster) allSharesUsable() bool { return tc.usableShares("feedlog-0") == 4 }

func TestAllSharesUsableAfterStart(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		tc := newTestCluster(1)
		defer tc.stop()
		tc.store.accept(testTables(1, 6))
		startAll(tc, 11, 6)
		took := waitFor(t, 5*time.Second, "all shares usable", func() bool {
			return tc.allInForce(1) && tc.usableShares("feedlog-0") == 4 && tc.usableShares("feedlog-5") == 4
		})
		t.Logf("all shares usable after %v", took)
	})
}

func TestSharesOfKilledInstanceAreReclaimed(t *testing.T) {
	runInZone(t, 2, func(t *testing.T, tc *testCluster) {
		tc.kill(tc.nodes[0])
		t.Logf("reclaimed after %v", waitFor(t, 30*time.Second, "shares of the killed instance reclaimed", tc.allSharesUsable))
	})
}

func TestSharesStayUsableInStoreOutage(t *testing.T) {
	runInZone(t, 3, func(t *testing.T, tc *testCluster) {
		time.Sleep(5 * time.Second) // a share that moves between holders would stay unusable until the store is available again
		tc.store.setDown(true)
		for i := range 11 * 60 {
			time.Sleep(time.Second)
			if got := tc.usableShares("feedlog-0"); got != 4 {
				t.Fatalf("%d of 4 shares are usable after %d s of the outage", got, i)
			}
		}
	})
}

func TestReturnedSharesAreReused(t *testing.T) {
	runInZone(t, 2, func(t *testing.T, tc *testCluster) {
		n := tc.nodes[0]
		if err := n.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := n.ReturnShares(t.Context()); err != nil {
			t.Fatal(err)
		}
		tc.kill(n)
		t.Logf("shares usable by the other instance %v after their return", waitFor(t, 4*time.Second, "shares usable by the other instance", tc.allSharesUsable))
	})
}

func TestNewVersionReachesAllInstances(t *testing.T) {
	runInZone(t, 20, func(t *testing.T, tc *testCluster) {
		time.Sleep(2 * time.Second)
		tc.store.accept(testTables(2, 1))
		t.Logf("in force after %v", waitFor(t, 2*time.Second, "version 2 in force", func() bool { return tc.allInForce(2) }))
		byPatch := 0
		for _, n := range tc.nodes {
			n.mu.Lock()
			if n.step != nil {
				byPatch++
			}
			n.mu.Unlock()
		}
		if byPatch < len(tc.nodes)/2 {
			t.Errorf("%d of %d instances have received the version as a patch, want at least half", byPatch, len(tc.nodes))
		}
	})
}

func TestOlderOrUnreadableVersionIsIgnored(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		tc := newTestCluster(8)
		defer tc.stop()
		tc.store.accept(testTables(2, 1))
		startAll(tc, 4, 1)
		waitFor(t, 5*time.Second, "version 2 in force", func() bool { return tc.allInForce(2) })
		tc.store.accept(testTables(1, 1))
		time.Sleep(10 * time.Second)
		if !tc.allInForce(2) {
			t.Error("an older version in the store replaced the one in force")
		}
		bad := testTables(3, 1)
		bad.Routes[0].Pools[0].Pool = "nothing"
		tc.store.accept(bad)
		waitFor(t, 5*time.Second, "version 3 reported as rejected", func() bool { return tc.nodes[0].RejectedVersion() == 3 || tc.nodes[1].RejectedVersion() == 3 })
		if !tc.allInForce(2) {
			t.Error("an unreadable version replaced the one in force")
		}
		tc.store.accept(testTables(4, 1))
		waitFor(t, 5*time.Second, "version 4 in force and no version rejected", func() bool { return tc.allInForce(4) && tc.nodes[0].RejectedVersion() == 0 })
	})
}

func TestStartFromPeerWhileStoreIsDown(t *testing.T) {
	for name, listDown := range map[string]bool{"instance list available": false, "instance list unavailable, seeds configured": true} {
		t.Run(name, func(t *testing.T) {
			runInZone(t, 3, func(t *testing.T, tc *testCluster) {
				tc.store.setDown(true)
				tc.store.setListDown(listDown)
				late := tc.start("instance-late", zoneName(0, 1))
				t.Logf("tables loaded after %v", waitFor(t, 2*time.Second, "tables loaded by the new instance", func() bool { return late.Tables() != nil }))
			})
		})
	}
}

func TestInstanceWaitsWhileAllSourcesAreDown(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		tc := newTestCluster(7)
		defer tc.stop()
		tc.store.accept(testTables(1, 1))
		tc.store.setDown(true)
		tc.store.setListDown(true)
		n := tc.start("instance-0", zoneName(0, 1))
		time.Sleep(time.Minute)
		if n.Tables() != nil || len(n.Shares().Slots) > 0 {
			t.Fatal("an instance without the platform or peers has tables or shares")
		}
		tc.store.setDown(false)
		tc.store.setListDown(false)
		t.Logf("all shares usable %v after the end of the outage", waitFor(t, 20*time.Second, "healed", tc.allSharesUsable))
	})
}

func TestRemainingInstanceKeepsItsSharesInStoreOutage(t *testing.T) {
	runInZone(t, 2, func(t *testing.T, tc *testCluster) {
		time.Sleep(5 * time.Second)
		tc.store.setDown(true)
		time.Sleep(20 * time.Second)
		tc.kill(tc.nodes[0])
		for i := range 60 {
			time.Sleep(time.Second)
			if got := tc.usableShares("feedlog-0"); got != 2 {
				t.Fatalf("%d of the remaining instance's 2 shares are usable %d s after the termination of the other", got, i)
			}
		}
	})
}

func TestSuccessorOfOnlyInstanceGetsItsShares(t *testing.T) {
	runInZone(t, 1, func(t *testing.T, tc *testCluster) {
		tc.kill(tc.nodes[0])
		tc.start("instance-000", zoneName(0, 1))
		t.Logf("shares usable by the successor after %v", waitFor(t, 8*time.Second, "shares usable by the successor", tc.allSharesUsable))
	})
}

func TestOnlyLaterIncarnationShowsTermination(t *testing.T) {
	for name, c := range map[string]struct {
		id, seen, holder string
		terminated       bool
	}{
		"later incarnation seen":        {"instance-1", "00000002", "00000001", true},
		"same incarnation seen":         {"instance-1", "00000002", "00000002", false},
		"only earlier incarnation seen": {"instance-1", "00000002", "00000003", false},
		"other id at the same address":  {"instance-2", "00000009", "00000001", false},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				self := platform.Instance{ID: "instance-0", Zone: "zone-00", Incarnation: "00000005", PeerAddress: "p0"}
				n := New(Config{Self: self, Timing: DefaultTiming()})
				n.view.ObserveMessage(time.Now(), member.Info{ID: c.id, Zone: "zone-00", Incarnation: c.seen, PeerAddress: "p1"})
				n.storedRow = &allowance.Row{Version: 1, LayoutVersion: 1, Holders: []allowance.Holder{{HolderKey: allowance.HolderKey{ID: "instance-1", Incarnation: c.holder}, Address: "p1"}}}
				n.reclaimer.ObserveRow(time.Now(), n.storedRow)
				n.observeReplacedHolders(time.Now())
				if n.reclaimer.HasTerminatedHolder() != c.terminated {
					t.Errorf("termination detected: %v, want %v", !c.terminated, c.terminated)
				}
			})
		})
	}
}

func TestSuccessorGetsSharesAfterTwoTerminations(t *testing.T) {
	runInZone(t, 1, func(t *testing.T, tc *testCluster) {
		tc.kill(tc.nodes[0])
		tc.start("instance-000", zoneName(0, 1))
		time.Sleep(time.Second) // by now registered, but without the shares of its predecessor
		tc.kill(tc.nodes[0])
		tc.start("instance-001", zoneName(0, 1))
		waitFor(t, 30*time.Second, "shares usable by the successor", tc.allSharesUsable)
	})
}
