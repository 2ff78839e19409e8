package steer

import (
	"math"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/shift"
)

// admissionGuard bounds the growth of what this instance admits to a pool.
type admissionGuard struct {
	*shift.Guard
	window time.Duration
	// maxGrowth is the cap as a part of the pool's planned share.
	maxGrowth float64
}

// updateGuard keeps the guard in step with the planned share of a route that the
// pool has. Of several routes the one with the largest share counts.
func (p *pool) updateGuard(now int64, share float64) {
	shiftCap, window := p.shiftLimits()
	next := &admissionGuard{window: window, maxGrowth: math.Inf(1)}
	if share > 0 {
		next.maxGrowth = shiftCap / share
	}
	if old := p.guard.Load(); old != nil && old.window == window {
		next.Guard = old.Guard
	} else {
		next.Guard = shift.NewGuard(window, now)
	}
	p.guard.Store(next)
}

// admit counts one request to the pool's targets here, and reports whether the
// pool may take it.
func (p *pool) admit(now int64) bool {
	g := p.guard.Load()
	return g == nil || g.Take(now, g.maxGrowth*p.reportingShare(), shift.Evidence{Silent: p.summaryOverdue.Load(), Heard: p.oldestSummaryAt.Load()})
}

// reportingShare returns the planned share of the pools whose regions are heard.
// The pool's own share may grow as that falls, and the cap is a smaller part
// of it.
func (p *pool) reportingShare() float64 { return math.Float64frombits(p.reportingShareBits.Load()) }

// undoAdmit gives back one request that got no target.
func (p *pool) undoAdmit() {
	if g := p.guard.Load(); g != nil {
		g.Untake()
	}
}

// zoneStatus is what the zones of a route tell about the time before now.
type zoneStatus struct {
	// overdue is set while a zone of another region is silent.
	overdue bool
	// oldestSummaryAt is when the one heard longest ago was heard last.
	oldestSummaryAt int64
	// reportingShare is the planned share of the pools without a silent zone.
	reportingShare float64
	// localServed and elsewhere are set when instances of this or another region
	// have served for longer than the window.
	localServed bool
	otherServed bool
	// minShare is the smallest share that instances of this region have given to
	// their own pool.
	minShare float64
}

// recompute looks for silent zones, and for what the regions served before this
// instance started. The caller holds the Core's write lock.
func (rt *route) recompute(c *Core, now int64) {
	pl := rt.plan.Load()
	window := pl.maxLocalWindow(c.self.Region)
	nb := c.collectZoneStatus(pl, window, now)
	for i := range pl.entries {
		if p := pl.entries[i].pool; len(p.targets) > 0 {
			p.summaryOverdue.Store(nb.overdue)
			p.oldestSummaryAt.Store(nb.oldestSummaryAt)
			p.reportingShareBits.Store(math.Float64bits(nb.reportingShare))
		}
	}
	if rt.historyApplied {
		return
	}
	switch {
	case nb.localServed:
		pl.resetMeters(c.self.Region, nb.minShare)
	case nb.otherServed:
		// The region has not served: its traffic goes where it went, and
		// returns under the cap.
		pl.resetMeters(c.self.Region, 0)
	}
	rt.historyApplied = nb.localServed || nb.otherServed || now-rt.createdAt > window.Nanoseconds()
}

// collectZoneStatus gathers what is known from the zones of the plan.
func (c *Core) collectZoneStatus(pl *plan, window time.Duration, now int64) zoneStatus {
	nb := zoneStatus{minShare: 1, oldestSummaryAt: math.MaxInt64}
	for i := range pl.entries {
		p := pl.entries[i].pool
		here := p.row.Region == c.self.Region
		silent := false
		if sum := p.peerSummary.Load(); sum != nil {
			nb.add(sum, window, here)
		}
		for _, z := range p.zones {
			sum := z.summary.Load()
			if sum == nil {
				continue
			}
			nb.add(sum, window, here)
			if !here {
				silent = silent || z.overdue(now)
				nb.oldestSummaryAt = min(nb.oldestSummaryAt, z.summaryAt.Load())
			}
		}
		nb.overdue = nb.overdue || silent
		if !silent {
			nb.reportingShare += pl.entries[i].plannedShare
		}
	}
	return nb
}

// add takes in one summary.
func (nb *zoneStatus) add(sum *ZoneSummary, window time.Duration, here bool) {
	switch {
	case sum.Uptime <= window:
	case here:
		nb.localServed = true
		nb.minShare = min(nb.minShare, sum.Share)
	default:
		nb.otherServed = true
	}
}

// maxLocalWindow returns the longest shift window of the region's pools.
func (pl *plan) maxLocalWindow(region string) time.Duration {
	window := time.Duration(0)
	for i := range pl.entries {
		if p := pl.entries[i].pool; p.row.Region == region {
			_, w := p.shiftLimits()
			window = max(window, w)
		}
	}
	return window
}

// resetMeters takes share as what this region's pools got of its arrivals
// before, and the rest as spread over the others by the plan.
func (pl *plan) resetMeters(region string, share float64) {
	local := 0.0
	for i := range pl.entries {
		if pl.entries[i].pool.row.Region == region {
			local += pl.entries[i].plannedShare
		}
	}
	if local <= 0 || local >= 1 {
		return
	}
	for i := range pl.entries {
		pk := &pl.entries[i]
		if pk.pool.row.Region == region {
			pk.meter.Reset(share * pk.plannedShare / local)
		} else {
			pk.meter.Reset((1 - share) * pk.plannedShare / (1 - local))
		}
	}
}
