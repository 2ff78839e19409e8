package instance

import (
	"log"
	"net"
	"sync/atomic"
	"time"
)

const (
	// idleTimeout is the time without incoming bytes after which a connection ends.
	idleTimeout = 60 * time.Second
	// writeTimeout is the longest time that a write may block because the peer
	// does not read.
	writeTimeout = 5 * time.Second
)

// deadlineConn sets a deadline for each read and write, and stores the latest read
// error. The JSON-RPC library reports only that the connection is closed.
type deadlineConn struct {
	net.Conn
	readErr atomic.Pointer[error]
}

func (c *deadlineConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		c.readErr.Store(&err)
	}
	return n, err
}

func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// discardLogger discards the log lines of the JSON-RPC library. Its errors are
// returned to the caller of a method instead.
var discardLogger = log.New(discardWriter{}, "", 0)

type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
