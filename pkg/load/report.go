package load

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/standin/target"
)

// The range and precision of the histograms, in microseconds.
const (
	shortestMicros  = 1
	longestMicros   = 10 * 60 * 1_000_000
	significantFigs = 3
)

// Report is what a run of load measured. Everything is counted by the callers
// and the target stand-ins.
type Report struct {
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	NotRun    int `json:"not_run"`
	Unknown   int `json:"unknown"`
	// WrongAnswers counts answers that were not the whole answer to their request.
	WrongAnswers int `json:"wrong_answers"`
	// DuplicateRuns counts the runs beyond the first of requests that must not
	// run twice; -1 when the targets' counts were not read.
	DuplicateRuns int `json:"duplicate_runs"`
	// FalseNotRun counts requests that ran although the last answer said "not
	// run"; -1 when the targets' counts were not read.
	FalseNotRun int `json:"false_not_run"`
	// CutOff counts connections that broke before the end of an answer.
	CutOff int `json:"cut_off"`
	// Unanswered counts requests without an answer until after the deadline.
	Unanswered int `json:"unanswered"`
	// TargetErrors counts completed answers with another status than 200.
	TargetErrors int `json:"target_errors"`
	// Submissions counts every sending of a request.
	Submissions int `json:"submissions"`
	// Kinds counts the error kinds of all answers that the system made itself,
	// also those after which the request was submitted again and completed.
	Kinds map[string]int `json:"kinds,omitempty"`
	// LatencyMS is over all completed requests, in milliseconds.
	LatencyMS Percentiles `json:"latency_ms"`
	// Routes and Members break the counts down.
	Routes  map[string]Part `json:"routes"`
	Members map[string]Part `json:"members"`
	// Wrong describes the first wrong answers.
	Wrong []string `json:"wrong,omitempty"`
}

// Part is the share of one route or member.
type Part struct {
	Requests  int         `json:"requests"`
	Completed int         `json:"completed"`
	LatencyMS Percentiles `json:"latency_ms"`
}

// Percentiles of the time from when a request was due to its whole answer, in
// milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// maxDescribed bounds the wrong answers that are described.
const maxDescribed = 10

// series gathers one part.
type series struct {
	requests  int
	completed int
	latency   *hdrhistogram.Histogram
}

func newSeries() *series {
	return &series{latency: hdrhistogram.New(shortestMicros, longestMicros, significantFigs)}
}

func (s *series) add(completed bool, took time.Duration) {
	s.requests++
	if completed {
		s.completed++
		_ = s.latency.RecordValue(min(max(took.Microseconds(), shortestMicros), longestMicros))
	}
}

func (s *series) part() Part {
	return Part{Requests: s.requests, Completed: s.completed, LatencyMS: percentiles(s.latency)}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	return Percentiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000}
}

// Collector gathers results. It may be used from several goroutines at once.
type Collector struct {
	mu      sync.Mutex
	report  Report
	all     *series
	routes  map[string]*series
	members map[string]*series
	// notRun holds the nonces whose last answer said "not run".
	notRun []string
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector {
	return &Collector{report: Report{Kinds: map[string]int{}}, all: newSeries(), routes: map[string]*series{}, members: map[string]*series{}}
}

// Add takes in the result of r, which took the given time from when it was due.
func (c *Collector) Add(r Request, res Result, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addCounts(r, res)
	completed := res.Outcome == fault.Completed
	c.all.add(completed, took)
	seriesOf(c.routes, r.Route).add(completed, took)
	seriesOf(c.members, r.Member).add(completed, took)
}

func seriesOf(m map[string]*series, name string) *series {
	s, ok := m[name]
	if !ok {
		s = newSeries()
		m[name] = s
	}
	return s
}

func (c *Collector) addCounts(r Request, res Result) {
	rep := &c.report
	rep.Requests++
	rep.Submissions += res.Submissions
	rep.CutOff += res.CutOff
	rep.Unanswered += res.Unanswered
	for _, kind := range res.Kinds {
		rep.Kinds[kind]++
	}
	if res.Wrong != nil {
		rep.WrongAnswers++
		if len(rep.Wrong) < maxDescribed {
			rep.Wrong = append(rep.Wrong, r.Route+": "+res.Wrong.Error())
		}
	}
	switch res.Outcome {
	case fault.Completed:
		rep.Completed++
		if res.Status != 200 {
			rep.TargetErrors++
		}
		return
	case fault.NotRun:
		rep.NotRun++
		if r.NonIdempotent {
			c.notRun = append(c.notRun, r.Nonce)
		}
	default:
		rep.Unknown++
	}
}

// Report returns what has been gathered. Nil runs mean that the targets'
// counts were not read.
func (c *Collector) Report(runs *target.Runs) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	rep := c.report
	rep.Kinds = maps.Clone(rep.Kinds)
	rep.LatencyMS = percentiles(c.all.latency)
	rep.Routes = parts(c.routes)
	rep.Members = parts(c.members)
	rep.DuplicateRuns, rep.FalseNotRun = -1, -1
	if runs != nil {
		rep.DuplicateRuns = runs.Duplicates()
		rep.FalseNotRun = c.falseNotRun(runs)
	}
	return rep
}

// falseNotRun counts the requests that ran although told otherwise.
func (c *Collector) falseNotRun(runs *target.Runs) int {
	n := 0
	for _, nonce := range c.notRun {
		if runs.NonIdempotent[nonce] > 0 {
			n++
		}
	}
	return n
}

func parts(m map[string]*series) map[string]Part {
	out := make(map[string]Part, len(m))
	for name, s := range m {
		out[name] = s.part()
	}
	return out
}

// Broken lists the invariants that the report shows broken.
func (r Report) Broken() []string {
	var broken []string
	add := func(n int, what string) {
		if n > 0 {
			broken = append(broken, what)
		}
	}
	add(r.WrongAnswers, "a caller got a wrong answer")
	add(r.DuplicateRuns, "a request that must not run twice ran twice")
	add(r.FalseNotRun, "a request ran although its caller was told that it did not")
	return broken
}
