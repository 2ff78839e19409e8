package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
	"github.com/jacinthramp/jacinthramp/test/rawserver"
)

// startWithHandler runs one instance with one target, which serves h.
func startWithHandler(t *testing.T, h http.HandlerFunc) *testInstance {
	t.Helper()
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.run(t, oneTarget(startTarget(t, h), "osrednja-a"))
	return inst
}

func TestConnectionFieldsAreNotForwarded(t *testing.T) {
	seen := make(chan http.Header, 1)
	inst := startWithHandler(t, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Clone()
		w.Header().Set("Connection", "X-Answer-Only")
		w.Header().Set("X-Answer-Only", "1")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-Kept", "1")
		w.Header().Set(wire.HeaderOutcome, "not-run")
	})
	r, _ := http.NewRequest("GET", inst.url()+"/feedlog", nil)
	r.Header.Set("Connection", "keep-alive, x-request-only")
	r.Header.Set("X-Request-Only", "1")
	r.Header.Set("Te", "trailers, deflate")
	r.Header.Set("Upgrade", "websocket")
	r.Header.Set("Proxy-Authorization", "secret")
	r.Header.Set("X-Kept", "1")
	r.Header.Set(wire.HeaderHopRoute, "forged")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	got := <-seen
	for _, f := range []string{"X-Request-Only", "Upgrade", "Proxy-Authorization", wire.HeaderHopRoute} {
		if got.Get(f) != "" {
			t.Errorf("the target got header field %s", f)
		}
	}
	if got.Get("Via") != "1.1 jacinthramp" || got.Get("X-Forwarded-For") != "127.0.0.1" {
		t.Errorf("Via or X-Forwarded-For is wrong in header %v of the target's request", got)
	}
	if got.Get("X-Kept") != "1" || got.Get("Te") != "trailers" {
		t.Errorf("X-Kept or Te is wrong in header %v of the target's request", got)
	}
	for _, f := range []string{"X-Answer-Only", "Keep-Alive"} {
		if resp.Header.Get(f) != "" {
			t.Errorf("the caller got header field %s", f)
		}
	}
	if resp.Header.Get("X-Kept") != "1" || resp.Header.Get(wire.HeaderOutcome) != "completed" {
		t.Errorf("X-Kept or the outcome is wrong in header %v of the caller's response", resp.Header)
	}
}

func TestTrailersAreForwardedBothWays(t *testing.T) {
	seen := make(chan string, 1)
	inst := startWithHandler(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		seen <- r.Trailer.Get("X-Sum")
		w.Header().Set("Trailer", "X-Answer-Sum")
		io.WriteString(w, "body")
		w.Header().Set("X-Answer-Sum", "43")
	})
	r, _ := http.NewRequest("POST", inst.url()+"/feedlog", io.MultiReader(strings.NewReader("silage")))
	r.Trailer = http.Header{"X-Sum": {"42"}}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	if got := <-seen; got != "42" {
		t.Errorf("the target got trailer %q", got)
	}
	if string(b) != "body" || resp.Trailer.Get("X-Answer-Sum") != "43" {
		t.Errorf("the caller got body %q, trailer %v", b, resp.Trailer)
	}
}

func TestHeadResponseKeepsContentLength(t *testing.T) {
	inst := startWithHandler(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "1234") })
	for range 2 {
		resp, err := http.Head(inst.url() + "/feedlog")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.ContentLength != 1234 {
			t.Errorf("length = %d, want 1234", resp.ContentLength)
		}
	}
}

func TestInterimResponsesAreForwarded(t *testing.T) {
	inst := startWithHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", "</style.css>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		io.WriteString(w, "final")
	})
	var codes []string
	trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
		codes = append(codes, fmt.Sprint(code, " ", h.Get("Link")))
		return nil
	}}
	r, _ := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), "GET", inst.url()+"/feedlog", nil)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	if len(codes) != 1 || codes[0] != "103 </style.css>; rel=preload" || string(b) != "final" || resp.Header.Get("Link") != "" {
		t.Errorf("interim responses %v, final response %q %v", codes, b, resp.Header)
	}
}

func TestLargeBodiesStreamInBoundedMemory(t *testing.T) {
	const size = 48 << 20
	inst := startWithHandler(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		io.Copy(w, r.Body)
	})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	r, _ := http.NewRequest("POST", inst.url()+"/feedlog", io.LimitReader(zeroReader{}, size))
	r.ContentLength = size
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	runtime.ReadMemStats(&after)
	if n != size || err != nil {
		t.Fatalf("got %d bytes, %v", n, err)
	}
	if grown := after.TotalAlloc - before.TotalAlloc; grown > size/8 {
		t.Errorf("allocated %d bytes for a body of %d", grown, size)
	}
}

// zeroReader is an endless reader of zero bytes.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

func TestResponseMayStartBeforeRequestBodyEnds(t *testing.T) {
	inst := startWithHandler(t, func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		rc.EnableFullDuplex()
		br := bufio.NewReader(r.Body)
		for {
			line, err := br.ReadString('\n')
			if err != nil {
				return
			}
			io.WriteString(w, "got "+line)
			rc.Flush()
		}
	})
	pr, pw := io.Pipe()
	r, _ := http.NewRequest("POST", inst.url()+"/feedlog", pr)
	go io.WriteString(pw, "one\n")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	br := bufio.NewReader(resp.Body)
	for _, word := range []string{"one", "two", "three"} {
		if line, err := br.ReadString('\n'); line != "got "+word+"\n" {
			t.Fatalf("line %q, %v", line, err)
		}
		next := map[string]string{"one": "two\n", "two": "three\n"}[word]
		go io.WriteString(pw, next)
	}
	pw.Close()
}

func TestCallerDisconnectCancelsTargetRequest(t *testing.T) {
	started, canceled := make(chan struct{}), make(chan struct{})
	inst := startWithHandler(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // the server detects a disconnect only after the body
		close(started)
		<-r.Context().Done()
		close(canceled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, "POST", inst.url()+"/feedlog", strings.NewReader("x"))
	go func() {
		<-started
		cancel()
	}()
	if resp, err := http.DefaultClient.Do(r); err == nil {
		resp.Body.Close()
		t.Fatal("got a response after the disconnect")
	}
	<-canceled
}

func TestDeadlineIsForwardedToTarget(t *testing.T) {
	seen := make(chan int, 2)
	h := func(_ http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.Header.Get(wire.HeaderDeadlineMS))
		seen <- ms
	}
	tables := oneTarget(startTarget(t, h), "osrednja-b")
	a, b := startInstance(t, "a-1", "osrednja-a"), startInstance(t, "b-1", "osrednja-b")
	a.run(t, tables, a.self, b.self)
	b.run(t, tables, a.self, b.self)
	for _, c := range []struct {
		header string
		most   int
	}{{"2000", 2000}, {"3600000", int(table.DefaultTimeout.Milliseconds())}} {
		r, _ := http.NewRequest("GET", a.url()+"/feedlog", nil)
		r.Header.Set(wire.HeaderDeadlineMS, c.header)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if got := <-seen; got <= 0 || got > c.most {
			t.Errorf("deadline %s ms: the target got %d, want at most %d", c.header, got, c.most)
		}
	}
}

func TestExpiredDeadlineHasUnknownOutcome(t *testing.T) {
	inst := startWithHandler(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	r, _ := http.NewRequest("GET", inst.url()+"/feedlog", nil)
	r.Header.Set(wire.HeaderDeadlineMS, "50")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 504 || resp.Header.Get(wire.HeaderKind) != "target-timeout" || resp.Header.Get(wire.HeaderOutcome) != "unknown" {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
}

// TestNonIdempotentRequestIsSentAtMostOnce has a target close a reused connection
// after it has read the request. An instance must not send the request again, as
// http.Transport does.
func TestNonIdempotentRequestIsSentAtMostOnce(t *testing.T) {
	target := func(runs chan<- string) func(net.Conn, *bufio.Reader) {
		return func(c net.Conn, br *bufio.Reader) {
			for {
				r, ok := rawserver.ReadRequest(br)
				if !ok {
					return
				}
				runs <- r.URL.Path
				if r.URL.Path == "/feedlog/order" {
					return
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	}
	order := func(t *testing.T, base string) {
		t.Helper()
		get(t, base+"/feedlog/first")
		time.Sleep(20 * time.Millisecond)
		r, _ := http.NewRequest("GET", base+"/feedlog/order", nil)
		r.Header.Set("Idempotency-Key", "k")
		if resp, err := http.DefaultClient.Do(r); err == nil {
			resp.Body.Close()
		}
	}
	count := func(runs chan string) int {
		n := 0
		for len(runs) > 0 {
			if <-runs == "/feedlog/order" {
				n++
			}
		}
		return n
	}
	t.Run("through an instance", func(t *testing.T) {
		runs := make(chan string, 16)
		tables := oneTarget(rawserver.Start(t, target(runs)), "osrednja-a")
		tables.Routes[0].Idempotency = table.IdempotentNever
		inst := startInstance(t, "a-1", "osrednja-a")
		inst.run(t, tables)
		order(t, inst.url())
		if n := count(runs); n != 1 {
			t.Errorf("the order ran %d times, want 1", n)
		}
	})
	t.Run("http.Transport sends it again", func(t *testing.T) {
		runs := make(chan string, 16)
		order(t, "http://"+rawserver.Start(t, target(runs)))
		if n := count(runs); n < 2 {
			t.Errorf("the order ran %d times with http.Transport, want more than 1; the test no longer reproduces the fault that it guards against", n)
		}
	})
}
