package node

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// namedTarget serves a target that gives its name, until it is closed.
func namedTarget(t *testing.T, name string) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderTarget, name)
		_, _ = w.Write([]byte("answer of " + name))
	}))
	t.Cleanup(s.Close)
	return s
}

// serveAt serves h at an address that another server has given up.
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

// TestAnswersOfAnotherServerAtTheAddressReachNobody ends a target, whose port the
// system then gives to another server before the tables know of it.
func TestAnswersOfAnotherServerAtTheAddressReachNobody(t *testing.T) {
	for name, other := range map[string]http.HandlerFunc{
		"another target": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(wire.HeaderTarget, "t2")
			_, _ = w.Write([]byte("answer of t2"))
		},
		"no target":                 func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("a page")) },
		"no target, with a failure": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) },
	} {
		t.Run(name, func(t *testing.T) {
			first := namedTarget(t, "t1")
			address := first.Listener.Addr().String()
			m := startInstance(t, "a-1", "osrednja-a")
			m.run(t, oneTarget(address, "osrednja-a"))
			if resp, body := get(t, m.url()+"/feedlog/1"); resp.Header.Get(wire.HeaderOutcome) != string(fault.Completed) || body != "answer of t1" {
				t.Fatalf("outcome %s, body %q", resp.Header.Get(wire.HeaderOutcome), body)
			}
			first.Close()
			serveAt(t, address, other)
			for range 5 {
				if resp, body := get(t, m.url()+"/feedlog/1"); resp.Header.Get(wire.HeaderOutcome) == string(fault.Completed) {
					t.Fatalf("status %d, body %q of another server", resp.StatusCode, body)
				}
			}
		})
	}
}

func TestAnswersOfTargetsWithoutANamePass(t *testing.T) {
	m := startInstance(t, "a-1", "osrednja-a")
	m.run(t, oneTarget(startTarget(t, echo), "osrednja-a"))
	for range 3 {
		if resp, _ := get(t, m.url()+"/feedlog/1"); resp.Header.Get(wire.HeaderOutcome) != string(fault.Completed) {
			t.Fatalf("outcome %s", resp.Header.Get(wire.HeaderOutcome))
		}
	}
}
