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
	minLatencyMicros   = 1
	maxLatencyMicros   = 10 * 60 * 1_000_000
	significantFigures = 3
)

// Report holds the results of a load run. All figures are counted by the
// callers and the target stand-ins, not by the system under test.
type Report struct {
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	NotRun    int `json:"not_run"`
	Unknown   int `json:"unknown"`
	// WrongResponses counts responses that were not the complete response to
	// their request.
	WrongResponses int `json:"wrong_answers"`
	// DuplicateRuns counts the runs of non-idempotent requests beyond the first
	// run of each; -1 if the targets' counts were not read.
	DuplicateRuns int `json:"duplicate_runs"`
	// FalseNotRun counts requests that ran although the last response stated
	// "not run"; -1 if the targets' counts were not read.
	FalseNotRun int `json:"false_not_run"`
	// AbortedSubmissions counts submissions whose connection broke before the end
	// of the response.
	AbortedSubmissions int `json:"cut_off"`
	// TimedOut counts submissions without a response by responseGrace after the
	// deadline of their request.
	TimedOut int `json:"unanswered"`
	// TargetErrors counts completed requests with a status other than 200.
	TargetErrors int `json:"target_errors"`
	// Submissions counts all submissions, including repeats.
	Submissions int `json:"submissions"`
	// ErrorKinds counts, by error kind, the error responses that instances
	// generated, including those after which a repeat completed.
	ErrorKinds map[string]int `json:"kinds,omitempty"`
	// LatencyMS covers all completed requests, in milliseconds.
	LatencyMS Percentiles `json:"latency_ms"`
	// Routes and Members break the counts down.
	Routes  map[string]GroupStats `json:"routes"`
	Members map[string]GroupStats `json:"members"`
	// Mismatches describes the first wrong responses, at most maxMismatches.
	Mismatches []string `json:"wrong,omitempty"`
}

// GroupStats holds the counts and latencies of one route or member.
type GroupStats struct {
	Requests  int         `json:"requests"`
	Completed int         `json:"completed"`
	LatencyMS Percentiles `json:"latency_ms"`
}

// Percentiles holds percentiles of the time from when a request was due until
// its response was complete, in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// maxMismatches is the largest number of wrong responses that a report
// describes.
const maxMismatches = 10

// statsRecorder collects the counts and latencies of one group of requests.
type statsRecorder struct {
	requests  int
	completed int
	latency   *hdrhistogram.Histogram
}

func newStatsRecorder() *statsRecorder {
	return &statsRecorder{latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantFigures)}
}

func (s *statsRecorder) record(completed bool, took time.Duration) {
	s.requests++
	if completed {
		s.completed++
		_ = s.latency.RecordValue(min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros))
	}
}

func (s *statsRecorder) stats() GroupStats {
	return GroupStats{Requests: s.requests, Completed: s.completed, LatencyMS: percentiles(s.latency)}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	return Percentiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000}
}

// Collector collects the results of requests. It is safe for concurrent use.
type Collector struct {
	mu      sync.Mutex
	report  Report
	total   *statsRecorder
	routes  map[string]*statsRecorder
	members map[string]*statsRecorder
	// notRunNonces holds the nonces of the non-idempotent requests whose last
	// outcome was "not run".
	notRunNonces []string
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector {
	return &Collector{report: Report{ErrorKinds: map[string]int{}}, total: newStatsRecorder(), routes: map[string]*statsRecorder{}, members: map[string]*statsRecorder{}}
}

// Add records the result of r. took is the time since r was due.
func (c *Collector) Add(r Request, res Result, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addCounts(r, res)
	completed := res.Outcome == fault.OutcomeCompleted
	c.total.record(completed, took)
	recorderOf(c.routes, r.Route).record(completed, took)
	recorderOf(c.members, r.Member).record(completed, took)
}

func recorderOf(m map[string]*statsRecorder, name string) *statsRecorder {
	s, ok := m[name]
	if !ok {
		s = newStatsRecorder()
		m[name] = s
	}
	return s
}

func (c *Collector) addCounts(r Request, res Result) {
	rep := &c.report
	rep.Requests++
	rep.Submissions += res.Submissions
	rep.AbortedSubmissions += res.AbortedSubmissions
	rep.TimedOut += res.TimedOut
	for _, kind := range res.ErrorKinds {
		rep.ErrorKinds[kind]++
	}
	if res.Mismatch != nil {
		rep.WrongResponses++
		if len(rep.Mismatches) < maxMismatches {
			rep.Mismatches = append(rep.Mismatches, r.Route+": "+res.Mismatch.Error())
		}
	}
	switch res.Outcome {
	case fault.OutcomeCompleted:
		rep.Completed++
		if res.Status != 200 {
			rep.TargetErrors++
		}
		return
	case fault.OutcomeNotRun:
		rep.NotRun++
		if r.NonIdempotent {
			c.notRunNonces = append(c.notRunNonces, r.Nonce)
		}
	default:
		rep.Unknown++
	}
}

// Report returns the collected results. A nil runs means that the targets'
// counts were not read.
func (c *Collector) Report(runs *target.Runs) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	rep := c.report
	rep.ErrorKinds = maps.Clone(rep.ErrorKinds)
	rep.LatencyMS = percentiles(c.total.latency)
	rep.Routes = statsOf(c.routes)
	rep.Members = statsOf(c.members)
	rep.DuplicateRuns, rep.FalseNotRun = -1, -1
	if runs != nil {
		rep.DuplicateRuns = runs.Duplicates()
		rep.FalseNotRun = c.countFalseNotRun(runs)
	}
	return rep
}

// countFalseNotRun counts the requests that ran although their outcome was
// "not run".
func (c *Collector) countFalseNotRun(runs *target.Runs) int {
	n := 0
	for _, nonce := range c.notRunNonces {
		if runs.NonIdempotent[nonce] > 0 {
			n++
		}
	}
	return n
}

func statsOf(m map[string]*statsRecorder) map[string]GroupStats {
	out := make(map[string]GroupStats, len(m))
	for name, s := range m {
		out[name] = s.stats()
	}
	return out
}

// Violations describes the invariants that the report shows to be violated.
func (r Report) Violations() []string {
	var violations []string
	add := func(n int, description string) {
		if n > 0 {
			violations = append(violations, description)
		}
	}
	add(r.WrongResponses, "a caller received a wrong response")
	add(r.DuplicateRuns, "a non-idempotent request ran more than once")
	add(r.FalseNotRun, "a request ran although its response stated that it did not run")
	return violations
}
