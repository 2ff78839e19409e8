// Package shift controls how fast a route's traffic moves between pools. It
// computes the planned share of each pool from the accepted tables and the time,
// and limits the observed share (Meter) and volume (GrowthLimiter) of a pool's
// traffic whatever moves it.
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

// rampWindowFactor lengthens the time in which a planned share rises by its cap
// beyond the shift window. The margin covers clocks that differ between instances
// by up to a quarter of the window.
const rampWindowFactor = 1.25

// ramp describes how the share of one pool moves to its new weight.
type ramp struct {
	pool string
	// start is the share at acceptance, target the share by weight.
	start  float64
	target float64
	// maxRisePerSecond is the largest rise of the share per second.
	maxRisePerSecond float64
	drained          bool
}

// PlannedShares returns the planned share of each pool of route r at now. A share
// rises by at most the pool's shift cap in any shift window; the pools that lose
// traffic keep what the rising pools may not take yet. The sum is below 1 while
// drained or removed pools have left traffic that no other pool may take yet.
// A route without shares at acceptance starts at its weights. Before
// t.AcceptedAt, PlannedShares returns the shares at acceptance.
func PlannedShares(t *table.Tables, r *table.Route, now time.Time) []PoolShare {
	ramps := routeRamps(t, r)
	elapsed := max(0, now.Sub(t.AcceptedAt).Seconds())
	shares := make([]PoolShare, len(ramps))
	unassigned := 1.0
	totalFall := 0.0
	for _, p := range ramps {
		if !p.drained {
			unassigned -= p.start
			totalFall += max(0, p.start-p.target)
		}
	}
	totalRise := 0.0
	for i, p := range ramps {
		shares[i] = PoolShare{Pool: p.pool, Share: p.start}
		if p.target > p.start {
			rise := min(p.target-p.start, p.maxRisePerSecond*elapsed)
			shares[i].Share += rise
			totalRise += rise
		}
	}
	// Rising shares first take traffic that is assigned to no pool, and only the
	// rest from pools whose shares fall.
	reclaimed := max(0, totalRise-max(0, unassigned))
	for i, p := range ramps {
		switch {
		case p.drained:
			shares[i].Share = 0
		case p.target < p.start && totalFall > 0:
			shares[i].Share -= (p.start - p.target) * min(1, reclaimed/totalFall)
		}
	}
	return shares
}

// Snapshot returns the planned share of each pool of each route at now. It is
// stored as the Shifts of the next version of the tables.
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

// routeRamps returns a ramp for each pool that has a weight or a share at
// acceptance.
func routeRamps(t *table.Tables, r *table.Route) []ramp {
	total := 0
	for _, w := range r.Pools {
		if p := t.Pool(w.Pool); p != nil && !p.Drain {
			total += w.Weight
		}
	}
	var ramps []ramp
	for _, w := range r.Pools {
		p := t.Pool(w.Pool)
		if p == nil || rampIndex(ramps, w.Pool) >= 0 {
			continue
		}
		rp := newRamp(p)
		if total > 0 && !p.Drain {
			rp.target = float64(w.Weight) / float64(total)
		}
		ramps = append(ramps, rp)
	}
	return applyStartShares(t, r, ramps)
}

// applyStartShares sets the shares at acceptance, and adds the pools that the
// route no longer lists but that still have a share.
func applyStartShares(t *table.Tables, r *table.Route, ramps []ramp) []ramp {
	hasShifts := false
	for _, s := range t.Shifts {
		if s.Route != r.Name {
			continue
		}
		hasShifts = true
		i := rampIndex(ramps, s.Pool)
		if p := t.Pool(s.Pool); i < 0 && p != nil && s.Share > 0 {
			ramps = append(ramps, newRamp(p))
			i = len(ramps) - 1
		}
		if i >= 0 {
			ramps[i].start = min(1, max(0, s.Share))
		}
	}
	if !hasShifts {
		for i := range ramps {
			ramps[i].start = ramps[i].target
		}
	}
	return ramps
}

func newRamp(p *table.Pool) ramp {
	shiftCap, window := EffectiveShiftCap(p)
	return ramp{
		pool:             p.Name,
		maxRisePerSecond: shiftCap / (rampWindowFactor * window.Seconds()),
		drained:          p.Drain,
	}
}

// EffectiveShiftCap returns the shift cap and the shift window of p, or their
// defaults where p sets none.
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

// rampIndex returns the index of the ramp of the named pool, or -1.
func rampIndex(ramps []ramp, pool string) int {
	for i := range ramps {
		if ramps[i].pool == pool {
			return i
		}
	}
	return -1
}

// RampEnd returns a time from which the planned shares of t no longer change.
func RampEnd(t *table.Tables) time.Time {
	if len(t.Shifts) == 0 || t.AcceptedAt.IsZero() {
		return t.AcceptedAt
	}
	longest := 0.0
	for i := range t.Pools {
		shiftCap, window := EffectiveShiftCap(&t.Pools[i])
		longest = max(longest, rampWindowFactor*window.Seconds()/shiftCap)
	}
	return t.AcceptedAt.Add(time.Duration(longest * float64(time.Second)))
}
