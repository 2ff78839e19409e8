package steer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/mechanism"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// coreWithout returns the Core of an instance in zone a of a region, with direct
// dispatch and some mechanisms switched off.
func coreWithout(tb *table.Tables, region string, off ...mechanism.Mechanism) *Core {
	c := New(Self{Instance: "a", Zone: region + "-a", Region: region}, rand.NewPCG(1, 1))
	policy := directPolicy
	policy.Without = mechanism.NewSet(off...)
	c.EnableDirect(policy)
	c.SetTables(epoch, tb)
	return c
}

// concurrentRequests sends requests for one object at the same time. It returns
// the number of dispatched ones and of the targets that they were sent to.
func concurrentRequests(tb *table.Tables, c *Core, requests int) (dispatched, targets int) {
	used := map[string]bool{}
	for range requests {
		d := c.Decide(at(time.Second), directRequest(tb, at(time.Second), 3))
		if d.Verdict == Dispatch {
			dispatched++
			used[d.Target] = true
		}
	}
	return dispatched, len(used)
}

func TestWithoutObjectAffinityAnObjectUsesAllTargets(t *testing.T) {
	tb := fleet{perRegion: []int{6, 0, 0}, slots: 4}.tables()
	for _, s := range []struct {
		core *Core
		want int
	}{{coreWithout(tb, "osrednja"), 1}, {coreWithout(tb, "osrednja", mechanism.ObjectAffinity), 6}} {
		if _, targets := concurrentRequests(tb, s.core, 4); s.want == 1 && targets != 1 {
			t.Errorf("with affinity, 4 requests use %d targets, want 1", targets)
		} else if s.want == 6 && targets < 3 {
			t.Errorf("without affinity, 4 requests use %d targets, want 3 or more", targets)
		}
	}
}

func TestWithoutFurtherTargetsAnObjectUsesOne(t *testing.T) {
	const requests = 40
	tb := fleet{perRegion: []int{6, 0, 0}, slots: 4}.tables()
	both, targets := concurrentRequests(tb, coreWithout(tb, "osrednja"), requests)
	if targets != 2 {
		t.Errorf("an object uses %d targets, want 2", targets)
	}
	one, targets := concurrentRequests(tb, coreWithout(tb, "osrednja", mechanism.FurtherTargets), requests)
	if targets != 1 {
		t.Errorf("without further targets an object uses %d, want 1", targets)
	}
	if one == 0 || one >= both {
		t.Errorf("%d requests are dispatched to one target and %d to two, want fewer but some", one, both)
	}
}

func TestWithoutRegionBalanceObjectsStayInTheirRegion(t *testing.T) {
	tb := fleet{perRegion: []int{10, 2, 8}, slots: 4}.tables()
	kept := func(c *Core) int {
		n := 0
		for key := uint64(1); key <= 1000; key++ {
			d := mustDispatch(t, c.Decide(at(time.Second), directRequest(tb, at(time.Second), key)))
			if d.Pool == "feedlog.stajerska" {
				n++
			}
			c.Done(at(time.Second), d, Result{Latency: 100 * time.Millisecond})
		}
		return n
	}
	if n := kept(coreWithout(tb, "stajerska")); n > 350 {
		t.Errorf("the region with few targets keeps %d of 1000 objects, want at most 350", n)
	}
	if n := kept(coreWithout(tb, "stajerska", mechanism.RegionBalance)); n != 1000 {
		t.Errorf("without balance the region keeps %d of 1000 objects, want all", n)
	}
}

func TestWithoutZoneBodiesLargeBodiesUseTheRegion(t *testing.T) {
	tb := twoZoneTables(10, 2, 8)
	if fraction := fractionInZone(t, tb, coreWithout(tb, "osrednja"), largeBody, "osrednja-a"); fraction < 0.9 {
		t.Errorf("the zone keeps %.2f of its large bodies, want at least 0.9", fraction)
	}
	if fraction := fractionInZone(t, tb, coreWithout(tb, "osrednja", mechanism.ZoneBodies), largeBody, "osrednja-a"); fraction < 0.4 || fraction > 0.6 {
		t.Errorf("the zone keeps %.2f of its large bodies, want about half", fraction)
	}
}

func TestWithoutHedgesNoneStarts(t *testing.T) {
	tb := fleet{perRegion: []int{6, 0, 0}, slots: 4}.tables()
	for _, s := range []struct {
		core *Core
		want bool
	}{{coreWithout(tb, "osrednja"), true}, {coreWithout(tb, "osrednja", mechanism.Hedges), false}} {
		r := directRequest(tb, at(time.Second), 3)
		d := mustDispatch(t, s.core.Decide(at(time.Second), r))
		if _, hedged := s.core.HedgeDelay(r, d); hedged != s.want {
			t.Errorf("HedgeDelay allows a hedge: %v, want %v", hedged, s.want)
		}
	}
}

// TestWithoutAdmissionRequestsWaitUntilTheirDeadline checks that a request is still
// refused at once when it cannot be served before its deadline.
func TestWithoutAdmissionRequestsWaitUntilTheirDeadline(t *testing.T) {
	const requests = 1000
	tb := fleet{perRegion: []int{1, 0, 0}, slots: 2}.tables()
	limited, _ := concurrentRequests(tb, coreWithout(tb, "osrednja"), requests)
	unlimited, _ := concurrentRequests(tb, coreWithout(tb, "osrednja", mechanism.Admission), requests)
	if unlimited <= limited || unlimited == requests {
		t.Errorf("%d of %d requests are admitted, %d with the limit; want more, but not all", unlimited, requests, limited)
	}
}

func TestWithoutPenaltiesTheCostIsTheServiceTime(t *testing.T) {
	const work, targetLatency = 100 * time.Millisecond, 300 * time.Millisecond
	tb := fleet{perRegion: []int{1, 0, 0}, slots: 2}.tables()
	now := at(time.Second).Sub(epoch).Nanoseconds()
	slow := func(target *target) { target.slowness.observe(now, 8*work, work) }
	busy := func(target *target) { target.inFlight.Store(1) }
	failing := func(target *target) { target.slowness.recordAttempt(true) }
	for name, s := range map[string]struct {
		deviate func(*target)
		off     mechanism.Mechanism
	}{
		"slowness":        {slow, mechanism.Slowness},
		"busy penalty":    {busy, mechanism.BusyPenalty},
		"failure penalty": {failing, mechanism.FailurePenalty},
	} {
		c := coreWithout(tb, "osrednja")
		target := c.snapshot.Load().targets["osrednja-0"]
		s.deviate(target)
		in := costInputs{work: work, targetLatency: targetLatency}
		if cost, _ := target.estimateCost(now, in); cost <= work {
			t.Errorf("%s: cost %v, want more than %v", name, cost, work)
		}
		in.without = mechanism.NewSet(s.off)
		if cost, _ := target.estimateCost(now, in); cost != work {
			t.Errorf("without %s: cost %v, want %v", name, cost, work)
		}
	}
}

func TestWithoutTargetRetryAfterNoTimeIsDerived(t *testing.T) {
	tb := fleet{perRegion: []int{2, 0, 0}, slots: 8}.tables()
	c := coreWithout(tb, "osrednja", mechanism.TargetRetryAfter)
	r := directRequest(tb, at(0), 3)
	d := mustDispatch(t, c.Decide(at(0), r))
	if after, ok := c.RetryAfter(at(time.Second), r, d, &TargetLoad{Running: 8, Waiting: 15, Slots: 8}); ok {
		t.Errorf("RetryAfter returns %v, want none", after)
	}
}
