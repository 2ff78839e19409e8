package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/decision/departure"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
)

// maxNoticeDelay is the time within which a target's notice must reach all instances of
// a region: it needs four messages, from a leaf over its relay to the watchers and
// back, which are at most 1.1 s apart.
const maxNoticeDelay = 5 * time.Second

// attachCores gives each instance a core with direct dispatch and the tables in force.
func attachCores(tc *testCluster) map[*testNode]*steer.Core {
	cores := map[*testNode]*steer.Core{}
	for i, n := range tc.nodes {
		core := steer.New(steer.Self{Instance: n.self.ID, Zone: "a", Region: "osrednja"}, rand.NewPCG(uint64(i), 1))
		core.EnableDirect(steer.DirectPolicy{ShiftCap: 1, ShiftWindow: time.Second})
		core.SetTables(time.Now(), n.Tables())
		n.attach(core)
		cores[n] = core
	}
	return cores
}

// receiveNotice sends requests to core until target gets one, which responds with its
// leaving notice.
func receiveNotice(t *testing.T, core *steer.Core, target string) {
	t.Helper()
	route := &core.Tables().Routes[0]
	for range 1000 {
		now := time.Now()
		d := core.Decide(now, &steer.Request{Route: route, Arrived: now, Deadline: now.Add(time.Second)})
		if d.Target == target {
			core.ObserveNotice(now, d, steer.Notice{Leaving: true})
		}
		core.Done(now, d, steer.Result{Kind: fault.KindCallerGone})
		if d.Target == target {
			return
		}
	}
	t.Fatalf("no request was sent to %s", target)
}

// knowsLeaving reports whether core sends no requests to target because it leaves.
func knowsLeaving(core *steer.Core, target string) bool {
	for _, p := range core.PoolViews(time.Now()) {
		for _, v := range p.Targets {
			if v.Target == target {
				return strings.HasPrefix(v.Excluded, "leaving")
			}
		}
	}
	return false
}

// addTargets writes the entries of targets and waits until they are in force.
func addTargets(t *testing.T, tc *testCluster, r *fakeFeedStore, n int) {
	t.Helper()
	for i := range n {
		r.setTarget(fmt.Sprintf("target-%04d", i), true)
	}
	waitFor(t, 10*time.Second, "all targets in force", func() bool { return tc.allHaveTarget(fmt.Sprintf("target-%04d", n-1), true) })
}

// TestNoticeOfATargetReachesTheRegion has one instance receive a target's notice, in a
// region without and with relays.
func TestNoticeOfATargetReachesTheRegion(t *testing.T) {
	for _, c := range []struct{ size, receiver int }{{5, 4}, {largeRegion, largeRegion / 2}, {largeRegion, largeRegion - 1}} {
		runWithFeeds(t, c.size, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
			addTargets(t, tc, r, 4)
			time.Sleep(settleTime / 2)
			cores := attachCores(tc)
			receiveNotice(t, cores[tc.nodes[c.receiver]], "target-0001")
			begin := time.Now()
			waitFor(t, maxNoticeDelay, "notice known at all instances", func() bool {
				for _, core := range cores {
					if !knowsLeaving(core, "target-0001") {
						return false
					}
				}
				return true
			})
			t.Logf("%d instances, received by %s: known to all after %v", c.size, tc.nodes[c.receiver].self.ID, time.Since(begin))
		})
	}
}

// TestNoticesStopPropagating guards against lists that instances send back and forth
// without end.
func TestNoticesStopPropagating(t *testing.T) {
	runWithFeeds(t, 5, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		addTargets(t, tc, r, 4)
		cores := attachCores(tc)
		receiveNotice(t, cores[tc.nodes[4]], "target-0001")
		time.Sleep(departure.PropagateFor + time.Second) // ages do not include the transit times of messages
		for n, core := range cores {
			if recs := core.LeavingRecords(time.Now(), departure.Reply, nil); len(recs) > 0 {
				t.Errorf("%s still propagates %v", n.self.ID, recs)
			}
		}
	})
}

// TestControlTrafficWithinBudgetWhileTargetsLeave lets a target leave every second,
// each of whose notices another instance receives.
func TestControlTrafficWithinBudgetWhileTargetsLeave(t *testing.T) {
	const targets = 100
	runWithFeeds(t, regionSize, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		addTargets(t, tc, r, targets)
		cores := attachCores(tc)
		ctx, stop := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		defer wg.Wait()
		defer stop()
		wg.Go(func() {
			for k := 0; k < targets && sleep(ctx, time.Second, nil); k++ {
				receiveNotice(t, cores[tc.nodes[k%regionSize]], fmt.Sprintf("target-%04d", k))
			}
		})
		mean, busiest := measureControlTraffic(tc)
		t.Logf("mean %.2f kB/s, busiest %.2f kB/s", mean/1000, busiest/1000)
		if mean > controlBudget {
			t.Errorf("instances send and receive %.0f bytes per second each, more than the budget", mean)
		}
	})
}

// badReplies is a transport whose replies to heartbeats have an invalid list of
// leaving targets.
type badReplies struct{}

func (badReplies) Call(_ context.Context, _ string, _ instance.Method, _, result any) error {
	if r, ok := result.(*instance.HeartbeatReply); ok {
		r.LeavingTargets = []departure.Record{{Target: "t1"}}
		r.TablesVersion = 7
	}
	return nil
}

func TestReplyWithInvalidListIsRejected(t *testing.T) {
	c := New(Config{Timing: DefaultTiming(), Peers: badReplies{}, Rand: func() float64 { return 0.5 }})
	q := &instance.HeartbeatRequest{}
	if got := c.sendHeartbeatTo(t.Context(), q, c.view.Self(), false); got != nil {
		t.Errorf("reply %+v was accepted", got.reply)
	}
	if !c.lastReplyAt.IsZero() {
		t.Error("the reply was applied")
	}
}
