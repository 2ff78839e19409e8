package target

import (
	"net"
	"sync"
	"sync/atomic"
)

// connSet holds the open connections of one process of a target.
type connSet struct {
	mu   sync.Mutex
	open map[*conn]struct{}
}

func newConnSet() *connSet { return &connSet{open: map[*conn]struct{}{}} }

// wrap returns a listener that adds its connections to the set.
func (s *connSet) wrap(ln net.Listener) net.Listener { return &listener{Listener: ln, set: s} }

// stall stalls every open connection.
func (s *connSet) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.stalled.Store(true)
	}
}

// abort closes every open connection with a TCP reset.
func (s *connSet) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
}

type listener struct {
	net.Listener
	set *connSet
}

// Accept returns the next connection, which stays in the set until it is closed.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, set: l.set}
	l.set.mu.Lock()
	l.set.open[c] = struct{}{}
	l.set.mu.Unlock()
	return c, nil
}

// conn is a connection that can be stalled: then it stays open but discards all
// data.
type conn struct {
	net.Conn
	set     *connSet
	stalled atomic.Bool
}

// Read reads from the connection. On a stalled connection it discards the data
// and reads on.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.stalled.Load() {
			return n, err
		}
	}
}

// Write writes b to the connection. On a stalled connection it discards b and
// reports success.
func (c *conn) Write(b []byte) (int, error) {
	if c.stalled.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and removes it from the set.
func (c *conn) Close() error {
	c.set.mu.Lock()
	delete(c.set.open, c)
	c.set.mu.Unlock()
	return c.Conn.Close()
}
