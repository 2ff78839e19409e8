package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/settings"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// postResult is the result of post.
type postResult struct {
	header http.Header
	body   string
	err    error
}

// startPost sends a non-idempotent request and returns a channel with its result.
func startPost(t *testing.T, inst *testInstance, path string) <-chan postResult {
	result := make(chan postResult, 1)
	go func() {
		h, body, err := post(t.Context(), inst, path)
		result <- postResult{h, body, err}
	}()
	return result
}

// expectLeaving expects a refusal that says that the request was not run because the
// instance stops.
func expectLeaving(t *testing.T, r postResult) {
	t.Helper()
	if r.err != nil || r.header.Get(wire.HeaderOutcome) != "not-run" || r.header.Get(wire.HeaderKind) != "leaving" {
		t.Errorf("error %v, header %v; want a refusal that says not run", r.err, r.header)
	}
}

// holdSlotAndQueue has one request occupy the only slot and another one wait for it.
func holdSlotAndQueue(t *testing.T, inst *testInstance, started chan string) (first, second <-chan postResult) {
	t.Helper()
	first = startPost(t, inst, "/feedlog/1")
	<-started
	second = startPost(t, inst, "/feedlog/2")
	for inst.inFlight.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	return first, second
}

// TestRequestThatStillWaitsAtAStopIsRefused stops an instance while a request waits for a
// slot that does not come free within the grace.
func TestRequestThatStillWaitsAtAStopIsRefused(t *testing.T) {
	inst, started, release := startOneSlot(t, 20*time.Second)
	inst.settings.Leave.Grace = settings.Duration(time.Second)
	first, second := holdSlotAndQueue(t, inst, started)
	inst.stop()
	expectLeaving(t, <-second)
	release <- struct{}{}
	<-first
	if len(started) != 0 {
		t.Error("the request that was reported not run reached the target")
	}
}

// TestSlotThatComesFreeTooLateIsNotUsedAtAStop has the slot come free so late in the grace
// that the request that waits for it would be cut off.
func TestSlotThatComesFreeTooLateIsNotUsedAtAStop(t *testing.T) {
	const serviceTime, grace = 400 * time.Millisecond, time.Second
	inst, started, release := startOneSlot(t, 20*time.Second)
	inst.settings.Leave.Grace = settings.Duration(grace)
	measured := startPost(t, inst, "/feedlog/0")
	<-started
	time.Sleep(serviceTime)
	release <- struct{}{}
	<-measured
	first, second := holdSlotAndQueue(t, inst, started)
	inst.stop()
	time.Sleep(grace - serviceTime)
	release <- struct{}{}
	<-first
	expectLeaving(t, <-second)
	if len(started) != 0 {
		t.Error("the request that was reported not run reached the target")
	}
}

// TestRequestThatEndsInTimeIsServedDuringAStop has the slot come free early in the grace.
func TestRequestThatEndsInTimeIsServedDuringAStop(t *testing.T) {
	inst, started, release := startOneSlot(t, 20*time.Second)
	inst.settings.Leave.Grace = settings.Duration(20 * time.Second)
	first, second := holdSlotAndQueue(t, inst, started)
	inst.stop()
	release <- struct{}{}
	<-first
	<-started
	release <- struct{}{}
	if r := <-second; r.err != nil || r.body != "/feedlog/2" {
		t.Errorf("body %q, error %v; want the response of the target", r.body, r.err)
	}
}

// bodyForms are the ways in which a caller announces a body of six bytes, and the parts in
// which it sends the body.
var bodyForms = map[string]struct{ head, first, rest string }{
	"length":  {"Content-Length: 6", "abc", "def"},
	"chunked": {"Transfer-Encoding: chunked", "3\r\nabc\r\n", "3\r\ndef\r\n0\r\n\r\n"},
}

// startDirect runs an instance with direct dispatch and a target that takes serviceTime.
// It returns a channel with the body of each request that the target has received whole.
func startDirect(t *testing.T, serviceTime time.Duration) (*testInstance, chan string) {
	t.Helper()
	received := make(chan string, 8)
	tables := oneTarget(startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		received <- string(body)
		time.Sleep(serviceTime)
		_, _ = io.WriteString(w, "done")
	}), "osrednja-a")
	tables.Routes[0].TargetLatency = table.Duration(2 * serviceTime)
	inst := startInstanceWith(t, "a-1", "osrednja-a", func(s *settings.Settings) { s.Dispatch.Mode = settings.DispatchDirect })
	inst.run(t, tables)
	return inst, received
}

// sendHead sends the head of a request and the first part of its body.
func sendHead(t *testing.T, inst *testInstance, form string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", inst.self.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	f := bodyForms[form]
	if _, err := fmt.Fprintf(c, "POST /feedlog/late HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n%s", f.head, f.first); err != nil {
		t.Fatal(err)
	}
	for inst.inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	return c
}

// readResult reads a response.
func readResult(c net.Conn) postResult {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return postResult{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return postResult{resp.Header, string(body), err}
}

// expectNotServed expects that a request whose body has not arrived in time was not run: it
// is refused, and so that a caller knows unless a part of it had been passed on.
func expectNotServed(t *testing.T, form string, r postResult, received chan string) {
	t.Helper()
	if form == "length" {
		expectLeaving(t, r)
	} else if r.err != nil || r.header.Get(wire.HeaderOutcome) != "unknown" || r.header.Get(wire.HeaderKind) != "target-lost" {
		t.Errorf("error %v, header %v; want a refusal with an unknown outcome", r.err, r.header)
	}
	if len(received) != 0 {
		t.Error("the target has received the whole request")
	}
}

// TestRequestWhoseBodyEndsTooLateIsNotPassedOnAtAStop has the body of a request end so late
// in the grace that the request would be cut off.
func TestRequestWhoseBodyEndsTooLateIsNotPassedOnAtAStop(t *testing.T) {
	const serviceTime, grace = 400 * time.Millisecond, time.Second
	for form := range bodyForms {
		t.Run(form, func(t *testing.T) {
			inst, received := startDirect(t, serviceTime)
			inst.settings.Leave.Grace = settings.Duration(grace)
			get(t, inst.url()+"/feedlog/measured")
			<-received
			c := sendHead(t, inst, form)
			inst.stop()
			time.Sleep(grace - serviceTime)
			_, _ = io.WriteString(c, bodyForms[form].rest)
			expectNotServed(t, form, readResult(c), received)
		})
	}
}

// TestRequestWhoseBodyNeverEndsIsRefusedAtAStop stops an instance that waits for the rest of
// a body.
func TestRequestWhoseBodyNeverEndsIsRefusedAtAStop(t *testing.T) {
	for form := range bodyForms {
		t.Run(form, func(t *testing.T) {
			inst, received := startDirect(t, time.Millisecond)
			inst.settings.Leave.Grace = settings.Duration(500 * time.Millisecond)
			c := sendHead(t, inst, form)
			inst.stop()
			expectNotServed(t, form, readResult(c), received)
		})
	}
}

// TestRequestWhoseBodyEndsInTimeIsServedDuringAStop has the body of a request end early in
// the grace.
func TestRequestWhoseBodyEndsInTimeIsServedDuringAStop(t *testing.T) {
	for form := range bodyForms {
		t.Run(form, func(t *testing.T) {
			inst, _ := startDirect(t, time.Millisecond)
			inst.settings.Leave.Grace = settings.Duration(20 * time.Second)
			c := sendHead(t, inst, form)
			inst.stop()
			for !inst.refusesRequests() {
				time.Sleep(time.Millisecond)
			}
			_, _ = io.WriteString(c, bodyForms[form].rest)
			if r := readResult(c); r.err != nil || r.body != "done" {
				t.Errorf("body %q, error %v; want the response of the target", r.body, r.err)
			}
		})
	}
}
