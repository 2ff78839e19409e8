package upstream

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/conngen"
	"github.com/jacinthramp/jacinthramp/pkg/decision/connpool"
	"github.com/jacinthramp/jacinthramp/pkg/peer/memory"
)

// Options configures a Dialer and the pools that use it.
type Options struct {
	// DialTimeout limits the time to open a connection. Default 1s.
	DialTimeout time.Duration
	// MaxResponseHeaderBytes limits the header of one response, including those of
	// the interim responses before it. Default 256 KiB.
	MaxResponseHeaderBytes int64
	// ResponseHeaderMemory limits the total memory, in bytes, of the response
	// headers on all connections. The usual size of a header doesn't count.
	// Default 16 MiB.
	ResponseHeaderMemory int64
	// ConnectionLimits sets when a connection counts as stalled. Default
	// conngen.DefaultLimits.
	ConnectionLimits conngen.Limits
	// IdleLimits sets how long a connection may be idle before reuse. Default
	// connpool.DefaultLimits.
	IdleLimits connpool.Limits
	// MaxIdleConnections limits the idle connections of all pools whose servers announce
	// an idle time. Default 1,024.
	MaxIdleConnections int
	// ReuseSuspension is how long no connection to a server is reused after it has
	// sent unsolicited bytes: responses on its connections may belong to other
	// requests. Default 10m.
	ReuseSuspension time.Duration
	// KeepAlive is the idle time before the first TCP keep-alive probe and the
	// interval between probes. The connection fails after keepAliveProbes
	// unacknowledged probes. Default: that of net.Dialer.
	KeepAlive time.Duration
	// Now returns the current time. Default time.Now.
	Now func() time.Time
}

const (
	defaultDialTimeout            = time.Second
	defaultReuseSuspension        = 10 * time.Minute
	keepAliveProbes               = 2
	defaultMaxResponseHeaderBytes = 256 << 10
	defaultResponseHeaderMemory   = 16 << 20
	defaultMaxIdleConnections     = 1 << 10
	// bufferBytes is the size of the read and write buffers of one connection.
	bufferBytes = 8 << 10
)

// Dialer opens connections. It may be shared by any number of pools.
type Dialer struct {
	netDialer       net.Dialer
	maxHeaderBytes  int64
	headerMemory    *memory.Budget
	limits          conngen.Limits
	reuse           *reuse
	now             func() time.Time
	reuseSuspension time.Duration
	dials           DialCounts
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
	if o.IdleLimits == (connpool.Limits{}) {
		o.IdleLimits = connpool.DefaultLimits()
	}
	if o.MaxIdleConnections <= 0 {
		o.MaxIdleConnections = defaultMaxIdleConnections
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
		headerMemory:    memory.NewBudget(o.ResponseHeaderMemory),
		limits:          o.ConnectionLimits,
		reuse:           &reuse{limits: o.IdleLimits, available: o.MaxIdleConnections},
		now:             o.Now,
	}
}

// HeaderMemory returns the memory that the response headers of all connections share.
func (d *Dialer) HeaderMemory() *memory.Budget { return d.headerMemory }

// Dials returns the numbers of dials of all pools by cause.
func (d *Dialer) Dials() *DialCounts { return &d.dials }

// conn is one connection of a pool.
type conn struct {
	wire       *wireConn
	br         *bufio.Reader
	bw         *bufio.Writer
	generation conngen.Generation
	// opened is when the connection was opened.
	opened time.Time
	// idleSince is when the last exchange on the connection ended.
	idleSince time.Time
	// announced is the idle time that the last response allows, or zero without one.
	announced time.Duration
	// idleBefore is how long the connection was idle before the current exchange.
	idleBefore time.Duration
	// countsAsIdle is set while the connection counts towards the limit on idle ones.
	countsAsIdle bool
	// requestStart is when the connection was acquired for the current request.
	requestStart time.Time
	// stalled is set once the tracker has recorded a stall of the current request.
	stalled bool
}

// open opens a connection to address.
func (d *Dialer) open(ctx context.Context, address string) (*conn, error) {
	nc, err := d.netDialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	w := newWireConn(nc, d.headerMemory, d.now)
	return &conn{opened: d.now(), wire: w, br: bufio.NewReaderSize(w, bufferBytes), bw: bufio.NewWriterSize(w, bufferBytes)}, nil
}

// close closes the connection.
func (c *conn) close() { _ = c.wire.Close() }

// checkIdle returns the state of an idle connection, including buffered bytes.
func (c *conn) checkIdle() idleState {
	if c.br.Buffered() > 0 {
		return idleUnsolicited
	}
	return c.wire.checkIdle()
}
