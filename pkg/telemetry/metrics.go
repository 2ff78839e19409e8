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
	// reportInterval is the time between two updates of the exposed values.
	reportInterval = time.Second
	// maxSeries bounds the label sets of the request metrics. Further label sets
	// are counted under the member "other".
	maxSeries = 4096
	// otherMember is the member label of requests beyond maxSeries.
	otherMember = "other"
)

// latencyBuckets double from 1 ms to about 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// drainBuckets double from 100 ms to about 14 minutes.
var drainBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Millisecond, 2, 14)

// Labels are the labels of the request metrics. The values of all but Member come
// from the tables and the closed set of outcomes and kinds, so only Member can
// grow the number of series without bound.
type Labels struct {
	Route   string
	Pool    string
	Zone    string
	Member  string
	Outcome string
	Kind    string
}

// Metrics records requests, latency, headroom and drain times.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler

	series      sync.Map // maps Labels to *requestSeries
	seriesCount atomic.Int64

	workspaces     sync.Map // the names of workspaces with metrics of their own
	workspaceCount atomic.Int64
}

// requestSeries holds the metrics of one label set.
type requestSeries struct {
	requests tally.Counter
	latency  tally.Histogram
}

// NewMetrics returns metrics with their own registry. Every series has the labels
// instance and instance_zone.
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

// sanitizeOptions returns options that restrict names to the characters Prometheus
// accepts and leave label values unchanged.
func sanitizeOptions() *tally.SanitizeOptions {
	o := promreporter.DefaultSanitizerOpts
	o.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', utf8.MaxRune}}}
	return &o
}

// Handler serves the Prometheus exposition. Values may be up to one second old.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close stops the updates of the exposed values.
func (m *Metrics) Close() error { return m.closer.Close() }

// RecordRequest counts one request and records its time to the end of the
// response.
func (m *Metrics) RecordRequest(l Labels, took time.Duration) {
	s := m.seriesOf(l)
	s.requests.Inc(1)
	s.latency.RecordDuration(took)
}

// seriesOf returns the series of l and creates it on first use.
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

// RecordPool records the state of a pool at this instance: its slots, the requests
// in flight and the queued requests.
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

// RecordWorkFactor records what the targets of a pool last reported about how long work
// takes there, as multiples of the usual time, and the mean age of these reports. A series
// for each target would take more memory than the smallest instances have to spare.
func (m *Metrics) RecordWorkFactor(pool string, mean, highest float64, age time.Duration) {
	s := m.scope.Tagged(map[string]string{"pool": pool})
	s.Gauge("pool_work_factor_mean").Update(mean)
	s.Gauge("pool_work_factor_max").Update(highest)
	s.Gauge("pool_work_factor_age_seconds").Update(age.Seconds())
}

// RecordDrain records the time from a target's first leaving notice to the end of
// its last request.
func (m *Metrics) RecordDrain(target string, took time.Duration) {
	m.scope.Tagged(map[string]string{"target": target}).Histogram("drain_seconds", drainBuckets).RecordDuration(took)
}

// RecordChangeAge records for how long a change of the tables may have been in the
// platform's store when this instance put it in force.
func (m *Metrics) RecordChangeAge(age time.Duration) {
	m.scope.Histogram("change_age_seconds", latencyBuckets).RecordDuration(age)
}

// CountTargetNotice counts a notice that a target has sent with a response: that it
// is leaving, that it requests a backoff, that its rate limit has changed or ended, or a
// value that is malformed.
func (m *Metrics) CountTargetNotice(kind string) {
	m.scope.Tagged(map[string]string{"notice": kind}).Counter("target_notices").Inc(1)
}

// CountRefusedEntries counts entries of the platform's store that could not be read or make
// no sense.
func (m *Metrics) CountRefusedEntries(n int) { m.scope.Counter("refused_entries").Inc(int64(n)) }

// CountRateLimitedRequest counts an attempt at a target that has announced a rate limit.
func (m *Metrics) CountRateLimitedRequest() { m.scope.Counter("rate_limited_requests").Inc(1) }

// CountMemoryRefusals counts reservations of bounded memory that were refused.
func (m *Metrics) CountMemoryRefusals(use string, n int64) {
	m.scope.Tagged(map[string]string{"use": use}).Counter("memory_refusals").Inc(n)
}

// CountCallerStall counts a caller that was cut off because it did not take its response.
func (m *Metrics) CountCallerStall() { m.scope.Counter("caller_stalls").Inc(1) }

// RecordHeld records the bytes of responses that are held for callers that have not read
// them yet, and the number of responses that wait for room.
func (m *Metrics) RecordHeld(bytes int64, waiting int) {
	m.scope.Gauge("held_bytes").Update(float64(bytes))
	m.scope.Gauge("held_waiting").Update(float64(waiting))
}

// CountDisallowedAttempt counts an attempt whose first byte was sent to a target although
// the tables in force did not allow the request its pool or region.
func (m *Metrics) CountDisallowedAttempt() { m.scope.Counter("disallowed_attempts").Inc(1) }

// CountLookup counts a lookup response by the scope of the instances that it names.
func (m *Metrics) CountLookup(scope string) {
	m.scope.Tagged(map[string]string{"scope": scope}).Counter("lookups").Inc(1)
}

// CountDials counts connections opened to targets and instances, by cause.
func (m *Metrics) CountDials(cause string, n int64) {
	m.scope.Tagged(map[string]string{"cause": cause}).Counter("dials").Inc(n)
}

// RecordConnections records the connections of this instance to the targets of a pool:
// those that are open or being opened, and of these those that carry no request.
func (m *Metrics) RecordConnections(pool string, open, idle int) {
	s := m.scope.Tagged(map[string]string{"pool": pool})
	s.Gauge("connections_open").Update(float64(open))
	s.Gauge("connections_idle").Update(float64(idle))
}

// CountPanic counts a recovered panic, which affected one request or message only.
func (m *Metrics) CountPanic() { m.scope.Counter("panics").Inc(1) }
