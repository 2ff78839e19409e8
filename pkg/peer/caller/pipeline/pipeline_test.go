package pipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer serves h until the end of the test and returns the server and its
// address.
func startServer(t *testing.T, h http.HandlerFunc) (*Server, string) {
	t.Helper()
	return startServerWith(t, h, func(*Server) {})
}

// startServerWith is startServer with a server that configure changes.
func startServerWith(t *testing.T, h http.HandlerFunc, configure func(*Server)) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Handler: h, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
	configure(s)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-done; err != http.ErrServerClosed {
			t.Errorf("Serve returned %v, want http.ErrServerClosed", err)
		}
	})
	return s, ln.Addr().String()
}

// dialAndSend opens a connection, sends text and returns the connection and a
// reader of the responses.
func dialAndSend(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
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

// getRequest returns a GET request for path as sent on the connection.
func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// readResponse reads one response with its body.
func readResponse(t *testing.T, br *bufio.Reader) (*http.Response, string) {
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

func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	second := make(chan struct{})
	_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/1":
			<-second // the first handler returns only after the second has started
		case "/2":
			close(second)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	_, br := dialAndSend(t, address, getRequest("/1")+getRequest("/2")+getRequest("/3"))
	for _, want := range []string{"/1", "/2", "/3"} {
		if _, got := readResponse(t, br); got != want {
			t.Errorf("response %q, want %q", got, want)
		}
	}
}

// TestResponsesBehindASlowOneAreDelivered has the write deadlines of responses pass while
// they wait for the one before them.
func TestResponsesBehindASlowOneAreDelivered(t *testing.T) {
	passed := make(chan struct{}, 2)
	_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-passed
			<-passed
			time.Sleep(50 * time.Millisecond)
		} else {
			deadline := time.Now().Add(10 * time.Millisecond)
			_ = http.NewResponseController(w).SetWriteDeadline(deadline)
			time.Sleep(time.Until(deadline))
			passed <- struct{}{}
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	_, br := dialAndSend(t, address, getRequest("/slow")+getRequest("/2")+getRequest("/3"))
	for _, want := range []string{"/slow", "/2", "/3"} {
		if _, got := readResponse(t, br); got != want {
			t.Errorf("response %q, want %q", got, want)
		}
	}
}

func TestRequestWithBodyWaitsForEarlierRequests(t *testing.T) {
	var running, runningAtPost atomic.Int32
	_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			runningAtPost.Store(running.Load())
		}
		running.Add(1)
		defer running.Add(-1)
		b, _ := io.ReadAll(r.Body)
		_, _ = w.Write(b)
	})
	post := "POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
	_, br := dialAndSend(t, address, getRequest("/1")+post+getRequest("/3"))
	for _, want := range []string{"", "body", ""} {
		if _, got := readResponse(t, br); got != want {
			t.Errorf("response %q, want %q", got, want)
		}
	}
	if runningAtPost.Load() != 0 {
		t.Errorf("%d handlers were running when the request with a body started", runningAtPost.Load())
	}
}

func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	started, ended := make(chan struct{}, 2), make(chan struct{}, 2)
	_, address := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	c, _ := dialAndSend(t, address, getRequest("/1")+getRequest("/2"))
	<-started
	<-started
	_ = c.Close()
	<-ended
	<-ended
}

func TestDisconnectCancelsLastRequestOfConnection(t *testing.T) {
	for name, text := range map[string]string{
		"connection closed after it":      "GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
		"HTTP/1.0":                        "GET /1 HTTP/1.0\r\nHost: x\r\n\r\n",
		"body":                            "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody",
		"chunked body":                    "POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"body on a persistent connection": "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody",
		"bytes after the request":         "GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + strings.Repeat("a", 3*bufferBytes),
	} {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan struct{})
			_, address := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				close(started)
				<-r.Context().Done()
				close(ended)
			})
			c, _ := dialAndSend(t, address, text)
			<-started
			_ = c.Close()
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
				t.Fatal("the request was not canceled after the caller disconnected")
			}
		})
	}
}

func TestBytesAfterLastRequestDoNotAffectItsResponse(t *testing.T) {
	release := make(chan struct{})
	_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	})
	text := "GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	_, br := dialAndSend(t, address, getRequest("/0")+text+getRequest("/2")+strings.Repeat("a", 3*bufferBytes))
	close(release)
	if resp, body := readResponse(t, br); body != "/0" || resp.Close {
		t.Errorf("response %q, Close %v", body, resp.Close)
	}
	if resp, body := readResponse(t, br); body != "/1" || !resp.Close {
		t.Errorf("response %q, Close %v", body, resp.Close)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("read after the last response: %v, want EOF", err)
	}
}

func TestConnectionClosesAfterResponseToLastRequestRead(t *testing.T) {
	started := make(chan struct{}, 2)
	release := make(chan struct{})
	_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, r.URL.Path)
	})
	_, br := dialAndSend(t, address, getRequest("/1")+getRequest("/2"))
	<-started
	<-started
	close(release)
	first, _ := readResponse(t, br)
	second, body := readResponse(t, br)
	if first.Close || !second.Close || body != "/2" {
		t.Errorf("Close of the first response = %v, of the second = %v; second body %q", first.Close, second.Close, body)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("read after the last response: %v, want EOF", err)
	}
}

func TestAbortedResponseIsNotReadAsComplete(t *testing.T) {
	for name, c := range map[string]struct{ request, length string }{
		"chunked":               {getRequest("/1"), ""},
		"with length":           {getRequest("/1"), "10"},
		"HTTP/1.0":              {"GET /1 HTTP/1.0\r\n\r\n", ""},
		"HTTP/1.0, with length": {"GET /1 HTTP/1.0\r\n\r\n", "10"},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				if c.length != "" {
					w.Header().Set("Content-Length", c.length)
				}
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
			_, br := dialAndSend(t, address, c.request)
			resp, err := http.ReadResponse(br, nil)
			if strings.Contains(c.request, "HTTP/1.0") && errors.Is(err, syscall.ECONNRESET) {
				return // the reset made the caller discard the part that was sent
			}
			if err != nil {
				t.Fatal(err)
			}
			if b, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("the aborted response was read as complete: %q", b)
			}
		})
	}
}

func TestShutdownAnswersReadRequestsAndClosesIdleConnections(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	_, busy := dialAndSend(t, address, getRequest("/1"))
	_, idle := dialAndSend(t, address, "")
	<-started
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	if _, err := idle.ReadByte(); err != io.EOF {
		t.Errorf("read from the idle connection: %v, want EOF", err)
	}
	close(release)
	resp, body := readResponse(t, busy)
	if body != "whole" || !resp.Close {
		t.Errorf("response %q, Close %v", body, resp.Close)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestMalformedRequestIsRejectedAfterEarlierResponses(t *testing.T) {
	_, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	_, br := dialAndSend(t, address, getRequest("/1")+"GET / HTTP/1.1\r\nbroken\r\n\r\n")
	if _, body := readResponse(t, br); body != "ok" {
		t.Errorf("first response %q", body)
	}
	if resp, _ := readResponse(t, br); resp.StatusCode != http.StatusBadRequest || !resp.Close {
		t.Errorf("status %d, Close %v", resp.StatusCode, resp.Close)
	}
}

func TestOversizedHeaderIsRejected(t *testing.T) {
	_, address := startServer(t, func(http.ResponseWriter, *http.Request) {})
	_, br := dialAndSend(t, address, "GET / HTTP/1.1\r\nHost: x\r\nLong: "+strings.Repeat("a", 64<<10)+"\r\n\r\n")
	if resp, _ := readResponse(t, br); resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d", resp.StatusCode)
	}
}

func TestExpectContinueIsAnswered(t *testing.T) {
	_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		_, _ = w.Write(b)
	})
	c, br := dialAndSend(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	line, err := br.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Fatalf("first line %q, error %v, want 100 Continue", line, err)
	}
	if _, err := br.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "body")
	if _, body := readResponse(t, br); body != "body" {
		t.Errorf("body %q", body)
	}
}

// expectingRequest is the header of a request whose caller waits for 100 Continue.
const expectingRequest = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"

// TestNoContinueAfterFinalHeader reads the body only after the response was sent. The
// caller must receive nothing after that response.
func TestNoContinueAfterFinalHeader(t *testing.T) {
	responded, read := make(chan struct{}), make(chan string, 1)
	_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "no")
		_ = http.NewResponseController(w).Flush()
		close(responded)
		b, _ := io.ReadAll(r.Body)
		read <- string(b)
	})
	c, br := dialAndSend(t, address, expectingRequest)
	<-responded
	_, _ = io.WriteString(c, "body")
	if resp, body := readResponse(t, br); resp.StatusCode != http.StatusOK || body != "no" {
		t.Errorf("status %d, body %q", resp.StatusCode, body)
	}
	if rest, err := io.ReadAll(br); err != nil || len(rest) > 0 {
		t.Errorf("after the response: %q, error %v, want nothing", rest, err)
	}
	if got := <-read; got != "body" {
		t.Errorf("the handler read the body %q", got)
	}
}

// TestContinueAndFinalHeaderDoNotInterleave reads the body in a goroutine of its own,
// as the sending of a streamed body does, while the response is written.
func TestContinueAndFinalHeaderDoNotInterleave(t *testing.T) {
	_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = io.ReadAll(r.Body)
		}()
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "no")
		<-done
	})
	for range 50 {
		_, br := dialAndSend(t, address, expectingRequest+"body")
		resp, body := readResponse(t, br)
		if resp.StatusCode == http.StatusContinue {
			resp, body = readResponse(t, br)
		}
		if resp.StatusCode != http.StatusOK || body != "no" {
			t.Fatalf("status %d, body %q", resp.StatusCode, body)
		}
	}
}

// TestInvalidStatusIsNotWritten has a handler write a status that HTTP doesn't have. The
// caller must get no bytes that it would take for a response.
func TestInvalidStatusIsNotWritten(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 600, 1000} {
		_, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		_, br := dialAndSend(t, address, getRequest("/1"))
		if line, err := br.ReadString('\n'); err != io.EOF || line != "" {
			t.Errorf("status %d: the caller got %q, %v", status, line, err)
		}
	}
}
