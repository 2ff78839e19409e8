package upstream

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/conngen"
	"github.com/jacinthramp/jacinthramp/pkg/decision/connpool"
)

// Pool is a pool of connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	dialer  *Dialer

	mu        sync.Mutex
	limit     int
	openCount int // connections that are open or being opened
	dialCount int
	// idle holds the idle connections in the order in which they became idle.
	idle    []*conn
	busy    map[*conn]struct{}
	tracker *conngen.Tracker
	closed  bool
	// lastEnd is why the connection that was closed last could not be used any more.
	lastEnd DialCause
	// announced is the idle time that the last response of the server allows, or zero if
	// it announced none. trust is whether such announcements hold.
	announced time.Duration
	trust     connpool.Trust
	// reuseSuspendedUntil is when connections may be reused again after the server
	// has sent unsolicited bytes.
	reuseSuspendedUntil time.Time
}

// errPoolFull is the cause of a ReasonPoolFull failure.
var errPoolFull = errors.New("connection limit reached")

// errPoolClosed is the cause of a ReasonNoConnection failure of a closed pool.
var errPoolClosed = errors.New("connection pool is closed")

// NewPool returns a pool of at most limit connections to address.
func NewPool(d *Dialer, address string, limit int) *Pool {
	return &Pool{
		address: address, dialer: d, limit: limit,
		busy: make(map[*conn]struct{}), tracker: conngen.New(d.limits),
	}
}

// Address returns the address of the server.
func (p *Pool) Address() string { return p.address }

// SetLimit changes the limit on open connections. Busy connections above the
// limit are closed when their exchange ends.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// OpenConnections returns the number of connections that are open or being opened.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount
}

// Connections returns the number of connections that are open or being opened, and how
// many of them carry no request.
func (p *Pool) Connections() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount, len(p.idle)
}

// Close closes the idle connections, and the busy ones when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.openCount -= len(idle)
	p.closed = true
	for _, c := range idle {
		p.dialer.reuse.removeIdle(c)
	}
	p.mu.Unlock()
	closeConns(idle)
}

func closeConns(conns []*conn) {
	for _, c := range conns {
		c.close()
	}
}

// acquire returns a connection for a request that is about to be sent: a usable
// idle connection, or a new one.
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
	c.wire.beginExchange(opts)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.requestStart, c.stalled = p.dialer.now(), false
	p.busy[c] = struct{}{}
	return c, nil
}

// dialError classifies a failure to open a connection.
func dialError(ctx context.Context, err error) *Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Error{Reason: ReasonTimedOut, Err: err}
	case ctx.Err() != nil:
		return &Error{Reason: ReasonCanceled, Err: err}
	}
	return &Error{Reason: ReasonNoConnection, Err: err}
}

// takeIdleOrReserve returns a usable idle connection. If there is none, it reserves a
// new connection and returns nil and the generation for it. Unusable idle connections
// are closed. A connection that has been idle too long for a non-idempotent request only
// stays idle for other requests if the limit allows a new one.
func (p *Pool) takeIdleOrReserve(nonIdempotent bool) (*conn, conngen.Generation, error) {
	var discarded []*conn
	defer func() { closeConns(discarded) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, 0, &Error{Reason: ReasonNoConnection, Err: errPoolClosed}
	}
	now := p.dialer.now()
	for len(p.idle) > 0 {
		i := p.nextIdle(now, nonIdempotent)
		c := p.idle[i]
		cause, usable := p.isUsable(c, now, nonIdempotent)
		if cause == DialTooIdleNonIdempotent && !usable && p.openCount < p.limit {
			return nil, p.reserve(cause), nil
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		p.dialer.reuse.removeIdle(c)
		if usable {
			c.idleBefore = now.Sub(c.idleSince)
			return c, 0, nil
		}
		p.openCount--
		p.lastEnd = cause
		discarded = append(discarded, c)
	}
	switch {
	case p.openCount >= p.limit:
		return nil, 0, &Error{Reason: ReasonPoolFull, Err: errPoolFull}
	case p.openCount > 0:
		return nil, p.reserve(DialAllBusy), nil
	}
	return nil, p.reserve(p.lastEnd), nil
}

// reserve counts a connection that is about to be opened for cause and returns its
// generation.
func (p *Pool) reserve(cause DialCause) conngen.Generation {
	p.openCount++
	p.dialCount++
	p.dialer.dials.count(cause)
	return p.tracker.Current()
}

// nextIdle returns the index of the idle connection that is considered first.
func (p *Pool) nextIdle(now time.Time, nonIdempotent bool) int {
	r := p.dialer.reuse
	return r.limits.Next(len(p.idle), r.describe(p, p.idle[0], now), nonIdempotent)
}

// isUsable reports whether the idle connection c can carry a request, and otherwise why
// not. The cause is DialTooIdleNonIdempotent only if it can carry an idempotent request.
func (p *Pool) isUsable(c *conn, now time.Time, nonIdempotent bool) (DialCause, bool) {
	r := p.dialer.reuse
	idle, described := now.Sub(c.idleSince), r.describe(p, c, now)
	switch s := p.checkIdle(c, now); {
	case s == idleClosed:
		described.Trusted = true
		p.trust.RecordClose(now, idle, r.limits.MaxIdleOf(described, false))
		return DialClosedByServer, false
	case now.Before(p.reuseSuspendedUntil):
		return DialReuseSuspended, false
	case p.tracker.IsSuspect(c.generation):
		return DialSilent, false
	case idle >= r.limits.MaxIdleOf(described, false):
		return DialTooIdle, false
	}
	return DialTooIdleNonIdempotent, !nonIdempotent || idle < r.limits.MaxIdleOf(described, true)
}

// TotalDialed returns the number of dials so far, including those that failed.
func (p *Pool) TotalDialed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialCount
}

// checkIdle returns the state of the idle connection c. Unsolicited bytes on c suspend
// the reuse of all connections of the pool.
func (p *Pool) checkIdle(c *conn, now time.Time) idleState {
	s := c.checkIdle()
	if s == idleUnsolicited {
		p.reuseSuspendedUntil = now.Add(p.dialer.reuseSuspension)
	}
	return s
}

// recordResponse records that the header of resp has been received on c.
func (p *Pool) recordResponse(c *conn, resp *http.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.announced = announcedIdle(resp.Header); !resp.Close {
		p.announced = c.announced
	}
	p.dialer.reuse.recordResponse(p.dialer.now(), c)
	if c.stalled {
		c.stalled = false
		p.tracker.RecordResumed(c.generation)
	}
	p.tracker.RecordResponse(c.generation)
}

// release returns c to the pool after an exchange, or closes it if reuse is false
// or the pool can't keep it.
func (p *Pool) release(c *conn, reuse bool) {
	c.wire.releaseHeader()
	p.mu.Lock()
	delete(p.busy, c)
	c.idleSince = p.dialer.now()
	cause, keep := p.mayKeep(c, reuse)
	if keep && !p.dialer.reuse.addIdle(c) {
		cause, keep = DialNotKept, false
	}
	if keep {
		p.idle = append(p.idle, c)
	} else {
		p.openCount--
		p.lastEnd = cause
	}
	p.mu.Unlock()
	if !keep {
		c.close()
	}
}

// mayKeep reports whether c may become idle after an exchange, and otherwise why not.
// reuse is false if the exchange left the connection unusable.
func (p *Pool) mayKeep(c *conn, reuse bool) (DialCause, bool) {
	now := c.idleSince
	switch {
	case !reuse || p.closed || p.openCount > p.limit:
		return DialNotKept, false
	case p.tracker.IsRetired(c.generation):
		return DialSilent, false
	}
	if p.checkIdle(c, now) == idleClosed {
		return DialClosedByServer, false
	}
	return DialReuseSuspended, !now.Before(p.reuseSuspendedUntil)
}

// discard closes c after an exchange that failed with err.
func (p *Pool) discard(c *conn, err *Error) {
	c.wire.releaseHeader()
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err.Reason == ReasonConnectionLost && !c.wire.responseStarted.Load() {
		p.dialer.reuse.recordLoss(p.dialer.now(), p, c, err)
	}
	delete(p.busy, c)
	p.openCount--
	p.lastEnd = DialExchangeFailed
	if c.stalled {
		p.tracker.RecordUnanswered(c.generation)
	}
}

// cancelReservation cancels the reservation of a connection that failed to open.
func (p *Pool) cancelReservation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
}

// Sweep records stalled requests and closes the unusable idle connections. The
// caller must call it several times within the time after which a connection
// counts as stalled.
func (p *Pool) Sweep() {
	p.mu.Lock()
	now := p.dialer.now()
	for c := range p.busy {
		if !c.stalled && !c.wire.responseStarted.Load() && p.tracker.IsStalled(now.Sub(c.requestStart)) {
			c.stalled = true
			p.tracker.RecordStall(c.generation)
		}
	}
	var discarded []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if cause, ok := p.isUsable(c, now, false); ok {
			kept = append(kept, c)
		} else {
			p.lastEnd = cause
			p.dialer.reuse.removeIdle(c)
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
