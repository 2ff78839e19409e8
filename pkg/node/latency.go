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
	// subBucketBits makes eight steps of each doubling, an error of an eighth.
	subBucketBits = 3
	// maxExponents covers up to about 1.2 hours in microseconds.
	maxExponents = 32
)

// histogram counts time spans in microseconds, in steps that grow with them.
type histogram [maxExponents << subBucketBits]atomic.Uint32

// bucketOf returns the step of a time span.
func bucketOf(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 0))
	if us < 1<<subBucketBits {
		return int(us)
	}
	doubling := bits.Len64(us) - 1 - subBucketBits
	step := (doubling+1)<<subBucketBits + int(us>>doubling&(1<<subBucketBits-1))
	return min(step, maxExponents<<subBucketBits-1)
}

// bucketEnd returns the end of a step in milliseconds.
func bucketEnd(step int) float64 {
	const perMillisecond = 1000
	if step < 1<<subBucketBits {
		return float64(step+1) / perMillisecond
	}
	doubling := step>>subBucketBits - 1
	return float64(uint64(step&(1<<subBucketBits-1)+1<<subBucketBits+1)<<doubling) / perMillisecond
}

// poolLatency holds the answers of the present window and of the one before.
type poolLatency struct {
	windows [2]histogram
	// current counts the windows since the first.
	current atomic.Int64
}

// latencyTracker holds the latency of each pool. Recording takes no lock.
type latencyTracker struct {
	pools sync.Map // of *latency by pool
	start time.Time
	now   func() time.Time
}

func newLatencyTracker(now func() time.Time) *latencyTracker {
	return &latencyTracker{start: now(), now: now}
}

// observe counts the answer of a target of this zone.
func (l *latencyTracker) observe(d steer.Decision, res steer.Result) {
	if d.Verdict == steer.Dispatch && res.Kind == fault.KindNone {
		l.record(d.Pool, res.Latency)
	}
}

// record counts one answer of the pool.
func (l *latencyTracker) record(pool string, d time.Duration) {
	v, ok := l.pools.Load(pool)
	if !ok {
		v, _ = l.pools.LoadOrStore(pool, &poolLatency{})
	}
	p := v.(*poolLatency)
	n := l.rotate(p)
	p.windows[n%2][bucketOf(d)].Add(1)
}

// rotate clears the window that begins now, and returns its number. An answer
// that races with it may be lost to the count.
func (l *latencyTracker) rotate(p *poolLatency) int64 {
	n := int64(l.now().Sub(l.start) / latencyWindow)
	old := p.current.Load()
	if n <= old || !p.current.CompareAndSwap(old, n) {
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
func (l *latencyTracker) quantiles(pool string) (median, p99 float64) {
	v, ok := l.pools.Load(pool)
	if !ok {
		return 0, 0
	}
	p := v.(*poolLatency)
	l.rotate(p)
	var counts [maxExponents << subBucketBits]uint64
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
			return bucketEnd(i)
		}
	}
	return bucketEnd(len(counts) - 1)
}
