package target

import (
	"bytes"
	"context"
	"net/http"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/standin/exchange"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// fixture is a running target with its recorder and a client.
type fixture struct {
	t        *testing.T
	target   *Target
	recorder *Recorder
	url      string
	client   *http.Client
	nonces   int
	runLog   *bytes.Buffer
}

func newFixture(t *testing.T, c Config) *fixture {
	t.Helper()
	var log bytes.Buffer
	c.Name, c.Address = "t", "127.0.0.1:0"
	rec := NewRecorder(&log)
	target := New(c, rec)
	addr, err := target.Start()
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		target.Close()
	})
	return &fixture{t: t, target: target, recorder: rec, url: "http://" + addr, client: client, runLog: &log}
}

// nextRequest returns a request with a new nonce.
func (f *fixture) nextRequest() exchange.RequestSpec {
	f.nonces++
	return exchange.RequestSpec{
		Nonce: "n" + strconv.Itoa(f.nonces), Method: http.MethodPost, Path: "/x",
		BodyBytes: 1000, ResponseBytes: 70_000, NonIdempotent: true,
	}
}

// send sends s and returns the status and header of the response. If the status is
// 200, it also checks the response. edit, if not nil, changes the request first.
func (f *fixture) send(ctx context.Context, s exchange.RequestSpec, edit func(*http.Request)) (int, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, s.Method, f.url+s.Path, s.Body())
	if err != nil {
		f.t.Fatal(err)
	}
	s.SetHeader(req.Header)
	if edit != nil {
		edit(req)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, resp.Header, nil
	}
	return resp.StatusCode, resp.Header, exchange.CheckResponse(s, resp)
}

func (f *fixture) mustSucceed() {
	f.t.Helper()
	if status, _, err := f.send(f.t.Context(), f.nextRequest(), nil); status != http.StatusOK || err != nil {
		f.t.Fatalf("status %d, error %v", status, err)
	}
}

// eventually polls ok until it returns true, and fails the test after about 10
// seconds.
func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", condition)
}

func TestRunsAreCountedAndLogged(t *testing.T) {
	f := newFixture(t, Config{})
	s := f.nextRequest()
	for range 2 {
		if _, _, err := f.send(t.Context(), s, nil); err != nil {
			t.Fatal(err)
		}
	}
	f.mustSucceed()
	runs := f.recorder.Runs()
	if runs.Total != 3 || runs.NonIdempotent[s.Nonce] != 2 || runs.Duplicates() != 1 {
		t.Fatalf("runs: %+v", runs)
	}
	logged, err := ReadRunLog(f.runLog)
	if err != nil || !reflect.DeepEqual(logged, runs) {
		t.Fatalf("logged runs: %+v, error %v", logged, err)
	}
}

func TestFullQueueSheds(t *testing.T) {
	f := newFixture(t, Config{Slots: 1, Queue: new(1), Faults: Faults{Hang: true}})
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	for range 2 {
		s := f.nextRequest()
		wg.Go(func() { _, _, _ = f.send(ctx, s, nil) })
	}
	eventually(t, "one request runs and one is queued", func() bool {
		st := f.target.Stats()
		return st.Running == 1 && st.Queued == 1
	})
	status, header, err := f.send(t.Context(), f.nextRequest(), nil)
	if err != nil || status != http.StatusServiceUnavailable || header.Get(wire.HeaderTargetShed) != "true" {
		t.Fatalf("third request: status %d, header %v, error %v", status, header, err)
	}
	cancel()
	wg.Wait()
	eventually(t, "the cancelled requests have ended", func() bool {
		st := f.target.Stats()
		return st.Running == 0 && st.Queued == 0
	})
	if runs := f.recorder.Runs(); runs.Total > 2 {
		t.Fatalf("a shed request ran: %+v", runs)
	}
}

func TestDeadlineCancelsRun(t *testing.T) {
	f := newFixture(t, Config{Faults: Faults{Hang: true}})
	status, _, err := f.send(t.Context(), f.nextRequest(), func(r *http.Request) { r.Header.Set(wire.HeaderDeadlineMS, "20") })
	if err != nil || status != http.StatusGatewayTimeout {
		t.Fatalf("status %d, error %v", status, err)
	}
}

func TestColdFactorDecreasesWithRequests(t *testing.T) {
	s := newServiceTimes(Config{ServiceTime: table.Duration(time.Millisecond), ServiceTimeP99: table.Duration(time.Millisecond), ColdFactor: 5, WarmRequests: 4, Seed: 1})
	for i, want := range []time.Duration{5, 4, 3, 2, 1, 1} {
		if got := s.sample(); got != want*time.Millisecond {
			t.Fatalf("service time of request %d = %v, want %d ms", i, got, int(want))
		}
	}
}

func TestServiceTimeDistributionMatchesSettings(t *testing.T) {
	s := newServiceTimes(Config{ServiceTime: 1000, ServiceTimeP99: 10_000, ColdFactor: 1, WarmRequests: 1, Seed: 1})
	var aboveMedian, aboveP99 int
	const n = 20_000
	for range n {
		d := s.sample()
		if d > 1000 {
			aboveMedian++
		}
		if d > 10_000 {
			aboveP99++
		}
	}
	if aboveMedian < n*45/100 || aboveMedian > n*55/100 || aboveP99 < n*5/1000 || aboveP99 > n*15/1000 {
		t.Fatalf("of %d samples, %d are above the median and %d above the 99th percentile", n, aboveMedian, aboveP99)
	}
}

func TestStalledConnectionsDiscardDataAndNewOnesWork(t *testing.T) {
	f := newFixture(t, Config{})
	f.mustSucceed()
	f.target.StallConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, _, err := f.send(ctx, f.nextRequest(), nil); err == nil {
		t.Fatal("a stalled connection returned a response")
	}
	f.client.CloseIdleConnections()
	f.mustSucceed()
	if runs := f.recorder.Runs(); runs.Total != 2 {
		t.Fatalf("runs: %+v", runs)
	}
}

func TestCrashRequestRestartsTarget(t *testing.T) {
	f := newFixture(t, Config{RestartAfter: table.Duration(10 * time.Millisecond)})
	incarnation := f.target.loadReport().Incarnation
	crash := func(r *http.Request) { r.Header.Set(exchange.HeaderCrash, "true") }
	if status, _, err := f.send(t.Context(), f.nextRequest(), crash); err == nil {
		t.Fatalf("the request that crashed the target returned status %d", status)
	}
	eventually(t, "the target runs again", func() bool {
		_, _, err := f.send(t.Context(), f.nextRequest(), nil)
		return err == nil
	})
	if st := f.target.Stats(); st.Crashes != 1 || f.target.loadReport().Incarnation == incarnation {
		t.Fatalf("the target did not crash once and restart with a new incarnation: %+v", st)
	}
}

func TestDrainAnnouncesLeavingAndCompletesRequests(t *testing.T) {
	f := newFixture(t, Config{ServiceTime: table.Duration(200 * time.Millisecond), DrainGrace: new(table.Duration(100 * time.Millisecond))})
	var wg conc.WaitGroup
	s := f.nextRequest()
	var err error
	wg.Go(func() { _, _, err = f.send(t.Context(), s, nil) })
	eventually(t, "the request runs", func() bool { return f.target.Stats().Running == 1 })
	f.target.StartLeaving()
	if !f.target.loadReport().Leaving {
		t.Fatal("the load report omits the leaving notice")
	}
	if drainErr := f.target.Drain(t.Context()); drainErr != nil {
		t.Fatal(drainErr)
	}
	wg.Wait()
	if err != nil {
		t.Fatalf("the request in flight was aborted: %v", err)
	}
	if st := f.target.Stats(); st.Completed != 1 || st.AbortedRuns != 0 || !st.Leaving {
		t.Fatalf("stats: %+v", st)
	}
	if _, _, err := f.send(t.Context(), f.nextRequest(), nil); err == nil {
		t.Fatal("a stopped target returned a response")
	}
}

func TestLaggingAndFalseReports(t *testing.T) {
	f := newFixture(t, Config{Slots: 2, Queue: new(1), Faults: Faults{ReportLag: table.Duration(time.Hour)}})
	if f.target.loadReport().InFlight != 0 {
		t.Fatal("an idle target reports requests in flight")
	}
	f.target.updateStats(func(s *Stats) { s.Running = 2 })
	if got := f.target.loadReport().InFlight; got != 0 {
		t.Fatalf("a lagging report has %d requests in flight, want 0", got)
	}
	f.target.SetFaults(Faults{})
	if got := f.target.loadReport().InFlight; got != 2 {
		t.Fatalf("a current report has %d requests in flight, want 2", got)
	}
	f.target.SetFaults(Faults{FalseLoad: FalseReportGood})
	if got := f.target.loadReport().InFlight; got != 0 {
		t.Fatalf("a false report has %d requests in flight, want 0", got)
	}
	health := func(faults Faults) int {
		f.target.SetFaults(faults)
		resp, err := f.client.Get(f.url + wire.PathTargetHealth)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	if health(Faults{Shed: true}) != http.StatusServiceUnavailable || health(Faults{Shed: true, FalseHealth: FalseReportGood}) != http.StatusOK ||
		health(Faults{FalseHealth: FalseReportBad}) != http.StatusServiceUnavailable {
		t.Fatal("a health report has the wrong status")
	}
}

func TestMalformedResponsesFailTheCheck(t *testing.T) {
	for _, malformed := range []MalformedResponse{MalformedNotHTTP, MalformedTruncated} {
		f := newFixture(t, Config{Faults: Faults{Malformed: malformed}})
		if status, _, err := f.send(t.Context(), f.nextRequest(), nil); err == nil {
			t.Errorf("%s: response with status %d passed the check", malformed, status)
		}
	}
	f := newFixture(t, Config{Faults: Faults{Malformed: MalformedDuplicate}})
	s := f.nextRequest()
	s.ResponseBytes = 1
	if _, _, err := f.send(t.Context(), s, nil); err != nil {
		t.Errorf("the first of two responses failed the check: %v", err)
	}
}
