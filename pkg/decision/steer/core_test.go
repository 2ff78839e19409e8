package steer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// singlePoolTables returns tables with a single pool, all in one zone, so that
// no request is forwarded.
func singlePoolTables() *table.Tables {
	f := smallFixture
	f.regions = f.regions[:1]
	t := f.tables()
	for i := range t.Pools[0].Targets {
		t.Pools[0].Targets[i].Zone = testSelf.Zone
	}
	return t
}

func TestTableChangeKeepsRequestsInFlightCounted(t *testing.T) {
	tb := singlePoolTables()
	c := newCore(tb)
	for range 8 {
		mustDispatch(t, c.Decide(at(1), newRequest(tb, at(1))))
	}
	next := *tb
	next.Version = 2
	c.SetTables(at(2), &next)
	if d := c.Decide(at(3), newRequest(&next, at(3))); d.Verdict != Wait {
		t.Fatalf("decision with all slots in use = %+v, want Wait", d)
	}
}

func TestRemovedTargetStaysCountedUntilItIsIdle(t *testing.T) {
	tb := singlePoolTables()
	c := newCore(tb)
	d := mustDispatch(t, c.Decide(at(1), newRequest(tb, at(1))))
	without, restored := *tb, *tb
	without.Version, restored.Version = 2, 3
	without.Pools = []table.Pool{tb.Pools[0]}
	without.Pools[0].Targets = nil
	c.SetTables(at(2), &without)
	c.SetTables(at(3), &restored)
	if got := c.snapshot.Load().targetStats[d.Target].inFlight.Load(); got != 1 {
		t.Fatalf("in flight at the target added again = %d, want 1", got)
	}
	c.Done(at(4), d, Result{})
	if got := c.snapshot.Load().targetStats[d.Target].inFlight.Load(); got != 0 {
		t.Fatalf("in flight after Done = %d, want 0", got)
	}
}

func TestNothingIsDispatchedOnceTheLeaseHasExpired(t *testing.T) {
	tb := singlePoolTables()
	c := newCore(tb)
	d := c.Decide(at(time.Hour), newRequest(tb, at(time.Hour)))
	if d.Verdict != Refuse || d.Kind != fault.KindShareLapsed {
		t.Fatalf("decision = %+v, want share-lapsed", d)
	}
}

func TestWaitingRequestGetsTheNextFreeSlot(t *testing.T) {
	tb := singlePoolTables()
	c := newCore(tb)
	var last Decision
	for range 8 {
		last = mustDispatch(t, c.Decide(at(1), newRequest(tb, at(1))))
	}
	w := c.Decide(at(2), newRequest(tb, at(2)))
	if w.Verdict != Wait {
		t.Fatalf("decision = %+v, want Wait", w)
	}
	woken := c.Done(at(3), last, Result{Latency: time.Millisecond})
	if len(woken) != 1 || woken[0].Ticket != w.Ticket || woken[0].Decision.Target != last.Target {
		t.Fatalf("wakeups = %+v, want one for the queued request", woken)
	}
	if c.Cancel(at(4), w.Ticket) {
		t.Fatal("Cancel removed a request whose wakeup has been returned")
	}
}

func TestQueuedRequestIsRefusedAtTheQueueTimeout(t *testing.T) {
	tb := singlePoolTables()
	c := newCore(tb)
	for range 8 {
		mustDispatch(t, c.Decide(at(1), newRequest(tb, at(1))))
	}
	w := c.Decide(at(2), newRequest(tb, at(2)))
	if got := c.Tick(at(2 + table.DefaultQueueTimeout - time.Millisecond)); len(got) != 0 {
		t.Fatalf("wakeups before the queue timeout: %+v", got)
	}
	got := c.Tick(at(2 + table.DefaultQueueTimeout))
	if len(got) != 1 || got[0].Ticket != w.Ticket || got[0].Decision.Kind != fault.KindOverloaded || got[0].Decision.RetryAfter <= 0 {
		t.Fatalf("wakeups = %+v, want a refusal of the queued request", got)
	}
}

func TestRequestThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	tb := singlePoolTables()
	c := newCore(tb)
	for range 8 {
		mustDispatch(t, c.Decide(at(1), newRequest(tb, at(1))))
	}
	r := newRequest(tb, at(2))
	r.Deadline = at(2 + time.Millisecond)
	if d := c.Decide(at(2), r); d.Verdict != Refuse || d.Kind != fault.KindOverloaded || d.RetryAfter <= 0 {
		t.Fatalf("decision = %+v, want a refusal with a retry-after time", d)
	}
}

func TestLeavingTargetGetsNoRequestsUntilItsNextIncarnation(t *testing.T) {
	tb := singlePoolTables()
	c := newCore(tb)
	c.ObserveLoad(at(1), LoadReport{Target: "osrednja-t0", At: at(1), Leaving: true, Healthy: true, Incarnation: "a"})
	c.ObserveLoad(at(2), LoadReport{Target: "osrednja-t0", At: at(2), Healthy: true, Incarnation: "a"})
	for range 6 {
		if d := mustDispatch(t, c.Decide(at(3), newRequest(tb, at(3)))); d.Target == "osrednja-t0" {
			t.Fatal("a leaving target got a new request")
		}
	}
	c.ObserveLoad(at(4), LoadReport{Target: "osrednja-t0", At: at(4), Healthy: true, Incarnation: "b"})
	if d := mustDispatch(t, c.Decide(at(5), newRequest(tb, at(5)))); d.Target != "osrednja-t0" {
		t.Fatalf("target = %s, want the restarted one", d.Target)
	}
}

func TestInstanceWithoutLocalTargetsHops(t *testing.T) {
	tb := smallFixture.tables()
	c := New(Self{Instance: "x", Zone: "primorska-1", Region: "primorska"}, rand.NewPCG(3, 4))
	c.SetTables(epoch, tb)
	d := c.Decide(at(1), newRequest(tb, at(1)))
	if d.Verdict != Hop || d.Zone == "" {
		t.Fatalf("decision = %+v, want a hop", d)
	}
	c.Done(at(2), d, Result{Latency: time.Millisecond})
}

func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	tb := smallFixture.tables()
	c := newCore(tb)
	for range 40 {
		r := newRequest(tb, at(1))
		r.Pool = "feedlog-osrednja"
		if d := c.Decide(at(1), r); d.Verdict == Hop {
			t.Fatalf("decision = %+v, want no hop", d)
		}
	}
}

func TestFailingTargetsAreEjectedUpToHalfOfThePool(t *testing.T) {
	tb := singlePoolTables()
	c := newCore(tb)
	for range 100 {
		d := c.Decide(at(time.Second), newRequest(tb, at(time.Second)))
		if d.Verdict != Dispatch {
			continue
		}
		c.Done(at(time.Second), d, Result{Kind: fault.KindTargetRefused})
	}
	ejected := 0
	for _, target := range c.snapshot.Load().pools["feedlog-osrednja"].targets {
		if target.health.Ejected(c.nanos(at(time.Second))) {
			ejected++
		}
	}
	if ejected != 2 {
		t.Fatalf("ejected = %d of 4, want 2", ejected)
	}
}

func TestRetryNeedsIdempotenceOrNotRun(t *testing.T) {
	tb := singlePoolTables()
	for _, tc := range []struct {
		name       string
		idempotent bool
		first      fault.Kind
		want       bool
	}{
		{"idempotent and unknown", true, fault.KindTargetTimeout, true},
		{"non-idempotent and unknown", false, fault.KindTargetTimeout, false},
		{"non-idempotent and not run", false, fault.KindTargetRefused, true},
		{"target responded", true, fault.KindNone, false},
		{"poison", true, fault.KindPoisonHeld, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCore(tb)
			r := newRequest(tb, at(1))
			r.Idempotent = tc.idempotent
			if got := c.AllowRetry(at(2), r, Result{Kind: tc.first}); got != tc.want {
				t.Fatalf("AllowRetry = %v, want %v", got, tc.want)
			}
		})
	}
}

func TestRequestThatMayHaveRunIsNotRetriedAfterALaterNotRun(t *testing.T) {
	tb := singlePoolTables()
	c := newCore(tb)
	r := newRequest(tb, at(1))
	r.Idempotent = false
	c.AllowRetry(at(2), r, Result{Kind: fault.KindTargetTimeout})
	if c.AllowRetry(at(3), r, Result{Kind: fault.KindTargetRefused}) {
		t.Fatal("a retry was allowed for a request that may have run")
	}
}

func TestPoisonRequestIsHeldAfterTwoTargets(t *testing.T) {
	tb := singlePoolTables()
	c := newCore(tb)
	lost := 0
	for range 10 {
		r := newRequest(tb, at(1))
		r.Fingerprint = 77
		d := c.Decide(at(1), r)
		if d.Verdict != Dispatch {
			if d.Kind != fault.KindPoisonHeld {
				t.Fatalf("decision = %+v, want poison-held", d)
			}
			continue
		}
		lost++
		c.Done(at(1), d, Result{Kind: fault.KindTargetLost})
	}
	if lost != 2 {
		t.Fatalf("targets lost = %d, want 2", lost)
	}
}

func TestOrphanKeepsItsSlotUntilTheTargetShowsLaterActivity(t *testing.T) {
	tb := singlePoolTables()
	for name, c := range map[string]struct {
		kind fault.Kind
		// then happens at 20 ns, after the first attempt was given up at 10 ns.
		then func(c *Core, first, later Decision)
		held int64
	}{
		"no later activity":          {fault.KindCallerGone, func(*Core, Decision, Decision) {}, 1},
		"timeout, no later activity": {fault.KindTargetTimeout, func(*Core, Decision, Decision) {}, 1},
		"lost connection":            {fault.KindTargetLost, func(*Core, Decision, Decision) {}, 0},
		"target responded":           {fault.KindNone, func(*Core, Decision, Decision) {}, 0},
		"an earlier probe":           {fault.KindCallerGone, func(c *Core, f, _ Decision) { reportProbe(c, f, 9, true) }, 1},
		"a later probe":              {fault.KindCallerGone, func(c *Core, f, _ Decision) { reportProbe(c, f, 11, true) }, 0},
		"a later probe failed":       {fault.KindCallerGone, func(c *Core, f, _ Decision) { reportProbe(c, f, 11, false) }, 1},
		"a later response":           {fault.KindCallerGone, func(c *Core, _, l Decision) { c.Done(at(20), l, Result{}) }, 0},
		"shortly after deadline":     {fault.KindCallerGone, func(c *Core, _, _ Decision) { c.Tick(at(time.Second + 1)) }, 1},
		"long after deadline":        {fault.KindCallerGone, func(c *Core, _, _ Decision) { c.Tick(at(3 * time.Second)) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			core := newCore(tb)
			first := mustDispatch(t, core.Decide(at(1), newRequest(tb, at(1))))
			core.Done(at(10), first, Result{Kind: c.kind})
			later := first
			later.dispatchedAt = core.nanos(at(15))
			if c.kind == fault.KindCallerGone {
				first.targetStats.inFlight.Add(1) // the later attempt's own
				first.region.inFlight.Add(1)
			}
			c.then(core, first, later)
			if c.kind == fault.KindCallerGone && name != "a later response" {
				later.release()
			}
			if got := first.targetStats.inFlight.Load(); got != c.held {
				t.Errorf("in flight = %d, want %d", got, c.held)
			}
			if got := first.region.inFlight.Load(); got != c.held {
				t.Errorf("in flight in the region = %d, want %d", got, c.held)
			}
		})
	}
}

// reportProbe reports to c the result of a probe of d's target that started at
// sent.
func reportProbe(c *Core, d Decision, sent time.Duration, healthy bool) {
	c.ObserveLoad(at(20), LoadReport{Target: d.Target, At: at(sent), Healthy: healthy})
}
