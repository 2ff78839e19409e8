package steer

import (
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/choice"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spill"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const (
	// maxZonesCompared bounds the zones that one decision considers.
	maxZonesCompared = 8
	// priorFreeFraction is the fraction of a zone's slots that is assumed to be
	// free when nothing is known.
	priorFreeFraction = 0.25
	// zonePause is how long no hops are sent to a zone after it refused one.
	zonePause = 200 * time.Millisecond
	// maxRTTFactor times the assumed round trip bounds the measured one.
	maxRTTFactor = 4
	// duplicateSummaryWindow is the largest time difference at which two
	// summaries are taken to be one that came by two paths.
	duplicateSummaryWindow = 20 * time.Millisecond
	// A summary is overdue when the last one is older than overdueIntervals
	// intervals plus overdueSlack, which covers delays on the path.
	overdueIntervals = 2
	overdueSlack     = 100 * time.Millisecond
	// priorServiceTime is the service time assumed before any has been
	// measured.
	priorServiceTime = 20 * time.Millisecond
)

// zoneStats holds what is known about one pool in another zone.
type zoneStats struct {
	name       string
	sameRegion bool
	summary    atomic.Pointer[ZoneSummary]
	summaryAt  atomic.Int64
	// interval is the mean time between summaries.
	interval choice.MeanDuration
	inFlight atomic.Int64
	// inFlightAtSummary is the value of inFlight when the last summary arrived.
	inFlightAtSummary atomic.Int64
	rtt               choice.Floor
	health            choice.Health
	pausedUntil       atomic.Int64
}

// zone is a zoneStats with the number of slots that the tables give the zone.
type zone struct {
	*zoneStats
	slots int
}

func newZoneStats(name string, sameRegion bool) *zoneStats {
	return &zoneStats{name: name, sameRegion: sameRegion}
}

// observe records the zone's summary. It ignores an older one, and a duplicate,
// whose time may differ a little.
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

// overdue reports whether summaries of the zone have been received and the next
// one is late.
func (z *zoneStats) overdue(now int64) bool {
	interval := z.interval.Value(0)
	return interval > 0 && now-z.summaryAt.Load() > (overdueIntervals*interval+overdueSlack).Nanoseconds()
}

// eligible reports whether hops to the zone are allowed at now.
func (z *zoneStats) eligible(now int64) bool {
	return now >= z.pausedUntil.Load() && !z.health.Ejected(now)
}

// backlog estimates how many requests are queued in the zone; a negative one is
// the number that it can take at once. The last summary is discounted by its
// age, and adjusted for this instance's hops since.
func (z *zone) backlog(now int64) float64 {
	sent := float64(z.inFlight.Load())
	unknown := sent - priorFreeFraction*float64(z.slots)
	summary := z.summary.Load()
	if summary == nil {
		return unknown
	}
	freshness := spill.Freshness(time.Duration(now - z.summaryAt.Load()))
	sent -= float64(z.inFlightAtSummary.Load())
	known := float64(summary.Queued-summary.Free) + sent
	return freshness*known + (1-freshness)*unknown
}

// roundTrip returns the time that a hop adds to the service time. Measurements
// are bounded, so that hops which had to wait do not keep later ones away.
func (z *zoneStats) roundTrip() time.Duration {
	prior := spill.PriorRegionRTT
	if z.sameRegion {
		prior = spill.PriorZoneRTT
	}
	return min(z.rtt.Value(prior), maxRTTFactor*prior)
}

// serviceTime returns the zone's reported service time, or fallback without a
// report.
func (z *zoneStats) serviceTime(fallback time.Duration) time.Duration {
	if summary := z.summary.Load(); summary != nil && summary.LatencyEstimate > 0 {
		return summary.LatencyEstimate
	}
	return fallback
}

// cost estimates what a hop costs beyond a free slot here: the round trip, the
// difference in service time and the wait there.
func (z *zone) cost(now int64, localServiceTime time.Duration) time.Duration {
	remoteServiceTime := z.serviceTime(localServiceTime)
	wait := max(0, z.backlog(now)) * float64(remoteServiceTime) / float64(z.slots)
	return z.roundTrip() + remoteServiceTime - localServiceTime + time.Duration(wait)
}

// recordHop records how a hop ended.
func (z *zoneStats) recordHop(now int64, res Result) {
	z.inFlight.Add(-1)
	switch res.Kind {
	case fault.KindNone:
		z.health.RecordSuccess()
		z.rtt.Observe(res.Latency)
	case fault.KindHopLost, fault.KindHopRefused:
		if z.health.RecordFailure() {
			z.health.Eject(now)
		}
	case fault.KindOverloaded, fault.KindRegionFull, fault.KindShareLapsed,
		fault.KindShiftCapped, fault.KindNoTarget, fault.KindLeaving, fault.KindNotReady:
		z.pausedUntil.Store(now + zonePause.Nanoseconds())
	}
}

// bestZone returns the eligible zone of least cost, or nil; of zones with
// similar costs, the one with the least backlog for its size. Of many zones it
// considers maxZonesCompared from a random start.
func (c *Core) bestZone(p *pool, r *Request, now int64) (*zone, time.Duration) {
	n := len(p.zones)
	if n == 0 {
		return nil, maxDuration
	}
	var best *zone
	bestCost := maxDuration
	bestLoad := 0.0
	localServiceTime := p.serviceTime.Value(priorServiceTime)
	start := int(c.random() % uint64(n))
	for i := range min(n, maxZonesCompared) {
		z := p.zones[(start+i)%n]
		if !z.eligible(now) || r.Excluded(z.name) {
			continue
		}
		cost := z.cost(now, localServiceTime)
		load := z.backlog(now) / float64(z.slots)
		similar := best != nil && cost < bestCost+bestCost/4 && bestCost < cost+cost/4
		if best == nil || (similar && load < bestLoad) || (!similar && cost < bestCost) {
			best, bestCost, bestLoad = z, cost, load
		}
	}
	return best, bestCost
}
