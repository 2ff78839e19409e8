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

// system is a fake of the system: a look-up that names itself, and a handler.
type system struct {
	srv     *httptest.Server
	mu      sync.Mutex
	lookups int
	ids     []string
	// two makes the look-up name the system under two instances.
	two   bool
	serve http.HandlerFunc
}

func newSystem(t *testing.T, serve http.HandlerFunc) *system {
	t.Helper()
	s := &system{serve: serve}
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

func (s *system) address() string { return s.srv.Listener.Addr().String() }

func (s *system) lookup(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lookups++
	instances := []wire.LookupInstance{{ID: "i-1", Address: s.address(), Weight: 1, IDPrefix: "i-1.x."}}
	if s.two {
		instances = append(instances, wire.LookupInstance{ID: "i-2", Address: s.address(), Weight: 1, Order: 1, IDPrefix: "i-2.x."})
	}
	standin.WriteJSON(w, http.StatusOK, wire.LookupAnswer{
		Route: r.URL.Query().Get("route"), TTLMS: 60_000, Instances: instances,
	})
}

func (s *system) do(t *testing.T, once bool) Result {
	t.Helper()
	c := NewCaller([]string{s.address()})
	defer c.Close()
	return c.Do(t.Context(), Request{
		Sent:  exchange.Sent{Nonce: "n", Method: http.MethodPost, Path: "/p", BodyBytes: 100, AnswerBytes: 50_000, Once: once},
		Route: "feedlog", Member: "m", Deadline: 10 * time.Second,
	})
}

// right answers as the system and a target do.
func right(w http.ResponseWriter, r *http.Request) {
	rec, err := exchange.Receive(r)
	if err != nil {
		panic(err)
	}
	w.Header().Set(wire.HeaderOutcome, string(fault.OutcomeCompleted))
	_ = exchange.Answer(w, rec)
}

func refuse(w http.ResponseWriter, k fault.Kind) {
	w.Header().Set(wire.HeaderOutcome, string(k.Info().Outcome))
	w.Header().Set(wire.HeaderKind, k.String())
	w.Header().Set(wire.HeaderRetryAfterMS, "1")
	w.WriteHeader(k.Info().Status)
}

func TestRightAnswerCompletes(t *testing.T) {
	s := newSystem(t, right)
	res := s.do(t, true)
	if res.Outcome != fault.OutcomeCompleted || res.Wrong != nil || res.Submissions != 1 {
		t.Fatalf("result: %+v", res)
	}
	if !strings.HasPrefix(s.ids[0], "i-1.x.") {
		t.Fatalf("id %q does not begin with the prefix of the look-up", s.ids[0])
	}
}

func TestWrongAnswerIsCaught(t *testing.T) {
	answers := map[string]http.HandlerFunc{
		"another request's answer": func(w http.ResponseWriter, r *http.Request) {
			rec, _ := exchange.Receive(r)
			rec.Nonce = "other"
			w.Header().Set(wire.HeaderOutcome, string(fault.OutcomeCompleted))
			_ = exchange.Answer(w, rec)
		},
		"a part of the answer": func(w http.ResponseWriter, r *http.Request) {
			rec, _ := exchange.Receive(r)
			rec.AnswerBytes--
			w.Header().Set(wire.HeaderOutcome, string(fault.OutcomeCompleted))
			_ = exchange.Answer(w, rec)
		},
		"no outcome": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
	}
	for name, serve := range answers {
		if res := newSystem(t, serve).do(t, true); !exchange.IsWrong(res.Wrong) {
			t.Errorf("%s: %+v", name, res)
		}
	}
}

func TestNotRunIsSubmittedAgainUnderTheSameID(t *testing.T) {
	var n int
	s := newSystem(t, nil)
	s.serve = func(w http.ResponseWriter, r *http.Request) {
		if n++; n < 3 {
			refuse(w, fault.KindOverloaded)
			return
		}
		right(w, r)
	}
	res := s.do(t, true)
	if res.Outcome != fault.OutcomeCompleted || res.Submissions != 3 {
		t.Fatalf("result: %+v", res)
	}
	if s.ids[0] != s.ids[1] || s.ids[1] != s.ids[2] {
		t.Fatalf("ids: %v", s.ids)
	}
}

// TestAnotherInstanceGetsANewIDOnlyAfterNotRun sends a request to a first
// instance that leaves after each kind of failure, and then to a second one.
func TestAnotherInstanceGetsANewIDOnlyAfterNotRun(t *testing.T) {
	abort := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	kind := func(k fault.Kind) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { refuse(w, k) }
	}
	cases := []struct {
		name    string
		answers []func(http.ResponseWriter)
		keeps   bool
	}{
		{"not run", []func(http.ResponseWriter){kind(fault.KindLeaving)}, false},
		{"broken", []func(http.ResponseWriter){abort}, true},
		{"broken, then not run", []func(http.ResponseWriter){abort, kind(fault.KindLeaving), kind(fault.KindLeaving)}, true},
	}
	for _, tc := range cases {
		var n int
		s := newSystem(t, nil)
		s.two = true
		s.serve = func(w http.ResponseWriter, r *http.Request) {
			if n++; n <= len(tc.answers) {
				tc.answers[n-1](w)
				return
			}
			right(w, r)
		}
		if res := s.do(t, true); res.Outcome != fault.OutcomeCompleted {
			t.Errorf("%s: %+v", tc.name, res)
		}
		if kept := s.ids[0] == s.ids[len(s.ids)-1]; kept != tc.keeps {
			t.Errorf("%s: ids %v", tc.name, s.ids)
		}
	}
}

func TestIDOfAnEarlierIncarnationIsReplacedOnItsFirstUseOnly(t *testing.T) {
	for _, broken := range []bool{false, true} {
		var n int
		s := newSystem(t, nil)
		s.serve = func(w http.ResponseWriter, r *http.Request) {
			n++
			switch {
			case n == 1 && broken:
				panic(http.ErrAbortHandler)
			case n <= 2:
				refuse(w, fault.KindHomeGone)
			default:
				right(w, r)
			}
		}
		if res := s.do(t, true); res.Outcome != fault.OutcomeCompleted || res.Submissions != 3 {
			t.Errorf("broken %v: %+v", broken, res)
		}
		if kept := s.ids[0] == s.ids[1] && s.ids[1] == s.ids[2]; kept != broken {
			t.Errorf("broken %v: ids %v", broken, s.ids)
		}
		if s.lookups < 2 {
			t.Errorf("broken %v: the look-up answer was kept", broken)
		}
	}
}

func TestBrokenConnectionIsCountedAndSubmittedAgain(t *testing.T) {
	var n int
	s := newSystem(t, nil)
	s.serve = func(w http.ResponseWriter, r *http.Request) {
		if n++; n == 1 {
			panic(http.ErrAbortHandler)
		}
		right(w, r)
	}
	res := s.do(t, true)
	if res.Outcome != fault.OutcomeCompleted || res.CutOff != 1 || s.ids[0] != s.ids[1] {
		t.Fatalf("result: %+v, ids %v", res, s.ids)
	}
	if s.lookups != 2 {
		t.Fatalf("%d look-ups; a broken connection must expire the answer", s.lookups)
	}
}

func TestUnknownStaysUnknown(t *testing.T) {
	s := newSystem(t, func(w http.ResponseWriter, _ *http.Request) { refuse(w, fault.KindTargetLost) })
	if res := s.do(t, true); res.Outcome != fault.OutcomeUnknown || res.Submissions != maxSubmissions || len(res.Kinds) != maxSubmissions || res.Kinds[0] != "target-lost" {
		t.Fatalf("result: %+v", res)
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	s := newSystem(t, right)
	c := NewCaller([]string{s.address()})
	defer c.Close()
	if _, err := c.lookups.get(t.Context(), "feedlog"); err != nil {
		t.Fatal(err)
	}
	s.srv.Close()
	c.client.CloseIdleConnections() // a reused connection would break, not be refused
	res := c.Do(t.Context(), Request{Sent: exchange.Sent{Method: http.MethodGet, Path: "/"}, Route: "feedlog", Deadline: time.Minute})
	if res.Outcome != fault.OutcomeNotRun || res.CutOff != 0 {
		t.Fatalf("result: %+v", res)
	}
}

func TestChoiceFollowsOrderAndLeavesOutTheTried(t *testing.T) {
	answer := wire.LookupAnswer{Instances: []wire.LookupInstance{
		{ID: "far", Order: 2, Weight: 100}, {ID: "near", Order: 0, Weight: 1}, {ID: "near-2", Order: 0, Weight: 1},
	}}
	for range 50 {
		if got := choose(answer, map[string]bool{"near": true}).ID; got != "near-2" {
			t.Fatalf("chose %s", got)
		}
		if got := choose(answer, map[string]bool{"near": true, "near-2": true}).ID; got != "far" {
			t.Fatalf("chose %s", got)
		}
		if got := choose(answer, map[string]bool{"near": true, "near-2": true, "far": true}).Order; got != 0 {
			t.Fatalf("chose order %d", got)
		}
	}
}

func TestRunMeasuresFromWhenARequestWasDue(t *testing.T) {
	s := newSystem(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		right(w, r)
	})
	rep, err := Run(t.Context(), Settings{
		Entries: []string{s.address()}, Rate: 100, Duration: table.Duration(500 * time.Millisecond), MaxInFlight: 1,
		Mix: []Kind{{Route: "feedlog", Method: http.MethodPost, Once: true}}, Members: []Member{{Name: "a"}, {Name: "b"}},
	})
	if err != nil || rep.Requests != 50 || rep.Completed != 50 || rep.DuplicateRuns != -1 {
		t.Fatalf("report: %+v, %v", rep, err)
	}
	// One at a time, 20 ms each and due every 10 ms, the last ones are late by
	// about half of the run.
	if rep.LatencyMS.P99 < 400 {
		t.Errorf("p99 = %v ms hides the wait before sending", rep.LatencyMS.P99)
	}
	if len(rep.Members) != 2 || rep.Routes["feedlog"].Completed != 50 {
		t.Errorf("parts: %+v %+v", rep.Routes, rep.Members)
	}
}

func TestRunStopsSendingWithItsContext(t *testing.T) {
	s := newSystem(t, right)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	rep, err := Run(ctx, Settings{Entries: []string{s.address()}, Rate: 10, Duration: table.Duration(time.Minute), Mix: []Kind{{Route: "r"}}})
	if err != nil || rep.Requests == 0 || rep.Requests > 100 {
		t.Fatalf("report: %+v, %v", rep, err)
	}
}

func TestReportNamesBrokenInvariants(t *testing.T) {
	col := NewCollector()
	r := Request{Sent: exchange.Sent{Nonce: "n", Once: true}}
	col.Add(r, Result{Outcome: fault.OutcomeNotRun}, 0)
	if broken := col.Report(&target.Runs{}).Broken(); len(broken) != 0 {
		t.Fatalf("broken: %v", broken)
	}
	rep := col.Report(&target.Runs{Once: map[string]int{"n": 1, "m": 3}})
	if rep.FalseNotRun != 1 || rep.DuplicateRuns != 2 || len(rep.Broken()) != 2 {
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
