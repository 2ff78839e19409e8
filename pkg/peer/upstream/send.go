package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"
)

// maxInterimResponses limits the interim (1xx) responses to one request.
const maxInterimResponses = 16

var (
	errHeaderTooLarge        = errors.New("response header exceeds the size limit")
	errHeaderMemoryExhausted = errors.New("response headers of all connections exceed the shared memory limit")
	errTooManyInterim        = errors.New("too many interim responses")
	errSendWindowExpired     = errors.New("send window of the request has expired")
	errWithdrawn             = errors.New("request was withdrawn before it was sent")
	errUnexpectedSwitch      = errors.New("server switched protocols without an upgrade request")
)

// pastDeadline is a deadline that makes pending reads and writes fail immediately.
var pastDeadline = time.Unix(1, 0)

// Response is the response of the server. The caller must call Close.
type Response struct {
	*http.Response

	pool *Pool
	conn *conn
	// stopCancel prevents the end of the context from interrupting the connection.
	// It returns false if the context has ended before.
	stopCancel func() bool
	// writeDone receives the result of writing a streamed request. It is nil if
	// the whole request was written before its response was read.
	writeDone <-chan error
	body      *eofTrackingBody
	closeOnce sync.Once
}

// Send writes r on one connection, at most once, and returns the response as soon
// as its header has been read. Errors are of type *Error. A streamed body may
// still be read while the response arrives, until Close returns.
func (p *Pool) Send(ctx context.Context, r *http.Request) (*Response, error) {
	return p.SendWithOptions(ctx, r, SendOptions{})
}

// SendOptions restricts how a request is sent.
type SendOptions struct {
	// NotAfter is the end of the send window: from then on the request is not sent
	// and fails with ReasonSendWindowExpired. Zero means no limit. It is checked
	// once, right before the first byte is written, to detect a pause of the
	// process before that.
	NotAfter time.Time
	// Withdrawn reports whether the request must not be sent any more. If it does, the
	// request fails with ReasonWithdrawn. It is called once, where NotAfter is checked;
	// nil means that the request is never withdrawn.
	Withdrawn func() bool
	// NonIdempotent marks a request that must not run twice.
	NonIdempotent bool
}

// SendWithOptions is like Send, with the given options.
func (p *Pool) SendWithOptions(ctx context.Context, r *http.Request, opts SendOptions) (*Response, error) {
	c, err := p.acquire(ctx, opts)
	if err != nil {
		return nil, err
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = c.wire.SetDeadline(pastDeadline) })
	writeDone, err := c.writeRequest(r)
	var resp *http.Response
	if err == nil || c.wire.writeStarted.Load() {
		// The server may have responded before the whole request was written.
		if got, readErr := c.readResponse(ctx, r, p.dialer.maxHeaderBytes); readErr == nil {
			resp, err = got, nil
		} else if err == nil {
			err = readErr
		}
	}
	if err != nil {
		stopCancel()
		awaitBodyWrite(ctx, writeDone)
		sendErr := &Error{Reason: classifyFailure(ctx, r, err, c.wire), MaybeSent: c.wire.writeStarted.Load(), Err: shortCause(err)}
		p.discard(c, sendErr)
		return nil, sendErr
	}
	p.recordResponse(c, resp)
	body := &eofTrackingBody{ReadCloser: resp.Body, eof: resp.Body == http.NoBody}
	if endsWithConnection(resp) {
		body.wire = c.wire
	}
	resp.Body = body
	return &Response{Response: resp, pool: p, conn: c, stopCancel: stopCancel, writeDone: writeDone, body: body}, nil
}

// bodyWriteTimeout limits the wait for the writer of a request body after the
// caller has disconnected.
const bodyWriteTimeout = 100 * time.Millisecond

// awaitBodyWrite waits, after a cancellation, until the writer of a streamed body
// has ended, so that classifyFailure can distinguish a body that failed to be read
// from a disconnect of the caller.
func awaitBodyWrite(ctx context.Context, writeDone <-chan error) {
	if writeDone == nil || !errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	select {
	case <-writeDone:
	case <-time.After(bodyWriteTimeout):
	}
}

// writeRequest writes r. A request with a streamed body is written by a goroutine,
// and writeDone receives its result.
func (c *conn) writeRequest(r *http.Request) (writeDone <-chan error, err error) {
	body, streamed := r.Body.(*attemptReader)
	if !streamed {
		return nil, c.writeAndFlush(r)
	}
	done := make(chan error, 1)
	go func() {
		err := c.writeAndFlush(r)
		if body.failed() || c.wire.refusedToSend() {
			// The server won't respond to a request that is incomplete or was not
			// sent, so stop waiting for the response.
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

// readResponse reads interim responses, which it passes to the client trace of ctx,
// and the header of the final response.
func (c *conn) readResponse(ctx context.Context, r *http.Request, maxHeaderBytes int64) (*http.Response, error) {
	c.wire.beginHeader(maxHeaderBytes)
	defer c.wire.endHeader()
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.br, r)
		if err == nil {
			err = checkHead(resp)
		}
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

// endsWithConnection reports whether the end of the body is that of the connection.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// errEndedByFailure is the error of a body that ends with its connection, which has failed.
var errEndedByFailure = fmt.Errorf("connection failed before the end of the response: %w", io.ErrUnexpectedEOF)

// eofTrackingBody records whether a response body has been read to its end.
type eofTrackingBody struct {
	io.ReadCloser
	// wire is the connection whose end is that of the body; nil for a body that has an end of
	// its own.
	wire *wireConn
	eof  bool
}

// Read reads from the body and records EOF. It returns errEndedByFailure in place of io.EOF if
// that was the end of a connection which has failed.
func (b *eofTrackingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if b.wire != nil && !b.eof && !b.wire.endedInOrder() {
		return n, errEndedByFailure
	}
	b.eof = true
	return n, io.EOF
}

// classifyFailure returns the reason for which an exchange failed with err.
func classifyFailure(ctx context.Context, r *http.Request, err error, w *wireConn) Reason {
	if b, ok := r.Body.(*attemptReader); ok && b.failed() {
		return ReasonBodyFailed
	}
	switch {
	case w.sendWindowExpired.Load():
		return ReasonSendWindowExpired
	case w.withdrawn.Load():
		return ReasonWithdrawn
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ReasonTimedOut
	case ctx.Err() != nil:
		return ReasonCanceled
	case w.responseStarted.Load() && !w.readFailed.Load() && !isConnectionError(err):
		return ReasonInvalidResponse
	}
	return ReasonConnectionLost
}

// isConnectionError reports whether err is EOF or a network error.
func isConnectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr)
}

// Close ends the exchange. The connection is kept for reuse if the request was
// written and the response read completely, and closed otherwise. Further calls
// do nothing.
func (resp *Response) Close() {
	resp.closeOnce.Do(func() {
		notCanceled := resp.stopCancel()
		resp.pool.release(resp.conn, notCanceled && resp.body.eof && !resp.Response.Close && resp.requestWritten())
	})
}

// PreventReuse has the connection closed when the exchange ends.
func (resp *Response) PreventReuse() { resp.Response.Close = true }

// SuspendReuse suspends the reuse of all connections to the server for
// Options.ReuseSuspension, because its response does not match the request.
func (resp *Response) SuspendReuse() {
	resp.pool.mu.Lock()
	defer resp.pool.mu.Unlock()
	resp.pool.reuseSuspendedUntil = resp.pool.dialer.now().Add(resp.pool.dialer.reuseSuspension)
}

// requestWritten reports whether the whole request has been written. It must be
// called at most once, since it takes the result from writeDone.
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

// BodyError returns the failure err to read the response body as an *Error.
func (resp *Response) BodyError(ctx context.Context, err error) *Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Error{Reason: ReasonTimedOut, MaybeSent: true, Err: err}
	case ctx.Err() != nil:
		return &Error{Reason: ReasonCanceled, MaybeSent: true, Err: err}
	case isConnectionError(err):
		return &Error{Reason: ReasonConnectionLost, MaybeSent: true, Err: err}
	}
	return &Error{Reason: ReasonInvalidResponse, MaybeSent: true, Err: shortCause(err)}
}
