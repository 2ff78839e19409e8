// Package choice implements the criteria by which a target of a pool is chosen:
// latency estimates, the ejection of failing targets, the slow start of new
// incarnations, and the score that ranks targets.
package choice

import (
	"math"
	"sync/atomic"
	"time"
)

// latencyTimeConstant is the time constant of the decay of a Latency: the time in
// which the weight of an observation falls to 1/e.
const latencyTimeConstant = 5 * time.Second

// Latency is a peak EWMA latency estimate: it rises to a higher observation
// immediately and decays exponentially towards lower ones. The zero value has no
// observations. It is safe for concurrent use; concurrent observations may be lost.
type Latency struct {
	nanos      atomic.Uint64
	observedAt atomic.Int64
}

// Observe adds a latency measured at now, in nanoseconds of any one monotonic clock.
func (l *Latency) Observe(now int64, d time.Duration) {
	observed := float64(d)
	old := math.Float64frombits(l.nanos.Load())
	last := l.observedAt.Swap(now)
	if old == 0 || observed >= old {
		l.nanos.Store(math.Float64bits(observed))
		return
	}
	oldWeight := math.Exp(-float64(max(0, now-last)) / float64(latencyTimeConstant))
	l.nanos.Store(math.Float64bits(old*oldWeight + observed*(1-oldWeight)))
}

// Value returns the estimate, or zero without observations.
func (l *Latency) Value() time.Duration {
	return time.Duration(math.Float64frombits(l.nanos.Load()))
}

// meanWeight is the weight of a new observation in a MeanDuration or a
// MeanSize.
const meanWeight = 0.02

// MeanDuration is an exponentially weighted moving average of durations. The zero
// value has no observations. It is safe for concurrent use; concurrent observations
// may be lost.
type MeanDuration struct {
	nanos atomic.Uint64
}

// Observe adds a duration.
func (m *MeanDuration) Observe(d time.Duration) {
	old := math.Float64frombits(m.nanos.Load())
	if old == 0 {
		old = float64(d)
	}
	m.nanos.Store(math.Float64bits(old + meanWeight*(float64(d)-old)))
}

// Value returns the average, or fallback without observations.
func (m *MeanDuration) Value(fallback time.Duration) time.Duration {
	if v := math.Float64frombits(m.nanos.Load()); v > 0 {
		return time.Duration(v)
	}
	return fallback
}

// Weights of a new observation above (rise) or below (fall) the current estimate of a
// Floor or a Ceiling.
const (
	floorRiseWeight   = 0.005
	floorFallWeight   = 0.2
	ceilingRiseWeight = 0.2
	ceilingFallWeight = 0.01
)

// asymmetricMean is a moving average of durations that tracks one end of their
// distribution, because observations above and below the estimate have different
// weights.
type asymmetricMean struct {
	nanos atomic.Uint64
}

// observe adds a duration with the weight rise when it is above the estimate, else
// fall. The first duration is adopted as it is.
func (m *asymmetricMean) observe(d time.Duration, rise, fall float64) {
	old := math.Float64frombits(m.nanos.Load())
	weight := rise
	switch {
	case old == 0:
		weight = 1
	case float64(d) < old:
		weight = fall
	}
	m.nanos.Store(math.Float64bits(old + weight*(float64(d)-old)))
}

// Value returns the estimate, or fallback without observations.
func (m *asymmetricMean) Value(fallback time.Duration) time.Duration {
	if v := math.Float64frombits(m.nanos.Load()); v > 0 {
		return time.Duration(v)
	}
	return fallback
}

// Floor tracks the low end of the observed durations. The zero value has no
// observations. It is safe for concurrent use; concurrent observations may be lost.
type Floor struct{ asymmetricMean }

// Observe adds a duration.
func (f *Floor) Observe(d time.Duration) { f.observe(d, floorRiseWeight, floorFallWeight) }

// Ceiling tracks the high end of the observed durations. The zero value has no
// observations. It is safe for concurrent use; concurrent observations may be lost.
type Ceiling struct{ asymmetricMean }

// Observe adds a duration.
func (c *Ceiling) Observe(d time.Duration) { c.observe(d, ceilingRiseWeight, ceilingFallWeight) }

// MeanSize is an exponentially weighted moving average of sizes in bytes. The zero
// value has no observations. It is safe for concurrent use; concurrent observations
// may be lost.
type MeanSize struct {
	bytes atomic.Uint64
}

// Observe adds a size.
func (s *MeanSize) Observe(n int64) {
	old := s.Value()
	if old == 0 {
		old = float64(n)
	}
	s.bytes.Store(math.Float64bits(old + meanWeight*(float64(n)-old)))
}

// Value returns the average, or zero without observations.
func (s *MeanSize) Value() float64 { return math.Float64frombits(s.bytes.Load()) }
