package pipeline

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

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start serves h until the test ends and returns the server and its address.
func start(t *testing.T, h http.HandlerFunc) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Handler: h, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-done; err != http.ErrServerClosed {
			t.Errorf("Serve ended with %v", err)
		}
	})
	return s, ln.Addr().String()
}

// dial opens a connection and sends text.
func dial(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// get returns the text of a request.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// read reads one answer.
func read(t *testing.T, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(b)
}

func TestRequestsSentAheadRunTogetherAndAreAnsweredInOrder(t *testing.T) {
	second := make(chan struct{})
	_, address := start(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/1":
			<-second // the first ends only once the second has begun
		case "/2":
			close(second)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	_, br := dial(t, address, get("/1")+get("/2")+get("/3"))
	for _, want := range []string{"/1", "/2", "/3"} {
		if _, got := read(t, br); got != want {
			t.Errorf("answer %q, want %q", got, want)
		}
	}
}

func TestRequestWithABodyIsHandledAlone(t *testing.T) {
	var running, most atomic.Int32
	_, address := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			most.Store(running.Load())
		}
		running.Add(1)
		defer running.Add(-1)
		b, _ := io.ReadAll(r.Body)
		_, _ = w.Write(b)
	})
	post := "POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
	_, br := dial(t, address, get("/1")+post+get("/3"))
	for _, want := range []string{"", "body", ""} {
		if _, got := read(t, br); got != want {
			t.Errorf("answer %q, want %q", got, want)
		}
	}
	if most.Load() != 0 {
		t.Errorf("%d requests ran beside one with a body", most.Load())
	}
}

func TestCallerThatGoesAwayEndsItsRequestsDespiteBytesSentAhead(t *testing.T) {
	started, ended := make(chan struct{}, 2), make(chan struct{}, 2)
	_, address := start(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	c, _ := dial(t, address, get("/1")+get("/2"))
	<-started
	<-started
	_ = c.Close()
	<-ended
	<-ended
}

func TestCallerThatGoesAwayEndsTheLastRequestOfItsConnection(t *testing.T) {
	for name, text := range map[string]string{
		"connection ends after it":          "GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
		"older protocol":                    "GET /1 HTTP/1.0\r\nHost: x\r\n\r\n",
		"body":                              "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody",
		"body in chunks":                    "POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"body of a connection that goes on": "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody",
		"bytes sent behind it":              "GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + strings.Repeat("a", 3*bufferBytes),
	} {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan struct{})
			_, address := start(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				close(started)
				<-r.Context().Done()
				close(ended)
			})
			c, _ := dial(t, address, text)
			<-started
			_ = c.Close()
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
				t.Fatal("the request goes on without its caller")
			}
		})
	}
}

func TestBytesBehindTheLastRequestDoNotDisturbItsAnswer(t *testing.T) {
	release := make(chan struct{})
	_, address := start(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	})
	text := "GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	_, br := dial(t, address, get("/0")+text+get("/2")+strings.Repeat("a", 3*bufferBytes))
	close(release)
	if resp, body := read(t, br); body != "/0" || resp.Close {
		t.Errorf("answer %q, close %v", body, resp.Close)
	}
	if resp, body := read(t, br); body != "/1" || !resp.Close {
		t.Errorf("answer %q, close %v", body, resp.Close)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v", err)
	}
}

func TestClosingWaitsForTheLastRequestThatWasRead(t *testing.T) {
	both := make(chan struct{}, 2)
	release := make(chan struct{})
	_, address := start(t, func(w http.ResponseWriter, r *http.Request) {
		both <- struct{}{}
		<-release
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, r.URL.Path)
	})
	_, br := dial(t, address, get("/1")+get("/2"))
	<-both
	<-both
	close(release)
	first, _ := read(t, br)
	second, body := read(t, br)
	if first.Close || !second.Close || body != "/2" {
		t.Errorf("close of the first %v, of the second %v, body %q", first.Close, second.Close, body)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v", err)
	}
}

func TestAnswerThatEndsEarlyDoesNotLookWhole(t *testing.T) {
	for name, set := range map[string]func(http.Header){
		"chunked":     func(http.Header) {},
		"with length": func(h http.Header) { h.Set("Content-Length", "10") },
	} {
		t.Run(name, func(t *testing.T) {
			_, address := start(t, func(w http.ResponseWriter, _ *http.Request) {
				set(w.Header())
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
			_, br := dial(t, address, get("/1"))
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			if b, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("the broken answer reads as whole: %q", b)
			}
		})
	}
}

func TestShutdownAnswersWhatWasReadAndClosesIdleConnections(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s, address := start(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	_, busy := dial(t, address, get("/1"))
	_, idle := dial(t, address, "")
	<-started
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	if _, err := idle.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v", err)
	}
	close(release)
	resp, body := read(t, busy)
	if body != "whole" || !resp.Close {
		t.Errorf("answer %q, close %v", body, resp.Close)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestUnreadableRequestIsRefusedBehindTheAnswersBefore(t *testing.T) {
	_, address := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	_, br := dial(t, address, get("/1")+"GET / HTTP/1.1\r\nbroken\r\n\r\n")
	if _, body := read(t, br); body != "ok" {
		t.Errorf("first answer %q", body)
	}
	if resp, _ := read(t, br); resp.StatusCode != http.StatusBadRequest || !resp.Close {
		t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
	}
}

func TestHeaderBeyondTheLimitIsRefused(t *testing.T) {
	_, address := start(t, func(http.ResponseWriter, *http.Request) {})
	_, br := dial(t, address, "GET / HTTP/1.1\r\nHost: x\r\nLong: "+strings.Repeat("a", 64<<10)+"\r\n\r\n")
	if resp, _ := read(t, br); resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d", resp.StatusCode)
	}
}

func TestCallerThatWaitsToSendItsBodyIsTold(t *testing.T) {
	_, address := start(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		_, _ = w.Write(b)
	})
	c, br := dial(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	line, err := br.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Fatalf("first line %q, %v", line, err)
	}
	if _, err := br.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "body")
	if _, body := read(t, br); body != "body" {
		t.Errorf("body %q", body)
	}
}
