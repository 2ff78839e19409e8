package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
)

// Answer is the answer of the other end. Close must be called once.
type Answer struct {
	*http.Response

	pool *Pool
	conn *conn
	once sync.Once
}

// Send writes r on one connection, at most once, and returns the answer's
// header. The failures are of type *Error. The body of r is read while the
// answer may already be arriving, until Close returns.
func (p *Pool) Send(ctx context.Context, r *http.Request) (*Answer, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := c.client.RoundTrip(r.WithContext(ctx))
	if err != nil {
		e := &Error{Reason: reasonOf(ctx, r, err, c.wire), Sent: c.wire.wrote.Load(), Err: err}
		p.drop(c)
		return nil, e
	}
	p.heard(c)
	return &Answer{Response: resp, pool: p, conn: c}, nil
}

// reasonOf classifies the failure of a round trip.
func reasonOf(ctx context.Context, r *http.Request, err error, w *wireConn) Reason {
	if b, ok := r.Body.(*attempt); ok && b.failed() {
		return BodyFailed
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return TimedOut
	case ctx.Err() != nil:
		return Canceled
	case w.read.Load() && !w.ended.Load() && !isBroken(err):
		return Garbage
	}
	return Lost
}

// isBroken reports whether err is the end of a connection.
func isBroken(err error) bool {
	var ne net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne)
}

// Close ends the exchange: the connection is kept when the whole answer was
// read, and closed otherwise.
func (a *Answer) Close() {
	a.once.Do(func() {
		a.Body.Close()
		a.pool.put(a.conn)
	})
}

// BodyError classifies a failure to read the answer's body.
func (a *Answer) BodyError(ctx context.Context, err error) *Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Error{Reason: TimedOut, Sent: true, Err: err}
	case ctx.Err() != nil:
		return &Error{Reason: Canceled, Sent: true, Err: err}
	case isBroken(err):
		return &Error{Reason: Lost, Sent: true, Err: err}
	}
	return &Error{Reason: Garbage, Sent: true, Err: err}
}
