package upstream

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// wireConn records what has crossed a connection, and bounds the header of
// an answer.
type wireConn struct {
	net.Conn
	// raw looks at a TCP connection without consuming; nil for others.
	raw syscall.RawConn
	// notAfter ends the time in which the present exchange may begin to be written,
	// by now; zero is no bound. late is set when it has passed before that.
	notAfter time.Time
	now      func() time.Time
	late     atomic.Bool
	// wrote is set before the first byte of the present exchange is written.
	wrote atomic.Bool
	// read is set when the first byte of the present answer has arrived.
	read atomic.Bool
	// ended is set when the other end has closed the connection or it broke.
	ended atomic.Bool
	// left is how many bytes of the present header may still be read; negative
	// means that there is no bound.
	left int64
	// memory is shared by all connections, and header is what the present header
	// takes of it.
	memory *headerMemory
	header headerUse
}

func newWireConn(c net.Conn, m *headerMemory, now func() time.Time) *wireConn {
	w := &wireConn{Conn: c, left: -1, memory: m, now: now}
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			w.raw = raw
		}
	}
	return w
}

// begin starts a new exchange, which may not be written at or after notAfter.
func (c *wireConn) begin(notAfter time.Time) {
	c.notAfter = notAfter
	c.late.Store(false)
	c.wrote.Store(false)
	c.read.Store(false)
}

// beginHeader starts the reading of a header of at most limit bytes.
func (c *wireConn) beginHeader(limit int64) { c.left = limit }

// endHeader ends the reading of a header.
func (c *wireConn) endHeader() {
	c.left = -1
	c.memory.release(&c.header)
}

// Write marks the exchange as written unless the connection refused all of b. The
// bound in time is compared here, since the process may have been paused after the
// request was made.
func (c *wireConn) Write(b []byte) (int, error) {
	first := c.wrote.CompareAndSwap(false, true)
	if first && !c.notAfter.IsZero() && !c.now().Before(c.notAfter) {
		c.wrote.Store(false)
		c.late.Store(true)
		return 0, errLate
	}
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		c.wrote.Store(false)
	}
	return n, err
}

// Read marks the exchange as answered when bytes arrive.
func (c *wireConn) Read(b []byte) (int, error) {
	if c.left == 0 {
		return 0, errHeaderTooLarge
	}
	if c.left > 0 && int64(len(b)) > c.left {
		b = b[:c.left]
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.read.Store(true)
	}
	if c.left > 0 {
		c.left -= int64(n)
		if !c.memory.take(&c.header, b[:n]) {
			return 0, errHeaderMemory
		}
	}
	if err != nil {
		c.ended.Store(true)
	}
	return n, err
}

// state is what an idle connection looks like.
type state uint8

// The states of an idle connection.
const (
	// quiet: open, with nothing to read.
	quiet state = iota
	// gone: closed by the other end, or broken.
	gone
	// unasked: bytes have arrived that belong to no request.
	unasked
)

// look returns the state of an idle connection without consuming anything.
func (c *wireConn) look() state {
	if c.raw == nil {
		return quiet
	}
	s := gone
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			s = quiet
		case err == nil && n > 0:
			s = unasked
		}
		return true
	})
	if err != nil {
		return gone
	}
	return s
}
