package steer

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/choice"
	"github.com/jacinthramp/jacinthramp/pkg/decision/queue"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spill"
)

// maxQueued bounds the requests queued for one pool at one instance.
const maxQueued = 1024

// utilisationSampleWeight is the weight of one sample in the smoothed
// utilisation.
const utilisationSampleWeight = 0.3

// poolStats holds this instance's counters and estimates for one pool across
// table changes.
type poolStats struct {
	name        string
	serviceTime choice.MeanDuration
	// usableSlots is the number of usable local slots at the last recompute.
	usableSlots atomic.Int64
	// spilling is set while the local utilisation is above spillThreshold.
	spilling       atomic.Bool
	spillThreshold atomic.Uint64
	// utilisation is smoothed over recomputes. Only recompute uses it.
	utilisation float64

	growthLimiter atomic.Pointer[growthLimiter]
	// summaryOverdue is set while a summary from another region is overdue:
	// traffic may have moved here from there.
	summaryOverdue atomic.Bool
	// oldestSummaryAt is the time of the oldest of the last summaries from
	// other regions.
	oldestSummaryAt atomic.Int64
	// maxGrowthBits holds the largest growth of the pool's traffic in a shift
	// window, as a fraction.
	maxGrowthBits atomic.Uint64
	// nextGrowthBound sums up the routes' zone status. Only Core.recompute uses
	// it.
	nextGrowthBound growthBound
	// peerSummary is the last combined summary of the other instances of this
	// zone.
	peerSummary atomic.Pointer[ZoneSummary]

	// reportsWork is set once a target has reported how long work takes there.
	reportsWork atomic.Bool

	queued atomic.Int64
	// The fields below are guarded by the mutex of the Core's waitQueues.
	queue        *queue.Queue
	inWaitQueues bool
	blocked      bool
	// room is set if queue is the waiting room of a service.
	room *room
}

func newPoolStats(name string) *poolStats {
	return &poolStats{name: name, queue: queue.New(maxQueued)}
}

// recompute updates the usable slots, the spill threshold and whether the pool
// spills.
func (p *pool) recompute(now int64) {
	usable, inFlight := p.slotUsage(now)
	p.usableSlots.Store(usable)
	if usable == 0 {
		p.spilling.Store(false)
		return
	}
	p.utilisation += utilisationSampleWeight * (float64(inFlight)/float64(usable) - p.utilisation)
	hopCost, ok := p.minZoneCost(now)
	if !ok {
		p.spilling.Store(false)
		return
	}
	limit := spill.Threshold(int(usable), p.serviceTime.Value(priorServiceTime), hopCost)
	p.spillThreshold.Store(math.Float64bits(limit))
	switch {
	case p.utilisation >= limit:
		p.spilling.Store(true)
	case p.utilisation < limit-spill.Hysteresis:
		p.spilling.Store(false)
	}
}

// minZoneCost returns the least cost of an eligible zone.
func (p *pool) minZoneCost(now int64) (time.Duration, bool) {
	found := false
	var least time.Duration
	localServiceTime := p.serviceTime.Value(priorServiceTime)
	for _, z := range p.zones {
		if !z.eligible(now) {
			continue
		}
		if cost := z.cost(now, localServiceTime); !found || cost < least {
			least, found = cost, true
		}
	}
	return least, found
}

// expectedWait estimates the wait of a request that has ahead others before it.
// Without usable slots it assumes one.
func (p *poolStats) expectedWait(ahead int) time.Duration {
	slots := max(1, p.usableSlots.Load())
	return time.Duration(float64(ahead+1) * float64(p.serviceTime.Value(priorServiceTime)) / float64(slots))
}

// aboveSpillThreshold reports whether requests should be forwarded first: the
// pool spills and its slots in use are at the threshold.
func (p *pool) aboveSpillThreshold(now int64) bool {
	if !p.spilling.Load() {
		return false
	}
	usable, inFlight := p.slotUsage(now)
	limit := math.Float64frombits(p.spillThreshold.Load()) - spill.Hysteresis
	return float64(inFlight) >= limit*float64(usable)
}
