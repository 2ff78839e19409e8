package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
	"github.com/jacinthramp/jacinthramp/test/rawserver"
)

// startOneSlot runs an instance with a target of one slot. The target sends the path
// of each request to started and responds once it receives from release.
func startOneSlot(t *testing.T, queueTimeout time.Duration) (inst *testInstance, started chan string, release chan struct{}) {
	t.Helper()
	started, release = make(chan string, 8), make(chan struct{}, 8)
	tables := oneTarget(startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		started <- r.URL.Path
		<-release
		io.WriteString(w, r.URL.Path)
	}), "osrednja-a")
	tables.Pools[0].Targets[0].Slots = 1
	tables.Routes[0].QueueTimeout = table.Duration(queueTimeout)
	inst = startInstance(t, "a-1", "osrednja-a")
	inst.run(t, tables)
	return inst, started, release
}

// post sends a non-idempotent request and returns the header and body of the
// response.
func post(ctx context.Context, inst *testInstance, path string) (http.Header, string, error) {
	r, err := http.NewRequestWithContext(ctx, "POST", inst.url()+path, strings.NewReader("x"))
	if err != nil {
		return nil, "", err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.Header, string(b), err
}

// TestRequestWaitsForAFreeSlot sends two requests for one slot. The second one must
// reach the target only after the first has ended.
func TestRequestWaitsForAFreeSlot(t *testing.T) {
	inst, started, release := startOneSlot(t, 5*time.Second)
	bodies := make(chan string, 2)
	for _, path := range []string{"/feedlog/1", "/feedlog/2"} {
		go func() {
			_, body, _ := post(t.Context(), inst, path)
			bodies <- body
		}()
	}
	<-started
	for inst.inFlight.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	if len(started) != 0 {
		t.Error("both requests run at once in one slot")
	}
	release <- struct{}{}
	<-started
	release <- struct{}{}
	got := map[string]bool{<-bodies: true, <-bodies: true}
	if !got["/feedlog/1"] || !got["/feedlog/2"] {
		t.Errorf("response bodies %v", got)
	}
	waitSlotsReleased(t, inst)
}

func TestRequestThatWaitsTooLongIsNotRun(t *testing.T) {
	inst, started, release := startOneSlot(t, 20*time.Millisecond)
	first := make(chan struct{})
	go func() {
		post(t.Context(), inst, "/feedlog/1")
		close(first)
	}()
	<-started
	h, _, err := post(t.Context(), inst, "/feedlog/2")
	if err != nil {
		t.Fatal(err)
	}
	if h.Get(wire.HeaderOutcome) != "not-run" || h.Get(wire.HeaderKind) != "overloaded" || h.Get(wire.HeaderRetryAfterMS) == "" {
		t.Errorf("outcome, kind or retry time is wrong in header %v", h)
	}
	release <- struct{}{}
	<-first
	if len(started) != 0 {
		t.Error("the target received the request that was reported not run")
	}
}

// TestQueuedRequestOfDisconnectedCallerIsNotRun cancels a queued request. It must
// neither run nor hold a slot once the slot becomes free.
func TestQueuedRequestOfDisconnectedCallerIsNotRun(t *testing.T) {
	inst, started, release := startOneSlot(t, 5*time.Second)
	first := make(chan struct{})
	go func() {
		post(t.Context(), inst, "/feedlog/1")
		close(first)
	}()
	<-started
	ctx, cancel := context.WithCancel(t.Context())
	second := make(chan struct{})
	go func() {
		post(ctx, inst, "/feedlog/2")
		close(second)
	}()
	for inst.inFlight.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-second
	for inst.inFlight.Load() > 1 {
		time.Sleep(time.Millisecond)
	}
	release <- struct{}{}
	<-first
	for inst.inFlight.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	if len(started) != 0 {
		t.Error("the target received the request whose caller disconnected while it was queued")
	}
	waitSlotsReleased(t, inst)
}

// loseFirstRequest returns the connection handler of a target that closes the
// connection after it has read the first of the requests counted in runs, and
// responds to the others.
func loseFirstRequest(runs *atomic.Int32) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, br *bufio.Reader) {
		for {
			r, ok := rawserver.ReadRequest(br)
			if !ok {
				return
			}
			if r.URL.Path == "/feedlog" && runs.Add(1) == 1 {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// TestOnlyIdempotentRequestsAreRetriedAfterALoss has a target close the connection
// after it has read a request. Only an idempotent request whose body can be sent
// again may be retried, since the first attempt may have run.
func TestOnlyIdempotentRequestsAreRetriedAfterALoss(t *testing.T) {
	for name, c := range map[string]struct {
		mark string
		body io.Reader
		want string
		runs int32
	}{
		"idempotent":               {"true", strings.NewReader("x"), "completed", 2},
		"non-idempotent":           {"false", strings.NewReader("x"), "unknown", 1},
		"idempotent with a stream": {"true", io.MultiReader(strings.NewReader("x")), "unknown", 1},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			inst := startInstance(t, "a-1", "osrednja-a")
			inst.run(t, twoTargets(rawserver.Start(t, loseFirstRequest(&runs)), rawserver.Start(t, loseFirstRequest(&runs))))
			r, _ := http.NewRequest("POST", inst.url()+"/feedlog", c.body)
			r.Header.Set(wire.HeaderIdempotent, c.mark)
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if got := resp.Header.Get(wire.HeaderOutcome); got != c.want || runs.Load() != c.runs {
				t.Errorf("outcome %q after %d runs, want %q after %d", got, runs.Load(), c.want, c.runs)
			}
		})
	}
}
