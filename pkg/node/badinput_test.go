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
)

// sendRaw writes text to m and returns its answer.
func sendRaw(t *testing.T, m *member, text string, halfClose bool) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", m.self.CallerAddress)
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

// checkServing checks that m still serves others.
func checkServing(t *testing.T, m *member) {
	t.Helper()
	if _, body := get(t, m.url()+"/feedlog/next"); body != "GET /feedlog/next " {
		t.Errorf("the next request got %q", body)
	}
}

func TestMalformedRequestsAreRefusedAsNotRun(t *testing.T) {
	var runs atomic.Int32
	m := startWith(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		echo(w, r)
	})
	for name, c := range map[string]struct {
		text   string
		half   bool
		status int
		kind   string
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
		"bad mark":                 {"GET /feedlog HTTP/1.1\r\nHost: x\r\n" + wire.HeaderIdempotent + ": maybe\r\n\r\n", false, 400, "bad-request"},
		"long member":              {"GET /feedlog HTTP/1.1\r\nHost: x\r\n" + wire.HeaderMember + ": " + strings.Repeat("m", 200) + "\r\n\r\n", false, 400, "bad-request"},
		"bad id":                   {"POST /feedlog HTTP/1.1\r\nHost: x\r\n" + wire.HeaderRequestID + ": a.b\r\nContent-Length: 0\r\n\r\n", false, 400, "bad-request-id"},
		"look-up without route":    {"GET " + wire.PathLookup + "?route=none HTTP/1.1\r\nHost: x\r\n\r\n", false, 404, "unknown-route"},
	} {
		t.Run(name, func(t *testing.T) {
			resp := sendRaw(t, m, c.text, c.half)
			if resp.StatusCode != c.status || resp.Header.Get(wire.HeaderKind) != c.kind {
				t.Errorf("status %d, kind %q; want %d, %q", resp.StatusCode, resp.Header.Get(wire.HeaderKind), c.status, c.kind)
			}
			if c.kind != "" && resp.Header.Get(wire.HeaderOutcome) != "not-run" {
				t.Errorf("outcome %q", resp.Header.Get(wire.HeaderOutcome))
			}
		})
	}
	if n := runs.Load(); n != 0 {
		t.Errorf("%d of the requests ran", n)
	}
	checkServing(t, m)
}

func TestBodyThatComesTooSlowlyIsNotRun(t *testing.T) {
	m := startWith(t, echo)
	text := "POST /feedlog HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n" + wire.HeaderDeadlineMS + ": 50\r\n\r\nslow"
	resp := sendRaw(t, m, text, false)
	if resp.Header.Get(wire.HeaderKind) != "deadline-passed" || resp.Header.Get(wire.HeaderOutcome) != "not-run" {
		t.Errorf("answer %d %v", resp.StatusCode, resp.Header)
	}
	checkServing(t, m)
}

func TestStreamedBodyThatEndsEarlyIsUnknown(t *testing.T) {
	m := startWith(t, echo)
	text := "POST /feedlog HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 200_000)
	resp := sendRaw(t, m, text, true)
	if resp.StatusCode != 400 || resp.Header.Get(wire.HeaderKind) != "body-mismatch" || resp.Header.Get(wire.HeaderOutcome) != "unknown" {
		t.Errorf("answer %d %v", resp.StatusCode, resp.Header)
	}
	checkServing(t, m)
}

func TestChunkedBodyBeyondTheLimitIsCut(t *testing.T) {
	tables := oneTarget(startTarget(t, echo), "osrednja-a")
	tables.Routes[0].MaxBodyBytes = 100_000
	m := startMember(t, "a-1", "osrednja-a")
	m.run(t, tables)
	resp, err := http.Post(m.url()+"/feedlog", "", io.MultiReader(io.LimitReader(zeros{}, 300_000)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.Header.Get(wire.HeaderOutcome) == "completed" {
		t.Errorf("answer %d %v", resp.StatusCode, resp.Header)
	}
	checkServing(t, m)
}

// TestTargetsBadAnswers has one target answer badly on its first connections.
func TestTargetsBadAnswers(t *testing.T) {
	for name, c := range map[string]struct{ answer, kind string }{
		"no HTTP at all":     {"once upon a time\r\n\r\n", "target-garbage"},
		"bad status":         {"HTTP/1.1 abc\r\n\r\n", "target-garbage"},
		"bad header":         {"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "target-garbage"},
		"two lengths":        {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", "target-garbage"},
		"header too large":   {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 512<<10) + "\r\n\r\n", "target-garbage"},
		"nothing":            {"", "target-lost"},
		"header cut off":     {"HTTP/1.1 200 OK\r\nContent-Le", "target-lost"},
		"small body cut off": {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort", "target-lost"},
		"bad chunk":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "cut"},
		"large body cut off": {"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nshort", "cut"},
	} {
		t.Run(name, func(t *testing.T) {
			address := startRaw(t, func(w net.Conn, br *bufio.Reader) {
				for {
					r, ok := readRequest(br)
					switch {
					case !ok:
						return
					case r.URL.Path == "/feedlog/bad":
						io.WriteString(w, c.answer)
						return
					}
					text := "GET " + r.URL.Path + " "
					fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				}
			})
			m := startMember(t, "a-1", "osrednja-a")
			m.run(t, oneTarget(address, "osrednja-a"))
			resp, err := http.Post(m.url()+"/feedlog/bad", "", http.NoBody)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			if c.kind == "cut" {
				if err == nil {
					t.Error("the caller took the answer for whole")
				}
				checkServing(t, m)
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if resp.Header.Get(wire.HeaderKind) != c.kind || resp.Header.Get(wire.HeaderOutcome) != "unknown" {
				t.Errorf("answer %d %v", resp.StatusCode, resp.Header)
			}
			checkServing(t, m)
		})
	}
}

// TestSecondAnswerReachesNobody has a target send two answers to a request,
// at once and after a pause. The next request is sent once the second answer
// has left; before, HTTP/1.1 gives no means to tell whose answer it is.
func TestSecondAnswerReachesNobody(t *testing.T) {
	for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
		sent := make(chan struct{}, 1)
		address := startRaw(t, func(c net.Conn, br *bufio.Reader) {
			for {
				r, ok := readRequest(br)
				if !ok {
					return
				}
				text := "GET " + r.URL.Path + " "
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				if r.URL.Path != "/feedlog/twice" {
					io.WriteString(c, answer)
					continue
				}
				if pause == 0 {
					io.WriteString(c, answer+answer)
					sent <- struct{}{}
					continue
				}
				io.WriteString(c, answer)
				time.Sleep(pause)
				io.WriteString(c, answer)
				sent <- struct{}{}
			}
		})
		m := startMember(t, "a-1", "osrednja-a")
		m.settings.Probe.Interval = settings.Duration(time.Hour) // a probe would be a next request
		m.run(t, oneTarget(address, "osrednja-a"))
		for range 20 {
			if _, body := get(t, m.url()+"/feedlog/twice"); body != "GET /feedlog/twice " {
				t.Errorf("pause %v: the request itself got %q", pause, body)
			}
			<-sent
			checkServing(t, m)
		}
	}
}

// TestSlowReaderHoldsOnlyItsOwnRequest has a caller that stops reading a
// large answer.
func TestSlowReaderHoldsOnlyItsOwnRequest(t *testing.T) {
	m := startWith(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/feedlog/large" {
			io.Copy(w, io.LimitReader(zeros{}, 64<<20))
			return
		}
		echo(w, r)
	})
	c, err := net.Dial("tcp", m.self.CallerAddress)
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
		checkServing(t, m)
	}
	for m.inFlight.Load() > 0 { // ends by the request's deadline
		time.Sleep(time.Millisecond)
	}
}
