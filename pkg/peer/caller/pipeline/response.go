package pipeline

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/peer/memory"
)

// body is the body of a request.
type body struct {
	io.ReadCloser
	resp *response
	once sync.Once
	// consumed is closed when the body has been read to its end or is empty.
	consumed chan struct{}
}

// Read implements io.Reader. The first read sends 100 Continue if the caller
// expects it.
func (b *body) Read(p []byte) (int, error) {
	if b.resp.expectsContinue {
		b.resp.expectsContinue = false
		if err := b.resp.writeContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.markConsumed()
	}
	return n, err
}

func (b *body) markConsumed() { b.once.Do(func() { close(b.consumed) }) }

// response is the response to one request. It implements http.ResponseWriter and
// the methods that http.ResponseController calls. Except for SharesConnection, the
// methods are for the handler's goroutine and not safe for concurrent use. The body
// may be read by another goroutine.
type response struct {
	conn   *conn
	req    *http.Request
	cancel context.CancelFunc
	body   *body
	// head is the memory of the request's header.
	head memory.Head
	// previousDone is closed when all earlier responses have been written or have
	// failed, and done when this one has.
	previousDone <-chan struct{}
	done         chan struct{}
	// expectsContinue is set while the caller waits for 100 Continue before it
	// sends the body.
	expectsContinue bool
	// closeRequested is set if the request asks for the connection to be closed;
	// HTTP/1.0 requests always do. It doesn't change after creation, because the
	// connection's goroutine reads it too.
	closeRequested bool

	header http.Header
	// headerMu serialises 100 Continue, which the goroutine that reads the body writes,
	// with interim responses and the final header. It guards headerWritten, which only
	// the handler's goroutine sets, and the writes that precede setting it.
	headerMu      sync.Mutex
	headerWritten bool
	status        int
	// contentLength is the value of Content-Length, or -1 if unknown; bodyWritten
	// counts the bytes of the body written so far.
	contentLength int64
	bodyWritten   int64
	// chunked is set if the body is sent in chunks, and noBody if the response has
	// none.
	chunked bool
	noBody  bool
	// closesConn is set if the connection is closed after this response.
	closesConn bool
	// err is the first failure to write the response.
	err           error
	writeDeadline time.Time
	// finalDeadline is writeDeadline as it applies since the response's turn, and
	// extendedAt is when the deadline of the connection was set.
	finalDeadline time.Time
	extendedAt    time.Time
}

// closedChan is previousDone of the first response of a connection.
var closedChan = func() <-chan struct{} { c := make(chan struct{}); close(c); return c }()

func newResponse(c *conn, r *http.Request, previous *response) *response {
	resp := &response{conn: c, previousDone: closedChan, done: make(chan struct{}), header: make(http.Header), contentLength: -1}
	if previous != nil {
		resp.previousDone = previous.done
	}
	ctx, cancel := context.WithCancel(c.ctx)
	resp.cancel = cancel
	resp.closeRequested = r.Close || !r.ProtoAtLeast(1, 1)
	resp.body = &body{ReadCloser: r.Body, resp: resp, consumed: make(chan struct{})}
	if r.Body == http.NoBody {
		resp.body.markConsumed()
	} else {
		resp.expectsContinue = r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
		r.Body = resp.body
	}
	resp.req = r.WithContext(ctx)
	return resp
}

// stallChecks is the number of times that the write deadline is moved within StallTimeout
// while a response is being written.
const stallChecks = 16

// minWriteTime is the time that a response has at least for being written, from its turn
// on: its own deadline may pass while it waits for the responses before it.
const minWriteTime = time.Second

// errConnClosed is returned by writes after the caller has disconnected or the
// connection has been aborted.
var errConnClosed = errors.New("connection to the caller is closed")

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// bodyRead reports whether the request's body has been read to its end.
func (w *response) bodyRead() bool {
	select {
	case <-w.body.consumed:
		return true
	default:
		return false
	}
}

// newlineReplacer replaces line breaks in header values by spaces.
var newlineReplacer = strings.NewReplacer("\n", " ", "\r", " ")

// recordErr sets w.err unless an earlier error is set.
func (w *response) recordErr(err error) {
	if w.err == nil {
		w.err = err
	}
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	switch {
	case w.err != nil:
		return 0, w.err
	case w.noBody:
		return len(p), nil
	case w.contentLength >= 0 && w.bodyWritten+int64(len(p)) > w.contentLength:
		return 0, http.ErrContentLength
	case len(p) == 0:
		return 0, nil
	}
	w.recordProgress()
	bw := w.conn.bw
	if w.chunked {
		_, _ = bw.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	}
	n, err := bw.Write(p)
	w.bodyWritten += int64(n)
	if err == nil && w.chunked {
		_, err = bw.WriteString("\r\n")
	}
	w.recordErr(err)
	return n, err
}

// finish completes the response after the handler has returned, and reports
// whether all of it has been written.
func (w *response) finish() bool {
	if !w.headerWritten {
		if _, ok := w.header["Content-Length"]; !ok {
			w.header.Set("Content-Length", "0")
		}
		w.WriteHeader(http.StatusOK)
	}
	if w.err != nil || !w.noBody && w.contentLength >= 0 && w.bodyWritten < w.contentLength {
		return false
	}
	w.recordProgress()
	if w.chunked {
		_, _ = w.conn.bw.WriteString("0\r\n")
		for field, values := range w.header {
			if name, ok := strings.CutPrefix(field, http.TrailerPrefix); ok {
				for _, v := range values {
					_, _ = w.conn.bw.WriteString(name + ": " + newlineReplacer.Replace(v) + "\r\n")
				}
			}
		}
		_, _ = w.conn.bw.WriteString("\r\n")
	}
	w.recordErr(w.conn.bw.Flush())
	if w.err == nil && w.closesConn {
		w.conn.drain()
	}
	return w.err == nil
}

// SharesConnection reports whether the connection has other requests in flight.
// They fail if this response is aborted.
func (w *response) SharesConnection() bool {
	w.conn.mu.Lock()
	defer w.conn.mu.Unlock()
	return w.conn.inFlight > 1
}

// FlushError sends the buffered data. http.ResponseController calls it for Flush.
func (w *response) FlushError() error {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	if w.err == nil {
		w.recordProgress()
		w.recordErr(w.conn.bw.Flush())
	}
	return w.err
}

// SetWriteDeadline sets the write deadline of this response. It has no effect once
// the header has been written, and leaves at least minWriteTime from the response's turn.
func (w *response) SetWriteDeadline(t time.Time) error {
	w.writeDeadline = t
	return nil
}

// SetReadDeadline sets the read deadline of the request's body. It has no effect
// once the body has been read.
func (w *response) SetReadDeadline(t time.Time) error {
	if w.bodyRead() {
		return nil
	}
	return w.conn.netConn.SetReadDeadline(t)
}

// EnableFullDuplex does nothing: a response may always begin before the request's
// body has been read. http.ResponseController calls it.
func (w *response) EnableFullDuplex() error { return nil }
