package node

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// namedTarget serves a target whose responses state its name, until the test ends or
// the server is closed.
func namedTarget(t *testing.T, name string) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderTarget, name)
		_, _ = w.Write([]byte("answer of " + name))
	}))
	t.Cleanup(s.Close)
	return s
}

// serveAt serves h at an address at which another server was closed.
func serveAt(t *testing.T, address string, h http.HandlerFunc) {
	t.Helper()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s := &httptest.Server{Listener: ln, Config: &http.Server{Handler: h}}
	s.Start()
	t.Cleanup(s.Close)
}

// TestResponsesOfAnotherServerAtAddressAreDiscarded stops a target and starts another
// server on its port while the tables still hold the target. Responses that don't
// state the target's name must not be relayed as completed.
func TestResponsesOfAnotherServerAtAddressAreDiscarded(t *testing.T) {
	for name, other := range map[string]http.HandlerFunc{
		"another target": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(wire.HeaderTarget, "t2")
			_, _ = w.Write([]byte("answer of t2"))
		},
		"not a target":                       func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("a page")) },
		"not a target, with an error status": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) },
	} {
		t.Run(name, func(t *testing.T) {
			first := namedTarget(t, "t1")
			address := first.Listener.Addr().String()
			inst := startInstance(t, "a-1", "osrednja-a")
			inst.run(t, oneTarget(address, "osrednja-a"))
			if resp, body := get(t, inst.url()+"/feedlog/1"); resp.Header.Get(wire.HeaderOutcome) != string(fault.OutcomeCompleted) || body != "answer of t1" {
				t.Fatalf("before the address was reused: outcome %s, body %q", resp.Header.Get(wire.HeaderOutcome), body)
			}
			first.Close()
			serveAt(t, address, other)
			for range 5 {
				if resp, body := get(t, inst.url()+"/feedlog/1"); resp.Header.Get(wire.HeaderOutcome) == string(fault.OutcomeCompleted) {
					t.Fatalf("the response of another server was relayed: status %d, body %q", resp.StatusCode, body)
				}
			}
		})
	}
}

func TestResponsesOfUnnamedTargetsAreRelayed(t *testing.T) {
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.run(t, oneTarget(startTarget(t, echo), "osrednja-a"))
	for range 3 {
		if resp, _ := get(t, inst.url()+"/feedlog/1"); resp.Header.Get(wire.HeaderOutcome) != string(fault.OutcomeCompleted) {
			t.Fatalf("outcome %s, want completed", resp.Header.Get(wire.HeaderOutcome))
		}
	}
}
