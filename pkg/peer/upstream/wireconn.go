package upstream

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/peer/memory"
)

// wireConn is a connection that records which parts of the current exchange have
// been written and read. It enforces the end of the send window and the limits on
// response headers.
type wireConn struct {
	net.Conn
	// raw is used to peek at unread bytes; nil if the connection does not support it.
	raw syscall.RawConn
	// options restricts the current exchange; now is the clock of its send window.
	// sendWindowExpired is set if the window has ended, and withdrawn if the request
	// was withdrawn, before the first byte was written.
	options           SendOptions
	now               func() time.Time
	sendWindowExpired atomic.Bool
	withdrawn         atomic.Bool
	// writeStarted is set before the first byte of the current exchange is written.
	writeStarted atomic.Bool
	// responseStarted is set when the first byte of the current response arrives.
	responseStarted atomic.Bool
	// readFailed is set when a read fails, for instance because the server has closed
	// the connection.
	readFailed atomic.Bool
	// writeMu is held during a write, and guards writeErr, the first error of one.
	writeMu  sync.Mutex
	writeErr error
	// headerBytesLeft is how many bytes of the current header may still be read;
	// negative means no limit.
	headerBytesLeft int64
	// headerMemory is shared by all connections; headerUse is what the current
	// header uses of it.
	headerMemory *memory.Budget
	headerUse    memory.Head
}

func newWireConn(c net.Conn, m *memory.Budget, now func() time.Time) *wireConn {
	w := &wireConn{Conn: c, headerBytesLeft: -1, headerMemory: m, now: now}
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			w.raw = raw
		}
	}
	return w
}

// beginExchange starts a new exchange, which options restricts.
func (c *wireConn) beginExchange(options SendOptions) {
	c.options = options
	c.sendWindowExpired.Store(false)
	c.withdrawn.Store(false)
	c.writeStarted.Store(false)
	c.responseStarted.Store(false)
}

// beginHeader limits the following reads to a total of limit bytes.
func (c *wireConn) beginHeader(limit int64) { c.headerBytesLeft = limit }

// endHeader removes the limit of beginHeader. The header keeps its memory.
func (c *wireConn) endHeader() { c.headerBytesLeft = -1 }

// releaseHeader releases the memory of the current response's header.
func (c *wireConn) releaseHeader() { c.headerUse.Release(c.headerMemory) }

// checkMaySend returns an error and records its reason if the options of the current
// exchange do not allow the request to be sent now.
func (c *wireConn) checkMaySend() error {
	if end := c.options.NotAfter; !end.IsZero() && !c.now().Before(end) {
		c.sendWindowExpired.Store(true)
		return errSendWindowExpired
	}
	if withdrawn := c.options.Withdrawn; withdrawn != nil && withdrawn() {
		c.withdrawn.Store(true)
		return errWithdrawn
	}
	return nil
}

// refusedToSend reports whether checkMaySend has returned an error in the current
// exchange.
func (c *wireConn) refusedToSend() bool { return c.sendWindowExpired.Load() || c.withdrawn.Load() }

// Write writes b. It sets writeStarted, unless the request may not be sent any more or
// the first write fails without writing any byte. The options are checked here because
// much time may have passed since the request was built: the process was paused, or the
// caller sent the body slowly.
func (c *wireConn) Write(b []byte) (int, error) {
	first := c.writeStarted.CompareAndSwap(false, true)
	if first {
		if err := c.checkMaySend(); err != nil {
			c.writeStarted.Store(false)
			return 0, err
		}
	}
	n, err := c.writeThrough(b)
	if first && n == 0 && err != nil {
		c.writeStarted.Store(false)
	}
	return n, err
}

// writeThrough writes b to the connection and records the first error.
func (c *wireConn) writeThrough(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// endedInOrder reports whether the server has ended the connection in order, after a read has
// returned io.EOF. A connection that fails reports that only once: if a write meets the error,
// reads see an orderly end. So it interrupts a write in flight and waits for its result; nothing
// can be written to the connection afterwards.
func (c *wireConn) endedInOrder() bool {
	_ = c.SetWriteDeadline(pastDeadline)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	interrupted := errors.Is(c.writeErr, os.ErrDeadlineExceeded)
	// A write gets EPIPE on a connection that the server had ended in order before it was gone.
	return c.writeErr == nil || interrupted || errors.Is(c.writeErr, syscall.EPIPE)
}

// Read reads into b within the limits on the header and records the outcome.
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
		if !c.headerUse.Add(c.headerMemory, b[:n]) {
			return 0, errHeaderMemoryExhausted
		}
	}
	if err != nil {
		c.readFailed.Store(true)
	}
	return n, err
}

// idleState is the state of an idle connection.
type idleState uint8

// The states of an idle connection.
const (
	// idleClean: open, with nothing to read.
	idleClean idleState = iota
	// idleClosed: closed by the server, or failed.
	idleClosed
	// idleUnsolicited: bytes have arrived that belong to no request.
	idleUnsolicited
)

// checkIdle returns the state of an idle connection without consuming any bytes.
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
