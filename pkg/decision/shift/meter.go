package shift

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bucketsPerWindow is the number of buckets in a window.
	bucketsPerWindow = 10
	// comparedBuckets is the number of finished buckets that a new bucket is
	// compared with: those of the window, and the one in which the window starts.
	comparedBuckets = bucketsPerWindow + 1
	// capFraction is the fraction of the cap that each instance uses. The rest is
	// a margin for counts that are rounded up and for arrivals that move between
	// instances.
	capFraction = 0.9
	// minBucketArrivals is the number of arrivals below which a bucket stays open
	// past its end, for at most a window.
	minBucketArrivals = 20
)

// Meter limits the share of a route's arrivals that one instance sends to a pool:
// in each bucket it exceeds the smallest share of any bucket in the previous
// window by at most the cap. It counts the requests that are sent, so it also
// limits traffic that moves without an edit, after a failure or recovery or by
// spilling. A Meter is safe for concurrent use.
type Meter struct {
	shiftCap float64
	window   time.Duration

	// bucketEnd is the end of the current bucket, in nanoseconds.
	bucketEnd atomic.Int64
	// shareLimit holds the float64 bits of the largest share allowed in the
	// current bucket.
	shareLimit atomic.Uint64
	// admitted counts the requests admitted in the current bucket.
	admitted atomic.Int64
	// startArrivals is the count of the route's arrivals before the current
	// bucket.
	startArrivals atomic.Int64

	mu sync.Mutex
	// pastShares holds the shares of the last comparedBuckets buckets.
	pastShares [comparedBuckets]float64
	nextBucket int
}

// NewMeter returns a meter that assumes share as the pool's share before start.
// All times of a meter are in nanoseconds on one monotonic scale.
func NewMeter(shiftCap float64, window time.Duration, share float64, start int64) *Meter {
	m := &Meter{shiftCap: capFraction * shiftCap, window: window}
	for i := range m.pastShares {
		m.pastShares[i] = share
	}
	m.shareLimit.Store(math.Float64bits(m.lowestShareLocked() + m.shiftCap))
	m.bucketEnd.Store(start + m.bucketNanos())
	return m
}

// Admit counts one request to the pool and reports whether the pool's share stays
// within the limit. If not, the request is not counted. arrivals is the count of
// the route's arrivals so far, including this one. Call CancelAdmit for a request
// that is not sent in the end.
func (m *Meter) Admit(now, arrivals int64) bool {
	if now >= m.bucketEnd.Load() {
		m.rollBucket(now, arrivals)
	}
	admitted := m.admitted.Add(1)
	if float64(admitted) <= m.bucketLimit(arrivals) {
		return true
	}
	m.admitted.Add(-1)
	return false
}

// CancelAdmit undoes Admit for one request that was not sent.
func (m *Meter) CancelAdmit() { m.admitted.Add(-1) }

// Limit returns the largest share that the pool may get in the current bucket.
func (m *Meter) Limit() float64 { return min(1, math.Float64frombits(m.shareLimit.Load())) }

// LowestShare returns the smallest share of the pool in any of the last
// comparedBuckets buckets, which cover the last window.
func (m *Meter) LowestShare() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lowestShareLocked()
}

// Reset replaces the recorded shares by share, for an instance that receives only
// after its start what its pools have served before.
func (m *Meter) Reset(share float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.pastShares {
		m.pastShares[i] = share
	}
	m.shareLimit.Store(math.Float64bits(share + m.shiftCap))
}

// bucketLimit returns the number of requests that may be sent in the current
// bucket. It is at least 1, so that a share below one request can grow.
func (m *Meter) bucketLimit(arrivals int64) float64 {
	limit := math.Float64frombits(m.shareLimit.Load())
	if limit >= 1 {
		return math.Inf(1)
	}
	return max(1, limit*float64(arrivals-m.startArrivals.Load()))
}

// rollBucket closes the current bucket if it has ended and has enough arrivals,
// and starts the next one.
func (m *Meter) rollBucket(now, arrivals int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	end := m.bucketEnd.Load()
	if now < end {
		return
	}
	// The arrival that closes the bucket belongs to the next one.
	n := arrivals - 1 - m.startArrivals.Load()
	if n < minBucketArrivals && now < end+m.window.Nanoseconds() {
		return
	}
	if n > 0 {
		m.pastShares[m.nextBucket] = min(1, float64(m.admitted.Load())/float64(n))
		m.nextBucket = (m.nextBucket + 1) % comparedBuckets
	}
	m.shareLimit.Store(math.Float64bits(m.lowestShareLocked() + m.shiftCap))
	m.startArrivals.Store(arrivals - 1)
	m.admitted.Store(0)
	m.bucketEnd.Store(now + m.bucketNanos())
}

// lowestShareLocked is LowestShare for callers that hold mu.
func (m *Meter) lowestShareLocked() float64 {
	lowest := m.pastShares[0]
	for _, s := range m.pastShares[1:] {
		lowest = min(lowest, s)
	}
	return lowest
}

// bucketNanos returns the length of a bucket in nanoseconds.
func (m *Meter) bucketNanos() int64 { return m.window.Nanoseconds() / bucketsPerWindow }
