// Package shift computes how a route's traffic moves between pools: the
// planned share of each pool as a function of the accepted tables and the
// time, and a meter that holds the observed share of a pool under its cap
// whatever moves the traffic.
package shift

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// PoolShare is the fraction of a route's traffic that a pool gets, from 0 to 1.
type PoolShare struct {
	Pool  string
	Share float64
}

// rampStretch lengthens the window over which a planned share rises by its
// cap. The rest of the window covers clocks that differ between instances by
// up to a quarter of the window.
const rampStretch = 1.25

// ramp is the state of one pool while shares move to new weights.
type ramp struct {
	pool   string
	start  float64
	target float64
	// perSecond is the largest rise per second.
	perSecond float64
	drained   bool
}

// PlannedShares returns the planned share of each pool of route r at now. Every
// share rises by at most the pool's shift cap in any shift window; the other
// pools keep what the rising ones can't take yet. The sum is below 1 while
// drained or removed pools have left traffic that no pool may take yet.
// A route without shares at acceptance starts at its weights. Before
// t.AcceptedAt the shares at acceptance are returned.
func PlannedShares(t *table.Tables, r *table.Route, now time.Time) []PoolShare {
	ramps := rampsOf(t, r)
	elapsed := max(0, now.Sub(t.AcceptedAt).Seconds())
	shares := make([]PoolShare, len(ramps))
	withheld := 1.0
	excess := 0.0
	for _, p := range ramps {
		if !p.drained {
			withheld -= p.start
			excess += max(0, p.start-p.target)
		}
	}
	risen := 0.0
	for i, p := range ramps {
		shares[i] = PoolShare{Pool: p.pool, Share: p.start}
		if p.target > p.start {
			rise := min(p.target-p.start, p.perSecond*elapsed)
			shares[i].Share += rise
			risen += rise
		}
	}
	// What rises comes first out of traffic that no pool takes.
	given := max(0, risen-max(0, withheld))
	for i, p := range ramps {
		switch {
		case p.drained:
			shares[i].Share = 0
		case p.target < p.start && excess > 0:
			shares[i].Share -= (p.start - p.target) * min(1, given/excess)
		}
	}
	return shares
}

// Snapshot returns the share of each pool of each route at now, for the
// Shifts of the next version.
func Snapshot(t *table.Tables, now time.Time) []table.Shift {
	var shifts []table.Shift
	for i := range t.Routes {
		r := &t.Routes[i]
		for _, s := range PlannedShares(t, r, now) {
			shifts = append(shifts, table.Shift{Route: r.Name, Pool: s.Pool, Share: s.Share})
		}
	}
	return shifts
}

// rampsOf lists the pools that have a weight or a share at acceptance.
func rampsOf(t *table.Tables, r *table.Route) []ramp {
	total := 0
	for _, w := range r.Pools {
		if p := t.Pool(w.Pool); p != nil && !p.Drain {
			total += w.Weight
		}
	}
	var ramps []ramp
	for _, w := range r.Pools {
		p := t.Pool(w.Pool)
		if p == nil || indexOf(ramps, w.Pool) >= 0 {
			continue
		}
		rp := newRamp(p)
		if total > 0 && !p.Drain {
			rp.target = float64(w.Weight) / float64(total)
		}
		ramps = append(ramps, rp)
	}
	return startRamps(t, r, ramps)
}

// startRamps fills in the shares at acceptance and adds the pools that the
// route no longer names but that still have a share.
func startRamps(t *table.Tables, r *table.Route, ramps []ramp) []ramp {
	known := false
	for _, s := range t.Shifts {
		if s.Route != r.Name {
			continue
		}
		known = true
		i := indexOf(ramps, s.Pool)
		if p := t.Pool(s.Pool); i < 0 && p != nil && s.Share > 0 {
			ramps = append(ramps, newRamp(p))
			i = len(ramps) - 1
		}
		if i >= 0 {
			ramps[i].start = min(1, max(0, s.Share))
		}
	}
	if !known {
		for i := range ramps {
			ramps[i].start = ramps[i].target
		}
	}
	return ramps
}

func newRamp(p *table.Pool) ramp {
	shiftCap, window := EffectiveShiftCap(p)
	return ramp{
		pool:      p.Name,
		perSecond: shiftCap / (rampStretch * window.Seconds()),
		drained:   p.Drain,
	}
}

// EffectiveShiftCap returns the shift cap and window of p, with the defaults filled in.
func EffectiveShiftCap(p *table.Pool) (float64, time.Duration) {
	shiftCap, window := p.ShiftCap, p.ShiftWindow.Std()
	if shiftCap <= 0 {
		shiftCap = table.DefaultShiftCap
	}
	if window <= 0 {
		window = table.DefaultShiftWindow
	}
	return shiftCap, window
}

func indexOf(ramps []ramp, pool string) int {
	for i := range ramps {
		if ramps[i].pool == pool {
			return i
		}
	}
	return -1
}

// RampEnd returns the time from which the shares of t no longer change.
func RampEnd(t *table.Tables) time.Time {
	if len(t.Shifts) == 0 || t.AcceptedAt.IsZero() {
		return t.AcceptedAt
	}
	longest := 0.0
	for i := range t.Pools {
		shiftCap, window := EffectiveShiftCap(&t.Pools[i])
		longest = max(longest, rampStretch*window.Seconds()/shiftCap)
	}
	return t.AcceptedAt.Add(time.Duration(longest * float64(time.Second)))
}
