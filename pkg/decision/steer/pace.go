package steer

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// load estimates the requests of other instances at a target from what the
// target last reported. The zero value knows nothing.
type load struct {
	count atomic.Uint64
	at    atomic.Int64
}

// loadDecay is the time in which a report of load loses most of its weight.
const loadDecay = 1500 * time.Millisecond

// observe takes in that the target had total requests, own of them from here.
func (l *load) observe(ns int64, total, own int) {
	l.count.Store(math.Float64bits(float64(max(0, total-own))))
	l.at.Store(ns)
}

// others returns the estimate at ns.
func (l *load) others(ns int64) float64 {
	count := math.Float64frombits(l.count.Load())
	if count == 0 {
		return 0
	}
	return count * math.Exp(-float64(max(0, ns-l.at.Load()))/float64(loadDecay))
}

// pace follows how a target's work compares with that of its peers. The zero
// value is a target like the others.
type pace struct {
	// slow is the smoothed ratio of measured to expected times, minus one.
	slow atomic.Uint64
	at   atomic.Int64
	// failed is the smoothed part of attempts that failed.
	failed atomic.Uint64
}

const (
	// paceWeight is the weight of one attempt in the smoothed ratio.
	paceWeight = 0.3
	// paceDecay is the time in which an unused target's slowness is forgotten.
	paceDecay = 4 * time.Second
	// maxPace bounds the ratio that one attempt may report.
	maxPace = 8
	// faultWeight is the weight of one failed attempt, and calmWeight that of
	// one that did not fail.
	faultWeight = 0.3
	calmWeight  = 0.1
)

// observe takes in an answer that took took and was expected to take want.
func (p *pace) observe(ns int64, took, want time.Duration) {
	if want <= 0 {
		return
	}
	ratio := math.Min(maxPace, float64(took)/float64(want)) - 1
	now := p.factor(ns) - 1
	p.slow.Store(math.Float64bits(now + paceWeight*(ratio-now)))
	p.at.Store(ns)
}

// factor returns by how much the target is slower than expected, at least 0.5.
func (p *pace) factor(ns int64) float64 {
	slow := math.Float64frombits(p.slow.Load())
	if slow == 0 {
		return 1
	}
	slow *= math.Exp(-float64(max(0, ns-p.at.Load())) / float64(paceDecay))
	return math.Max(0.5, 1+slow)
}

// attempted takes in whether an attempt failed.
func (p *pace) attempted(failed bool) {
	old := math.Float64frombits(p.failed.Load())
	if failed {
		old += faultWeight * (1 - old)
	} else {
		old -= calmWeight * old
	}
	p.failed.Store(math.Float64bits(old))
}

// faults returns the smoothed part of attempts that failed.
func (p *pace) faults() float64 { return math.Float64frombits(p.failed.Load()) }

// estimate is what requests of a route are expected to cost.
type estimate struct {
	aim time.Duration
	// warm and cold are the work on an object that the target knows, and on
	// one that it does not.
	warm, cold time.Duration
	// limit is how long the request may wait at a target.
	limit time.Duration
	// step is added for each further target of an object; penalty for work on
	// an object that the target does not know.
	step, penalty time.Duration
}

// learningCosts is how often the work of learning an object counts against a further
// target: it is done there, and once more for the object that the target forgets.
const learningCosts = 2

// estimate returns what r is expected to cost on rt.
func (rt *route) estimate(r *Request) estimate {
	aim := r.Route.TargetLatency.Std()
	if aim <= 0 {
		aim = table.DefaultTimeout / 2
	}
	e := estimate{
		aim:  aim,
		warm: rt.warm.Value(time.Duration(warmPart * float64(aim))),
		cold: rt.cold.Value(time.Duration(coldPart * float64(aim))),
	}
	e.limit = time.Duration(admitPart * float64(aim))
	if !r.hasObject() {
		// Every target is as good as any other.
		e.cold = e.warm
		return e
	}
	e.cold = max(e.cold, e.warm)
	e.step = learningCosts * (e.cold - e.warm)
	e.penalty = time.Duration(coldExtra * float64(e.cold))
	return e
}
