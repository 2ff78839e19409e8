package upstream

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/conngen"
)

// Options configures the connections.
type Options struct {
	// DialTimeout bounds the opening of a connection. Default 1s.
	DialTimeout time.Duration
	// MaxResponseHeaderBytes bounds the header of an answer. Default 256 KiB.
	MaxResponseHeaderBytes int64
	// ResponseHeaderMemory bounds the memory, in bytes, that the headers of all answers
	// may take together beyond unreservedHeaderBytes each. Default 16 MiB.
	ResponseHeaderMemory int64
	// ConnectionLimits sets when a connection is doubted. Default
	// conngen.DefaultLimits.
	ConnectionLimits conngen.Limits
	// ReuseSuspension is how long an end that sends unasked bytes gets each request
	// on a connection of its own: the answers on its connections may be
	// displaced. Default 10m.
	ReuseSuspension time.Duration
	// KeepAlive is the time of silence after which an open connection is
	// checked, and the time between two checks. The connection ends after
	// keepAliveProbes checks without an answer. Default: the system's.
	KeepAlive time.Duration
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

const (
	defaultDialTimeout            = time.Second
	defaultReuseSuspension        = 10 * time.Minute
	keepAliveProbes               = 2
	defaultMaxResponseHeaderBytes = 256 << 10
	defaultResponseHeaderMemory   = 16 << 20
	// bufferBytes is the size of the read and write buffers of one connection.
	bufferBytes = 8 << 10
)

// Dialer opens the connections of any number of pools.
type Dialer struct {
	netDialer       net.Dialer
	maxHeaderBytes  int64
	headerMemory    *headerMemory
	limits          conngen.Limits
	now             func() time.Time
	reuseSuspension time.Duration
}

// NewDialer returns a Dialer with the given options.
func NewDialer(o Options) *Dialer {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxResponseHeaderBytes <= 0 {
		o.MaxResponseHeaderBytes = defaultMaxResponseHeaderBytes
	}
	if o.ResponseHeaderMemory <= 0 {
		o.ResponseHeaderMemory = defaultResponseHeaderMemory
	}
	if o.ConnectionLimits == (conngen.Limits{}) {
		o.ConnectionLimits = conngen.DefaultLimits()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.ReuseSuspension <= 0 {
		o.ReuseSuspension = defaultReuseSuspension
	}
	d := net.Dialer{Timeout: o.DialTimeout}
	if o.KeepAlive > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: o.KeepAlive, Interval: o.KeepAlive, Count: keepAliveProbes}
	}
	return &Dialer{
		netDialer:       d,
		reuseSuspension: o.ReuseSuspension,
		maxHeaderBytes:  o.MaxResponseHeaderBytes,
		headerMemory:    newHeaderMemory(o.ResponseHeaderMemory),
		limits:          o.ConnectionLimits,
		now:             o.Now,
	}
}

// conn is one connection of a pool.
type conn struct {
	wire       *wireConn
	br         *bufio.Reader
	bw         *bufio.Writer
	generation conngen.Generation
	// idleSince is the time of the last complete answer.
	idleSince time.Time
	// requestStart is when the present request was sent.
	requestStart time.Time
	// stalled is set once the present request has been noted as silent.
	stalled bool
}

// open dials address.
func (d *Dialer) open(ctx context.Context, address string) (*conn, error) {
	nc, err := d.netDialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	w := newWireConn(nc, d.headerMemory, d.now)
	return &conn{wire: w, br: bufio.NewReaderSize(w, bufferBytes), bw: bufio.NewWriterSize(w, bufferBytes)}, nil
}

// close closes the connection.
func (c *conn) close() { _ = c.wire.Close() }

// checkIdle returns the state of the connection while it is idle.
func (c *conn) checkIdle() idleState {
	if c.br.Buffered() > 0 {
		return idleUnsolicited
	}
	return c.wire.checkIdle()
}
