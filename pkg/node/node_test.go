package node

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeCluster is a Cluster whose state a test sets.
type fakeCluster struct {
	updates     chan struct{}
	tables      atomic.Pointer[table.Tables]
	list        atomic.Pointer[[]platform.Instance]
	self        platform.Instance
	leaveCalls  atomic.Int32
	returnCalls atomic.Int32
	// unresponsive makes Leave block until its context ends.
	unresponsive atomic.Bool
	// noLease makes HasHeldLease return false.
	noLease atomic.Bool
	// returnDelay is how long ReturnShares takes, and returnsDone counts its successful
	// calls.
	returnDelay time.Duration
	returnsDone atomic.Int32
	// unreachableCells is the result of UnreachableCells.
	unreachableCells []string
}

func (f *fakeCluster) Run(ctx context.Context) error        { <-ctx.Done(); return nil }
func (f *fakeCluster) Updates() <-chan struct{}             { return f.updates }
func (f *fakeCluster) Tables() *table.Tables                { return f.tables.Load() }
func (f *fakeCluster) RejectedVersion() uint64              { return 0 }
func (f *fakeCluster) Instances() []platform.Instance       { return *f.list.Load() }
func (f *fakeCluster) Members() ([]platform.Instance, bool) { return *f.list.Load(), true }
func (f *fakeCluster) UnreachableCells() []string           { return f.unreachableCells }
func (f *fakeCluster) Summaries() []steer.ZoneSummary       { return nil }

func (f *fakeCluster) Leave(ctx context.Context) error {
	f.leaveCalls.Add(1)
	if f.unresponsive.Load() {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (f *fakeCluster) HasHeldLease() bool { return !f.noLease.Load() }

func (f *fakeCluster) ReturnShares(ctx context.Context) error {
	f.returnCalls.Add(1)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(f.returnDelay):
	}
	f.returnsDone.Add(1)
	return nil
}

func (f *fakeCluster) Shares() steer.Shares {
	return EqualSplit(f.tables.Load(), *f.list.Load(), f.self, time.Now().Add(time.Hour))
}

// testInstance is an instance under test with its fake cluster.
type testInstance struct {
	*Node
	cluster *fakeCluster
	stop    context.CancelFunc
	done    chan error
}

func (inst *testInstance) url() string { return "http://" + inst.self.CallerAddress }

// startInstance opens the listeners of an instance and creates its Node; run serves
// it.
func startInstance(t testing.TB, id, zone string) *testInstance {
	t.Helper()
	return startInstanceWith(t, id, zone, func(*settings.Settings) {})
}

// startInstanceWith is startInstance with settings that configure changes.
func startInstanceWith(t testing.TB, id, zone string, configure func(s *settings.Settings)) *testInstance {
	t.Helper()
	s := settings.Default()
	s.Leave.MinLookupTTL = settings.Duration(20 * time.Millisecond)
	s.Probe.Interval = settings.Duration(20 * time.Millisecond)
	configure(&s)
	var ls Listeners
	for _, p := range []*net.Listener{&ls.Caller, &ls.Hop, &ls.Admin} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		*p = ln
	}
	self := platform.Instance{
		ID: id, Zone: zone, Region: "osrednja", Incarnation: "i1",
		CallerAddress: ls.Caller.Addr().String(), HopAddress: ls.Hop.Addr().String(), AdminAddress: ls.Admin.Addr().String(),
	}
	c := &fakeCluster{updates: make(chan struct{}, 1), self: self}
	c.list.Store(&[]platform.Instance{self})
	n := New(Config{Settings: &s, Self: self, Listeners: ls, Cluster: c, Log: zap.NewNop(), Seed: 1})
	return &testInstance{Node: n, cluster: c, done: make(chan error, 1)}
}

// run serves inst with the given tables and list until the test ends.
func (inst *testInstance) run(t testing.TB, tables *table.Tables, list ...platform.Instance) {
	t.Helper()
	inst.cluster.tables.Store(tables.WithDefaults())
	if len(list) > 0 {
		inst.cluster.list.Store(&list)
	}
	inst.applyUpdates()
	inst.applyUpdates() // a second call must change nothing
	ctx, stop := context.WithCancel(context.Background())
	inst.stop = stop
	go func() { inst.done <- inst.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-inst.done; err != nil {
			t.Error(err)
		}
		inst.done <- nil
		http.DefaultClient.CloseIdleConnections()
	})
}

// oneTarget returns tables with one route and one target.
func oneTarget(address, zone string) *table.Tables {
	return &table.Tables{
		Version: 1,
		Routes:  []table.Route{{Name: "feedlog", PathPrefix: "/feedlog", Pools: []table.PoolWeight{{Pool: "feedlog-osrednja", Weight: 1}}, LookupTTL: table.Duration(20 * time.Millisecond)}},
		Pools: []table.Pool{{
			Name: "feedlog-osrednja", Region: "osrednja", ShiftCap: 1,
			Targets: []table.Target{{Name: "t1", Address: address, Zone: zone, Slots: 8}},
		}},
		Regions: []table.Region{{Name: "osrednja"}},
	}
}

// startTarget serves h and the health and load endpoints of a target until the test
// ends. It returns the target's address.
func startTarget(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	return serveTarget(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case wire.PathTargetHealth:
		case wire.PathTargetLoad:
			writeJSON(w, wire.TargetLoad{Slots: 8, Incarnation: "t"})
		default:
			h(w, r)
		}
	})
}

// serveTarget serves h alone until the test ends. It returns the target's address.
func serveTarget(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// echo responds with the method, URI and body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Write([]byte(r.Method + " " + r.URL.RequestURI() + " " + string(b)))
}

// get sends a GET request and returns the response and its body.
func get(t *testing.T, url string) (*http.Response, string) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(b)
}

func TestRequestIsForwardedWithItsOutcome(t *testing.T) {
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.run(t, oneTarget(startTarget(t, echo), "osrednja-a"))
	resp, err := http.Post(inst.url()+"/feedlog/loads?x=%2F", "text/plain", strings.NewReader("manure"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	if string(b) != "POST /feedlog/loads?x=%2F manure" {
		t.Errorf("body = %q", b)
	}
	if o := resp.Header.Get(wire.HeaderOutcome); o != "completed" {
		t.Errorf("outcome %q, want completed", o)
	}
	if resp.Header.Get(wire.HeaderTarget) != "t1" || resp.Header.Get(wire.HeaderInstance) != "a-1" {
		t.Errorf("target or instance is wrong in header %v", resp.Header)
	}
}

func TestRequestForAnotherZoneTakesOneHop(t *testing.T) {
	tables := oneTarget(startTarget(t, echo), "osrednja-b")
	a, b := startInstance(t, "a-1", "osrednja-a"), startInstance(t, "b-1", "osrednja-b")
	a.run(t, tables, a.self, b.self)
	b.run(t, tables, a.self, b.self)
	resp, body := get(t, a.url()+"/feedlog/x")
	if body != "GET /feedlog/x " || resp.Header.Get(wire.HeaderOutcome) != "completed" {
		t.Errorf("body %q, header %v", body, resp.Header)
	}
	if resp.Header.Get(wire.HeaderInstance) != "a-1" || resp.Header.Get(wire.HeaderTarget) != "t1" {
		t.Errorf("target or instance is wrong in header %v", resp.Header)
	}
}

func TestUnknownRouteIsRefusedAtOnce(t *testing.T) {
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.run(t, oneTarget("127.0.0.1:1", "osrednja-a"))
	resp, body := get(t, inst.url()+"/other")
	var e wire.ErrorBody
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 404 || e.Kind != "unknown-route" || e.Outcome != "not-run" || resp.Header.Get(wire.HeaderKind) != e.Kind {
		t.Errorf("status %d, error %+v", resp.StatusCode, e)
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.run(t, oneTarget(address, "osrednja-a"))
	resp, _ := get(t, inst.url()+"/feedlog")
	if resp.Header.Get(wire.HeaderOutcome) != "not-run" || resp.Header.Get("Retry-After") != "1" || resp.Header.Get(wire.HeaderRetryAfterMS) != "1000" {
		t.Errorf("outcome or retry time is wrong in header %v", resp.Header)
	}
}

func TestLookupNamesInstancesByZone(t *testing.T) {
	inst := startInstance(t, "a-1", "osrednja-a")
	other := platform.Instance{ID: "b-1", Zone: "osrednja-b", Region: "osrednja", CallerAddress: "127.0.0.1:9", HopAddress: "127.0.0.1:8"}
	leaving := platform.Instance{ID: "b-2", Zone: "osrednja-b", Region: "osrednja", Leaving: true}
	inst.run(t, oneTarget("127.0.0.1:1", "osrednja-a"), inst.self, other, leaving)
	_, body := get(t, inst.url()+wire.PathLookup+"?route=feedlog")
	var a wire.LookupAnswer
	if err := json.Unmarshal([]byte(body), &a); err != nil {
		t.Fatal(err)
	}
	if len(a.Instances) != 2 || a.Instances[0].ID != "a-1" || a.Instances[1].ID != "b-1" || a.Instances[1].Order != 1 || a.TTLMS <= 0 {
		t.Errorf("lookup response %+v", a)
	}
}

// TestStopCompletesRequestsInFlight stops an instance with a request in flight. New
// requests must be refused, the one in flight must complete, and the shares must not
// be returned before.
func TestStopCompletesRequestsInFlight(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.run(t, oneTarget(startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		w.Write([]byte("whole"))
	}), "osrednja-a"))
	bodies := make(chan string, 1)
	go func() {
		_, body := get(t, inst.url()+"/feedlog")
		bodies <- body
	}()
	<-started
	inst.stop()
	for !inst.refusesRequests() {
		time.Sleep(time.Millisecond)
	}
	if resp, _ := get(t, inst.url()+"/feedlog"); resp.Header.Get(wire.HeaderKind) != "leaving" {
		t.Errorf("kind = %q, want leaving", resp.Header.Get(wire.HeaderKind))
	}
	if inst.cluster.returnCalls.Load() != 0 {
		t.Error("returned its shares with a request in flight")
	}
	close(release)
	if body := <-bodies; body != "whole" {
		t.Errorf("body %q of the request in flight", body)
	}
	if err := <-inst.done; err != nil {
		t.Error(err)
	}
	inst.done <- nil
	if inst.cluster.leaveCalls.Load() != 1 || inst.cluster.returnCalls.Load() != 1 {
		t.Errorf("announced %d times that it leaves, returned its shares %d times, want 1 each", inst.cluster.leaveCalls.Load(), inst.cluster.returnCalls.Load())
	}
}
