package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/conngen"
)

// Pool holds the connections to one address.
type Pool struct {
	address string
	dialer  *Dialer

	mu      sync.Mutex
	limit   int
	open    int
	dialed  int
	idle    []*conn
	busy    map[*conn]struct{}
	tracker *conngen.Tracker
	closed  bool
	// distrusted ends the time in which no connection is used twice, because
	// the other end has sent what nobody asked for.
	distrusted time.Time
}

// errFull is the cause of a Full failure.
var errFull = errors.New("the bound on open connections is reached")

// errClosed reports the use of a closed pool.
var errClosed = errors.New("the pool is closed")

// NewPool returns a pool of at most limit connections to address.
func NewPool(d *Dialer, address string, limit int) *Pool {
	return &Pool{
		address: address, dialer: d, limit: limit,
		busy: make(map[*conn]struct{}), tracker: conngen.New(d.limits),
	}
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

// OpenConnections returns the number of open connections.
func (p *Pool) OpenConnections() int {
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
		c.close()
	}
}

// get returns a connection for a request that is about to be sent: an idle
// one that is not in doubt, or a new one.
func (p *Pool) get(ctx context.Context, t SendOptions) (*conn, error) {
	c, g, err := p.take(t.NonIdempotent)
	if err != nil {
		return nil, err
	}
	if c == nil {
		if c, err = p.dialer.open(ctx, p.address); err != nil {
			p.forget()
			return nil, dialError(ctx, err)
		}
		c.generation = g
	}
	c.wire.begin(t.NotAfter)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.sent, c.silent = p.dialer.now(), false
	p.busy[c] = struct{}{}
	return c, nil
}

// dialError classifies a failed dial.
func dialError(ctx context.Context, err error) *Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Error{Reason: ReasonTimedOut, Err: err}
	case ctx.Err() != nil:
		return &Error{Reason: ReasonCanceled, Err: err}
	}
	return &Error{Reason: ReasonNoConnection, Err: err}
}

// take returns the idle connection used last, or nil after having reserved
// the place of a new one with its generation. Doubtful ones are closed. With
// once, one that only such a request may not use is kept while there is room.
func (p *Pool) take(once bool) (*conn, conngen.Generation, error) {
	var dead []*conn
	defer func() { closeAll(dead) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, 0, &Error{Reason: ReasonNoConnection, Err: errClosed}
	}
	now := p.dialer.now()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		idle := now.Sub(c.answered)
		sound := p.isQuiet(c, now) && p.tracker.Usable(c.generation, idle, false)
		if sound && once && !p.tracker.Usable(c.generation, idle, true) && p.open < p.limit {
			break
		}
		p.idle = p.idle[:n-1]
		if sound && p.tracker.Usable(c.generation, idle, once) {
			return c, 0, nil
		}
		p.open--
		dead = append(dead, c)
	}
	if p.open >= p.limit {
		return nil, 0, &Error{Reason: ReasonPoolFull, Err: errFull}
	}
	p.open++
	p.dialed++
	return nil, p.tracker.Open(), nil
}

// TotalDialed returns the number of connections that have been opened so far.
func (p *Pool) TotalDialed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// isQuiet reports whether the idle connection c can take another request:
// it is open, everything that arrived on it has been consumed, and the other
// end is trusted.
func (p *Pool) isQuiet(c *conn, now time.Time) bool {
	s := c.look()
	if s == unasked {
		p.distrusted = now.Add(p.dialer.distrust)
	}
	return s == quiet && !now.Before(p.distrusted)
}

// heard notes that the answer to c's request has begun.
func (p *Pool) heard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.silent {
		c.silent = false
		p.tracker.Resumed(c.generation)
	}
	p.tracker.Answered(c.generation)
}

// put takes c back after an exchange; without reuse it is closed.
func (p *Pool) put(c *conn, reuse bool) {
	p.mu.Lock()
	delete(p.busy, c)
	c.answered = p.dialer.now()
	keep := reuse && !p.closed && p.open <= p.limit && !p.tracker.Retired(c.generation) && p.isQuiet(c, c.answered)
	if keep {
		p.idle = append(p.idle, c)
	} else {
		p.open--
	}
	p.mu.Unlock()
	if !keep {
		c.close()
	}
}

// drop closes c after a failure.
func (p *Pool) drop(c *conn) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, c)
	p.open--
	if c.silent {
		p.tracker.Ended(c.generation)
	}
}

// forget gives back the place of a connection that was not opened.
func (p *Pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Sweep notes the requests that wait in silence and closes the idle
// connections in doubt. It is to be called several times within the time
// after which a connection counts as silent.
func (p *Pool) Sweep() {
	p.mu.Lock()
	now := p.dialer.now()
	for c := range p.busy {
		if !c.silent && !c.wire.read.Load() && p.tracker.IsSilent(now.Sub(c.sent)) {
			c.silent = true
			p.tracker.Silent(c.generation)
		}
	}
	var dead []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.isQuiet(c, now) && p.tracker.Usable(c.generation, now.Sub(c.answered), false) {
			kept = append(kept, c)
		} else {
			dead = append(dead, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.open -= len(dead)
	p.mu.Unlock()
	closeAll(dead)
}

// BusyConnections returns the number of connections that carry a request.
func (p *Pool) BusyConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.busy)
}
