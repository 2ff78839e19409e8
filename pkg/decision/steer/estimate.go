package steer

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// otherLoad estimates the requests of other instances at a target from what the
// target last reported. The zero value knows nothing.
type otherLoad struct {
	count atomic.Uint64
	at    atomic.Int64
}

// otherLoadDecay is the time in which a report of load loses most of its weight.
const otherLoadDecay = 1500 * time.Millisecond

// observe takes in that the target had total requests, own of them from here.
func (l *otherLoad) observe(ns int64, total, own int) {
	l.count.Store(math.Float64bits(float64(max(0, total-own))))
	l.at.Store(ns)
}

// value returns the estimate at ns.
func (l *otherLoad) value(ns int64) float64 {
	count := math.Float64frombits(l.count.Load())
	if count == 0 {
		return 0
	}
	return count * math.Exp(-float64(max(0, ns-l.at.Load()))/float64(otherLoadDecay))
}

// slowness follows how a target's work compares with that of its peers. The zero
// value is a target like the others.
type slowness struct {
	// excessBits is the smoothed ratio of measured to expected times, minus one.
	excessBits atomic.Uint64
	at         atomic.Int64
	// failureRateBits is the smoothed part of attempts that failed.
	failureRateBits atomic.Uint64
}

const (
	// slownessSampleWeight is the weight of one attempt in the smoothed ratio.
	slownessSampleWeight = 0.3
	// slownessDecay is the time in which an unused target's slowness is forgotten.
	slownessDecay = 4 * time.Second
	// maxSlownessRatio bounds the ratio that one attempt may report.
	maxSlownessRatio = 8
	// failureSampleWeight is the weight of one failed attempt, and successSampleWeight that of
	// one that did not fail.
	failureSampleWeight = 0.3
	successSampleWeight = 0.1
)

// observe takes in an answer that took took and was expected to take want.
func (s *slowness) observe(ns int64, measured, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := math.Min(maxSlownessRatio, float64(measured)/float64(expected)) - 1
	current := s.factor(ns) - 1
	s.excessBits.Store(math.Float64bits(current + slownessSampleWeight*(ratio-current)))
	s.at.Store(ns)
}

// factor returns by how much the target is slower than expected, at least 0.5.
func (s *slowness) factor(ns int64) float64 {
	excess := math.Float64frombits(s.excessBits.Load())
	if excess == 0 {
		return 1
	}
	excess *= math.Exp(-float64(max(0, ns-s.at.Load())) / float64(slownessDecay))
	return math.Max(0.5, 1+excess)
}

// recordAttempt takes in whether an attempt failed.
func (s *slowness) recordAttempt(failed bool) {
	old := math.Float64frombits(s.failureRateBits.Load())
	if failed {
		old += failureSampleWeight * (1 - old)
	} else {
		old -= successSampleWeight * old
	}
	s.failureRateBits.Store(math.Float64bits(old))
}

// failureRate returns the smoothed part of attempts that failed.
func (s *slowness) failureRate() float64 { return math.Float64frombits(s.failureRateBits.Load()) }

// estimate is what requests of a route are expected to cost.
type estimate struct {
	targetLatency time.Duration
	// warmWork and cold are the work on an object that the target knows, and on
	// one that it does not.
	warmWork, coldWork time.Duration
	// maxWait is how long the request may wait at a target.
	maxWait time.Duration
	// spreadPenalty is added for each further target of an object; penalty for work on
	// an object that the target does not know.
	spreadPenalty, coldPenalty time.Duration
}

// warmupCostFactor is how often the work of learning an object counts against a further
// target: it is done there, and once more for the object that the target forgets.
const warmupCostFactor = 2

// estimate returns what r is expected to cost on rt.
func (rt *route) estimate(r *Request) estimate {
	targetLatency := r.Route.TargetLatency.Std()
	if targetLatency <= 0 {
		targetLatency = table.DefaultTimeout / 2
	}
	e := estimate{
		targetLatency: targetLatency,
		warmWork:      rt.warmWork.Value(time.Duration(priorWarmFraction * float64(targetLatency))),
		coldWork:      rt.coldWork.Value(time.Duration(priorColdFraction * float64(targetLatency))),
	}
	e.maxWait = time.Duration(maxWaitFraction * float64(targetLatency))
	if !r.usesAffinity() {
		// Every target is as good as any other.
		e.coldWork = e.warmWork
		return e
	}
	e.coldWork = max(e.coldWork, e.warmWork)
	e.spreadPenalty = warmupCostFactor * (e.coldWork - e.warmWork)
	e.coldPenalty = time.Duration(coldPenaltyFraction * float64(e.coldWork))
	return e
}
