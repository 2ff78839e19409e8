package steer

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/mechanism"
)

const (
	// usualWorkPercent is the report of a target where work takes as long as usual.
	usualWorkPercent = 100
	// minWorkFactor and maxWorkFactor bound what a report counts for. A target that
	// claims to be fast must not attract the requests of others by the claim alone.
	minWorkFactor = 0.8
	maxWorkFactor = 8
	// workReportDecay is the time constant with which the last report gives way to the
	// mean of the reports: the machines' other work changes several times a second.
	workReportDecay = 600 * time.Millisecond
	// workMeanWeight is the weight in the mean of a report that comes workReportDecay
	// or more after the one before. Reports that come sooner show much the same state
	// and weigh less.
	workMeanWeight = 0.25
	// workMeanDecay is the time constant with which the mean gives way to 1 without
	// reports.
	workMeanDecay = 30 * time.Second
)

// workFactor estimates how long work takes at a target, as a multiple of the usual time,
// from what the target reports. The zero value is a target that reports nothing.
type workFactor struct {
	// lastBits and meanBits hold the last report and the mean, both minus one.
	lastBits atomic.Uint64
	meanBits atomic.Uint64
	// at is the time of the last report; zero means none.
	at atomic.Int64
}

// observe records a report from time now, in percent of the usual time. A report of zero
// or less is none, and one that is older than the last one says nothing new.
func (w *workFactor) observe(now int64, percent int) {
	if percent <= 0 || now < w.at.Load() {
		return
	}
	last := clampWorkFactor(float64(percent)/usualWorkPercent) - 1
	weight := workMeanWeight
	mean := 0.0
	if at := w.at.Load(); at != 0 {
		age := max(0, now-at) // another report may come at the same time
		weight *= min(1, float64(age)/float64(workReportDecay))
		mean = decayed(&w.meanBits, age, workMeanDecay)
	}
	w.meanBits.Store(math.Float64bits(mean + weight*(last-mean)))
	w.lastBits.Store(math.Float64bits(last))
	// A time of zero would mean no report.
	w.at.Store(max(1, now))
}

// value returns the estimate at now.
func (w *workFactor) value(now int64) float64 {
	at := w.at.Load()
	if at == 0 {
		return 1
	}
	age := max(0, now-at)
	mean, last := decayed(&w.meanBits, age, workMeanDecay), math.Float64frombits(w.lastBits.Load())
	return clampWorkFactor(1 + mean + (last-mean)*math.Exp(-float64(age)/float64(workReportDecay)))
}

// last returns the last report, bounded, and its age. It reports false without one.
func (w *workFactor) last(now int64) (factor float64, age time.Duration, ok bool) {
	at := w.at.Load()
	return 1 + math.Float64frombits(w.lastBits.Load()), time.Duration(max(0, now-at)), at != 0
}

// decayed returns the value with the given bits after age nanoseconds.
func decayed(bits *atomic.Uint64, age int64, constant time.Duration) float64 {
	return math.Float64frombits(bits.Load()) * math.Exp(-float64(age)/float64(constant))
}

// clampWorkFactor bounds a factor to what it may count for.
func clampWorkFactor(factor float64) float64 {
	return min(maxWorkFactor, max(minWorkFactor, factor))
}

// reportedFactor returns how long work is expected to take at the target by its reports,
// as a multiple of the usual time.
func (s *targetStats) reportedFactor(now int64, without mechanism.Set) float64 {
	if without.Has(mechanism.ReportedWork) {
		return 1
	}
	return s.workFactor.value(now)
}

// WorkReports sums up what the targets of a pool report about how long work takes there.
type WorkReports struct {
	// Mean and Max are of the last report of each target, as multiples of the usual time.
	Mean, Max float64
	// MeanAge is the mean age of these reports.
	MeanAge time.Duration
}

// WorkReports returns the reports of the view's targets. It reports false without any.
func (v PoolView) WorkReports() (w WorkReports, ok bool) {
	n := 0
	for _, t := range v.Targets {
		if t.WorkReported {
			n++
			w.Mean += t.WorkFactor
			w.Max = max(w.Max, t.WorkFactor)
			w.MeanAge += t.WorkFactorAge
		}
	}
	if n == 0 {
		return w, false
	}
	w.Mean /= float64(n)
	w.MeanAge /= time.Duration(n)
	return w, true
}
