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

	mu        sync.Mutex
	limit     int
	openCount int
	dialCount int
	idle      []*conn
	busy      map[*conn]struct{}
	tracker   *conngen.Tracker
	closed    bool
	// reuseSuspendedUntil ends the time in which no connection is used twice, because
	// the other end has sent what nobody asked for.
	reuseSuspendedUntil time.Time
}

// errPoolFull is the cause of a Full failure.
var errPoolFull = errors.New("the bound on open connections is reached")

// errPoolClosed reports the use of a closed pool.
var errPoolClosed = errors.New("the pool is closed")

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
	return p.openCount
}

// Close closes the idle connections, and the others as they become idle.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.openCount -= len(idle)
	p.closed = true
	p.mu.Unlock()
	closeConns(idle)
}

func closeConns(conns []*conn) {
	for _, c := range conns {
		c.close()
	}
}

// acquire returns a connection for a request that is about to be sent: an idle
// one that is not in doubt, or a new one.
func (p *Pool) acquire(ctx context.Context, opts SendOptions) (*conn, error) {
	c, generation, err := p.takeIdleOrReserve(opts.NonIdempotent)
	if err != nil {
		return nil, err
	}
	if c == nil {
		if c, err = p.dialer.open(ctx, p.address); err != nil {
			p.cancelReservation()
			return nil, dialError(ctx, err)
		}
		c.generation = generation
	}
	c.wire.beginExchange(opts.NotAfter)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.requestStart, c.stalled = p.dialer.now(), false
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

// takeIdleOrReserve returns the idle connection used last, or nil after having reserved
// the place of a new one with its generation. Doubtful ones are closed. With
// once, one that only such a request may not use is kept while there is room.
func (p *Pool) takeIdleOrReserve(nonIdempotent bool) (*conn, conngen.Generation, error) {
	var discarded []*conn
	defer func() { closeConns(discarded) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, 0, &Error{Reason: ReasonNoConnection, Err: errPoolClosed}
	}
	now := p.dialer.now()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		idle := now.Sub(c.idleSince)
		reusable := p.isReusable(c, now) && p.tracker.Usable(c.generation, idle, false)
		if reusable && nonIdempotent && !p.tracker.Usable(c.generation, idle, true) && p.openCount < p.limit {
			break
		}
		p.idle = p.idle[:n-1]
		if reusable && p.tracker.Usable(c.generation, idle, nonIdempotent) {
			return c, 0, nil
		}
		p.openCount--
		discarded = append(discarded, c)
	}
	if p.openCount >= p.limit {
		return nil, 0, &Error{Reason: ReasonPoolFull, Err: errPoolFull}
	}
	p.openCount++
	p.dialCount++
	return nil, p.tracker.Open(), nil
}

// TotalDialed returns the number of connections that have been opened so far.
func (p *Pool) TotalDialed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialCount
}

// isReusable reports whether the idle connection c can take another request:
// it is open, everything that arrived on it has been consumed, and the other
// end is trusted.
func (p *Pool) isReusable(c *conn, now time.Time) bool {
	s := c.checkIdle()
	if s == idleUnsolicited {
		p.reuseSuspendedUntil = now.Add(p.dialer.reuseSuspension)
	}
	return s == idleClean && !now.Before(p.reuseSuspendedUntil)
}

// recordResponse notes that the answer to c's request has begun.
func (p *Pool) recordResponse(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.stalled {
		c.stalled = false
		p.tracker.Resumed(c.generation)
	}
	p.tracker.Answered(c.generation)
}

// release takes c back after an exchange; without reuse it is closed.
func (p *Pool) release(c *conn, reuse bool) {
	p.mu.Lock()
	delete(p.busy, c)
	c.idleSince = p.dialer.now()
	keep := reuse && !p.closed && p.openCount <= p.limit && !p.tracker.Retired(c.generation) && p.isReusable(c, c.idleSince)
	if keep {
		p.idle = append(p.idle, c)
	} else {
		p.openCount--
	}
	p.mu.Unlock()
	if !keep {
		c.close()
	}
}

// discard closes c after a failure.
func (p *Pool) discard(c *conn) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, c)
	p.openCount--
	if c.stalled {
		p.tracker.Ended(c.generation)
	}
}

// cancelReservation gives back the place of a connection that was not opened.
func (p *Pool) cancelReservation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
}

// Sweep notes the requests that wait in silence and closes the idle
// connections in doubt. It is to be called several times within the time
// after which a connection counts as silent.
func (p *Pool) Sweep() {
	p.mu.Lock()
	now := p.dialer.now()
	for c := range p.busy {
		if !c.stalled && !c.wire.responseStarted.Load() && p.tracker.IsSilent(now.Sub(c.requestStart)) {
			c.stalled = true
			p.tracker.Silent(c.generation)
		}
	}
	var discarded []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.isReusable(c, now) && p.tracker.Usable(c.generation, now.Sub(c.idleSince), false) {
			kept = append(kept, c)
		} else {
			discarded = append(discarded, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.openCount -= len(discarded)
	p.mu.Unlock()
	closeConns(discarded)
}

// BusyConnections returns the number of connections that carry a request.
func (p *Pool) BusyConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.busy)
}
