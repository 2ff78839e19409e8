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
func (b *fixture) nextRequest() exchange.RequestSpec {
	b.nonces++
	return exchange.RequestSpec{
		Nonce: "n" + strconv.Itoa(b.nonces), Method: http.MethodPost, Path: "/x",
		BodyBytes: 1000, ResponseBytes: 70_000, NonIdempotent: true,
	}
}

// send sends s and checks a response with status 200. edit, if not nil, changes the request first.
func (b *fixture) send(ctx context.Context, s exchange.RequestSpec, edit func(*http.Request)) (int, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, s.Method, b.url+s.Path, s.Body())
	if err != nil {
		b.t.Fatal(err)
	}
	s.SetHeader(req.Header)
	if edit != nil {
		edit(req)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, resp.Header, nil
	}
	return resp.StatusCode, resp.Header, exchange.CheckResponse(s, resp)
}

func (b *fixture) mustSucceed() {
	b.t.Helper()
	if status, _, err := b.send(b.t.Context(), b.nextRequest(), nil); status != http.StatusOK || err != nil {
		b.t.Fatalf("status %d, %v", status, err)
	}
}

// eventually polls until ok returns true, for about 10 seconds.
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
	b := newFixture(t, Config{})
	s := b.nextRequest()
	for range 2 {
		if _, _, err := b.send(t.Context(), s, nil); err != nil {
			t.Fatal(err)
		}
	}
	b.mustSucceed()
	runs := b.recorder.Runs()
	if runs.Total != 3 || runs.NonIdempotent[s.Nonce] != 2 || runs.Duplicates() != 1 {
		t.Fatalf("runs: %+v", runs)
	}
	logged, err := ReadRunLog(b.runLog)
	if err != nil || !reflect.DeepEqual(logged, runs) {
		t.Fatalf("logged runs: %+v, %v", logged, err)
	}
}

func TestFullQueueSheds(t *testing.T) {
	b := newFixture(t, Config{Slots: 1, Queue: 1, Faults: Faults{Hang: true}})
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	for range 2 {
		s := b.nextRequest()
		wg.Go(func() { _, _, _ = b.send(ctx, s, nil) })
	}
	eventually(t, "one request runs and one is queued", func() bool {
		st := b.target.Stats()
		return st.Running == 1 && st.Queued == 1
	})
	status, header, err := b.send(t.Context(), b.nextRequest(), nil)
	if err != nil || status != http.StatusServiceUnavailable || header.Get(wire.HeaderTargetShed) != "true" {
		t.Fatalf("third request: %d %v %v", status, header, err)
	}
	cancel()
	wg.Wait()
	eventually(t, "cancelled requests leave the target", func() bool {
		st := b.target.Stats()
		return st.Running == 0 && st.Queued == 0
	})
	if runs := b.recorder.Runs(); runs.Total > 2 {
		t.Fatalf("a shed request ran: %+v", runs)
	}
}

func TestDeadlineCancelsRun(t *testing.T) {
	b := newFixture(t, Config{Faults: Faults{Hang: true}})
	status, _, err := b.send(t.Context(), b.nextRequest(), func(r *http.Request) { r.Header.Set(wire.HeaderDeadlineMS, "20") })
	if err != nil || status != http.StatusGatewayTimeout {
		t.Fatalf("status %d, %v", status, err)
	}
}

func TestColdFactorDecreasesWithRequests(t *testing.T) {
	s := newServiceTimes(Config{ServiceTime: table.Duration(time.Millisecond), ServiceTimeP99: table.Duration(time.Millisecond), ColdFactor: 5, WarmRequests: 4, Seed: 1})
	for i, want := range []time.Duration{5, 4, 3, 2, 1, 1} {
		if got := s.sample(); got != want*time.Millisecond {
			t.Fatalf("request %d took %v, want %v ms", i, got, int(want))
		}
	}
}

func TestServiceTimeDistributionMatchesSettings(t *testing.T) {
	s := newServiceTimes(Config{ServiceTime: 1000, ServiceTimeP99: 10_000, ColdFactor: 1, WarmRequests: 1, Seed: 1})
	var above, tail int
	const n = 20_000
	for range n {
		d := s.sample()
		if d > 1000 {
			above++
		}
		if d > 10_000 {
			tail++
		}
	}
	if above < n*45/100 || above > n*55/100 || tail < n*5/1000 || tail > n*15/1000 {
		t.Fatalf("%d of %d above the median, %d above the 99th percentile", above, n, tail)
	}
}

func TestStalledConnectionsDropDataAndNewOnesWork(t *testing.T) {
	b := newFixture(t, Config{})
	b.mustSucceed()
	b.target.StallConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, _, err := b.send(ctx, b.nextRequest(), nil); err == nil {
		t.Fatal("a stalled connection returned a response")
	}
	b.client.CloseIdleConnections()
	b.mustSucceed()
	if runs := b.recorder.Runs(); runs.Total != 2 {
		t.Fatalf("runs: %+v", runs)
	}
}

func TestCrashRequestRestartsTarget(t *testing.T) {
	b := newFixture(t, Config{RestartAfter: table.Duration(10 * time.Millisecond)})
	incarnation := b.target.loadReport().Incarnation
	crash := func(r *http.Request) { r.Header.Set(exchange.HeaderCrash, "true") }
	if status, _, err := b.send(t.Context(), b.nextRequest(), crash); err == nil {
		t.Fatalf("the request that crashed the target returned status %d", status)
	}
	eventually(t, "the target runs again", func() bool {
		_, _, err := b.send(t.Context(), b.nextRequest(), nil)
		return err == nil
	})
	if st := b.target.Stats(); st.Crashes != 1 || b.target.loadReport().Incarnation == incarnation {
		t.Fatalf("stats: %+v", st)
	}
}

func TestDrainAnnouncesLeavingAndCompletesRequests(t *testing.T) {
	b := newFixture(t, Config{ServiceTime: table.Duration(200 * time.Millisecond), DrainGrace: table.Duration(100 * time.Millisecond)})
	var wg conc.WaitGroup
	s := b.nextRequest()
	var err error
	wg.Go(func() { _, _, err = b.send(t.Context(), s, nil) })
	eventually(t, "the request runs", func() bool { return b.target.Stats().Running == 1 })
	b.target.StartLeaving()
	if !b.target.loadReport().Leaving {
		t.Fatal("the load report omits the leaving notice")
	}
	if drainErr := b.target.Drain(t.Context()); drainErr != nil {
		t.Fatal(drainErr)
	}
	wg.Wait()
	if err != nil {
		t.Fatalf("the request in flight was aborted: %v", err)
	}
	if st := b.target.Stats(); st.Completed != 1 || st.AbortedRuns != 0 || !st.Leaving {
		t.Fatalf("stats: %+v", st)
	}
	if _, _, err := b.send(t.Context(), b.nextRequest(), nil); err == nil {
		t.Fatal("a stopped target returned a response")
	}
}

func TestReportsLagAndFalseReports(t *testing.T) {
	b := newFixture(t, Config{Slots: 2, Queue: 1, Faults: Faults{ReportLag: table.Duration(time.Hour)}})
	if b.target.loadReport().InFlight != 0 {
		t.Fatal("an idle target reports requests in flight")
	}
	b.target.updateStats(func(s *Stats) { s.Running = 2 })
	if got := b.target.loadReport().InFlight; got != 0 {
		t.Fatalf("a lagging report has %d requests in flight", got)
	}
	b.target.SetFaults(Faults{})
	if got := b.target.loadReport().InFlight; got != 2 {
		t.Fatalf("a fresh report has %d requests in flight", got)
	}
	b.target.SetFaults(Faults{FalseLoad: FalseReportGood})
	if got := b.target.loadReport().InFlight; got != 0 {
		t.Fatalf("a false report has %d requests in flight", got)
	}
	health := func(f Faults) int {
		b.target.SetFaults(f)
		resp, err := b.client.Get(b.url + wire.PathTargetHealth)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	if health(Faults{Shed: true}) != http.StatusServiceUnavailable || health(Faults{Shed: true, FalseHealth: FalseReportGood}) != http.StatusOK ||
		health(Faults{FalseHealth: FalseReportBad}) != http.StatusServiceUnavailable {
		t.Fatal("health reports")
	}
}

func TestMalformedResponsesFailTheCheck(t *testing.T) {
	for _, g := range []MalformedResponse{MalformedNotHTTP, MalformedTruncated} {
		b := newFixture(t, Config{Faults: Faults{Malformed: g}})
		if status, _, err := b.send(t.Context(), b.nextRequest(), nil); err == nil {
			t.Errorf("%s: response with status %d passed the check", g, status)
		}
	}
	b := newFixture(t, Config{Faults: Faults{Malformed: MalformedDuplicate}})
	s := b.nextRequest()
	s.ResponseBytes = 1
	if _, _, err := b.send(t.Context(), s, nil); err != nil {
		t.Errorf("the first of two responses must pass the check, got %v", err)
	}
}
