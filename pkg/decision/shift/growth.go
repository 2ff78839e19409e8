package shift

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// rateGrowthFactor times the growth allowed per window is the fraction by which
// the rate may exceed its mean over the previous window. A rate that stays at
// this limit grows by less than the allowed growth in any window.
const rateGrowthFactor = 0.3

// burstDeviations is the number of standard deviations (square roots of the
// allowed count) by which arrivals may exceed the limit as a burst before they
// count as growth.
const burstDeviations = 1

// limitStep is the fraction by which the limit is raised when all other regions
// have reported since the limit was first exceeded.
const limitStep = 0.05

// GrowthLimiter limits how fast the requests that one instance admits to a pool
// may grow while the growth may be traffic that has left another region: the
// callers of a failed region move to instances that would serve them from their
// own region's pool. Such a move shows in the volume of requests, not in the
// shares. A GrowthLimiter is safe for concurrent use.
type GrowthLimiter struct {
	bucketLength time.Duration

	// bucketEnd is the end of the current bucket, in nanoseconds.
	bucketEnd atomic.Int64
	// baseRate holds the float64 bits of the rate that the limit is based on, in
	// requests per nanosecond.
	baseRate atomic.Uint64
	// admitted counts the requests admitted in the current bucket.
	admitted atomic.Int64
	// exceededAt is when the current limit was first exceeded, or zero.
	exceededAt atomic.Int64

	mu sync.Mutex
	// pastRates holds the rates of the buckets of the last window.
	pastRates     [bucketsPerWindow]float64
	filledBuckets int
	nextBucket    int
	// raiseFactor is the factor by which allowed growth has raised the limit.
	raiseFactor float64
}

// NewGrowthLimiter returns a limiter over window. It starts without history, so
// it admits everything during the first window. start is in nanoseconds, on the
// scale of the times passed to Admit.
func NewGrowthLimiter(window time.Duration, start int64) *GrowthLimiter {
	g := &GrowthLimiter{bucketLength: window / bucketsPerWindow, raiseFactor: 1}
	g.bucketEnd.Store(start + g.bucketLength.Nanoseconds())
	g.baseRate.Store(math.Float64bits(math.Inf(1)))
	return g
}

// RegionReports describes how recent the reports of the other regions are.
type RegionReports struct {
	// Overdue is set while the reports of some regions are overdue.
	Overdue bool
	// OldestReceived is the earliest of the times at which the regions' latest
	// reports were received.
	OldestReceived int64
}

// Admit counts one request at now and reports whether it may be admitted. It
// returns false, and does not count the request, once the rate has grown by more
// than growth, a fraction per window, unless all other regions have reported
// since: then none of them has lost its traffic. Infinite growth admits
// everything. Call CancelAdmit for a request
// that is not admitted in the end.
func (g *GrowthLimiter) Admit(now int64, growth float64, reports RegionReports) bool {
	end := g.bucketEnd.Load()
	if now >= end {
		g.rollBucket(now)
		end = g.bucketEnd.Load()
	}
	admitted := float64(g.admitted.Add(1))
	elapsed := max(0, now-end+g.bucketLength.Nanoseconds())
	allowed := allowedCount(math.Float64frombits(g.baseRate.Load()), growth, elapsed)
	if admitted <= allowed+1 {
		return true
	}
	if !reports.Overdue && g.allowExcess(now, admitted-allowed, allowed, reports.OldestReceived) {
		return true
	}
	g.admitted.Add(-1)
	return false
}

// allowedCount returns the number of requests allowed in the elapsed nanoseconds
// of a bucket. Without a base rate or with unlimited growth it is infinite, also
// where the other factors are zero.
func allowedCount(baseRate, growth float64, elapsed int64) float64 {
	if math.IsInf(baseRate, 1) || math.IsInf(growth, 1) {
		return math.Inf(1)
	}
	return baseRate * (1 + rateGrowthFactor*growth) * float64(elapsed)
}

// allowExcess reports whether requests above the limit are a burst, or are growth
// that began before the latest reports of all other regions. Such growth raises
// the limit by limitStep.
func (g *GrowthLimiter) allowExcess(now int64, excess, allowed float64, oldestReceived int64) bool {
	if excess <= 1+burstDeviations*math.Sqrt(allowed) {
		return true
	}
	if g.exceededAt.CompareAndSwap(0, now) {
		return false
	}
	exceededAt := g.exceededAt.Load()
	return oldestReceived > exceededAt && g.raiseLimit(exceededAt)
}

// raiseLimit raises the limit that was first exceeded at exceededAt by limitStep.
// It reports false when that limit has been replaced since.
func (g *GrowthLimiter) raiseLimit(exceededAt int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if exceededAt == 0 || g.exceededAt.Load() != exceededAt {
		return false
	}
	g.raiseFactor *= 1 + limitStep
	g.baseRate.Store(math.Float64bits(math.Float64frombits(g.baseRate.Load()) * (1 + limitStep)))
	g.exceededAt.Store(0)
	return true
}

// CancelAdmit undoes Admit for one request that was not admitted in the end.
func (g *GrowthLimiter) CancelAdmit() { g.admitted.Add(-1) }

// rollBucket closes the current bucket if it has ended and starts the next one.
func (g *GrowthLimiter) rollBucket(now int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	end := g.bucketEnd.Load()
	if now < end {
		return
	}
	length := float64(now - end + g.bucketLength.Nanoseconds())
	if float64(g.admitted.Load()) <= math.Float64frombits(g.baseRate.Load())*length {
		g.exceededAt.Store(0)
	}
	g.pastRates[g.nextBucket] = float64(g.admitted.Load()) / length
	g.nextBucket = (g.nextBucket + 1) % bucketsPerWindow
	g.filledBuckets = min(g.filledBuckets+1, bucketsPerWindow)
	if g.filledBuckets == bucketsPerWindow {
		sum := 0.0
		for _, rate := range g.pastRates {
			sum += rate
		}
		// Keep a raised limit only as far as the last bucket used it.
		mean := sum / bucketsPerWindow
		if mean > 0 {
			g.raiseFactor = max(1, min(g.raiseFactor, float64(g.admitted.Load())/length/mean))
		}
		g.baseRate.Store(math.Float64bits(mean * g.raiseFactor))
	}
	g.admitted.Store(0)
	g.bucketEnd.Store(now + g.bucketLength.Nanoseconds())
}
