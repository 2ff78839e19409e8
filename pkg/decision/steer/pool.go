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

// utilisationWeight is the weight of one review in the smoothed utilisation.
const utilisationWeight = 0.3

// poolStats is what this instance has seen of one pool. It outlives table
// changes.
type poolStats struct {
	name    string
	service choice.MeanDuration
	// slots is the number of usable local slots at the last review.
	slots atomic.Int64
	// spilling is set while the pool's targets here are past the threshold.
	spilling  atomic.Bool
	threshold atomic.Uint64
	// utilisation is smoothed over reviews; only review uses it.
	utilisation float64

	guard atomic.Pointer[guard]
	// suspect is set while traffic may have moved here from another region.
	suspect atomic.Bool
	// heard is when the other regions were all heard last.
	heard atomic.Int64
	// heardPart is the planned share of the pools whose regions are heard.
	heardPart atomic.Uint64
	// peers is the last summary of this zone's other instances.
	peers atomic.Pointer[ZoneSummary]

	queued atomic.Int64
	// The rest is guarded by the lock of the waiting requests.
	queue   *queue.Queue
	listed  bool
	blocked bool
}

func newPoolStats(name string) *poolStats {
	return &poolStats{name: name, queue: queue.New(maxQueued)}
}

// review computes the usable slots, and whether the pool is past the
// utilisation at which another zone costs less.
func (p *pool) review(now int64) {
	usable, inFlight := p.localSlots(now)
	p.slots.Store(usable)
	if usable == 0 {
		p.spilling.Store(false)
		return
	}
	p.utilisation += utilisationWeight * (float64(inFlight)/float64(usable) - p.utilisation)
	extra, ok := p.cheapestZone(now)
	if !ok {
		p.spilling.Store(false)
		return
	}
	limit := spill.Threshold(int(usable), p.service.Value(priorService), extra)
	p.threshold.Store(math.Float64bits(limit))
	switch {
	case p.utilisation >= limit:
		p.spilling.Store(true)
	case p.utilisation < limit-spill.Hysteresis:
		p.spilling.Store(false)
	}
}

// cheapestZone returns the least cost of an open zone.
func (p *pool) cheapestZone(now int64) (time.Duration, bool) {
	found := false
	var least time.Duration
	local := p.service.Value(priorService)
	for _, z := range p.zones {
		if !z.open(now) {
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
	slots := max(1, p.slots.Load())
	return time.Duration(float64(ahead+1) * float64(p.service.Value(priorService)) / float64(slots))
}

// past reports whether local work should make room: the pool spills and its
// slots in use are at the threshold.
func (p *pool) past(now int64) bool {
	if !p.spilling.Load() {
		return false
	}
	usable, inFlight := p.localSlots(now)
	limit := math.Float64frombits(p.threshold.Load()) - spill.Hysteresis
	return float64(inFlight) >= limit*float64(usable)
}
