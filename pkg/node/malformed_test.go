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

	"github.com/jacinthramp/jacinthramp/pkg/settings"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
	"github.com/jacinthramp/jacinthramp/test/rawserver"
)

// sendRaw writes text to the caller listener of inst and returns the response. With
// halfClose it then closes the sending side of the connection.
func sendRaw(t *testing.T, inst *testInstance, text string, halfClose bool) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", inst.self.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	io.WriteString(c, text)
	if halfClose {
		c.(*net.TCPConn).CloseWrite()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp
}

// checkServing checks that inst still serves other requests.
func checkServing(t *testing.T, inst *testInstance) {
	t.Helper()
	if _, body := get(t, inst.url()+"/feedlog/next"); body != "GET /feedlog/next " {
		t.Errorf("body %q of the next request", body)
	}
}

func TestMalformedRequestsAreRefusedAsNotRun(t *testing.T) {
	var runs atomic.Int32
	inst := startWithHandler(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		echo(w, r)
	})
	for name, c := range map[string]struct {
		text      string
		halfClose bool
		status    int
		kind      string
	}{
		"unknown route":            {"GET /none HTTP/1.1\r\nHost: x\r\n\r\n", false, 404, "unknown-route"},
		"no request line":          {"garbage\r\n\r\n", false, 400, ""},
		"bad version":              {"GET /feedlog HTTP/9.9\r\nHost: x\r\n\r\n", false, 505, ""},
		"no host":                  {"GET /feedlog HTTP/1.1\r\n\r\n", false, 400, ""},
		"header too large":         {"GET /feedlog HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 128<<10) + "\r\n\r\n", false, 431, ""},
		"two lengths":              {"POST /feedlog HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", false, 400, ""},
		"bad transfer encoding":    {"POST /feedlog HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: rot13\r\n\r\nx", false, 501, ""},
		"body shorter than stated": {"POST /feedlog HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nshort", true, 400, "bad-request"},
		"body larger than allowed": {"POST /feedlog HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n", false, 413, "body-too-large"},
		"connect":                  {"CONNECT x:1 HTTP/1.1\r\nHost: x:1\r\n\r\n", false, 400, "bad-request"},
		"bad deadline":             {"GET /feedlog HTTP/1.1\r\nHost: x\r\n" + wire.HeaderDeadlineMS + ": -1\r\n\r\n", false, 400, "bad-request"},
		"bad idempotency mark":     {"GET /feedlog HTTP/1.1\r\nHost: x\r\n" + wire.HeaderIdempotent + ": maybe\r\n\r\n", false, 400, "bad-request"},
		"long member":              {"GET /feedlog HTTP/1.1\r\nHost: x\r\n" + wire.HeaderMember + ": " + strings.Repeat("m", 200) + "\r\n\r\n", false, 400, "bad-request"},
		"bad id":                   {"POST /feedlog HTTP/1.1\r\nHost: x\r\n" + wire.HeaderRequestID + ": a.b\r\nContent-Length: 0\r\n\r\n", false, 400, "bad-request-id"},
		"lookup of unknown route":  {"GET " + wire.PathLookup + "?route=none HTTP/1.1\r\nHost: x\r\n\r\n", false, 404, "unknown-route"},
	} {
		t.Run(name, func(t *testing.T) {
			resp := sendRaw(t, inst, c.text, c.halfClose)
			if resp.StatusCode != c.status || resp.Header.Get(wire.HeaderKind) != c.kind {
				t.Errorf("status %d, kind %q; want %d, %q", resp.StatusCode, resp.Header.Get(wire.HeaderKind), c.status, c.kind)
			}
			if c.kind != "" && resp.Header.Get(wire.HeaderOutcome) != "not-run" {
				t.Errorf("outcome %q, want not-run", resp.Header.Get(wire.HeaderOutcome))
			}
		})
	}
	if n := runs.Load(); n != 0 {
		t.Errorf("%d malformed requests reached the target, want 0", n)
	}
	checkServing(t, inst)
}

func TestSlowRequestBodyIsNotRun(t *testing.T) {
	inst := startWithHandler(t, echo)
	text := "POST /feedlog HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n" + wire.HeaderDeadlineMS + ": 50\r\n\r\nslow"
	resp := sendRaw(t, inst, text, false)
	if resp.Header.Get(wire.HeaderKind) != "deadline-passed" || resp.Header.Get(wire.HeaderOutcome) != "not-run" {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
	checkServing(t, inst)
}

// TestTruncatedStreamedBodyHasUnknownOutcome has a caller end a request body that is
// too large to be buffered. The target may have received and run a part of it.
func TestTruncatedStreamedBodyHasUnknownOutcome(t *testing.T) {
	inst := startWithHandler(t, echo)
	text := "POST /feedlog HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 200_000)
	resp := sendRaw(t, inst, text, true)
	if resp.StatusCode != 400 || resp.Header.Get(wire.HeaderKind) != "body-mismatch" || resp.Header.Get(wire.HeaderOutcome) != "unknown" {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
	checkServing(t, inst)
}

// TestChunkedBodyAboveLimitIsNotCompleted sends a body of unknown length that exceeds
// the route's limit only while it is being streamed.
func TestChunkedBodyAboveLimitIsNotCompleted(t *testing.T) {
	tables := oneTarget(startTarget(t, echo), "osrednja-a")
	tables.Routes[0].MaxBodyBytes = 100_000
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.run(t, tables)
	resp, err := http.Post(inst.url()+"/feedlog", "", io.MultiReader(io.LimitReader(zeroReader{}, 300_000)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.Header.Get(wire.HeaderOutcome) == "completed" {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
	checkServing(t, inst)
}

// TestMalformedTargetResponses has a target send a malformed or incomplete response
// and close the connection. The caller must get an error kind, or a truncated
// response if its header was relayed already, and later requests must succeed.
func TestMalformedTargetResponses(t *testing.T) {
	for name, c := range map[string]struct{ response, kind string }{
		"not HTTP":             {"once upon a time\r\n\r\n", "target-garbage"},
		"bad status":           {"HTTP/1.1 abc\r\n\r\n", "target-garbage"},
		"bad header":           {"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "target-garbage"},
		"two lengths":          {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", "target-garbage"},
		"header too large":     {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 512<<10) + "\r\n\r\n", "target-garbage"},
		"no response":          {"", "target-lost"},
		"truncated header":     {"HTTP/1.1 200 OK\r\nContent-Le", "target-lost"},
		"truncated small body": {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort", "target-lost"},
		"bad chunk":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "cut"},
		"truncated large body": {"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nshort", "cut"},
	} {
		t.Run(name, func(t *testing.T) {
			address := rawserver.Start(t, func(w net.Conn, br *bufio.Reader) {
				for {
					r, ok := rawserver.ReadRequest(br)
					switch {
					case !ok:
						return
					case r.URL.Path == "/feedlog/bad":
						io.WriteString(w, c.response)
						return
					}
					text := "GET " + r.URL.Path + " "
					fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				}
			})
			inst := startInstance(t, "a-1", "osrednja-a")
			inst.run(t, oneTarget(address, "osrednja-a"))
			resp, err := http.Post(inst.url()+"/feedlog/bad", "", http.NoBody)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			if c.kind == "cut" {
				if err == nil {
					t.Error("the caller got a truncated response without an error")
				}
				checkServing(t, inst)
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if resp.Header.Get(wire.HeaderKind) != c.kind || resp.Header.Get(wire.HeaderOutcome) != "unknown" {
				t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
			}
			checkServing(t, inst)
		})
	}
}

// TestSecondResponseIsDiscarded has a target send two responses to one request, in
// one write or with a pause between them. The second one must not be relayed to the
// next caller. The next request is sent after the second response: if it were sent
// earlier, nothing in HTTP/1.1 would show to which request the response belongs.
func TestSecondResponseIsDiscarded(t *testing.T) {
	for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
		sent := make(chan struct{}, 1)
		address := rawserver.Start(t, func(c net.Conn, br *bufio.Reader) {
			for {
				r, ok := rawserver.ReadRequest(br)
				if !ok {
					return
				}
				text := "GET " + r.URL.Path + " "
				response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				if r.URL.Path != "/feedlog/twice" {
					io.WriteString(c, response)
					continue
				}
				if pause == 0 {
					io.WriteString(c, response+response)
					sent <- struct{}{}
					continue
				}
				io.WriteString(c, response)
				time.Sleep(pause)
				io.WriteString(c, response)
				sent <- struct{}{}
			}
		})
		inst := startInstance(t, "a-1", "osrednja-a")
		inst.settings.Probe.Interval = settings.Duration(time.Hour) // a probe would be the next request on the connection
		inst.run(t, oneTarget(address, "osrednja-a"))
		for range 20 {
			if _, body := get(t, inst.url()+"/feedlog/twice"); body != "GET /feedlog/twice " {
				t.Errorf("pause %v: body %q of the request with two responses", pause, body)
			}
			<-sent
			checkServing(t, inst)
		}
	}
}

// TestSlowCallerBlocksOnlyItsOwnRequest has a caller stop reading a large response.
// Other requests must be served meanwhile, and the request must end by its deadline.
func TestSlowCallerBlocksOnlyItsOwnRequest(t *testing.T) {
	inst := startWithHandler(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/feedlog/large" {
			io.Copy(w, io.LimitReader(zeroReader{}, 64<<20))
			return
		}
		echo(w, r)
	})
	c, err := net.Dial("tcp", inst.self.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /feedlog/large HTTP/1.1\r\nHost: x\r\n%s: 100\r\n\r\n", wire.HeaderDeadlineMS)
	one := make([]byte, 1)
	for range 3 {
		if _, err := c.Read(one); err != nil {
			t.Fatal(err)
		}
		checkServing(t, inst)
	}
	for inst.inFlight.Load() > 0 { // the deadline ends the request
		time.Sleep(time.Millisecond)
	}
}
