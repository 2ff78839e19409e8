package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// maxRateLimitDelay is the time within which a target's rate limit, or its end, must reach
// all instances: two watchers' messages more than within a region.
const maxRateLimitDelay = maxNoticeDelay + 2*time.Second

// announceRateLimit sends requests to core until target gets one, which responds with n.
func announceRateLimit(t *testing.T, core *steer.Core, target string, n ratelimit.Notice) {
	t.Helper()
	route := &core.Tables().Routes[0]
	for range 20000 {
		now := time.Now()
		d := core.Decide(now, &steer.Request{Route: route, Arrived: now, Deadline: now.Add(time.Second)})
		if d.Target == target {
			core.ObserveRateLimit(now, d, n)
		}
		core.Done(now, d, steer.Result{Kind: fault.KindCallerGone})
		if d.Target == target {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("no request was sent to %s", target)
}

// knowsRateLimit reports whether core's requests to target are limited.
func knowsRateLimit(core *steer.Core, target string) bool {
	for _, p := range core.PoolViews(time.Now()) {
		for _, v := range p.Targets {
			if v.Target == target {
				return v.RateLimited
			}
		}
	}
	return false
}

// attachMembers gives each instance a core with direct dispatch that knows all instances.
func attachMembers(tc *testCluster) []*steer.Core {
	var list []ratelimit.Member
	for _, n := range tc.nodes {
		list = append(list, ratelimit.Member{ID: n.self.ID})
	}
	cores := attachCores(tc)
	var ordered []*steer.Core
	for _, n := range tc.nodes {
		cores[n].SetInstances(time.Now(), list, true)
		ordered = append(ordered, cores[n])
	}
	return ordered
}

// awaitRateLimit waits until all cores know, or no longer know, that target has a limit.
func awaitRateLimit(t *testing.T, cores []*steer.Core, target string, want bool) {
	t.Helper()
	took := waitFor(t, maxRateLimitDelay, "rate limit known at all instances", func() bool {
		return !slices.ContainsFunc(cores, func(c *steer.Core) bool { return knowsRateLimit(c, target) != want })
	})
	t.Logf("%d instances, limited %t: known to all after %v", len(cores), want, took)
}

// TestRateLimitAndItsEndReachTheRegion has one instance learn of a target's limit, and one
// of the few that send to the target learn of the end.
func TestRateLimitAndItsEndReachTheRegion(t *testing.T) {
	for _, size := range []int{5, largeRegion} {
		runWithFeeds(t, size, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
			addTargets(t, tc, r, 4)
			time.Sleep(settleTime / 2)
			cores := attachMembers(tc)
			const target = "target-0001"
			announceRateLimit(t, cores[size-1], target, ratelimit.Notice{State: ratelimit.Limited, PerSecond: 2})
			awaitRateLimit(t, cores, target, true)
			time.Sleep(2 * time.Second)
			announceRateLimit(t, senderTo(t, cores, target), target, ratelimit.Notice{State: ratelimit.Unlimited})
			awaitRateLimit(t, cores, target, false)
		})
	}
}

// senderTo returns the first core that may send a request to target within a few seconds.
func senderTo(t *testing.T, cores []*steer.Core, target string) *steer.Core {
	t.Helper()
	route := &cores[0].Tables().Routes[0]
	for range 50 {
		for _, c := range cores {
			now := time.Now()
			for range 40 {
				d := c.Decide(now, &steer.Request{Route: route, Arrived: now, Deadline: now.Add(time.Second)})
				c.Done(now, d, steer.Result{Kind: fault.KindCallerGone})
				if d.Target == target {
					return c
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("no instance sends requests to %s", target)
	return nil
}

// recordedLimits is a Core that keeps only the rate limits of one target.
type recordedLimits struct {
	lossyCore
	mu     sync.Mutex
	limits *ratelimit.Ledger
}

// recordedTarget is the target whose limits recordedLimits keeps.
var recordedTarget = ratelimit.Identity{Name: "target-0001", Incarnation: "1"}

func (c *recordedLimits) observe(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.Observe(now, now, recordedTarget, ratelimit.Notice{State: ratelimit.Limited, PerSecond: 2})
}

func (c *recordedLimits) known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits.Len() > 0
}

func (c *recordedLimits) RateLimitRecords(now time.Time, omit []ratelimit.Record) []ratelimit.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits.Export(now, omit)
}

func (c *recordedLimits) MergeRateLimits(now time.Time, _ string, recs []ratelimit.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range recs {
		c.limits.Merge(now, r, recordedTarget)
	}
}

// TestRateLimitReachesOtherCells has an instance of one cell learn of a target's limit.
func TestRateLimitReachesOtherCells(t *testing.T) {
	runInTwoZones(t, func(t *testing.T, tc *testCluster, _ map[string]string) {
		var cores []*recordedLimits
		for _, n := range tc.nodes {
			c := &recordedLimits{lossyCore: lossyCore{Tracker: poison.New(n.addr)}, limits: ratelimit.NewLedger()}
			n.attach(c)
			cores = append(cores, c)
		}
		cores[0].observe(time.Now())
		waitFor(t, maxRateLimitDelay, "limit known at the instances of both cells", func() bool {
			return !slices.ContainsFunc(cores, func(c *recordedLimits) bool { return !c.known() })
		})
	})
}

// TestSilentInstancesRemainMembers guards against instances that take over the shares of
// others because they are cut off from them: the others still use what is limited for all
// together.
func TestSilentInstancesRemainMembers(t *testing.T) {
	runWithFeeds(t, 5, func(t *testing.T, tc *testCluster, _ *fakeFeedStore) {
		time.Sleep(settleTime)
		alone := tc.nodes[rand.IntN(len(tc.nodes))]
		tc.setPartition(func(from, to string) bool { return from == alone.addr || to == alone.addr })
		waitFor(t, settleTime, "the instance that is cut off suspects the others", func() bool { return len(alone.Instances()) == 1 })
		time.Sleep(staleEntryAge / 2)
		for _, n := range tc.nodes {
			if list, complete := n.Members(); len(list) != len(tc.nodes) || !complete {
				t.Errorf("%s has %d members, want %d", n.self.ID, len(list), len(tc.nodes))
			}
		}
		// The others remove its entry later, which it puts back. It never does so itself.
		time.Sleep(3 * staleEntryAge)
		if list, _ := alone.Members(); len(list) != len(tc.nodes) {
			t.Errorf("the instance that is cut off has %d members, want %d", len(list), len(tc.nodes))
		}
	})
}

// TestMembersAreIncompleteUntilTheListHasBeenRead covers an instance that starts while the
// platform's list is unavailable.
func TestMembersAreIncompleteUntilTheListHasBeenRead(t *testing.T) {
	runInZone(t, 3, func(t *testing.T, tc *testCluster) {
		tc.store.setListDown(true)
		late := tc.start("late", zoneName(0, 1))
		time.Sleep(settleTime)
		if _, complete := late.Members(); complete {
			t.Error("the members are complete although the list has not been read")
		}
		tc.store.setListDown(false)
		waitFor(t, settleTime, "complete members", func() bool { list, complete := late.Members(); return complete && len(list) == len(tc.nodes) })
	})
}

// TestControlTrafficWithinBudgetWhileTargetsLimitTheirRequests lets all targets announce
// limits, of which each instance has heard from some lately.
func TestControlTrafficWithinBudgetWhileTargetsLimitTheirRequests(t *testing.T) {
	const targets = 100
	runWithFeeds(t, regionSize, func(t *testing.T, tc *testCluster, r *fakeFeedStore) {
		addTargets(t, tc, r, targets)
		cores := attachMembers(tc)
		ctx, stop := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		defer wg.Wait()
		defer stop()
		wg.Go(func() {
			for k := 0; sleep(ctx, 50*time.Millisecond, nil); k++ {
				c := cores[k%len(cores)]
				d := c.Decide(time.Now(), &steer.Request{Route: &c.Tables().Routes[0], Arrived: time.Now(), Deadline: time.Now().Add(time.Second)})
				c.ObserveRateLimit(time.Now(), d, ratelimit.Notice{State: ratelimit.Limited, PerSecond: 2 + float64(k%3)})
				c.Done(time.Now(), d, steer.Result{Kind: fault.KindCallerGone})
			}
		})
		mean, busiest := measureControlTraffic(tc)
		t.Logf("mean %.2f kB/s, busiest %.2f kB/s", mean/1000, busiest/1000)
		if mean > controlBudget {
			t.Errorf("instances send and receive %.0f bytes per second each, more than the budget", mean)
		}
	})
}
