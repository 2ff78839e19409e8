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
	// maxConcurrent bounds the requests of one connection that are handled at
	// the same time.
	maxConcurrent = 16
	// bufferBytes is the size of a connection's buffers.
	bufferBytes = 4 << 10
	// lingerTime is how long bytes that arrive after the last answer are read
	// away: closing a connection with unread bytes resets it, and the reset may
	// overtake the answer.
	lingerTime = 500 * time.Millisecond
	// errorWriteTimeout bounds the writing of an answer to an unreadable request.
	errorWriteTimeout = time.Second
	// maxSurplusBytes bounds what is read away behind a caller's last request.
	// Beyond it the caller waits until the connection ends.
	maxSurplusBytes = 1 << 20
)

// conn is one caller's connection.
type conn struct {
	server *Server
	net    net.Conn
	limit  *limitedReader
	br     *bufio.Reader
	bw     *bufio.Writer
	ctx    context.Context
	cancel context.CancelFunc

	// slots bounds the requests that are handled at the same time.
	slots    chan struct{}
	handlers sync.WaitGroup

	mu sync.Mutex
	// inFlight counts the requests read and not yet answered.
	inFlight int
	// closing is set when no further request is to be read; broken when nothing
	// more can be written.
	closing bool
	broken  bool
	// unread is set when bytes of the caller may be left that nobody reads.
	unread bool
	// last is the response to the newest request.
	last *response
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, net: nc, limit: &limitedReader{r: nc, left: -1}, slots: make(chan struct{}, maxConcurrent)}
	c.br = bufio.NewReaderSize(c.limit, bufferBytes)
	c.bw = bufio.NewWriterSize(nc, bufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// limitedReader bounds what is read of a header; negative means no bound.
type limitedReader struct {
	r    io.Reader
	left int
}

// errVersion reports a version of the protocol that is not served.
var errVersion = errors.New("the version of the protocol is not served")

// unsupportedEncoding starts the message of the library's error for a transfer
// encoding that it does not know.
const unsupportedEncoding = "unsupported transfer encoding"

// errHeaderTooLarge reports a header beyond the limit.
var errHeaderTooLarge = errors.New("the header is too large")

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, errHeaderTooLarge
	}
	if l.left > 0 && len(p) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	if l.left > 0 {
		l.left -= n
	}
	return n, err
}

// serve reads requests until the connection ends, and waits for the answers.
func (c *conn) serve() {
	defer c.close()
	for c.awaitRequest() {
		r, err := c.readRequest()
		if err != nil {
			c.leaveUnread()
			c.refuse(err)
			return
		}
		if !c.handle(r) {
			c.leaveUnread()
			c.watchCaller()
			return
		}
	}
}

// watchCaller reads away what follows the last request until that has been
// answered. A caller that goes away meanwhile ends its requests.
func (c *conn) watchCaller() {
	if !c.armIdle() {
		return
	}
	n, err := io.Copy(io.Discard, io.LimitReader(c.net, maxSurplusBytes))
	if n == maxSurplusBytes || isTimeout(err) {
		return
	}
	c.callerGone()
}

// callerGone ends the requests of a caller that has gone away.
func (c *conn) callerGone() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
}

// isTimeout reports whether err is the end of the time to read.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// leaveUnread notes that what the caller still sends is not read.
func (c *conn) leaveUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = true
}

// close ends the connection once all that was read has been answered.
func (c *conn) close() {
	c.handlers.Wait()
	c.cancel()
	c.mu.Lock()
	lingers := c.unread && !c.broken
	c.mu.Unlock()
	if lingers {
		c.linger()
	}
	_ = c.net.Close()
}

// linger ends the sending side and reads away what still arrives.
func (c *conn) linger() {
	half, ok := c.net.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.net.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.net) // what arrives now is of no use
}

// awaitRequest waits for the first byte of the next request. It reports false
// when there is none to be read. A caller that goes away ends the requests
// that it has sent.
func (c *conn) awaitRequest() bool {
	if !c.armIdle() {
		return false
	}
	_, err := c.br.Peek(1)
	if err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.unread = c.closing
		return !c.closing
	}
	if isTimeout(err) {
		// Idle for too long, or told to finish.
		return false
	}
	c.callerGone()
	return false
}

// armIdle sets the time by which the next request must begin, which only
// counts while nothing is in flight. It reports false when none is to be read.
func (c *conn) armIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && c.inFlight == 0 {
		return false
	}
	c.setIdleDeadline()
	return true
}

// setIdleDeadline sets the deadline of an idle connection. The caller holds mu.
func (c *conn) setIdleDeadline() {
	var at time.Time
	switch {
	case c.inFlight > 0:
	case c.closing:
		at = time.Unix(1, 0)
	default:
		at = time.Now().Add(c.server.IdleTimeout)
	}
	_ = c.net.SetReadDeadline(at) // a connection that is closed fails at its next use
}

// readRequest reads one request up to its body.
func (c *conn) readRequest() (*http.Request, error) {
	if err := c.net.SetReadDeadline(time.Now().Add(c.server.ReadHeaderTimeout)); err != nil {
		return nil, err
	}
	c.limit.left = c.server.MaxHeaderBytes + bufferBytes
	r, err := http.ReadRequest(c.br)
	if c.limit.left == 0 {
		err = errHeaderTooLarge
	}
	c.limit.left = -1
	if err != nil {
		return nil, err
	}
	if r.ProtoMajor != 1 {
		return nil, errVersion
	}
	if r.ProtoAtLeast(1, 1) && r.Host == "" && r.Method != http.MethodConnect {
		return nil, errors.New("a request without a host")
	}
	r.RemoteAddr = c.net.RemoteAddr().String()
	return r, nil
}

// handle starts the handling of r. It reports false when no further request is
// to be read.
func (c *conn) handle(r *http.Request) bool {
	alone := r.Body != http.NoBody || !r.ProtoAtLeast(1, 1)
	if alone {
		// What follows a body can only be read once the body has been.
		c.handlers.Wait()
	}
	select {
	case c.slots <- struct{}{}:
	case <-c.ctx.Done():
		return false
	}
	resp := c.begin(r)
	c.handlers.Add(1)
	go c.run(resp)
	if !alone {
		return !resp.wantsClose
	}
	return c.awaitBody(resp) && !resp.wantsClose
}

// awaitBody waits until the body has been read or the request is answered. It
// reports false when the rest of the body makes the connection unusable.
func (c *conn) awaitBody(resp *response) bool {
	select {
	case <-resp.body.ended:
		return true
	case <-resp.done:
	}
	select {
	case <-resp.body.ended:
		return true
	default:
		return false
	}
}

// begin queues the answer to r behind the others.
func (c *conn) begin(r *http.Request) *response {
	c.mu.Lock()
	defer c.mu.Unlock()
	resp := newResponse(c, r, c.last)
	c.last = resp
	c.inFlight++
	c.closing = c.closing || resp.wantsClose
	// The handler bounds the reading of the body; a failure shows at its use.
	_ = c.net.SetReadDeadline(time.Time{})
	return resp
}

// run calls the handler for one request.
func (c *conn) run(resp *response) {
	defer c.handlers.Done()
	defer func() { <-c.slots }()
	ok := c.call(resp)
	if ok {
		ok = resp.finish()
	}
	if !ok {
		c.abort()
	}
	resp.cancel()
	close(resp.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if c.inFlight == 0 && !c.broken {
		c.setIdleDeadline()
	}
}

// call runs the handler and reports whether its answer stands.
func (c *conn) call(resp *response) (ok bool) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		ok = false
		if v != http.ErrAbortHandler { //nolint:errorlint // the value itself is the signal
			c.server.logf("panic in a handler: %v\n%s", v, debug.Stack())
		}
	}()
	c.server.Handler.ServeHTTP(resp, resp.req)
	return true
}

// finish lets the connection end once what was read has been answered.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.inFlight == 0 {
		c.setIdleDeadline()
	}
}

// abort ends the connection at once.
func (c *conn) abort() {
	c.mu.Lock()
	c.broken = true
	c.closing = true
	c.mu.Unlock()
	c.cancel()
	_ = c.net.Close()
}

// refuse answers a request that can't be read, after those before it.
func (c *conn) refuse(err error) {
	c.handlers.Wait()
	status := ""
	var ne net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = "431 Request Header Fields Too Large"
	case errors.Is(err, errVersion):
		status = "505 HTTP Version Not Supported"
	case strings.Contains(err.Error(), unsupportedEncoding):
		status = "501 Not Implemented"
	case errors.As(err, &ne), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return
	default:
		status = "400 Bad Request"
	}
	if c.net.SetWriteDeadline(time.Now().Add(errorWriteTimeout)) != nil {
		return
	}
	_, _ = c.bw.WriteString("HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	_ = c.bw.Flush() // a caller that has gone needs no answer
}
