package shift

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// guardFactor times the growth allowed in a window is how far the rate may be
// above its mean over the window before. Following that limit, the rate grows
// by less than the growth in any window.
const guardFactor = 0.3

// burstDeviations times the square root of a count is what a burst may add to
// it before the arrivals are taken to have grown.
const burstDeviations = 1

// growthStep is the growth that is allowed at once when all other regions have
// been heard since the limit was reached.
const growthStep = 0.05

// GrowthLimiter bounds the growth of what one instance admits to a pool while it
// can't be told from traffic that has left another region: the callers of a
// lost region move to instances that would serve them in their own region's
// pool. Volume, not share, shows such a move. It may be used from several
// goroutines at once.
type GrowthLimiter struct {
	bucket time.Duration

	end   atomic.Int64
	rate  atomic.Uint64
	taken atomic.Int64
	// above is when the limit in force was first exceeded, or zero.
	above atomic.Int64

	mu     sync.Mutex
	past   [bucketsPerWindow]float64
	filled int
	next   int
	// raised is the factor by which explained growth has raised the limit.
	raised float64
}

// NewGrowthLimiter returns a guard over window that starts without a history: for the
// first window it allows everything.
func NewGrowthLimiter(window time.Duration, start int64) *GrowthLimiter {
	g := &GrowthLimiter{bucket: window / bucketsPerWindow, raised: 1}
	g.end.Store(start + g.bucket.Nanoseconds())
	g.rate.Store(math.Float64bits(math.Inf(1)))
	return g
}

// RegionReports is what is known about the other regions' traffic.
type RegionReports struct {
	// Overdue is set while some of them can't be heard.
	Overdue bool
	// OldestReceived is when the one heard longest ago was heard last.
	OldestReceived int64
}

// Admit counts one request at now. It reports false, and does not count, once
// the rate has grown by more than growth, a fraction a window, unless all
// other regions have been heard since: then none of them has lost its traffic.
// A request that is not admitted after all is given back with Untake.
func (g *GrowthLimiter) Admit(now int64, growth float64, ev RegionReports) bool {
	end := g.end.Load()
	if now >= end {
		g.roll(now)
		end = g.end.Load()
	}
	taken := float64(g.taken.Add(1))
	elapsed := max(0, now-end+g.bucket.Nanoseconds())
	allowed := math.Float64frombits(g.rate.Load()) * (1 + guardFactor*growth) * float64(elapsed)
	if taken <= allowed+1 {
		return true
	}
	if !ev.Overdue && g.explained(now, taken-allowed, allowed, ev.OldestReceived) {
		return true
	}
	g.taken.Add(-1)
	return false
}

// explained reports whether an excess is a burst, or is growth that all
// regions have outlived. Such growth raises the limit by one step.
func (g *GrowthLimiter) explained(now int64, excess, allowed float64, heard int64) bool {
	if excess <= 1+burstDeviations*math.Sqrt(allowed) {
		return true
	}
	if g.above.CompareAndSwap(0, now) || heard <= g.above.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.raised *= 1 + growthStep
	g.rate.Store(math.Float64bits(math.Float64frombits(g.rate.Load()) * (1 + growthStep)))
	g.above.Store(0)
	return true
}

// CancelAdmit gives back one request that was not admitted.
func (g *GrowthLimiter) CancelAdmit() { g.taken.Add(-1) }

// roll closes the open bucket and starts the next one.
func (g *GrowthLimiter) roll(now int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	end := g.end.Load()
	if now < end {
		return
	}
	length := float64(now - end + g.bucket.Nanoseconds())
	if float64(g.taken.Load()) <= math.Float64frombits(g.rate.Load())*length {
		g.above.Store(0)
	}
	g.past[g.next] = float64(g.taken.Load()) / length
	g.next = (g.next + 1) % bucketsPerWindow
	g.filled = min(g.filled+1, bucketsPerWindow)
	if g.filled == bucketsPerWindow {
		sum := 0.0
		for _, r := range g.past {
			sum += r
		}
		// A raised limit stays as far as it is used.
		mean := sum / bucketsPerWindow
		if mean > 0 {
			g.raised = max(1, min(g.raised, float64(g.taken.Load())/length/mean))
		}
		g.rate.Store(math.Float64bits(mean * g.raised))
	}
	g.taken.Store(0)
	g.end.Store(now + g.bucket.Nanoseconds())
}
