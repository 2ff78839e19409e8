package pipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"time"
)

const (
	// maxConcurrentRequests limits the concurrently handled requests of one
	// connection.
	maxConcurrentRequests = 16
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 4 << 10
	// lingerTime is how long input is discarded after the last response before
	// the connection is closed. Closing a connection with unread input resets it,
	// and the reset may reach the caller before the response.
	lingerTime = 500 * time.Millisecond
	// errorWriteTimeout limits the time to write an error response to a request
	// that cannot be read.
	errorWriteTimeout = time.Second
	// maxDiscardedBytes limits the input that is discarded after the last request
	// of a connection. Beyond it nothing more is read, and the caller's writes
	// block until the connection is closed.
	maxDiscardedBytes = 1 << 20
)

// conn is one caller's connection.
type conn struct {
	server      *Server
	netConn     net.Conn
	headerLimit *headerReader
	br          *bufio.Reader
	bw          *bufio.Writer
	ctx         context.Context
	cancel      context.CancelFunc

	// slots is a semaphore for the concurrently handled requests.
	slots chan struct{}
	// handlers counts the running handlers.
	handlers sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// inFlight counts the requests that have been read and not yet answered.
	inFlight int
	// closing is set when no further request is read; broken when nothing more
	// can be written.
	closing bool
	broken  bool
	// mayHaveUnread is set when the connection may have input that is never read
	// as a request.
	mayHaveUnread bool
	// lastResponse is the response to the most recently read request.
	lastResponse *response
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, netConn: nc, headerLimit: &headerReader{r: nc, remaining: -1, memory: s.HeaderMemory}, slots: make(chan struct{}, maxConcurrentRequests)}
	c.br = bufio.NewReaderSize(c.headerLimit, bufferBytes)
	c.bw = bufio.NewWriterSize(nc, bufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// errUnsupportedVersion is returned for a request that is not HTTP/1.x.
var errUnsupportedVersion = errors.New("unsupported HTTP version")

// unsupportedEncodingText starts the error message of net/http for an unknown
// transfer encoding; the type of that error is not exported.
const unsupportedEncodingText = "unsupported transfer encoding"

// serve reads and handles requests until no further request is read, waits for
// the responses and closes the connection.
func (c *conn) serve() {
	defer c.close()
	for c.awaitRequest() {
		r, err := c.readRequest()
		if err != nil {
			c.markUnread()
			c.writeErrorResponse(err)
			return
		}
		if !c.handle(r) {
			c.markUnread()
			c.watchForDisconnect()
			return
		}
	}
}

// watchForDisconnect discards the input after the last request until all requests
// are answered. If the caller disconnects before, its requests are canceled.
func (c *conn) watchForDisconnect() {
	if !c.armIdleDeadline() {
		return
	}
	n, err := io.Copy(io.Discard, io.LimitReader(c.netConn, maxDiscardedBytes))
	if n == maxDiscardedBytes || isTimeout(err) {
		return
	}
	c.handleDisconnect()
}

// handleDisconnect cancels the requests in flight after the caller has closed the
// connection.
func (c *conn) handleDisconnect() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
}

// isTimeout reports whether err is an exceeded read deadline.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// markUnread records that further input is not read as requests, so that close
// discards it.
func (c *conn) markUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mayHaveUnread = true
}

// awaitRequest waits for the first byte of the next request. It returns false if
// no further request is read. If the caller disconnects, its requests in flight
// are canceled.
func (c *conn) awaitRequest() bool {
	if !c.armIdleDeadline() {
		return false
	}
	_, err := c.br.Peek(1)
	if err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.mayHaveUnread = c.closing
		return !c.closing
	}
	if isTimeout(err) {
		// The idle timeout has passed, or the connection drains.
		return false
	}
	c.handleDisconnect()
	return false
}

// armIdleDeadline sets the read deadline before a wait for input. It returns false
// if the connection drains and all requests have been answered.
func (c *conn) armIdleDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && c.inFlight == 0 {
		return false
	}
	c.setIdleDeadline()
	return true
}

// setIdleDeadline sets the read deadline for the start of the next request: none
// while requests are in flight, and a time in the past, which interrupts a
// pending read, if the connection drains. The caller of the method holds mu.
func (c *conn) setIdleDeadline() {
	var deadline time.Time
	switch {
	case c.inFlight > 0:
	case c.closing:
		deadline = time.Unix(1, 0)
	default:
		deadline = time.Now().Add(c.server.IdleTimeout)
	}
	_ = c.netConn.SetReadDeadline(deadline) // on a closed connection the next read fails
}

// readRequest reads the header of one request.
func (c *conn) readRequest() (*http.Request, error) {
	if err := c.netConn.SetReadDeadline(time.Now().Add(c.server.ReadHeaderTimeout)); err != nil {
		return nil, err
	}
	r, err := c.readHeader()
	if err != nil {
		c.headerLimit.releaseHead()
		return nil, err
	}
	if r.ProtoMajor != 1 {
		return nil, errUnsupportedVersion
	}
	if r.ProtoAtLeast(1, 1) && r.Host == "" && r.Method != http.MethodConnect {
		return nil, errors.New("request without a Host header")
	}
	r.RemoteAddr = c.netConn.RemoteAddr().String()
	return r, nil
}

// handle starts the handler for r. It returns false if no further request is
// read. A request with a body or of HTTP/1.0 starts only after earlier handlers
// have returned, and no further request is read before the end of its body.
func (c *conn) handle(r *http.Request) bool {
	sequential := r.Body != http.NoBody || !r.ProtoAtLeast(1, 1)
	if sequential {
		// The next request can only be read after this one's body.
		c.handlers.Wait()
	}
	select {
	case c.slots <- struct{}{}:
	case <-c.ctx.Done():
		return false
	}
	resp := c.enqueueResponse(r)
	c.handlers.Add(1)
	go c.runHandler(resp)
	if !sequential {
		return !resp.closeRequested
	}
	return c.awaitBody(resp) && !resp.closeRequested
}

// awaitBody waits until the request's body has been read or its response is
// complete. It returns false if part of the body is left unread, so that no
// further request can be read.
func (c *conn) awaitBody(resp *response) bool {
	select {
	case <-resp.body.consumed:
		return true
	case <-resp.done:
	}
	select {
	case <-resp.body.consumed:
		return true
	default:
		return false
	}
}

// enqueueResponse creates the response to r, to be sent after those to earlier
// requests.
func (c *conn) enqueueResponse(r *http.Request) *response {
	c.mu.Lock()
	defer c.mu.Unlock()
	resp := newResponse(c, r, c.lastResponse)
	resp.head = c.headerLimit.takeHead()
	c.lastResponse = resp
	c.inFlight++
	c.closing = c.closing || resp.closeRequested
	// The handler sets the read deadline for the body. On a closed connection the
	// next read fails.
	_ = c.netConn.SetReadDeadline(time.Time{})
	return resp
}

// runHandler calls the handler for one request and completes the response. If
// that fails, it aborts the connection.
func (c *conn) runHandler(resp *response) {
	defer c.handlers.Done()
	defer func() { <-c.slots }()
	ok := c.callHandler(resp)
	if ok {
		ok = resp.finish()
	}
	if !ok {
		c.abort()
	}
	resp.cancel()
	resp.head.Release(c.server.HeaderMemory)
	close(resp.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if c.inFlight == 0 && !c.broken {
		c.setIdleDeadline()
	}
}

// callHandler calls the handler and reports whether it returned without a panic.
// A panic other than http.ErrAbortHandler is logged.
func (c *conn) callHandler(resp *response) (ok bool) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		ok = false
		if v != http.ErrAbortHandler { //nolint:errorlint // only the value itself has this meaning
			c.server.logf("panic while handling a request, connection aborted: %v\n%s", v, debug.Stack())
		}
	}()
	c.server.Handler.ServeHTTP(resp, resp.req)
	return true
}

// writeErrorResponse sends the error response to a request that cannot be read,
// after the responses to earlier requests. It sends nothing if err is a network
// error or the end of the input.
func (c *conn) writeErrorResponse(err error) {
	c.handlers.Wait()
	status := ""
	var ne net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = "431 Request Header Fields Too Large"
	case errors.Is(err, errHeaderMemoryUsedUp):
		status = "503 Service Unavailable\r\nRetry-After: 1"
	case errors.Is(err, errUnsupportedVersion):
		status = "505 HTTP Version Not Supported"
	case strings.Contains(err.Error(), unsupportedEncodingText):
		status = "501 Not Implemented"
	case errors.As(err, &ne), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return
	default:
		status = "400 Bad Request"
	}
	if c.netConn.SetWriteDeadline(time.Now().Add(errorWriteTimeout)) != nil {
		return
	}
	_, _ = c.bw.WriteString("HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	_ = c.bw.Flush() // the connection is closed next, whether or not this succeeds
}
