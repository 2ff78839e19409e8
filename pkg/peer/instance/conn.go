package instance

import (
	"log"
	"net"
	"sync/atomic"
	"time"
)

const (
	// idleTimeout ends a connection on which nothing arrived.
	idleTimeout = 60 * time.Second
	// writeTimeout ends a connection whose peer does not read.
	writeTimeout = 5 * time.Second
)

// deadlineConn sets a deadline for each read and write, and keeps the error
// that ended the reading.
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

// discard drops the protocol library's own log lines; errors reach the caller.
var discard = log.New(discardWriter{}, "", 0)

type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
