package telemetry

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

const (
	// reportInterval is the time between two reports to the exposition.
	reportInterval = time.Second
	// maxSeries bounds the label sets of one metric; beyond it they are
	// counted under the member "other".
	maxSeries = 4096
	// otherMember stands for the members beyond the bound.
	otherMember = "other"
)

// latencyBuckets run from 1 ms to about 16 s, each double the one before.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// drainBuckets run from 100 ms to about 14 minutes.
var drainBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Millisecond, 2, 14)

// Labels tell the series of requests apart. All values but Member come from
// the tables and the closed list of kinds.
type Labels struct {
	Route   string
	Pool    string
	Zone    string
	Member  string
	Outcome string
	Kind    string
}

// Metrics counts requests and measures latency, headroom and drain time.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler

	series      sync.Map // of *series by Labels
	seriesCount atomic.Int64
}

// requestSeries are the metrics of one label set.
type requestSeries struct {
	requests tally.Counter
	latency  tally.Histogram
}

// NewMetrics returns metrics with a registry of their own.
func NewMetrics(instance, zone string) *Metrics {
	r := promreporter.NewReporter(promreporter.Options{Registerer: prometheus.NewRegistry()})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "jacinthramp",
		Tags:                   map[string]string{"instance": instance, "instance_zone": zone},
		CachedReporter:         r,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, handler: r.HTTPHandler()}
}

// sanitizeOptions keeps names within the exposition's rules, and values as they are.
func sanitizeOptions() *tally.SanitizeOptions {
	o := promreporter.DefaultSanitizerOpts
	o.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', utf8.MaxRune}}}
	return &o
}

// Handler serves the usual text exposition. It may be a second behind.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close ends the reports.
func (m *Metrics) Close() error { return m.closer.Close() }

// RecordRequest counts one request and its time to the end of the answer.
func (m *Metrics) RecordRequest(l Labels, took time.Duration) {
	s := m.seriesOf(l)
	s.requests.Inc(1)
	s.latency.RecordDuration(took)
}

// seriesOf returns the series of l, which is made on its first use.
func (m *Metrics) seriesOf(l Labels) *requestSeries {
	if s, ok := m.series.Load(l); ok {
		return s.(*requestSeries)
	}
	if m.seriesCount.Add(1) > maxSeries && l.Member != otherMember {
		l.Member = otherMember
		return m.seriesOf(l)
	}
	tagged := m.scope.Tagged(map[string]string{
		"route": l.Route, "pool": l.Pool, "zone": l.Zone, "member": l.Member, "outcome": l.Outcome, "kind": l.Kind,
	})
	s, _ := m.series.LoadOrStore(l, &requestSeries{
		requests: tagged.Counter("requests"),
		latency:  tagged.Histogram("latency_seconds", latencyBuckets),
	})
	return s.(*requestSeries)
}

// RecordPool reports the state of a pool as this instance sees it: its slots,
// those in use, and the requests that wait.
func (m *Metrics) RecordPool(pool string, slots, inFlight, queued int) {
	s := m.scope.Tagged(map[string]string{"pool": pool})
	s.Gauge("pool_slots").Update(float64(slots))
	s.Gauge("pool_in_flight").Update(float64(inFlight))
	s.Gauge("pool_queued").Update(float64(queued))
	free := 0.0
	if slots > 0 {
		free = float64(max(slots-inFlight, 0)) / float64(slots)
	}
	s.Gauge("pool_headroom_ratio").Update(free)
}

// RecordDrain measures the time from a target's first sign of leaving to the end of
// its last request.
func (m *Metrics) RecordDrain(target string, took time.Duration) {
	m.scope.Tagged(map[string]string{"target": target}).Histogram("drain_seconds", drainBuckets).RecordDuration(took)
}

// CountTargetNotice counts what targets have said of themselves: that they are leaving,
// that they want no requests for a time, or such a time that can't be read.
func (m *Metrics) CountTargetNotice(kind string) {
	m.scope.Tagged(map[string]string{"notice": kind}).Counter("target_notices").Inc(1)
}

// CountPanic counts a panic that ended one request or message only.
func (m *Metrics) CountPanic() { m.scope.Counter("panics").Inc(1) }
