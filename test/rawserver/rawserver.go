// Package rawserver serves connections whose bytes a test reads and writes itself.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// server accepts connections until it is closed.
type server struct {
	ln    net.Listener
	serve func(c net.Conn, br *bufio.Reader)
	wg    sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// Start serves connections on a free port of the loopback interface until the test ends, and
// returns the address. It calls serve for each connection in a goroutine of its own, with a
// reader of the connection, and closes the connection when serve returns.
func Start(t testing.TB, serve func(c net.Conn, br *bufio.Reader)) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{ln: ln, serve: serve}
	s.wg.Go(s.accept)
	t.Cleanup(s.close)
	return ln.Addr().String()
}

func (s *server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		s.wg.Go(func() {
			defer func() { _ = c.Close() }()
			s.serve(c, bufio.NewReader(c))
		})
	}
}

// close closes the listener and all connections, and waits until serve has returned for each.
func (s *server) close() {
	_ = s.ln.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// ReadRequest reads one request with its body. ok is false if that fails, for example at the
// end of the connection.
func ReadRequest(br *bufio.Reader) (r *http.Request, ok bool) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err == nil
}
