package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
	"github.com/jacinthramp/jacinthramp/test/rawserver"
)

// endlessTarget is a target whose response to /feedlog/endless never ends. It
// responds to other requests.
type endlessTarget struct {
	// prefix is written once, and then repeated after every pause.
	prefix, repeated string
	pause            time.Duration
	runs             atomic.Int32
	// started receives a value when the instance has begun to read an endless
	// response, and closed one when it has closed the connection.
	started, closed chan struct{}
}

func (e *endlessTarget) serve(c net.Conn, br *bufio.Reader) {
	for {
		r, ok := rawserver.ReadRequest(br)
		if !ok {
			return
		}
		if r.URL.Path != "/feedlog/endless" {
			text := "GET " + r.URL.Path + " "
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			continue
		}
		e.runs.Add(1)
		_, err := io.WriteString(c, e.prefix)
		for n := 0; err == nil; n++ {
			if n == 1 {
				e.started <- struct{}{}
			}
			_, err = io.WriteString(c, e.repeated)
			time.Sleep(e.pause)
		}
		e.closed <- struct{}{}
		return
	}
}

// endlessBodies are the ways in which a response body without Content-Length can go
// on without end.
var endlessBodies = map[string]struct{ prefix, repeated string }{
	"until close":      {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1000)},
	"chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"},
	"one chunk":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffffffffff\r\n", strings.Repeat("x", 1000)},
	"chunk extension":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n5;", "a=b;"},
	"chunk extensions": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("e", 200) + "\r\nx\r\n"},
	"trailers":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "a: b\r\n"},
}

// endlessPauses are the pauses between two writes of an endless body.
var endlessPauses = map[string]time.Duration{"fast": 0, "slow": 5 * time.Millisecond}

// forEachEndlessBody runs f in a subtest for every endless body at either speed.
func forEachEndlessBody(t *testing.T, f func(t *testing.T, e *endlessTarget)) {
	for body, b := range endlessBodies {
		for speed, pause := range endlessPauses {
			t.Run(body+"/"+speed, func(t *testing.T) {
				f(t, &endlessTarget{
					prefix: b.prefix, repeated: b.repeated, pause: pause,
					started: make(chan struct{}, 100), closed: make(chan struct{}, 100),
				})
			})
		}
	}
}

// endlessRequest is a request for an endless body, with a short deadline.
func endlessRequest(version string) string {
	return "POST /feedlog/endless HTTP/" + version + "\r\nHost: x\r\nContent-Length: 0\r\n" + wire.HeaderDeadlineMS + ": 100\r\n\r\n"
}

// readEndless sends request to inst and reads the response. It reports an error
// unless the response is a refusal with an unknown outcome, or breaks off so that it
// can't be read as complete.
func readEndless(t *testing.T, inst *testInstance, request string) {
	c, err := net.Dial("tcp", inst.self.CallerAddress)
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	io.WriteString(c, request)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	outcome := resp.Header.Get(wire.HeaderOutcome)
	if err == nil && (resp.StatusCode == http.StatusOK || outcome != string(fault.OutcomeUnknown)) {
		t.Errorf("status %d, outcome %q: the response was read as complete", resp.StatusCode, outcome)
	}
}

// checkEndless has inst relay an endless body. Its other requests must be served
// meanwhile, and the request must end, run once, with the connection to its target
// closed. On a busy host the deadline may pass before the body has begun; the
// request is then repeated.
func checkEndless(t *testing.T, inst *testInstance, e *endlessTarget, request string) {
	t.Helper()
	for begun := false; !begun; {
		runs, done := e.runs.Load(), make(chan struct{})
		go func() {
			defer close(done)
			readEndless(t, inst, request)
		}()
		select {
		case <-e.started:
			begun = true
			checkServing(t, inst)
		case <-done:
		}
		<-done
		n := e.runs.Load() - runs
		if n > 1 {
			t.Errorf("the target ran the request %d times", n)
		}
		for range n {
			<-e.closed
		}
	}
}

func TestEndlessBodyEndsByTheDeadline(t *testing.T) {
	forEachEndlessBody(t, func(t *testing.T, e *endlessTarget) {
		inst := startInstance(t, "a-1", "osrednja-a")
		inst.run(t, oneTarget(rawserver.Start(t, e.serve), "osrednja-a"))
		checkEndless(t, inst, e, endlessRequest("1.1"))
		checkServing(t, inst)
	})
}

// TestEndlessBodyIsNotCompleteForHTTP10 has a caller of HTTP/1.0 ask, to which the
// end of the connection is the end of a body of unknown length.
func TestEndlessBodyIsNotCompleteForHTTP10(t *testing.T) {
	forEachEndlessBody(t, func(t *testing.T, e *endlessTarget) {
		inst := startInstance(t, "a-1", "osrednja-a")
		inst.run(t, oneTarget(rawserver.Start(t, e.serve), "osrednja-a"))
		checkEndless(t, inst, e, endlessRequest("1.0"))
	})
}

func TestForwardedEndlessBodyEndsByTheDeadline(t *testing.T) {
	forEachEndlessBody(t, func(t *testing.T, e *endlessTarget) {
		a, b := startInstance(t, "a-1", "osrednja-a"), startInstance(t, "b-1", "osrednja-b")
		tables := oneTarget(rawserver.Start(t, e.serve), "osrednja-b")
		a.run(t, tables, a.self, b.self)
		b.run(t, tables, a.self, b.self)
		checkEndless(t, a, e, endlessRequest("1.1"))
	})
}

// TestRecordedEndlessBodyEndsByTheDeadline requests an endless body with an id, so
// that the instance reads its first part before it relays any of it.
func TestRecordedEndlessBodyEndsByTheDeadline(t *testing.T) {
	forEachEndlessBody(t, func(t *testing.T, e *endlessTarget) {
		inst := startInstance(t, "a-1", "osrednja-a")
		inst.run(t, oneTarget(rawserver.Start(t, e.serve), "osrednja-a"))
		id := wire.HeaderRequestID + ": " + orderID(t, inst, "endless") + "\r\n"
		checkEndless(t, inst, e, strings.Replace(endlessRequest("1.1"), "Host: x\r\n", "Host: x\r\n"+id, 1))
	})
}

// TestEndlessBodiesEjectTheirTarget checks that each endless body counts as a fault
// of its target.
func TestEndlessBodiesEjectTheirTarget(t *testing.T) {
	forEachEndlessBody(t, func(t *testing.T, e *endlessTarget) {
		inst := startInstance(t, "a-1", "osrednja-a")
		inst.run(t, twoTargets(rawserver.Start(t, e.serve), startTarget(t, echo)))
		const maxRequests = 100 // some of them go to the other target
		for range maxRequests {
			readFromEither(t, inst)
			if ejected(inst, "t1") {
				return
			}
		}
		t.Errorf("the target was not ejected after %d endless bodies", e.runs.Load())
	})
}

// readFromEither requests an endless body of whichever target gets the request.
func readFromEither(t *testing.T, inst *testInstance) {
	t.Helper()
	r, _ := http.NewRequest("POST", inst.url()+"/feedlog/endless", http.NoBody)
	r.Header.Set(wire.HeaderDeadlineMS, "30")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return // the connection has ended before the header arrived
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

// ejected reports whether inst explains that target is ejected.
func ejected(inst *testInstance, target string) bool {
	for _, p := range inst.core.PoolViews(time.Now()) {
		for _, v := range p.Targets {
			if v.Target == target && v.Excluded == "ejected after failures" {
				return true
			}
		}
	}
	return false
}
