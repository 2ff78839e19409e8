package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// fuzzTimeout bounds what the fuzzer waits for.
const fuzzTimeout = 200 * time.Millisecond

// FuzzResponse sends any bytes as a target's answer. Whatever they are, the exchange
// ends, a failure says that the request was sent, and no interim answer is taken
// for the final one.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 Switching Protocols\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200\r\n\r\nto the end"))
	f.Add([]byte("garbage\r\n\r\n"))
	f.Fuzz(func(t *testing.T, response []byte) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		go serveOneResponse(ln, response)
		p := NewPool(NewDialer(Options{DialTimeout: fuzzTimeout}), ln.Addr().String(), 1)
		defer p.Close()
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://x/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		a, err := p.Send(t.Context(), r)
		if err != nil {
			if e := AsError(err); !e.MaybeSent {
				t.Errorf("said not to be sent: %v", e)
			}
			return
		}
		_, _ = io.Copy(io.Discard, a.Body)
		a.Close()
		if a.StatusCode < http.StatusOK {
			t.Errorf("status %d taken for an answer", a.StatusCode)
		}
	})
}

// serveOneResponse answers the first request on ln with the bytes, and closes.
func serveOneResponse(ln net.Listener, response []byte) {
	c, err := ln.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(fuzzTimeout))
	buf := make([]byte, 4<<10)
	if _, err := c.Read(buf); err != nil {
		return
	}
	_, _ = c.Write(response)
}
