package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Options configures the connections.
type Options struct {
	// DialTimeout bounds the opening of a connection. Default 1s.
	DialTimeout time.Duration
	// MaxAnswerHeaderBytes bounds the header of an answer. Default 256 KiB.
	MaxAnswerHeaderBytes int64
	// ContinueTimeout bounds the wait for "100 Continue" when the request
	// expects it. Default 1s.
	ContinueTimeout time.Duration
}

const (
	defaultDialTimeout          = time.Second
	defaultMaxAnswerHeaderBytes = 256 << 10
	defaultContinueTimeout      = time.Second
	// transferBufferBytes is the size of the read and write buffers of one connection.
	transferBufferBytes = 8 << 10
)

// Dialer opens the connections of any number of pools.
type Dialer struct {
	transport *http.Transport
	timeout   time.Duration
}

// wireKey carries the place for the dialed connection through a context.
type wireKey struct{}

// NewDialer returns a Dialer with the given options.
func NewDialer(o Options) *Dialer {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxAnswerHeaderBytes <= 0 {
		o.MaxAnswerHeaderBytes = defaultMaxAnswerHeaderBytes
	}
	if o.ContinueTimeout <= 0 {
		o.ContinueTimeout = defaultContinueTimeout
	}
	d := &net.Dialer{Timeout: o.DialTimeout}
	t := &http.Transport{
		DisableCompression:     true,
		ExpectContinueTimeout:  o.ContinueTimeout,
		MaxResponseHeaderBytes: o.MaxAnswerHeaderBytes,
		ReadBufferSize:         transferBufferBytes,
		WriteBufferSize:        transferBufferBytes,
		Protocols:              new(http.Protocols),
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			w := &wireConn{Conn: c}
			if place, ok := ctx.Value(wireKey{}).(**wireConn); ok {
				*place = w
			}
			return w, nil
		},
	}
	t.Protocols.SetHTTP1(true)
	return &Dialer{transport: t, timeout: o.DialTimeout}
}

// conn is one connection of a pool.
type conn struct {
	client *http.ClientConn
	wire   *wireConn
	// answered is the time of the last complete answer.
	answered time.Time
}

// open dials address.
func (d *Dialer) open(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	c := &conn{}
	client, err := d.transport.NewClientConn(context.WithValue(ctx, wireKey{}, &c.wire), "http", address)
	if err != nil {
		return nil, err
	}
	c.client = client
	return c, nil
}

// reusable reports whether the connection can take another request: it is
// open, idle, and everything that arrived on it has been consumed.
func (c *conn) reusable() bool {
	return c.client.Available() > 0 && c.wire.waiting.Load()
}

// Pool holds the connections to one address.
type Pool struct {
	address string
	dialer  *Dialer

	mu     sync.Mutex
	limit  int
	open   int
	idle   []*conn
	closed bool
}

// errFull is the cause of a Full failure.
var errFull = errors.New("the bound on open connections is reached")

// errClosed reports the use of a closed pool.
var errClosed = errors.New("the pool is closed")

// NewPool returns a pool of at most limit connections to address.
func NewPool(d *Dialer, address string, limit int) *Pool {
	return &Pool{address: address, dialer: d, limit: limit}
}

// Address returns the address of the other end.
func (p *Pool) Address() string { return p.address }

// SetLimit changes the bound on open connections. Surplus connections close
// as they become idle.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes the idle connections, and the others as they become idle.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.closed = true
	p.mu.Unlock()
	closeAll(idle)
}

func closeAll(cs []*conn) {
	for _, c := range cs {
		c.client.Close()
	}
}

// get returns an idle connection or a new one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	c, err := p.take()
	if c != nil || err != nil {
		return c, err
	}
	c, err = p.dialer.open(ctx, p.address)
	if err != nil {
		p.forget(1)
		return nil, dialError(ctx, err)
	}
	return c, nil
}

// dialError classifies a failed dial.
func dialError(ctx context.Context, err error) *Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Error{Reason: TimedOut, Err: err}
	case ctx.Err() != nil:
		return &Error{Reason: Canceled, Err: err}
	}
	return &Error{Reason: Refused, Err: err}
}

// take returns the idle connection used last, or nil after having reserved
// the place of a new one.
func (p *Pool) take() (*conn, error) {
	var dead []*conn
	defer func() { closeAll(dead) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &Error{Reason: Refused, Err: errClosed}
	}
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if c.reusable() {
			return c, nil
		}
		p.open--
		dead = append(dead, c)
	}
	if p.open >= p.limit {
		return nil, &Error{Reason: Full, Err: errFull}
	}
	p.open++
	return nil, nil
}

// put takes c back after an exchange. A connection that can't be used again
// is closed.
func (p *Pool) put(c *conn, answered time.Time) {
	c.answered = answered
	p.mu.Lock()
	keep := !p.closed && p.open <= p.limit && c.client.Available() > 0
	if keep {
		p.idle = append(p.idle, c)
	} else {
		p.open--
	}
	p.mu.Unlock()
	if !keep {
		c.client.Close()
	}
}

// drop closes c after a failure.
func (p *Pool) drop(c *conn) {
	c.client.Close()
	p.forget(1)
}

// forget lowers the count of open connections.
func (p *Pool) forget(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open -= n
}
