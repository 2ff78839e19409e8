package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// stalledFirst is a target of two: the first request of all stays without an
// answer until it is cancelled.
type stalledFirst struct {
	requests  atomic.Int32
	cancelled chan struct{}
}

func (s *stalledFirst) serve(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	if s.requests.Add(1) == 1 {
		<-r.Context().Done()
		close(s.cancelled)
		return
	}
	io.WriteString(w, "answer")
}

func TestLateIdempotentRequestIsHedgedAndTheLoserCancelled(t *testing.T) {
	s := &stalledFirst{cancelled: make(chan struct{})}
	m := startInstance(t, "a-1", "osrednja-a")
	m.run(t, twoTargets(startTarget(t, s.serve), startTarget(t, s.serve)))
	resp, body := get(t, m.url()+"/feedlog")
	if body != "answer" || resp.Header.Get(wire.HeaderOutcome) != "completed" {
		t.Errorf("answer %q %v", body, resp.Header)
	}
	<-s.cancelled
	if n := s.requests.Load(); n != 2 {
		t.Errorf("%d attempts, want 2", n)
	}
	waitSlotsReleased(t, m)
}

// waitSlotsReleased waits until all slots were given back. That of a cancelled
// attempt comes back once its target has answered a probe.
func waitSlotsReleased(t *testing.T, m *testInstance) {
	t.Helper()
	held := func(d steer.TargetDemand) bool { return d.InUse != 0 }
	for slices.ContainsFunc(m.core.Demand().Targets, held) {
		time.Sleep(time.Millisecond) // the package's test timeout bounds the wait
	}
}

func TestNonIdempotentRequestIsNotHedged(t *testing.T) {
	s := &stalledFirst{cancelled: make(chan struct{})}
	m := startInstance(t, "a-1", "osrednja-a")
	m.run(t, twoTargets(startTarget(t, s.serve), startTarget(t, s.serve)))
	r, _ := http.NewRequest("POST", m.url()+"/feedlog", strings.NewReader("order"))
	r.Header.Set(wire.HeaderDeadlineMS, "200")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.Header.Get(wire.HeaderOutcome) != "unknown" || s.requests.Load() != 1 {
		t.Errorf("outcome %q after %d attempts", resp.Header.Get(wire.HeaderOutcome), s.requests.Load())
	}
}

// TestRetriedRequestIsNotCalledNotRun loses the first target after it has
// read the request, and has no other place for it.
func TestRetriedRequestIsNotCalledNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := ln.Addr().String()
	ln.Close()
	var seen atomic.Int32
	lost := startRaw(t, func(_ net.Conn, br *bufio.Reader) {
		if r, ok := readRequest(br); ok && r.URL.Path == "/feedlog" {
			seen.Add(1)
		}
	})
	m := startInstance(t, "a-1", "osrednja-a")
	m.run(t, twoTargets(lost, closed))
	for seen.Load() == 0 {
		before := seen.Load()
		resp, _ := get(t, m.url()+"/feedlog")
		if seen.Load() > before && resp.Header.Get(wire.HeaderOutcome) != "unknown" {
			t.Errorf("header = %v", resp.Header)
		}
	}
}
