package steer

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/choice"
	"github.com/jacinthramp/jacinthramp/pkg/decision/queue"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spill"
)

// maxQueued bounds the requests that wait for one pool at one instance.
const maxQueued = 1024

// utilisationSampleWeight is the weight of one review in the smoothed utilisation.
const utilisationSampleWeight = 0.3

// poolStats is what this instance has seen of one pool. It outlives table
// changes.
type poolStats struct {
	name        string
	serviceTime choice.Mean
	// usableSlots is the number of usable local slots at the last review.
	usableSlots atomic.Int64
	// spilling is set while the pool's targets here are past the threshold.
	spilling       atomic.Bool
	spillThreshold atomic.Uint64
	// utilisation is smoothed over reviews; only review uses it.
	utilisation float64

	guard atomic.Pointer[admissionGuard]
	// summaryOverdue is set while traffic may have moved here from another region.
	summaryOverdue atomic.Bool
	// oldestSummaryAt is when the other regions were all heard last.
	oldestSummaryAt atomic.Int64
	// reportingShareBits is the planned share of the pools whose regions are heard.
	reportingShareBits atomic.Uint64
	// peerSummary is the last summary of this zone's other instances.
	peerSummary atomic.Pointer[ZoneSummary]

	queued atomic.Int64
	// The rest is guarded by the lock of the waiting requests.
	queue        *queue.Queue
	inWaitQueues bool
	blocked      bool
}

func newPoolStats(name string) *poolStats {
	return &poolStats{name: name, queue: queue.New(maxQueued)}
}

// recompute computes the usable slots, and whether the pool is past the
// utilisation at which another zone costs less.
func (p *pool) recompute(now int64) {
	usable, inFlight := p.slotUsage(now)
	p.usableSlots.Store(usable)
	if usable == 0 {
		p.spilling.Store(false)
		return
	}
	p.utilisation += utilisationSampleWeight * (float64(inFlight)/float64(usable) - p.utilisation)
	extra, ok := p.minZoneCost(now)
	if !ok {
		p.spilling.Store(false)
		return
	}
	limit := spill.Threshold(int(usable), p.serviceTime.Value(priorServiceTime), extra)
	p.spillThreshold.Store(math.Float64bits(limit))
	switch {
	case p.utilisation >= limit:
		p.spilling.Store(true)
	case p.utilisation < limit-spill.Hysteresis:
		p.spilling.Store(false)
	}
}

// minZoneCost returns the least cost of an open zone.
func (p *pool) minZoneCost(now int64) (time.Duration, bool) {
	found := false
	var least time.Duration
	local := p.serviceTime.Value(priorServiceTime)
	for _, z := range p.zones {
		if !z.eligible(now) {
			continue
		}
		if cost := z.cost(now, local); !found || cost < least {
			least, found = cost, true
		}
	}
	return least, found
}

// expectedWait estimates the wait of a request behind ahead others. Without a
// share it is taken that one slot will come.
func (p *poolStats) expectedWait(ahead int) time.Duration {
	slots := max(1, p.usableSlots.Load())
	return time.Duration(float64(ahead+1) * float64(p.serviceTime.Value(priorServiceTime)) / float64(slots))
}

// aboveSpillThreshold reports whether local work should make room: the pool spills and its
// slots in use are at the threshold.
func (p *pool) aboveSpillThreshold(now int64) bool {
	if !p.spilling.Load() {
		return false
	}
	usable, inFlight := p.slotUsage(now)
	limit := math.Float64frombits(p.spillThreshold.Load()) - spill.Hysteresis
	return float64(inFlight) >= limit*float64(usable)
}
