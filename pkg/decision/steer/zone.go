package steer

import (
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/choice"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spill"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const (
	// maxZonesCompared bounds the zones that one decision looks at.
	maxZonesCompared = 8
	// priorFreeFraction is the part of a zone's slots that is taken to be free when
	// nothing is known.
	priorFreeFraction = 0.25
	// zonePause keeps hops from a zone that has just refused one.
	zonePause = 200 * time.Millisecond
	// maxRTTFactor times the prior is the longest round trip that is believed.
	maxRTTFactor = 4
	// duplicateSummaryWindow is how far the times of two summaries may be apart at which
	// they are taken to be one that came by two ways.
	duplicateSummaryWindow = 20 * time.Millisecond
	// A zone is silent when its summary is late by so many intervals and so
	// much for the delays on the way.
	overdueIntervals = 2
	overdueSlack     = 100 * time.Millisecond
	// priorServiceTime is the service time assumed before any was seen.
	priorServiceTime = 20 * time.Millisecond
)

// zoneStats is what is known about one pool in another zone.
type zoneStats struct {
	name       string
	sameRegion bool
	summary    atomic.Pointer[ZoneSummary]
	summaryAt  atomic.Int64
	// interval is the usual time between summaries.
	interval choice.Mean
	inFlight atomic.Int64
	// inFlightAtSummary is the part of inFlight that the last summary knew of.
	inFlightAtSummary atomic.Int64
	rtt               choice.Floor
	health            choice.Health
	pausedUntil       atomic.Int64
}

// zone is a zoneStats with the slots that the tables give it.
type zone struct {
	*zoneStats
	slots int
}

func newZoneStats(name string, sameRegion bool) *zoneStats {
	return &zoneStats{name: name, sameRegion: sameRegion}
}

// observe takes in the zone's summary. An older one than the last is ignored,
// and so is the same one again, whose time may differ a little.
func (z *zoneStats) observe(at int64, summary ZoneSummary) {
	if z.summary.Load() != nil && at <= z.summaryAt.Load()+duplicateSummaryWindow.Nanoseconds() {
		return
	}
	if last := z.summaryAt.Load(); last > 0 {
		z.interval.Observe(min(time.Duration(at-last), overdueIntervals*z.interval.Value(time.Hour)))
	}
	z.summary.Store(&summary)
	z.summaryAt.Store(at)
	z.inFlightAtSummary.Store(z.inFlight.Load())
}

// overdue reports whether the zone has been heard before and is late now.
func (z *zoneStats) overdue(now int64) bool {
	interval := z.interval.Value(0)
	return interval > 0 && now-z.summaryAt.Load() > (overdueIntervals*interval+overdueSlack).Nanoseconds()
}

// eligible reports whether hops to the zone are allowed at now.
func (z *zoneStats) eligible(now int64) bool {
	return now >= z.pausedUntil.Load() && !z.health.Ejected(now)
}

// backlog estimates how many requests wait in the zone; below zero it is the
// number that it can take at once. A report is discounted by its age, and
// moved on by what this instance has sent since and has had back.
func (z *zone) backlog(now int64) float64 {
	sent := float64(z.inFlight.Load())
	unknown := sent - priorFreeFraction*float64(z.slots)
	summary := z.summary.Load()
	if summary == nil {
		return unknown
	}
	fresh := spill.Freshness(time.Duration(now - z.summaryAt.Load()))
	sent -= float64(z.inFlightAtSummary.Load())
	known := float64(summary.Queued-summary.Free) + sent
	return fresh*known + (1-fresh)*unknown
}

// roundTrip returns the time that a hop adds to the service time. What was
// measured counts up to a few times the prior: hops that had to wait there
// must not keep later ones away.
func (z *zoneStats) roundTrip() time.Duration {
	prior := spill.PriorRegionRTT
	if z.sameRegion {
		prior = spill.PriorZoneRTT
	}
	return min(z.rtt.Value(prior), maxRTTFactor*prior)
}

// serviceTime returns the zone's reported service time.
func (z *zoneStats) serviceTime(fallback time.Duration) time.Duration {
	if summary := z.summary.Load(); summary != nil && summary.LatencyEstimate > 0 {
		return summary.LatencyEstimate
	}
	return fallback
}

// cost estimates what a hop to the zone costs beyond a free slot here: the
// round trip, the difference in service time and the wait there.
func (z *zone) cost(now int64, local time.Duration) time.Duration {
	service := z.serviceTime(local)
	wait := max(0, z.backlog(now)) * float64(service) / float64(z.slots)
	return z.roundTrip() + service - local + time.Duration(wait)
}

// recordHop takes in how a hop ended.
func (z *zoneStats) recordHop(now int64, res Result) {
	z.inFlight.Add(-1)
	switch res.Kind {
	case fault.KindNone:
		z.health.Succeeded()
		z.rtt.Observe(res.Latency)
	case fault.KindHopLost, fault.KindHopRefused:
		if z.health.Failed() {
			z.health.Eject(now)
		}
	case fault.KindOverloaded, fault.KindRegionFull, fault.KindShareLapsed,
		fault.KindShiftCapped, fault.KindNoTarget, fault.KindLeaving, fault.KindNotReady:
		z.pausedUntil.Store(now + zonePause.Nanoseconds())
	}
}

// bestZone returns the open zone of least cost, or nil; of those that cost
// about the same, the one with the least backlog for its size. Of many zones
// it looks at a random run of maxZonesCompared.
func (c *Core) bestZone(p *pool, r *Request, now int64) (*zone, time.Duration) {
	n := len(p.zones)
	if n == 0 {
		return nil, maxDuration
	}
	var best *zone
	bestCost := maxDuration
	bestLoad := 0.0
	local := p.serviceTime.Value(priorServiceTime)
	start := int(c.random() % uint64(n))
	for i := range min(n, maxZonesCompared) {
		z := p.zones[(start+i)%n]
		if !z.eligible(now) || r.Excluded(z.name) {
			continue
		}
		cost := z.cost(now, local)
		load := z.backlog(now) / float64(z.slots)
		similar := best != nil && cost < bestCost+bestCost/4 && bestCost < cost+cost/4
		if best == nil || (similar && load < bestLoad) || (!similar && cost < bestCost) {
			best, bestCost, bestLoad = z, cost, load
		}
	}
	return best, bestCost
}
