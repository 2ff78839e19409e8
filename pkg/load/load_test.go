package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/standin"
	"github.com/jacinthramp/jacinthramp/pkg/standin/exchange"
	"github.com/jacinthramp/jacinthramp/pkg/standin/target"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
	"github.com/jacinthramp/jacinthramp/test/strict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeSystem simulates the system with one server: a lookup that returns the
// server's own address, and a handler for requests.
type fakeSystem struct {
	srv     *httptest.Server
	mu      sync.Mutex
	lookups int
	ids     []string
	// twoInstances makes the lookup return the server as two instances.
	twoInstances bool
	serve        http.HandlerFunc
}

func newFakeSystem(t *testing.T, serve http.HandlerFunc) *fakeSystem {
	t.Helper()
	s := &fakeSystem{serve: serve}
	mux := http.NewServeMux()
	mux.HandleFunc(wire.PathLookup, s.lookup)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.ids = append(s.ids, r.Header.Get(wire.HeaderRequestID))
		s.mu.Unlock()
		s.serve(w, r)
	})
	s.srv = httptest.NewServer(mux)
	t.Cleanup(s.srv.Close)
	return s
}

func (s *fakeSystem) address() string { return s.srv.Listener.Addr().String() }

func (s *fakeSystem) lookup(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lookups++
	instances := []wire.LookupInstance{{ID: "i-1", Address: s.address(), Weight: 1, IDPrefix: "i-1.x."}}
	if s.twoInstances {
		instances = append(instances, wire.LookupInstance{ID: "i-2", Address: s.address(), Weight: 1, Order: 1, IDPrefix: "i-2.x."})
	}
	standin.WriteJSON(w, http.StatusOK, wire.LookupAnswer{
		Route: r.URL.Query().Get("route"), TTLMS: 60_000, Instances: instances,
	})
}

func (s *fakeSystem) send(t *testing.T, nonIdempotent bool) Result {
	t.Helper()
	c := NewCaller([]string{s.address()})
	defer c.Close()
	return c.Do(t.Context(), Request{
		RequestSpec: exchange.RequestSpec{Nonce: "n", Method: http.MethodPost, Path: "/p", BodyBytes: 100, ResponseBytes: 50_000, NonIdempotent: nonIdempotent},
		Route:       "feedlog", Member: "m", ResponseTimeout: 10 * time.Second,
	})
}

// respondCorrectly sends the response that the system and a target would send.
func respondCorrectly(w http.ResponseWriter, r *http.Request) {
	rec, err := exchange.ReadRequest(r)
	if err != nil {
		panic(err)
	}
	w.Header().Set(wire.HeaderOutcome, string(fault.OutcomeCompleted))
	_ = exchange.WriteResponse(w, rec)
}

func respondWithKind(w http.ResponseWriter, k fault.Kind) {
	w.Header().Set(wire.HeaderOutcome, string(k.Info().Outcome))
	w.Header().Set(wire.HeaderKind, k.String())
	w.Header().Set(wire.HeaderRetryAfterMS, "1")
	w.WriteHeader(k.Info().Status)
}

func TestCorrectResponseCompletes(t *testing.T) {
	s := newFakeSystem(t, respondCorrectly)
	res := s.send(t, true)
	if res.Outcome != fault.OutcomeCompleted || res.Mismatch != nil || res.Submissions != 1 {
		t.Fatalf("result: %+v", res)
	}
	if !strings.HasPrefix(s.ids[0], "i-1.x.") {
		t.Fatalf("id %q does not start with the prefix from the lookup", s.ids[0])
	}
}

func TestWrongResponseIsDetected(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"response to another request": func(w http.ResponseWriter, r *http.Request) {
			rec, _ := exchange.ReadRequest(r)
			rec.Nonce = "other"
			w.Header().Set(wire.HeaderOutcome, string(fault.OutcomeCompleted))
			_ = exchange.WriteResponse(w, rec)
		},
		"incomplete response": func(w http.ResponseWriter, r *http.Request) {
			rec, _ := exchange.ReadRequest(r)
			rec.ResponseBytes--
			w.Header().Set(wire.HeaderOutcome, string(fault.OutcomeCompleted))
			_ = exchange.WriteResponse(w, rec)
		},
		"no outcome": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
	}
	for name, serve := range handlers {
		if res := newFakeSystem(t, serve).send(t, true); !exchange.IsWrongResponse(res.Mismatch) {
			t.Errorf("%s: %+v", name, res)
		}
	}
}

func TestNotRunIsRepeatedWithSameID(t *testing.T) {
	var n int
	s := newFakeSystem(t, nil)
	s.serve = func(w http.ResponseWriter, r *http.Request) {
		if n++; n < 3 {
			respondWithKind(w, fault.KindOverloaded)
			return
		}
		respondCorrectly(w, r)
	}
	res := s.send(t, true)
	if res.Outcome != fault.OutcomeCompleted || res.Submissions != 3 {
		t.Fatalf("result: %+v", res)
	}
	if s.ids[0] != s.ids[1] || s.ids[1] != s.ids[2] {
		t.Fatalf("ids: %v", s.ids)
	}
}

// TestNewIDForAnotherInstanceOnlyAfterNotRun guards against a request that runs
// twice because it is sent to a second instance with a new id after a submission
// that may still arrive at the first instance.
func TestNewIDForAnotherInstanceOnlyAfterNotRun(t *testing.T) {
	abort := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	kind := func(k fault.Kind) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { respondWithKind(w, k) }
	}
	cases := []struct {
		name      string
		responses []func(http.ResponseWriter)
		keepsID   bool
	}{
		{"not run", []func(http.ResponseWriter){kind(fault.KindLeaving)}, false},
		{"broken connection", []func(http.ResponseWriter){abort}, true},
		{"broken connection, then not run", []func(http.ResponseWriter){abort, kind(fault.KindLeaving), kind(fault.KindLeaving)}, true},
	}
	for _, tc := range cases {
		var n int
		s := newFakeSystem(t, nil)
		s.twoInstances = true
		s.serve = func(w http.ResponseWriter, r *http.Request) {
			if n++; n <= len(tc.responses) {
				tc.responses[n-1](w)
				return
			}
			respondCorrectly(w, r)
		}
		if res := s.send(t, true); res.Outcome != fault.OutcomeCompleted {
			t.Errorf("%s: %+v", tc.name, res)
		}
		if keptID := s.ids[0] == s.ids[len(s.ids)-1]; keptID != tc.keepsID {
			t.Errorf("%s: ids %v", tc.name, s.ids)
		}
	}
}

func TestIDOfPreviousIncarnationIsReplacedOnFirstUseOnly(t *testing.T) {
	for _, brokenConnection := range []bool{false, true} {
		var n int
		s := newFakeSystem(t, nil)
		s.serve = func(w http.ResponseWriter, r *http.Request) {
			n++
			switch {
			case n == 1 && brokenConnection:
				panic(http.ErrAbortHandler)
			case n <= 2:
				respondWithKind(w, fault.KindHomeGone)
			default:
				respondCorrectly(w, r)
			}
		}
		if res := s.send(t, true); res.Outcome != fault.OutcomeCompleted || res.Submissions != 3 {
			t.Errorf("broken connection %v: %+v", brokenConnection, res)
		}
		if keptID := s.ids[0] == s.ids[1] && s.ids[1] == s.ids[2]; keptID != brokenConnection {
			t.Errorf("broken connection %v: ids %v", brokenConnection, s.ids)
		}
		if s.lookups < 2 {
			t.Errorf("broken connection %v: the lookup response was not expired", brokenConnection)
		}
	}
}

func TestBrokenConnectionIsCountedAndRepeated(t *testing.T) {
	var n int
	s := newFakeSystem(t, nil)
	s.serve = func(w http.ResponseWriter, r *http.Request) {
		if n++; n == 1 {
			panic(http.ErrAbortHandler)
		}
		respondCorrectly(w, r)
	}
	res := s.send(t, true)
	if res.Outcome != fault.OutcomeCompleted || res.AbortedSubmissions != 1 || s.ids[0] != s.ids[1] {
		t.Fatalf("result: %+v, ids %v", res, s.ids)
	}
	if s.lookups != 2 {
		t.Fatalf("%d lookups; a broken connection must expire the lookup response", s.lookups)
	}
}

func TestUnknownOutcomeRemainsAfterAllSubmissions(t *testing.T) {
	s := newFakeSystem(t, func(w http.ResponseWriter, _ *http.Request) { respondWithKind(w, fault.KindTargetLost) })
	if res := s.send(t, true); res.Outcome != fault.OutcomeUnknown || res.Submissions != maxSubmissions || len(res.ErrorKinds) != maxSubmissions || res.ErrorKinds[0] != "target-lost" {
		t.Fatalf("result: %+v", res)
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	s := newFakeSystem(t, respondCorrectly)
	c := NewCaller([]string{s.address()})
	defer c.Close()
	if _, err := c.lookups.get(t.Context(), "feedlog"); err != nil {
		t.Fatal(err)
	}
	s.srv.Close()
	c.client.CloseIdleConnections() // a reused connection would break instead of being refused
	res := c.Do(t.Context(), Request{RequestSpec: exchange.RequestSpec{Method: http.MethodGet, Path: "/"}, Route: "feedlog", ResponseTimeout: time.Minute})
	if res.Outcome != fault.OutcomeNotRun || res.AbortedSubmissions != 0 {
		t.Fatalf("result: %+v", res)
	}
}

func TestChooseInstanceUsesLowestUntriedOrder(t *testing.T) {
	response := wire.LookupAnswer{Instances: []wire.LookupInstance{
		{ID: "far", Order: 2, Weight: 100}, {ID: "near", Order: 0, Weight: 1}, {ID: "near-2", Order: 0, Weight: 1},
	}}
	for range 50 {
		if got := chooseInstance(response, map[string]bool{"near": true}).ID; got != "near-2" {
			t.Fatalf("chose %s", got)
		}
		if got := chooseInstance(response, map[string]bool{"near": true, "near-2": true}).ID; got != "far" {
			t.Fatalf("chose %s", got)
		}
		if got := chooseInstance(response, map[string]bool{"near": true, "near-2": true, "far": true}).Order; got != 0 {
			t.Fatalf("chose order %d", got)
		}
	}
}

func TestLatencyIsMeasuredFromDueTime(t *testing.T) {
	s := newFakeSystem(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		respondCorrectly(w, r)
	})
	rep, err := Run(t.Context(), Settings{
		Entries: []string{s.address()}, Rate: 100, Duration: table.Duration(500 * time.Millisecond), MaxInFlight: 1,
		Mix: []RequestKind{{Route: "feedlog", Method: http.MethodPost, NonIdempotent: true}}, Members: []Member{{Name: "a"}, {Name: "b"}},
	})
	if err != nil || rep.Requests != 50 || rep.Completed != 50 || rep.DuplicateRuns != -1 {
		t.Fatalf("report: %+v, %v", rep, err)
	}
	// Requests run one at a time, take 20 ms and are due every 10 ms, so that the
	// last ones are late by about half the duration of the run.
	if rep.LatencyMS.P99 < 400 {
		t.Errorf("p99 = %v ms does not include the wait before sending", rep.LatencyMS.P99)
	}
	if len(rep.Members) != 2 || rep.Routes["feedlog"].Completed != 50 {
		t.Errorf("routes: %+v, members: %+v", rep.Routes, rep.Members)
	}
}

func TestRunStopsSendingWhenContextEnds(t *testing.T) {
	s := newFakeSystem(t, respondCorrectly)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	rep, err := Run(ctx, Settings{Entries: []string{s.address()}, Rate: 10, Duration: table.Duration(time.Minute), Mix: []RequestKind{{Route: "r"}}})
	if err != nil || rep.Requests == 0 || rep.Requests > 100 {
		t.Fatalf("report: %+v, %v", rep, err)
	}
}

func TestReportListsViolations(t *testing.T) {
	collector := NewCollector()
	r := Request{RequestSpec: exchange.RequestSpec{Nonce: "n", NonIdempotent: true}}
	collector.Add(r, Result{Outcome: fault.OutcomeNotRun}, 0)
	if violations := collector.Report(&target.Runs{}).Violations(); len(violations) != 0 {
		t.Fatalf("violations: %v", violations)
	}
	rep := collector.Report(&target.Runs{NonIdempotent: map[string]int{"n": 1, "m": 3}})
	if rep.FalseNotRun != 1 || rep.DuplicateRuns != 2 || len(rep.Violations()) != 2 {
		t.Fatalf("report: %+v", rep)
	}
}

func TestSettingsAreStrict(t *testing.T) {
	load := func(path string) error {
		_, err := LoadSettings(path)
		return err
	}
	strict.CheckSettings(t, load, []string{
		"mix: [{route: a}]\n",
		"entries: ['192.0.2.1:80']\nmix: [{route: a}]\n",
		"entries: ['127.0.0.1:80']\n",
		"entries: ['127.0.0.1:80']\nmix: [{rout: a}]\n",
		"entries: ['127.0.0.1:80']\nrate: -1\nmix: [{route: a}]\n",
		"entries: ['127.0.0.1:80']\nduration: 1h\nmix: [{route: a}]\n",
		"entries: ['127.0.0.1:80']\nmax_in_flight: 100000\nmix: [{route: a}]\n",
	}, []string{"../../examples/load.yaml"})
}
