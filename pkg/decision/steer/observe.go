package steer

import (
	"cmp"
	"slices"
	"time"
)

// ObserveLoad records a target's report or a failed probe.
func (c *Core) ObserveLoad(now time.Time, rep LoadReport) {
	if s, ok := c.snapshot.Load().targetStats[rep.Target]; ok {
		s.applyReport(c.nanos(now), c.nanos(rep.At), &rep)
		if rep.Healthy || rep.Incarnation != "" {
			c.orphans.releaseBefore(s, c.nanos(rep.At))
		}
		// What the target reports beyond the requests that count as own ones counts as others'.
		s.applyProbe(c.nanos(now), &rep)
	}
}

// ObserveZone records the summary of another zone, or the combined one of the
// other instances of this zone. A time after now counts as now.
func (c *Core) ObserveZone(now time.Time, summary ZoneSummary) {
	p, ok := c.snapshot.Load().pools[summary.Pool]
	if !ok {
		return
	}
	if summary.Zone == c.self.Zone {
		p.peerSummary.Store(&summary)
		return
	}
	for _, z := range p.zones {
		if z.name == summary.Zone {
			z.observe(min(c.nanos(now), c.nanos(summary.At)), summary)
		}
	}
}

// Summaries returns this instance's contribution to the headroom of its zone,
// ordered by pool.
func (c *Core) Summaries(now time.Time) []ZoneSummary {
	snap := c.snapshot.Load()
	ns := c.nanos(now)
	var summaries []ZoneSummary
	for _, p := range snap.pools {
		if len(p.targets) == 0 {
			continue
		}
		summary := ZoneSummary{
			Zone: c.self.Zone, Pool: p.name, At: now,
			Queued: int(p.queued.Load()), LatencyEstimate: p.serviceTime.Value(priorServiceTime),
			Uptime: time.Duration(ns), Share: snap.lowestShare(p, ns),
		}
		if now.Before(snap.expires) {
			usable, inFlight := p.slotUsage(ns)
			summary.Slots, summary.Free = int(usable), int(usable-inFlight)
			summary.Free = min(summary.Free, int(p.region.share.Load()-p.region.inFlight.Load()))
		}
		summaries = append(summaries, summary)
	}
	slices.SortFunc(summaries, func(a, b ZoneSummary) int { return cmp.Compare(a.Pool, b.Pool) })
	return summaries
}

// lowestShare returns the smallest share of a route's arrivals that this
// instance gave to the pool within the last window. It is 1 before the instance
// has served for a window.
func (snap *snapshot) lowestShare(p *pool, now int64) float64 {
	share := 1.0
	if _, window := p.shiftLimits(); now <= window.Nanoseconds() {
		return share
	}
	for _, rt := range snap.routes {
		for _, entry := range rt.plan.Load().entries {
			if entry.pool == p {
				share = min(share, entry.meter.LowestShare())
			}
		}
	}
	return share
}

// TargetDemand is the use of this instance's share of a target's slots.
type TargetDemand struct {
	Target string
	Pool   string
	Share  int
	InUse  int
}

// RegionDemand is the use of this instance's share of a region's limit.
type RegionDemand struct {
	Region string
	Share  int
	InUse  int
	// Waiting is the number of requests queued for pools of the region.
	Waiting int
}

// PoolDemand is the number of requests queued for a pool in this zone. Any
// target of the pool can serve them.
type PoolDemand struct {
	Pool    string
	Waiting int
}

// Demand describes which shares are in use, idle and missing.
type Demand struct {
	Targets []TargetDemand
	Pools   []PoolDemand
	Regions []RegionDemand
}

// Demand returns the demand of this instance, ordered by name, for targets and
// pools with targets in this zone. Removed targets are listed while they have
// requests in flight.
func (c *Core) Demand() Demand {
	snap := c.snapshot.Load()
	var d Demand
	byRegion := make(map[string]int)
	for _, p := range snap.pools {
		if len(p.targets) == 0 {
			continue
		}
		waiting := int(p.queued.Load())
		byRegion[p.region.name] += waiting
		d.Pools = append(d.Pools, PoolDemand{Pool: p.name, Waiting: waiting})
	}
	for name, s := range snap.targetStats {
		td := TargetDemand{Target: name, Share: int(s.share.Load()), InUse: int(s.inFlight.Load())}
		t, ok := snap.targets[name]
		if ok && t.row.Zone != c.self.Zone || !ok && td.InUse == 0 {
			continue
		}
		if ok {
			td.Pool = t.pool
		}
		d.Targets = append(d.Targets, td)
	}
	for name, reg := range snap.regions {
		d.Regions = append(d.Regions, RegionDemand{
			Region: name, Share: int(reg.share.Load()), InUse: int(reg.inFlight.Load()), Waiting: byRegion[name],
		})
	}
	slices.SortFunc(d.Targets, func(a, b TargetDemand) int { return cmp.Compare(a.Target, b.Target) })
	slices.SortFunc(d.Pools, func(a, b PoolDemand) int { return cmp.Compare(a.Pool, b.Pool) })
	slices.SortFunc(d.Regions, func(a, b RegionDemand) int { return cmp.Compare(a.Region, b.Region) })
	return d
}
