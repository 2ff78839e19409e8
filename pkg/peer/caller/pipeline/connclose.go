package pipeline

import (
	"io"
	"time"
)

// close closes the connection after all requests read have been answered.
func (c *conn) close() {
	c.handlers.Wait()
	c.cancel()
	c.headerLimit.releaseHead()
	c.mu.Lock()
	mustLinger := c.mayHaveUnread && !c.broken
	c.mu.Unlock()
	if mustLinger {
		c.linger()
	}
	_ = c.netConn.Close()
}

// linger closes the write side and discards input until the caller closes its
// side or lingerTime has passed.
func (c *conn) linger() {
	halfCloser, ok := c.netConn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil || c.netConn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.netConn) // the connection is closed in any case
}

// drain makes the connection close after the requests already read have been
// answered.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.inFlight == 0 {
		c.setIdleDeadline()
	}
}

// abort closes the connection immediately and cancels its requests.
func (c *conn) abort() {
	c.mu.Lock()
	c.broken = true
	c.closing = true
	last := c.lastResponse
	c.mu.Unlock()
	c.cancel()
	if last != nil && !last.req.ProtoAtLeast(1, 1) {
		c.resetOnClose()
	}
	_ = c.netConn.Close()
}

// resetOnClose makes Close reset the connection. Without the reset, an HTTP/1.0 caller
// would take a truncated response for a complete one, because the end of the connection
// marks the end of the body.
func (c *conn) resetOnClose() {
	if l, ok := c.netConn.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0) // fails only on a connection that is closed already
	}
}
