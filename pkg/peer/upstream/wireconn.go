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
	notAfter          time.Time
	now               func() time.Time
	sendWindowExpired atomic.Bool
	// writeStarted is set before the first byte of the present exchange is written.
	writeStarted atomic.Bool
	// responseStarted is set when the first byte of the present answer has arrived.
	responseStarted atomic.Bool
	// readFailed is set when the other end has closed the connection or it broke.
	readFailed atomic.Bool
	// headerBytesLeft is how many bytes of the present header may still be read; negative
	// means that there is no bound.
	headerBytesLeft int64
	// headerMemory is shared by all connections, and header is what the present header
	// takes of it.
	headerMemory *headerMemory
	headerUse    headerUse
}

func newWireConn(c net.Conn, m *headerMemory, now func() time.Time) *wireConn {
	w := &wireConn{Conn: c, headerBytesLeft: -1, headerMemory: m, now: now}
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			w.raw = raw
		}
	}
	return w
}

// beginExchange starts a new exchange, which may not be written at or after notAfter.
func (c *wireConn) beginExchange(notAfter time.Time) {
	c.notAfter = notAfter
	c.sendWindowExpired.Store(false)
	c.writeStarted.Store(false)
	c.responseStarted.Store(false)
}

// beginHeader starts the reading of a header of at most limit bytes.
func (c *wireConn) beginHeader(limit int64) { c.headerBytesLeft = limit }

// endHeader ends the reading of a header.
func (c *wireConn) endHeader() {
	c.headerBytesLeft = -1
	c.headerMemory.release(&c.headerUse)
}

// Write marks the exchange as written unless the connection refused all of b. The
// bound in time is compared here, since the process may have been paused after the
// request was made.
func (c *wireConn) Write(b []byte) (int, error) {
	first := c.writeStarted.CompareAndSwap(false, true)
	if first && !c.notAfter.IsZero() && !c.now().Before(c.notAfter) {
		c.writeStarted.Store(false)
		c.sendWindowExpired.Store(true)
		return 0, errSendWindowExpired
	}
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		c.writeStarted.Store(false)
	}
	return n, err
}

// Read marks the exchange as answered when bytes arrive.
func (c *wireConn) Read(b []byte) (int, error) {
	if c.headerBytesLeft == 0 {
		return 0, errHeaderTooLarge
	}
	if c.headerBytesLeft > 0 && int64(len(b)) > c.headerBytesLeft {
		b = b[:c.headerBytesLeft]
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.responseStarted.Store(true)
	}
	if c.headerBytesLeft > 0 {
		c.headerBytesLeft -= int64(n)
		if !c.headerMemory.reserve(&c.headerUse, b[:n]) {
			return 0, errHeaderMemoryExhausted
		}
	}
	if err != nil {
		c.readFailed.Store(true)
	}
	return n, err
}

// idleState is what an idle connection looks like.
type idleState uint8

// The states of an idle connection.
const (
	// quiet: open, with nothing to read.
	idleClean idleState = iota
	// gone: closed by the other end, or broken.
	idleClosed
	// unasked: bytes have arrived that belong to no request.
	idleUnsolicited
)

// checkIdle returns the state of an idle connection without consuming anything.
func (c *wireConn) checkIdle() idleState {
	if c.raw == nil {
		return idleClean
	}
	s := idleClosed
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			s = idleClean
		case err == nil && n > 0:
			s = idleUnsolicited
		}
		return true
	})
	if err != nil {
		return idleClosed
	}
	return s
}
