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

// fakeCluster is a Cluster whose views a test sets.
type fakeCluster struct {
	updates  chan struct{}
	tables   atomic.Pointer[table.Tables]
	list     atomic.Pointer[[]platform.Instance]
	self     platform.Instance
	left     atomic.Int32
	returned atomic.Int32
	// silent makes the platform not answer when it is told of the leaving.
	silent atomic.Bool
	// unshared is set until this instance gets its part of the zone's slots.
	unshared atomic.Bool
	// slow is how long the platform takes for the hand back, and handedBack
	// counts those that it has taken in.
	slow       time.Duration
	handedBack atomic.Int32
	// silentCells are the other cells that nothing is heard from.
	silentCells []string
}

func (f *fakeCluster) Run(ctx context.Context) error  { <-ctx.Done(); return nil }
func (f *fakeCluster) Updates() <-chan struct{}       { return f.updates }
func (f *fakeCluster) Tables() *table.Tables          { return f.tables.Load() }
func (f *fakeCluster) RejectedVersion() uint64        { return 0 }
func (f *fakeCluster) Instances() []platform.Instance { return *f.list.Load() }
func (f *fakeCluster) UnreachableCells() []string     { return f.silentCells }
func (f *fakeCluster) Summaries() []steer.ZoneSummary { return nil }

func (f *fakeCluster) Leave(ctx context.Context) error {
	f.left.Add(1)
	if f.silent.Load() {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (f *fakeCluster) HasHeldLease() bool { return !f.unshared.Load() }

func (f *fakeCluster) ReturnShares(ctx context.Context) error {
	f.returned.Add(1)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(f.slow):
	}
	f.handedBack.Add(1)
	return nil
}

func (f *fakeCluster) Shares() steer.Shares {
	return EqualSplit(f.tables.Load(), *f.list.Load(), f.self, time.Now().Add(time.Hour))
}

// member is a running instance of a test.
type member struct {
	*Node
	cluster *fakeCluster
	stop    context.CancelFunc
	done    chan error
}

func (m *member) url() string { return "http://" + m.self.CallerAddress }

// startMember opens the listeners of an instance; run serves it.
func startMember(t testing.TB, id, zone string) *member {
	t.Helper()
	s := settings.Default()
	s.Leave.MinLookupTTL = settings.Duration(20 * time.Millisecond)
	s.Probe.Interval = settings.Duration(20 * time.Millisecond)
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
	return &member{Node: n, cluster: c, done: make(chan error, 1)}
}

// run serves m with the given tables and list until the test ends.
func (m *member) run(t testing.TB, tables *table.Tables, list ...platform.Instance) {
	t.Helper()
	m.cluster.tables.Store(tables.WithDefaults())
	if len(list) > 0 {
		m.cluster.list.Store(&list)
	}
	m.takeNews()
	m.takeNews() // a second one changes nothing
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	go func() { m.done <- m.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-m.done; err != nil {
			t.Error(err)
		}
		m.done <- nil
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

// startTarget serves h until the test ends, beside a target's own endpoints.
func startTarget(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	return startBare(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case wire.PathTargetHealth:
		case wire.PathTargetLoad:
			writeJSON(w, wire.TargetLoad{Slots: 8, Incarnation: "t"})
		default:
			h(w, r)
		}
	})
}

// startBare serves h until the test ends.
func startBare(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func echo(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Write([]byte(r.Method + " " + r.URL.RequestURI() + " " + string(b)))
}

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
	m := startMember(t, "a-1", "osrednja-a")
	m.run(t, oneTarget(startTarget(t, echo), "osrednja-a"))
	resp, err := http.Post(m.url()+"/feedlog/loads?x=%2F", "text/plain", strings.NewReader("manure"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	if string(b) != "POST /feedlog/loads?x=%2F manure" {
		t.Errorf("body = %q", b)
	}
	if o := resp.Header.Get(wire.HeaderOutcome); o != "completed" {
		t.Errorf("outcome = %q", o)
	}
	if resp.Header.Get(wire.HeaderTarget) != "t1" || resp.Header.Get(wire.HeaderInstance) != "a-1" {
		t.Errorf("header = %v", resp.Header)
	}
}

func TestRequestForAnotherZoneTakesOneHop(t *testing.T) {
	tables := oneTarget(startTarget(t, echo), "osrednja-b")
	a, b := startMember(t, "a-1", "osrednja-a"), startMember(t, "b-1", "osrednja-b")
	a.run(t, tables, a.self, b.self)
	b.run(t, tables, a.self, b.self)
	resp, body := get(t, a.url()+"/feedlog/x")
	if body != "GET /feedlog/x " || resp.Header.Get(wire.HeaderOutcome) != "completed" {
		t.Errorf("answer = %q %v", body, resp.Header)
	}
	if resp.Header.Get(wire.HeaderInstance) != "a-1" || resp.Header.Get(wire.HeaderTarget) != "t1" {
		t.Errorf("header = %v", resp.Header)
	}
}

func TestUnknownRouteIsRefusedAtOnce(t *testing.T) {
	m := startMember(t, "a-1", "osrednja-a")
	m.run(t, oneTarget("127.0.0.1:1", "osrednja-a"))
	resp, body := get(t, m.url()+"/other")
	var e wire.ErrorBody
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 404 || e.Kind != "unknown-route" || e.Outcome != "not-run" || resp.Header.Get(wire.HeaderKind) != e.Kind {
		t.Errorf("answer = %d %+v", resp.StatusCode, e)
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	m := startMember(t, "a-1", "osrednja-a")
	m.run(t, oneTarget(address, "osrednja-a"))
	resp, _ := get(t, m.url()+"/feedlog")
	if resp.Header.Get(wire.HeaderOutcome) != "not-run" || resp.Header.Get("Retry-After") != "1" || resp.Header.Get(wire.HeaderRetryAfterMS) != "1000" {
		t.Errorf("header = %v", resp.Header)
	}
}

func TestLookupNamesInstancesByZone(t *testing.T) {
	m := startMember(t, "a-1", "osrednja-a")
	other := platform.Instance{ID: "b-1", Zone: "osrednja-b", Region: "osrednja", CallerAddress: "127.0.0.1:9", HopAddress: "127.0.0.1:8"}
	gone := platform.Instance{ID: "b-2", Zone: "osrednja-b", Region: "osrednja", Leaving: true}
	m.run(t, oneTarget("127.0.0.1:1", "osrednja-a"), m.self, other, gone)
	_, body := get(t, m.url()+wire.PathLookup+"?route=feedlog")
	var a wire.LookupAnswer
	if err := json.Unmarshal([]byte(body), &a); err != nil {
		t.Fatal(err)
	}
	if len(a.Instances) != 2 || a.Instances[0].ID != "a-1" || a.Instances[1].ID != "b-1" || a.Instances[1].Order != 1 || a.TTLMS <= 0 {
		t.Errorf("answer = %+v", a)
	}
}

func TestStopCutsNothingInFlight(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	m := startMember(t, "a-1", "osrednja-a")
	m.run(t, oneTarget(startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		w.Write([]byte("whole"))
	}), "osrednja-a"))
	answer := make(chan string, 1)
	go func() {
		_, body := get(t, m.url()+"/feedlog")
		answer <- body
	}()
	<-started
	m.stop()
	for !m.refusesWork() {
		time.Sleep(time.Millisecond)
	}
	if resp, _ := get(t, m.url()+"/feedlog"); resp.Header.Get(wire.HeaderKind) != "leaving" {
		t.Errorf("kind = %q, want leaving", resp.Header.Get(wire.HeaderKind))
	}
	if m.cluster.returned.Load() != 0 {
		t.Error("handed back with a request in flight")
	}
	close(release)
	if body := <-answer; body != "whole" {
		t.Errorf("body = %q", body)
	}
	if err := <-m.done; err != nil {
		t.Error(err)
	}
	m.done <- nil
	if m.cluster.left.Load() != 1 || m.cluster.returned.Load() != 1 {
		t.Errorf("announced %d times, handed back %d times", m.cluster.left.Load(), m.cluster.returned.Load())
	}
}
