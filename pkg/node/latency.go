package node

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const (
	// latencyWindow is how long an answer counts at least.
	latencyWindow = 10 * time.Second
	// stepBits makes eight steps of each doubling, an error of an eighth.
	stepBits = 3
	// maxDoublings covers up to about 1.2 hours in microseconds.
	maxDoublings = 32
)

// histogram counts time spans in microseconds, in steps that grow with them.
type histogram [maxDoublings << stepBits]atomic.Uint32

// stepOf returns the step of a time span.
func stepOf(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 0))
	if us < 1<<stepBits {
		return int(us)
	}
	doubling := bits.Len64(us) - 1 - stepBits
	step := (doubling+1)<<stepBits + int(us>>doubling&(1<<stepBits-1))
	return min(step, maxDoublings<<stepBits-1)
}

// endOf returns the end of a step in milliseconds.
func endOf(step int) float64 {
	const perMillisecond = 1000
	if step < 1<<stepBits {
		return float64(step+1) / perMillisecond
	}
	doubling := step>>stepBits - 1
	return float64(uint64(step&(1<<stepBits-1)+1<<stepBits+1)<<doubling) / perMillisecond
}

// latency holds the answers of the present window and of the one before.
type latency struct {
	windows [2]histogram
	// number counts the windows since the first.
	number atomic.Int64
}

// latencies holds the latency of each pool. Recording takes no lock.
type latencies struct {
	pools sync.Map // of *latency by pool
	start time.Time
	now   func() time.Time
}

func newLatencies(now func() time.Time) *latencies {
	return &latencies{start: now(), now: now}
}

// observe counts the answer of a target of this zone.
func (l *latencies) observe(d steer.Decision, res steer.Result) {
	if d.Verdict == steer.Dispatch && res.Kind == fault.KindNone {
		l.record(d.Pool, res.Latency)
	}
}

// record counts one answer of the pool.
func (l *latencies) record(pool string, d time.Duration) {
	v, ok := l.pools.Load(pool)
	if !ok {
		v, _ = l.pools.LoadOrStore(pool, &latency{})
	}
	p := v.(*latency)
	n := l.turn(p)
	p.windows[n%2][stepOf(d)].Add(1)
}

// turn clears the window that begins now, and returns its number. An answer
// that races with it may be lost to the count.
func (l *latencies) turn(p *latency) int64 {
	n := int64(l.now().Sub(l.start) / latencyWindow)
	old := p.number.Load()
	if n <= old || !p.number.CompareAndSwap(old, n) {
		return max(n, old)
	}
	p.windows[n%2].clear()
	if n > old+1 {
		p.windows[(n+1)%2].clear()
	}
	return n
}

func (h *histogram) clear() {
	for i := range h {
		h[i].Store(0)
	}
}

// quantiles returns the median and the 99th percentile of the pool's latest
// answers in milliseconds, or zeros when there are none.
func (l *latencies) quantiles(pool string) (median, p99 float64) {
	v, ok := l.pools.Load(pool)
	if !ok {
		return 0, 0
	}
	p := v.(*latency)
	l.turn(p)
	var counts [maxDoublings << stepBits]uint64
	var total uint64
	for i := range counts {
		counts[i] = uint64(p.windows[0][i].Load()) + uint64(p.windows[1][i].Load())
		total += counts[i]
	}
	return quantile(counts[:], total, 0.5), quantile(counts[:], total, 0.99)
}

// quantile returns the end of the step that holds the q-th part of the counts.
func quantile(counts []uint64, total uint64, q float64) float64 {
	if total == 0 {
		return 0
	}
	var sum uint64
	for i, n := range counts {
		sum += n
		if float64(sum) >= q*float64(total) {
			return endOf(i)
		}
	}
	return endOf(len(counts) - 1)
}
