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
	// latencyWindow is the length of one window. A response counts for at least
	// one and at most two windows.
	latencyWindow = 10 * time.Second
	// subBucketBits divides each power of two into eight buckets, so that the
	// relative error is at most one eighth.
	subBucketBits = 3
	// maxExponents is the number of groups of eight buckets, one for each power of
	// two in microseconds. They cover latencies of more than 1.2 hours.
	maxExponents = 32
)

// histogram counts durations in microseconds in buckets of exponentially growing
// width.
type histogram [maxExponents << subBucketBits]atomic.Uint32

// bucketOf returns the index of the bucket for d. Negative durations count as
// zero, and those beyond the range count in the last bucket.
func bucketOf(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 0))
	if us < 1<<subBucketBits {
		return int(us)
	}
	exponent := bits.Len64(us) - 1 - subBucketBits
	bucket := (exponent+1)<<subBucketBits + int(us>>exponent&(1<<subBucketBits-1))
	return min(bucket, maxExponents<<subBucketBits-1)
}

// bucketEnd returns the upper bound of a bucket in milliseconds.
func bucketEnd(bucket int) float64 {
	const perMillisecond = 1000
	if bucket < 1<<subBucketBits {
		return float64(bucket+1) / perMillisecond
	}
	exponent := bucket>>subBucketBits - 1
	return float64(uint64(bucket&(1<<subBucketBits-1)+1<<subBucketBits+1)<<exponent) / perMillisecond
}

// poolLatency holds the latencies of one pool in the current window and in the
// previous one.
type poolLatency struct {
	windows [2]histogram
	// current is the number of the current window, counted from zero.
	current atomic.Int64
}

// latencyTracker holds the recent latencies of each pool. Recording takes no lock.
type latencyTracker struct {
	pools sync.Map // of *poolLatency by pool name
	start time.Time
	now   func() time.Time
}

func newLatencyTracker(now func() time.Time) *latencyTracker {
	return &latencyTracker{start: now(), now: now}
}

// observe records the latency of an attempt that a target has responded to. Hops
// and failed attempts are ignored.
func (l *latencyTracker) observe(d steer.Decision, res steer.Result) {
	if d.Verdict == steer.Dispatch && res.Kind == fault.KindNone {
		l.record(d.Pool, res.Latency)
	}
}

// record adds one latency of the pool.
func (l *latencyTracker) record(pool string, latency time.Duration) {
	v, ok := l.pools.Load(pool)
	if !ok {
		v, _ = l.pools.LoadOrStore(pool, &poolLatency{})
	}
	p := v.(*poolLatency)
	window := l.rotate(p)
	p.windows[window%2][bucketOf(latency)].Add(1)
}

// rotate starts a new window if the current one is over, and returns the number
// of the current window. A latency recorded at the same time may be lost.
func (l *latencyTracker) rotate(p *poolLatency) int64 {
	window := int64(l.now().Sub(l.start) / latencyWindow)
	previous := p.current.Load()
	if window <= previous || !p.current.CompareAndSwap(previous, window) {
		return max(window, previous)
	}
	p.windows[window%2].clear()
	if window > previous+1 {
		p.windows[(window+1)%2].clear()
	}
	return window
}

// clear resets all buckets.
func (h *histogram) clear() {
	for i := range h {
		h[i].Store(0)
	}
}

// quantiles returns the median and the 99th percentile of the pool's recent
// latencies in milliseconds, or zeros without any.
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

// quantile returns the upper bound, in milliseconds, of the bucket that contains
// the q-quantile of counts, whose sum is total. It returns 0 if total is 0.
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
