package steer

import (
	"math"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/shift"
)

// growthLimiter bounds the growth of the traffic that this instance admits to
// a pool.
type growthLimiter struct {
	*shift.GrowthLimiter
	window time.Duration
}

// updateGrowthLimiter replaces the limiter when the pool's shift window has
// changed.
func (p *pool) updateGrowthLimiter(now int64) {
	_, window := p.shiftLimits()
	if old := p.growthLimiter.Load(); old != nil && old.window == window {
		return
	}
	p.growthLimiter.Store(&growthLimiter{GrowthLimiter: shift.NewGrowthLimiter(window, now), window: window})
}

// growthBound is what bounds the growth of a pool's traffic. The traffic of
// several routes is counted together, so the strictest of them counts, in
// whatever order they are added.
type growthBound struct {
	// hasRoutes is set once a route has been added.
	hasRoutes bool
	// overdue and oldestSummaryAt are those of zoneStatus.
	overdue         bool
	oldestSummaryAt int64
	// maxGrowth is the largest growth in a shift window, as a fraction.
	maxGrowth float64
}

// add adds the status of a route whose traffic to the pool may grow by
// maxGrowth.
func (b *growthBound) add(status *zoneStatus, maxGrowth float64) {
	if !b.hasRoutes {
		*b = growthBound{hasRoutes: true, oldestSummaryAt: status.oldestSummaryAt, maxGrowth: maxGrowth}
	}
	b.overdue = b.overdue || status.overdue
	b.oldestSummaryAt = min(b.oldestSummaryAt, status.oldestSummaryAt)
	b.maxGrowth = min(b.maxGrowth, maxGrowth)
}

// maxGrowth returns the shift cap as a fraction of the pool's planned share of
// a route. As the planned share of the pools whose regions report in time
// falls, the pool's own share may grow, and the cap is a smaller fraction of it.
func (p *pool) maxGrowth(plannedShare, reportingShare float64) float64 {
	if plannedShare <= 0 {
		return math.Inf(1)
	}
	shiftCap, _ := p.shiftLimits()
	return shiftCap / plannedShare * reportingShare
}

// applyGrowthBound puts the bound of the routes added since the last call in
// force. Without any, the last bound stays.
func (p *poolStats) applyGrowthBound() {
	b := p.nextGrowthBound
	if !b.hasRoutes {
		return
	}
	p.nextGrowthBound = growthBound{}
	p.summaryOverdue.Store(b.overdue)
	p.oldestSummaryAt.Store(b.oldestSummaryAt)
	p.maxGrowthBits.Store(math.Float64bits(b.maxGrowth))
}

// admit counts one request to the pool's targets, and reports whether the
// growth limit allows it.
func (p *pool) admit(now int64) bool {
	limiter := p.growthLimiter.Load()
	if limiter == nil {
		return true
	}
	maxGrowth := math.Float64frombits(p.maxGrowthBits.Load())
	return limiter.Admit(now, maxGrowth, shift.RegionReports{Overdue: p.summaryOverdue.Load(), OldestReceived: p.oldestSummaryAt.Load()})
}

// cancelAdmit undoes the count of an admitted request that was not dispatched.
func (p *pool) cancelAdmit() {
	if limiter := p.growthLimiter.Load(); limiter != nil {
		limiter.CancelAdmit()
	}
}

// zoneStatus sums up the summaries of a route's zones.
type zoneStatus struct {
	// overdue is set while the summary of a zone in another region is overdue.
	overdue bool
	// oldestSummaryAt is the time of the oldest of the last summaries from
	// other regions.
	oldestSummaryAt int64
	// reportingShare is the planned share of the pools without overdue
	// summaries.
	reportingShare float64
	// localServed and otherServed are set when instances of this region or of
	// another one have served for longer than the shift window.
	localServed bool
	otherServed bool
	// minShare is the smallest share of their arrivals that instances of this
	// region have given to their own pool.
	minShare float64
}

// applyZoneStatus adds the route's zone status to the growth bounds of its pools.
// Until historyApplied is set, it also resets the meters to what the regions
// served before this instance started. The caller holds the Core's write lock.
func (rt *route) applyZoneStatus(c *Core, now int64) {
	pl := rt.plan.Load()
	window := pl.maxLocalWindow(c.self.Region)
	status := c.collectZoneStatus(pl, window, now)
	for i := range pl.entries {
		if p := pl.entries[i].pool; len(p.targets) > 0 {
			p.nextGrowthBound.add(&status, p.maxGrowth(pl.entries[i].plannedShare, status.reportingShare))
		}
	}
	if rt.historyApplied {
		return
	}
	switch {
	case status.localServed:
		pl.resetMeters(c.self.Region, status.minShare)
	case status.otherServed:
		// The region has not served: its traffic went elsewhere, and returns
		// under the cap.
		pl.resetMeters(c.self.Region, 0)
	}
	rt.historyApplied = status.localServed || status.otherServed || now-rt.createdAt > window.Nanoseconds()
}

// collectZoneStatus evaluates the summaries of the zones of the plan.
func (c *Core) collectZoneStatus(pl *plan, window time.Duration, now int64) zoneStatus {
	status := zoneStatus{minShare: 1, oldestSummaryAt: math.MaxInt64}
	for i := range pl.entries {
		p := pl.entries[i].pool
		local := p.row.Region == c.self.Region
		overdue := false
		if summary := p.peerSummary.Load(); summary != nil {
			status.add(summary, window, local)
		}
		for _, z := range p.zones {
			summary := z.summary.Load()
			if summary == nil {
				continue
			}
			status.add(summary, window, local)
			if !local {
				overdue = overdue || z.overdue(now)
				status.oldestSummaryAt = min(status.oldestSummaryAt, z.summaryAt.Load())
			}
		}
		status.overdue = status.overdue || overdue
		if !overdue {
			status.reportingShare += pl.entries[i].plannedShare
		}
	}
	return status
}

// add evaluates one summary.
func (s *zoneStatus) add(summary *ZoneSummary, window time.Duration, local bool) {
	switch {
	case summary.Uptime <= window:
	case local:
		s.localServed = true
		s.minShare = min(s.minShare, summary.Share)
	default:
		s.otherServed = true
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

// resetMeters sets the meters as if the region's pools had received share of
// the arrivals so far, and the other pools the rest, in proportion to the plan.
func (pl *plan) resetMeters(region string, share float64) {
	localShare := 0.0
	for i := range pl.entries {
		if pl.entries[i].pool.row.Region == region {
			localShare += pl.entries[i].plannedShare
		}
	}
	if localShare <= 0 || localShare >= 1 {
		return
	}
	for i := range pl.entries {
		entry := &pl.entries[i]
		if entry.pool.row.Region == region {
			entry.meter.Reset(share * entry.plannedShare / localShare)
		} else {
			entry.meter.Reset((1 - share) * entry.plannedShare / (1 - localShare))
		}
	}
}
