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

// maxInterimResponses bounds the interim answers to one request.
const maxInterimResponses = 16

var (
	errHeaderTooLarge        = errors.New("the header of the answer is too large")
	errHeaderMemoryExhausted = errors.New("the headers of all answers take too much memory")
	errTooManyInterim        = errors.New("too many interim answers")
	errSendWindowExpired     = errors.New("the time to send has passed")
	errUnexpectedSwitch      = errors.New("the protocol was switched without being asked")
)

// pastDeadline is a deadline that ends pending reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// Response is the answer of the other end. Close must be called once.
type Response struct {
	*http.Response

	pool *Pool
	conn *conn
	// stopCancel ends the link between the context and the connection. It reports
	// false when the context has ended before.
	stopCancel func() bool
	// writeDone receives the end of a body that is still being sent; nil when
	// the whole request has been sent.
	writeDone <-chan error
	body      *eofTrackingBody
	closeOnce sync.Once
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
func (p *Pool) SendWithOptions(ctx context.Context, r *http.Request, opts SendOptions) (*Response, error) {
	c, err := p.acquire(ctx, opts)
	if err != nil {
		return nil, err
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = c.wire.SetDeadline(pastDeadline) })
	writeDone, err := c.writeRequest(r)
	var resp *http.Response
	if err == nil || c.wire.writeStarted.Load() {
		// An answer may have come before the whole request was written.
		if got, readErr := c.readResponse(ctx, r, p.dialer.maxHeaderBytes); readErr == nil {
			resp, err = got, nil
		} else if err == nil {
			err = readErr
		}
	}
	if err != nil {
		stopCancel()
		awaitBodyWrite(ctx, writeDone)
		sendErr := &Error{Reason: classifyFailure(ctx, r, err, c.wire), MaybeSent: c.wire.writeStarted.Load(), Err: err}
		p.discard(c)
		return nil, sendErr
	}
	p.recordResponse(c)
	body := &eofTrackingBody{ReadCloser: resp.Body, eof: resp.Body == http.NoBody}
	resp.Body = body
	return &Response{Response: resp, pool: p, conn: c, stopCancel: stopCancel, writeDone: writeDone, body: body}, nil
}

// bodyWriteTimeout bounds the wait for the end of a body whose caller has gone.
const bodyWriteTimeout = 100 * time.Millisecond

// awaitBodyWrite waits, when the caller has gone, until that shows in the body that
// is being sent: a body that ended early is told from a mere disconnect.
func awaitBodyWrite(ctx context.Context, writeDone <-chan error) {
	if writeDone == nil || !errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	select {
	case <-writeDone:
	case <-time.After(bodyWriteTimeout):
	}
}

// writeRequest sends r. A body that streams is sent by a goroutine, whose end is
// received from written.
func (c *conn) writeRequest(r *http.Request) (writeDone <-chan error, err error) {
	body, streamed := r.Body.(*attemptReader)
	if !streamed {
		return nil, c.writeAndFlush(r)
	}
	done := make(chan error, 1)
	go func() {
		err := c.writeAndFlush(r)
		if body.failed() || c.wire.sendWindowExpired.Load() {
			// No answer is to be expected to a request that lacks its end, or was
			// not sent.
			_ = c.wire.SetReadDeadline(pastDeadline)
		}
		done <- err
	}()
	return done, nil
}

func (c *conn) writeAndFlush(r *http.Request) error {
	if err := r.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// readResponse reads up to the header of the final answer.
func (c *conn) readResponse(ctx context.Context, r *http.Request, maxHeaderBytes int64) (*http.Response, error) {
	c.wire.beginHeader(maxHeaderBytes)
	defer c.wire.endHeader()
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.br, r)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUnexpectedSwitch
		}
		if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.Got1xxResponse != nil {
			if err := trace.Got1xxResponse(resp.StatusCode, textproto.MIMEHeader(resp.Header)); err != nil {
				return nil, err
			}
		}
	}
	return nil, errTooManyInterim
}

// eofTrackingBody notes the end of a body.
type eofTrackingBody struct {
	io.ReadCloser
	eof bool
}

// Read reads from the body.
func (b *eofTrackingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.eof = true
	}
	return n, err
}

// classifyFailure classifies the failure of an exchange.
func classifyFailure(ctx context.Context, r *http.Request, err error, w *wireConn) Reason {
	if b, ok := r.Body.(*attemptReader); ok && b.failed() {
		return ReasonBodyFailed
	}
	switch {
	case w.sendWindowExpired.Load():
		return ReasonSendWindowExpired
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ReasonTimedOut
	case ctx.Err() != nil:
		return ReasonCanceled
	case w.responseStarted.Load() && !w.readFailed.Load() && !isConnectionError(err):
		return ReasonInvalidResponse
	}
	return ReasonConnectionLost
}

// isConnectionError reports whether err is the end of a connection.
func isConnectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr)
}

// Close ends the exchange: the connection is kept when the whole answer was
// read and the whole request sent, and closed otherwise.
func (resp *Response) Close() {
	resp.closeOnce.Do(func() {
		notCanceled := resp.stopCancel()
		resp.pool.release(resp.conn, notCanceled && resp.body.eof && !resp.Response.Close && resp.requestWritten())
	})
}

// SuspendReuse notes that the other end has sent what nobody asked for: for some
// time none of its connections is used twice.
func (resp *Response) SuspendReuse() {
	resp.pool.mu.Lock()
	defer resp.pool.mu.Unlock()
	resp.pool.reuseSuspendedUntil = resp.pool.dialer.now().Add(resp.pool.dialer.reuseSuspension)
}

// requestWritten reports whether the whole request has been sent.
func (resp *Response) requestWritten() bool {
	if resp.writeDone == nil {
		return true
	}
	select {
	case err := <-resp.writeDone:
		return err == nil
	default:
		return false
	}
}

// BodyError classifies a failure to read the answer's body.
func (resp *Response) BodyError(ctx context.Context, err error) *Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Error{Reason: ReasonTimedOut, MaybeSent: true, Err: err}
	case ctx.Err() != nil:
		return &Error{Reason: ReasonCanceled, MaybeSent: true, Err: err}
	case isConnectionError(err):
		return &Error{Reason: ReasonConnectionLost, MaybeSent: true, Err: err}
	}
	return &Error{Reason: ReasonInvalidResponse, MaybeSent: true, Err: err}
}
