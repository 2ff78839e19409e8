package pipeline

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const (
	// fuzzIdle is how long the fuzzer's server waits for a caller, and fuzzLeave
	// when a caller that is still awaited goes away.
	fuzzIdle  = 5 * time.Millisecond
	fuzzLeave = 30 * time.Millisecond
)

// FuzzConnection sends any bytes as those of a caller. Whatever they are, each
// answer is well-formed, and the connection ends.
func FuzzConnection(f *testing.F) {
	f.Add([]byte(get("/1") + get("/2")))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody, and more"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nTrailer: x\r\n\r\n" + get("/2")))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/2.0\r\nHost: x\r\n\r\n"))
	f.Add([]byte("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		handle := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			_, _ = io.WriteString(w, r.Method+" "+r.URL.Path+" "+http.StatusText(int(n%600)))
		})
		s := &Server{Handler: handle, ReadHeaderTimeout: fuzzIdle, IdleTimeout: fuzzIdle, MaxHeaderBytes: 4 << 10}
		caller, instance := net.Pipe()
		served := make(chan struct{})
		go func() {
			defer close(served)
			newConn(s, instance).serve()
		}()
		go func() { _, _ = caller.Write(sent) }()
		leave := time.AfterFunc(fuzzLeave, func() { _ = caller.Close() })
		defer leave.Stop()
		answers, err := io.ReadAll(caller)
		if err != nil && !errors.Is(err, io.ErrClosedPipe) {
			t.Fatalf("the connection does not end: %v", err)
		}
		<-served
		expectAnswers(t, answers)
	})
}

// expectAnswers reads well-formed answers until the end; the last one may have
// been cut by the caller's own end.
func expectAnswers(t *testing.T, data []byte) {
	br := bufio.NewReader(bytes.NewReader(data))
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("malformed answer in %q: %v", data, err)
			}
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("malformed body in %q: %v", data, err)
		}
	}
}
