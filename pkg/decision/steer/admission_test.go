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
