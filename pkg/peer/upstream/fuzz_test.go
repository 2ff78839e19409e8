package upstream

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// fuzzTimeout limits the dial and the server's reads and writes.
const fuzzTimeout = 200 * time.Millisecond

// FuzzResponse sends arbitrary bytes as a target's response. The exchange must end,
// a failure must report that the request may have been sent, and neither an interim
// response nor one with an invalid status may be returned as the final one.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 Switching Protocols\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200\r\n\r\nto the end"))
	f.Add([]byte("garbage\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 +12 \r\n\r\nHTTP/2.0 600 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, response []byte) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		go serveOneResponse(ln, response)
		p := NewPool(NewDialer(Options{DialTimeout: fuzzTimeout}), ln.Addr().String(), 1)
		defer p.Close()
		trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			if code < http.StatusContinue || code >= http.StatusOK {
				t.Errorf("status %d passed on as that of an interim response", code)
			}
			return nil
		}}
		r, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodGet, "http://x/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := p.Send(r.Context(), r)
		if err != nil {
			if e := AsError(err); !e.MaybeSent {
				t.Errorf("reported as not sent: %v", e)
			}
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Close()
		if resp.StatusCode < http.StatusOK || !wire.IsValidStatus(resp.StatusCode) {
			t.Errorf("status %d returned as the final response", resp.StatusCode)
		}
	})
}

// serveOneResponse accepts one connection on ln, reads from it, writes response and
// closes the connection.
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
