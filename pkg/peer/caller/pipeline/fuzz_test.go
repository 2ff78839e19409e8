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
	// fuzzTimeout is the header and idle timeout of the server.
	fuzzTimeout = 5 * time.Millisecond
	// fuzzDisconnectAfter is when the caller closes a connection that is still
	// open, because no timeout applies to a body that is never sent.
	fuzzDisconnectAfter = 30 * time.Millisecond
)

// FuzzConnection sends arbitrary bytes on a connection and checks that every
// response is well-formed and that the connection is closed.
func FuzzConnection(f *testing.F) {
	f.Add([]byte(getRequest("/1") + getRequest("/2")))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody, and more"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nTrailer: x\r\n\r\n" + getRequest("/2")))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/2.0\r\nHost: x\r\n\r\n"))
	f.Add([]byte("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			_, _ = io.WriteString(w, r.Method+" "+r.URL.Path+" "+http.StatusText(int(n%600)))
		})
		s := &Server{Handler: handler, ReadHeaderTimeout: fuzzTimeout, IdleTimeout: fuzzTimeout, MaxHeaderBytes: 4 << 10}
		caller, instance := net.Pipe()
		served := make(chan struct{})
		go func() {
			defer close(served)
			newConn(s, instance).serve()
		}()
		go func() { _, _ = caller.Write(sent) }()
		disconnect := time.AfterFunc(fuzzDisconnectAfter, func() { _ = caller.Close() })
		defer disconnect.Stop()
		responses, err := io.ReadAll(caller)
		if err != nil && !errors.Is(err, io.ErrClosedPipe) {
			t.Fatalf("the connection was not closed: %v", err)
		}
		<-served
		checkResponses(t, responses)
	})
}

// checkResponses fails unless data is a sequence of well-formed responses. The
// last one may be incomplete, because the caller may have closed the connection.
func checkResponses(t *testing.T, data []byte) {
	br := bufio.NewReader(bytes.NewReader(data))
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("malformed response in %q: %v", data, err)
			}
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("malformed response body in %q: %v", data, err)
		}
	}
}
