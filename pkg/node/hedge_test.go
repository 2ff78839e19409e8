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
	"github.com/jacinthramp/jacinthramp/test/rawserver"
)

// stalledFirst is the handler of two targets. The first request that either receives
// gets no response until it is cancelled; the others get one at once.
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

func TestLateIdempotentRequestIsHedgedAndLoserCancelled(t *testing.T) {
	s := &stalledFirst{cancelled: make(chan struct{})}
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.run(t, twoTargets(startTarget(t, s.serve), startTarget(t, s.serve)))
	resp, body := get(t, inst.url()+"/feedlog")
	if body != "answer" || resp.Header.Get(wire.HeaderOutcome) != "completed" {
		t.Errorf("body %q, header %v", body, resp.Header)
	}
	<-s.cancelled
	if n := s.requests.Load(); n != 2 {
		t.Errorf("the targets received %d requests, want 2", n)
	}
	waitSlotsReleased(t, inst)
}

// waitSlotsReleased waits until no slot is in use. The slot of a cancelled attempt is
// released once its target has responded to a probe.
func waitSlotsReleased(t *testing.T, inst *testInstance) {
	t.Helper()
	held := func(d steer.TargetDemand) bool { return d.InUse != 0 }
	for slices.ContainsFunc(inst.core.Demand().Targets, held) {
		time.Sleep(time.Millisecond) // the package's test timeout bounds the wait
	}
}

func TestNonIdempotentRequestIsNotHedged(t *testing.T) {
	s := &stalledFirst{cancelled: make(chan struct{})}
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.run(t, twoTargets(startTarget(t, s.serve), startTarget(t, s.serve)))
	r, _ := http.NewRequest("POST", inst.url()+"/feedlog", strings.NewReader("order"))
	r.Header.Set(wire.HeaderDeadlineMS, "200")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.Header.Get(wire.HeaderOutcome) != "unknown" || s.requests.Load() != 1 {
		t.Errorf("outcome %q after %d attempts, want unknown after 1", resp.Header.Get(wire.HeaderOutcome), s.requests.Load())
	}
}

// TestRetriedRequestIsNeverReportedNotRun has one target close the connection after
// it has read the request, while the other one refuses connections. The refused retry
// alone has the outcome not-run, but the first attempt may have run.
func TestRetriedRequestIsNeverReportedNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := ln.Addr().String()
	ln.Close()
	var seen atomic.Int32
	lost := rawserver.Start(t, func(_ net.Conn, br *bufio.Reader) {
		if r, ok := rawserver.ReadRequest(br); ok && r.URL.Path == "/feedlog" {
			seen.Add(1)
		}
	})
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.run(t, twoTargets(lost, closed))
	for seen.Load() == 0 {
		before := seen.Load()
		resp, _ := get(t, inst.url()+"/feedlog")
		if seen.Load() > before && resp.Header.Get(wire.HeaderOutcome) != "unknown" {
			t.Errorf("outcome is not unknown in header %v", resp.Header)
		}
	}
}
