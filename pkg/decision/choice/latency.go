// Package choice rates the targets of a pool: a decaying latency estimate,
// the ejection of failing targets, the slow start of new ones, and the score
// by which a target is chosen.
package choice

import (
	"math"
	"sync/atomic"
	"time"
)

// latencyDecay is the time in which an observation loses most of its weight.
const latencyDecay = 5 * time.Second

// Latency is a latency estimate that jumps to a higher observation and decays
// to lower ones (peak EWMA). The zero value knows nothing. It may be used from
// several goroutines at once; concurrent observations may be lost.
type Latency struct {
	nanos atomic.Uint64
	at    atomic.Int64
}

// Observe takes in one latency measured at now, in nanoseconds on any one
// monotonic scale.
func (l *Latency) Observe(now int64, d time.Duration) {
	seen := float64(d)
	old := math.Float64frombits(l.nanos.Load())
	last := l.at.Swap(now)
	if old == 0 || seen >= old {
		l.nanos.Store(math.Float64bits(seen))
		return
	}
	keep := math.Exp(-float64(max(0, now-last)) / float64(latencyDecay))
	l.nanos.Store(math.Float64bits(old*keep + seen*(1-keep)))
}

// Value returns the estimate, or zero when nothing was observed.
func (l *Latency) Value() time.Duration {
	return time.Duration(math.Float64frombits(l.nanos.Load()))
}

// meanWeight is the weight of one observation in a Mean.
const meanWeight = 0.02

// MeanDuration is a moving mean over the last observations. The zero value knows
// nothing. It may be used from several goroutines at once; concurrent
// observations may be lost.
type MeanDuration struct {
	nanos atomic.Uint64
}

// Observe takes in one duration.
func (m *MeanDuration) Observe(d time.Duration) {
	old := math.Float64frombits(m.nanos.Load())
	if old == 0 {
		old = float64(d)
	}
	m.nanos.Store(math.Float64bits(old + meanWeight*(float64(d)-old)))
}

// Value returns the mean, or fallback when nothing was observed.
func (m *MeanDuration) Value(fallback time.Duration) time.Duration {
	if v := math.Float64frombits(m.nanos.Load()); v > 0 {
		return time.Duration(v)
	}
	return fallback
}

// Weights of one observation above and below a Floor or a Ceiling.
const (
	floorRise   = 0.005
	floorFall   = 0.2
	ceilingRise = 0.2
	ceilingFall = 0.01
)

// edge follows one end of the observed durations, by different weights of those
// above and below.
type edge struct {
	nanos atomic.Uint64
}

func (e *edge) observe(d time.Duration, rise, fall float64) {
	old := math.Float64frombits(e.nanos.Load())
	weight := rise
	switch {
	case old == 0:
		weight = 1
	case float64(d) < old:
		weight = fall
	}
	e.nanos.Store(math.Float64bits(old + weight*(float64(d)-old)))
}

// Value returns the estimate, or fallback when nothing was observed.
func (e *edge) Value(fallback time.Duration) time.Duration {
	if v := math.Float64frombits(e.nanos.Load()); v > 0 {
		return time.Duration(v)
	}
	return fallback
}

// Floor follows the low end of the observed durations. The zero value knows
// nothing. It may be used from several goroutines at once; concurrent
// observations may be lost.
type Floor struct{ edge }

// Observe takes in one duration.
func (f *Floor) Observe(d time.Duration) { f.observe(d, floorRise, floorFall) }

// Ceiling follows the high end of the observed durations. The zero value knows
// nothing. It may be used from several goroutines at once; concurrent observations
// may be lost.
type Ceiling struct{ edge }

// Observe takes in one duration.
func (c *Ceiling) Observe(d time.Duration) { c.observe(d, ceilingRise, ceilingFall) }

// MeanSize is a moving mean of sizes in bytes. The zero value knows nothing. It may
// be used from several goroutines at once; concurrent observations may be lost.
type MeanSize struct {
	bytes atomic.Uint64
}

// Observe takes in one size.
func (s *MeanSize) Observe(n int64) {
	old := s.Value()
	if old == 0 {
		old = float64(n)
	}
	s.bytes.Store(math.Float64bits(old + meanWeight*(float64(n)-old)))
}

// Value returns the mean, or zero when nothing was observed.
func (s *MeanSize) Value() float64 { return math.Float64frombits(s.bytes.Load()) }
