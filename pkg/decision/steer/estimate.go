package steer

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// otherLoad estimates the requests of other instances at a target from the
// target's last report. The zero value estimates none.
type otherLoad struct {
	count atomic.Uint64
	at    atomic.Int64
	// usualBits holds the smoothed count.
	usualBits atomic.Uint64
}

const (
	// otherLoadDecay is the time constant with which a reported load decays.
	otherLoadDecay = 1500 * time.Millisecond
	// usualLoadWeight is the weight in the smoothed count of a report that comes
	// otherLoadDecay or more after the one before. Others weigh less.
	usualLoadWeight = 0.4
	// usualLoadDecay is the time constant with which the smoothed count decays without
	// reports. In a large fleet an instance hears of a target every few seconds.
	usualLoadDecay = 20 * time.Second
)

// observe records that the target reported total requests, of which own were
// sent by this instance.
func (l *otherLoad) observe(now int64, total, own int) {
	others := float64(max(0, total-own))
	age := max(0, now-l.at.Load())
	usual := decayed(&l.usualBits, age, usualLoadDecay)
	weight := usualLoadWeight * min(1, float64(age)/float64(otherLoadDecay))
	l.usualBits.Store(math.Float64bits(usual + weight*(others-usual)))
	l.count.Store(math.Float64bits(others))
	l.at.Store(now)
}

// usual returns the estimate at now for the choice between targets that know an object:
// at least what the target usually reports, however long ago its last report was.
func (l *otherLoad) usual(now int64) float64 {
	return max(l.value(now), decayed(&l.usualBits, max(0, now-l.at.Load()), usualLoadDecay))
}

// value returns the estimate at now.
func (l *otherLoad) value(now int64) float64 {
	count := math.Float64frombits(l.count.Load())
	if count == 0 {
		return 0
	}
	return count * math.Exp(-float64(max(0, now-l.at.Load()))/float64(otherLoadDecay))
}

// slowness tracks a target's service times, relative to the expected ones, and
// its failures. The zero value is a target without deviations.
type slowness struct {
	// excessBits holds the smoothed ratio of measured to expected times, minus
	// one.
	excessBits atomic.Uint64
	at         atomic.Int64
	// failureRateBits holds the smoothed fraction of attempts that failed.
	failureRateBits atomic.Uint64
}

const (
	// slownessSampleWeight is the weight of one attempt in the smoothed ratio.
	slownessSampleWeight = 0.3
	// slownessDecay is the time constant with which the excess of an unused
	// target decays.
	slownessDecay = 4 * time.Second
	// maxSlownessRatio bounds the ratio of one sample.
	maxSlownessRatio = 8
	// failureSampleWeight is the weight of a failed attempt in the failure
	// rate, and successSampleWeight that of a successful one.
	failureSampleWeight = 0.3
	successSampleWeight = 0.1
)

// observe records an attempt with its measured and its expected service time.
func (s *slowness) observe(now int64, measured, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := math.Min(maxSlownessRatio, float64(measured)/float64(expected)) - 1
	current := s.factor(now) - 1
	s.excessBits.Store(math.Float64bits(current + slownessSampleWeight*(ratio-current)))
	s.at.Store(now)
}

// factor returns the estimated ratio of actual to expected service time, at
// least 0.5.
func (s *slowness) factor(now int64) float64 {
	excess := math.Float64frombits(s.excessBits.Load())
	if excess == 0 {
		return 1
	}
	excess *= math.Exp(-float64(max(0, now-s.at.Load())) / float64(slownessDecay))
	return math.Max(0.5, 1+excess)
}

// recordAttempt records whether an attempt failed.
func (s *slowness) recordAttempt(failed bool) {
	old := math.Float64frombits(s.failureRateBits.Load())
	if failed {
		old += failureSampleWeight * (1 - old)
	} else {
		old -= successSampleWeight * old
	}
	s.failureRateBits.Store(math.Float64bits(old))
}

// failureRate returns the smoothed fraction of attempts that failed.
func (s *slowness) failureRate() float64 { return math.Float64frombits(s.failureRateBits.Load()) }

// estimate holds the expected costs of a request on a route.
type estimate struct {
	targetLatency time.Duration
	// warmWork and coldWork are the service times at a target that is warm for
	// the request's object and at one that is cold for it.
	warmWork, coldWork time.Duration
	// maxWait is how long the request may wait at a target.
	maxWait time.Duration
	// coldPenalty is added for a target that is cold for the object.
	coldPenalty time.Duration
}

// estimate returns the expected costs of a request on rt, whose row is given. affinity is
// set if it matters which target the request is sent to.
func (rt *route) estimate(row *table.Route, affinity bool) estimate {
	targetLatency := row.TargetLatency.Std()
	if targetLatency <= 0 {
		targetLatency = table.DefaultTimeout / 2
	}
	e := estimate{
		targetLatency: targetLatency,
		warmWork:      rt.warmWork.Value(time.Duration(priorWarmFraction * float64(targetLatency))),
		coldWork:      rt.coldWork.Value(time.Duration(priorColdFraction * float64(targetLatency))),
	}
	e.maxWait = time.Duration(maxWaitFraction * float64(targetLatency))
	if !affinity {
		// Without affinity all targets are equally warm.
		e.coldWork = e.warmWork
		return e
	}
	e.coldWork = max(e.coldWork, e.warmWork)
	e.coldPenalty = time.Duration(coldPenaltyFraction * float64(e.coldWork))
	return e
}
