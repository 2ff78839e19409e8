package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"
)

// maxInterim bounds the interim answers to one request.
const maxInterim = 16

var (
	errHeaderTooLarge = errors.New("the header of the answer is too large")
	errHeaderMemory   = errors.New("the headers of all answers take too much memory")
	errInterim        = errors.New("too many interim answers")
	errLate           = errors.New("the time to send has passed")
	errSwitch         = errors.New("the protocol was switched without being asked")
)

// past is a deadline that ends pending reads and writes at once.
var past = time.Unix(1, 0)

// Response is the answer of the other end. Close must be called once.
type Response struct {
	*http.Response

	pool *Pool
	conn *conn
	// detach ends the link between the context and the connection. It reports
	// false when the context has ended before.
	detach func() bool
	// written receives the end of a body that is still being sent; nil when
	// the whole request has been sent.
	written <-chan error
	whole   *wholeBody
	once    sync.Once
}

// Send writes r on one connection, at most once, and returns the answer's
// header. The failures are of type *Error. A body that streams is read while
// the answer may already be arriving, until Close returns.
func (p *Pool) Send(ctx context.Context, r *http.Request) (*Response, error) {
	return p.SendWithOptions(ctx, r, SendOptions{})
}

// SendOptions restrict how a request is sent.
type SendOptions struct {
	// NotAfter ends the time in which the request may be sent; the failure is
	// then Late. Zero is no bound. It is compared once, right before the first
	// byte is written, so that a pause of the process before is noticed.
	NotAfter time.Time
	// NonIdempotent marks a request that must not run twice.
	NonIdempotent bool
}

// SendWithOptions is Send under the given terms.
func (p *Pool) SendWithOptions(ctx context.Context, r *http.Request, t SendOptions) (*Response, error) {
	c, err := p.get(ctx, t)
	if err != nil {
		return nil, err
	}
	detach := context.AfterFunc(ctx, func() { _ = c.wire.SetDeadline(past) })
	written, err := c.write(r)
	var resp *http.Response
	if err == nil || c.wire.wrote.Load() {
		// An answer may have come before the whole request was written.
		if got, readErr := c.readAnswer(ctx, r, p.dialer.maxHeader); readErr == nil {
			resp, err = got, nil
		} else if err == nil {
			err = readErr
		}
	}
	if err != nil {
		detach()
		awaitBody(ctx, written)
		e := &Error{Reason: reasonOf(ctx, r, err, c.wire), MaybeSent: c.wire.wrote.Load(), Err: err}
		p.drop(c)
		return nil, e
	}
	p.heard(c)
	whole := &wholeBody{ReadCloser: resp.Body, ended: resp.Body == http.NoBody}
	resp.Body = whole
	return &Response{Response: resp, pool: p, conn: c, detach: detach, written: written, whole: whole}, nil
}

// bodyGrace bounds the wait for the end of a body whose caller has gone.
const bodyGrace = 100 * time.Millisecond

// awaitBody waits, when the caller has gone, until that shows in the body that
// is being sent: a body that ended early is told from a mere disconnect.
func awaitBody(ctx context.Context, written <-chan error) {
	if written == nil || !errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	select {
	case <-written:
	case <-time.After(bodyGrace):
	}
}

// write sends r. A body that streams is sent by a goroutine, whose end is
// received from written.
func (c *conn) write(r *http.Request) (written <-chan error, err error) {
	body, streams := r.Body.(*attempt)
	if !streams {
		return nil, c.writeAll(r)
	}
	done := make(chan error, 1)
	go func() {
		err := c.writeAll(r)
		if body.failed() || c.wire.late.Load() {
			// No answer is to be expected to a request that lacks its end, or was
			// not sent.
			_ = c.wire.SetReadDeadline(past)
		}
		done <- err
	}()
	return done, nil
}

func (c *conn) writeAll(r *http.Request) error {
	if err := r.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// readAnswer reads up to the header of the final answer.
func (c *conn) readAnswer(ctx context.Context, r *http.Request, maxHeader int64) (*http.Response, error) {
	c.wire.beginHeader(maxHeader)
	defer c.wire.endHeader()
	for range maxInterim {
		resp, err := http.ReadResponse(c.br, r)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitch
		}
		if t := httptrace.ContextClientTrace(ctx); t != nil && t.Got1xxResponse != nil {
			if err := t.Got1xxResponse(resp.StatusCode, textproto.MIMEHeader(resp.Header)); err != nil {
				return nil, err
			}
		}
	}
	return nil, errInterim
}

// wholeBody notes the end of a body.
type wholeBody struct {
	io.ReadCloser
	ended bool
}

// Read reads from the body.
func (b *wholeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// reasonOf classifies the failure of an exchange.
func reasonOf(ctx context.Context, r *http.Request, err error, w *wireConn) Reason {
	if b, ok := r.Body.(*attempt); ok && b.failed() {
		return ReasonBodyFailed
	}
	switch {
	case w.late.Load():
		return ReasonSendWindowExpired
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ReasonTimedOut
	case ctx.Err() != nil:
		return ReasonCanceled
	case w.read.Load() && !w.ended.Load() && !isBroken(err):
		return ReasonInvalidResponse
	}
	return ReasonConnectionLost
}

// isBroken reports whether err is the end of a connection.
func isBroken(err error) bool {
	var ne net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne)
}

// Close ends the exchange: the connection is kept when the whole answer was
// read and the whole request sent, and closed otherwise.
func (a *Response) Close() {
	a.once.Do(func() {
		intact := a.detach()
		a.pool.put(a.conn, intact && a.whole.ended && !a.Response.Close && a.sentAll())
	})
}

// SuspendReuse notes that the other end has sent what nobody asked for: for some
// time none of its connections is used twice.
func (a *Response) SuspendReuse() {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.pool.distrusted = a.pool.dialer.now().Add(a.pool.dialer.distrust)
}

// sentAll reports whether the whole request has been sent.
func (a *Response) sentAll() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// BodyError classifies a failure to read the answer's body.
func (a *Response) BodyError(ctx context.Context, err error) *Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Error{Reason: ReasonTimedOut, MaybeSent: true, Err: err}
	case ctx.Err() != nil:
		return &Error{Reason: ReasonCanceled, MaybeSent: true, Err: err}
	case isBroken(err):
		return &Error{Reason: ReasonConnectionLost, MaybeSent: true, Err: err}
	}
	return &Error{Reason: ReasonInvalidResponse, MaybeSent: true, Err: err}
}
