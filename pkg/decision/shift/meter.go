package shift

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bucketsPerWindow divides a shift window for the meter.
	bucketsPerWindow = 10
	// comparedBuckets is the number of finished buckets that a new one is
	// compared with: the window, and the bucket that it starts in.
	comparedBuckets = bucketsPerWindow + 1
	// meterPart is the part of the cap that each instance uses. The rest covers
	// counts that are rounded up and arrivals that move between instances.
	meterPart = 0.9
	// minSample is the number of arrivals below which a bucket stays open,
	// for at most a window.
	minSample = 20
)

// Meter holds the share that one instance gives a pool of a route's arrivals:
// in no bucket is it more than the cap above the smallest share of any bucket
// in the window before. It counts what is sent, so it also bounds traffic
// that moves without an edit: a failure, a recovery, a spill. It may be used
// from several goroutines at once.
type Meter struct {
	shiftCap float64
	window   time.Duration

	end      atomic.Int64
	limit    atomic.Uint64
	taken    atomic.Int64
	arrivals atomic.Int64

	mu   sync.Mutex
	past [comparedBuckets]float64
	next int
}

// NewMeter returns a meter that takes share as the pool's share before start.
// Times are nanoseconds on any one monotonic scale.
func NewMeter(shiftCap float64, window time.Duration, share float64, start int64) *Meter {
	m := &Meter{shiftCap: meterPart * shiftCap, window: window}
	for i := range m.past {
		m.past[i] = share
	}
	m.limit.Store(math.Float64bits(m.lowest() + m.shiftCap))
	m.end.Store(start + m.bucket())
	return m
}

// Admit counts one request to the pool and reports whether it stays under the
// limit. arrivals is the count of the route's arrivals so far, this one
// included. A request that is not sent after all is given back with Untake.
func (m *Meter) Admit(now, arrivals int64) bool {
	if now >= m.end.Load() {
		m.roll(now, arrivals)
	}
	taken := m.taken.Add(1)
	if float64(taken) <= m.allowed(arrivals) {
		return true
	}
	m.taken.Add(-1)
	return false
}

// CancelAdmit gives back one request that was not sent.
func (m *Meter) CancelAdmit() { m.taken.Add(-1) }

// Limit returns the largest share that the pool may get at present.
func (m *Meter) Limit() float64 { return min(1, math.Float64frombits(m.limit.Load())) }

// LowestShare returns the smallest share within the last window.
func (m *Meter) LowestShare() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lowest()
}

// Reset takes share as the pool's share so far, for an instance that learns
// late what its pools have served.
func (m *Meter) Reset(share float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.past {
		m.past[i] = share
	}
	m.limit.Store(math.Float64bits(share + m.shiftCap))
}

// allowed is the number of requests that may be sent in the open bucket. One
// is always allowed, so that a share below one request can grow.
func (m *Meter) allowed(arrivals int64) float64 {
	limit := math.Float64frombits(m.limit.Load())
	if limit >= 1 {
		return math.Inf(1)
	}
	return max(1, limit*float64(arrivals-m.arrivals.Load()))
}

// roll closes the open bucket and starts the next one.
func (m *Meter) roll(now, arrivals int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	end := m.end.Load()
	if now < end {
		return
	}
	// The arrival that rolls belongs to the next bucket.
	n := arrivals - 1 - m.arrivals.Load()
	if n < minSample && now < end+m.window.Nanoseconds() {
		return
	}
	if n > 0 {
		m.past[m.next] = min(1, float64(m.taken.Load())/float64(n))
		m.next = (m.next + 1) % comparedBuckets
	}
	m.limit.Store(math.Float64bits(m.lowest() + m.shiftCap))
	m.arrivals.Store(arrivals - 1)
	m.taken.Store(0)
	m.end.Store(now + m.bucket())
}

func (m *Meter) lowest() float64 {
	low := m.past[0]
	for _, s := range m.past[1:] {
		low = min(low, s)
	}
	return low
}

func (m *Meter) bucket() int64 { return m.window.Nanoseconds() / bucketsPerWindow }
