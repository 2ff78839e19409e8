package upstream

import (
	"net"
	"sync/atomic"
)

// wireConn records what has crossed a connection.
type wireConn struct {
	net.Conn
	// wrote is set before the first byte of the present exchange is written.
	wrote atomic.Bool
	// read is set when the first byte of the present answer has arrived.
	read atomic.Bool
	// waiting is set while a Read is pending, so that everything that has
	// arrived before has been consumed.
	waiting atomic.Bool
	// ended is set when the other end has closed the connection or it broke.
	ended atomic.Bool
}

// begin starts a new exchange.
func (c *wireConn) begin() {
	c.wrote.Store(false)
	c.read.Store(false)
}

// Write marks the exchange as written unless the connection refused all of b.
func (c *wireConn) Write(b []byte) (int, error) {
	first := c.wrote.CompareAndSwap(false, true)
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		c.wrote.Store(false)
	}
	return n, err
}

// Read marks the exchange as answered when bytes arrive.
func (c *wireConn) Read(b []byte) (int, error) {
	c.waiting.Store(true)
	n, err := c.Conn.Read(b)
	c.waiting.Store(false)
	if n > 0 {
		c.read.Store(true)
	}
	if err != nil {
		c.ended.Store(true)
	}
	return n, err
}
