package steer

import (
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// admitSteadily admits perSecond requests a second to the pool up to length after the epoch.
func admitSteadily(c *Core, p *pool, perSecond int, length time.Duration) {
	interval := time.Second / time.Duration(perSecond)
	for now := interval; now <= length; now += interval {
		p.admit(c.nanos(at(now)))
	}
}

// oneSlotTables returns tables with a single pool of one slot.
func oneSlotTables() *table.Tables {
	t := singlePoolTables()
	t.Pools[0].Targets = t.Pools[0].Targets[:1]
	t.Pools[0].Targets[0].Slots = 1
	return t
}

func TestQueuedPoisonRequestsUseUpNoGrowth(t *testing.T) {
	const (
		queued = 10
		window = 10 * time.Second
		now    = window + 500*time.Millisecond
	)
	tb := oneSlotTables()
	c := newCore(tb)
	p := c.snapshot.Load().pools["feedlog-osrednja"]
	admitSteadily(c, p, 10, window)
	p.summaryOverdue.Store(true)
	first := mustDispatch(t, c.Decide(at(now), newRequest(tb, at(now))))
	for range queued {
		r := newRequest(tb, at(now))
		r.Fingerprint = 77
		if d := c.Decide(at(now), r); d.Verdict != Wait {
			t.Fatalf("decision = %+v, want Wait", d)
		}
	}
	losses := []poison.Loss{{Target: "t", Instance: "i2", Sequence: 1}, {Target: "t", Instance: "i2", Sequence: 2}}
	c.MergePoison(at(now), []poison.Record{{Fingerprint: 77, Losses: losses, LastLoss: at(now)}})
	wakeups := c.Done(at(now), first, Result{Latency: time.Millisecond})
	if len(wakeups) != queued {
		t.Fatalf("%d wakeups, want %d", len(wakeups), queued)
	}
	for _, w := range wakeups {
		if w.Decision.Kind != fault.KindPoisonHeld {
			t.Errorf("kind = %s, want poison-held", w.Decision.Kind)
		}
	}
	if d := c.Decide(at(now), newRequest(tb, at(now))); d.Verdict != Dispatch {
		t.Errorf("the next request was refused as %s, want a dispatch", d.Kind)
	}
}

// sharedPoolTables returns tables with three routes to the pool of the first
// region: "wide" to the pools of three regions, "local" to no other pool, and
// "spare" with weight 0 there.
func sharedPoolTables() (tb *table.Tables, routes []table.Route) {
	f := smallFixture
	f.regions = []string{"osrednja", "stajerska", "primorska"}
	tb = f.tables()
	wide := tb.Routes[0]
	wide.Name = "wide"
	local := table.Route{Name: "local", Pools: wide.Pools[:1]}
	spare := table.Route{Name: "spare", Pools: []table.PoolWeight{{Pool: wide.Pools[0].Pool}, wide.Pools[1]}}
	return tb, []table.Route{wide, local, spare}
}

// admissible returns how many more requests the pool admits at now.
func (p *pool) admissible(now int64) int {
	n := 0
	for ; n < 1000 && p.admit(now); n++ {
	}
	for range n {
		p.cancelAdmit()
	}
	return n
}

// TestStrictestRouteBoundsTheGrowthOfAPool recomputes many times, since the
// order of the routes may differ each time.
func TestStrictestRouteBoundsTheGrowthOfAPool(t *testing.T) {
	const (
		window     = 10 * time.Second
		now        = 2*window + 500*time.Millisecond
		lastReport = 5 * time.Second
		// The pool got 100 requests a second. Half a second into the bucket, its
		// route "local" allows growth by 0.3 times the cap of 0.1, and one more.
		want = 52
	)
	for _, order := range [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		tb, routes := sharedPoolTables()
		tb.Routes = []table.Route{routes[order[0]], routes[order[1]], routes[order[2]]}
		c := newCore(tb)
		p := c.snapshot.Load().pools["feedlog-osrednja"]
		for s := time.Second; s <= 2*window; s += time.Second {
			c.ObserveZone(at(s), ZoneSummary{Zone: "primorska-1", Pool: "feedlog-primorska", At: at(s)})
			if s <= lastReport {
				c.ObserveZone(at(s), ZoneSummary{Zone: "stajerska-1", Pool: "feedlog-stajerska", At: at(s)})
			}
		}
		admitSteadily(c, p, 100, 2*window)
		for range 20 {
			c.recompute(at(now))
			// One request has opened the bucket.
			if got := 1 + p.admissible(c.nanos(at(now))); got != want {
				t.Errorf("routes %v: %d requests admitted, want %d", order, got, want)
			}
			if !p.summaryOverdue.Load() || p.oldestSummaryAt.Load() != c.nanos(at(lastReport)) {
				t.Errorf("routes %v: overdue = %v with the oldest summary at %v", order, p.summaryOverdue.Load(), time.Duration(p.oldestSummaryAt.Load()))
			}
		}
	}
}
