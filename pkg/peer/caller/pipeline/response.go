package pipeline

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// body is a request's body; ended is closed when its end has been read.
type body struct {
	io.ReadCloser
	resp  *response
	once  sync.Once
	ended chan struct{}
}

// Read implements io.Reader. The first read tells a caller that waits for it
// to send the body.
func (b *body) Read(p []byte) (int, error) {
	if b.resp.expects {
		b.resp.expects = false
		if err := b.resp.sayContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.end()
	}
	return n, err
}

func (b *body) end() { b.once.Do(func() { close(b.ended) }) }

// response is the answer to one request. Its methods are used by the handler's
// goroutine.
type response struct {
	conn   *conn
	req    *http.Request
	cancel context.CancelFunc
	body   *body
	// turn is closed when the answers before have been written, and done when
	// this one has.
	turn <-chan struct{}
	done chan struct{}
	// expects is set while the caller waits to be told to send its body.
	expects bool
	// wantsClose is set from the start when the caller asked for the end of the
	// connection, as every caller of HTTP/1.0 does. It is read by the connection's
	// goroutine too.
	wantsClose bool

	header http.Header
	wrote  bool
	status int
	// length is the announced length, or -1; chunked says how the body is
	// framed, and bare that there is none.
	length  int64
	written int64
	chunked bool
	bare    bool
	// closes is set when the connection ends with this answer.
	closes  bool
	failed  error
	writeBy time.Time
}

// alreadyTurn is the turn of an answer with none before it.
var alreadyTurn = func() <-chan struct{} { c := make(chan struct{}); close(c); return c }()

func newResponse(c *conn, r *http.Request, before *response) *response {
	resp := &response{conn: c, turn: alreadyTurn, done: make(chan struct{}), header: make(http.Header), length: -1}
	if before != nil {
		resp.turn = before.done
	}
	ctx, cancel := context.WithCancel(c.ctx)
	resp.cancel = cancel
	resp.wantsClose = r.Close || !r.ProtoAtLeast(1, 1)
	resp.body = &body{ReadCloser: r.Body, resp: resp, ended: make(chan struct{})}
	if r.Body == http.NoBody {
		resp.body.end()
	} else {
		resp.expects = r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
		r.Body = resp.body
	}
	resp.req = r.WithContext(ctx)
	return resp
}

// await waits for the turn of the answer.
func (w *response) await() error {
	if w.failed != nil {
		return w.failed
	}
	select {
	case <-w.turn:
	case <-w.conn.ctx.Done():
		w.failed = errGone
		return w.failed
	}
	if w.conn.ctx.Err() != nil {
		w.failed = errGone
		return w.failed
	}
	if err := w.conn.net.SetWriteDeadline(w.writeBy); err != nil {
		w.failed = err
	}
	return w.failed
}

// errGone reports a caller that has gone.
var errGone = errors.New("the caller has gone")

// sayContinue tells the caller to send its body.
func (w *response) sayContinue() error {
	if err := w.await(); err != nil {
		return err
	}
	_, _ = w.conn.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	return w.conn.bw.Flush()
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if w.wrote {
		return
	}
	if status >= 100 && status < http.StatusOK && status != http.StatusSwitchingProtocols {
		w.interim(status)
		return
	}
	w.wrote, w.status = true, status
	w.frame()
	if err := w.await(); err != nil {
		return
	}
	w.writeHead(status, func(h http.Header) {
		h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
		w.connectionField(h)
	})
}

// interim writes an answer that another one follows.
func (w *response) interim(status int) {
	if w.await() == nil {
		w.writeHead(status, nil)
		w.fail(w.conn.bw.Flush())
	}
}

// frame decides how the body is sent.
func (w *response) frame() {
	w.bare = w.req.Method == http.MethodHead || w.status == http.StatusNoContent || w.status == http.StatusNotModified
	if v := w.header.Get("Content-Length"); v != "" {
		if n, err := strconv.ParseInt(v, 10, 64); err == nil && n >= 0 {
			w.length = n
			w.header.Del("Transfer-Encoding")
			return
		}
		w.header.Del("Content-Length")
	}
	switch {
	case w.bare:
	case w.req.ProtoAtLeast(1, 1):
		w.chunked = true
		w.header.Set("Transfer-Encoding", "chunked")
	}
	// An older caller takes the end of the connection for that of the body.
}

// connectionField says whether the connection goes on. It ends with the last
// answer that was asked for, so that no request that was read stays without one.
func (w *response) connectionField(h http.Header) {
	c := w.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	asked := strings.EqualFold(h.Get("Connection"), "close") || w.wantsClose || c.closing || !w.bodyRead()
	if asked {
		c.closing = true
	}
	h.Del("Connection")
	w.closes = asked && c.last == w
	if w.closes {
		h.Set("Connection", "close")
	}
}

// bodyRead reports whether the request's body has been read to its end.
func (w *response) bodyRead() bool {
	select {
	case <-w.body.ended:
		return true
	default:
		return false
	}
}

// headerReplacer keeps line ends out of field values.
var headerReplacer = strings.NewReplacer("\n", " ", "\r", " ")

// writeHead writes the status line and the header, which set may change.
func (w *response) writeHead(status int, set func(http.Header)) {
	h := w.header
	if set != nil {
		set(h)
	}
	bw := w.conn.bw
	_, _ = bw.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	for field, values := range h {
		if strings.HasPrefix(field, http.TrailerPrefix) {
			continue
		}
		for _, v := range values {
			_, _ = bw.WriteString(field + ": " + textproto.TrimString(headerReplacer.Replace(v)) + "\r\n")
		}
	}
	_, err := bw.WriteString("\r\n") // earlier errors of the buffer stay
	w.fail(err)
}

// fail keeps the first error.
func (w *response) fail(err error) {
	if w.failed == nil {
		w.failed = err
	}
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	switch {
	case w.failed != nil:
		return 0, w.failed
	case w.bare:
		return len(p), nil
	case w.length >= 0 && w.written+int64(len(p)) > w.length:
		return 0, http.ErrContentLength
	case len(p) == 0:
		return 0, nil
	}
	bw := w.conn.bw
	if w.chunked {
		_, _ = bw.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	}
	n, err := bw.Write(p)
	w.written += int64(n)
	if err == nil && w.chunked {
		_, err = bw.WriteString("\r\n")
	}
	w.fail(err)
	return n, err
}

// finish ends the answer and reports whether it is whole.
func (w *response) finish() bool {
	if !w.wrote {
		if _, ok := w.header["Content-Length"]; !ok {
			w.header.Set("Content-Length", "0")
		}
		w.WriteHeader(http.StatusOK)
	}
	if w.failed != nil || !w.bare && w.length >= 0 && w.written < w.length {
		return false
	}
	if w.chunked {
		_, _ = w.conn.bw.WriteString("0\r\n")
		for field, values := range w.header {
			if name, ok := strings.CutPrefix(field, http.TrailerPrefix); ok {
				for _, v := range values {
					_, _ = w.conn.bw.WriteString(name + ": " + headerReplacer.Replace(v) + "\r\n")
				}
			}
		}
		_, _ = w.conn.bw.WriteString("\r\n")
	}
	w.fail(w.conn.bw.Flush())
	if w.failed == nil && w.closes {
		w.conn.finish()
	}
	return w.failed == nil
}

// SharesConnection reports whether the caller has sent other requests on the
// connection that are not yet answered: they end with it when this answer is cut.
func (w *response) SharesConnection() bool {
	w.conn.mu.Lock()
	defer w.conn.mu.Unlock()
	return w.conn.inFlight > 1
}

// FlushError sends what has been written so far; http.ResponseController uses
// it.
func (w *response) FlushError() error {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	if w.failed == nil {
		w.fail(w.conn.bw.Flush())
	}
	return w.failed
}

// SetWriteDeadline bounds the writing of this answer.
func (w *response) SetWriteDeadline(t time.Time) error {
	w.writeBy = t
	return nil
}

// SetReadDeadline bounds the reading of this request's body.
func (w *response) SetReadDeadline(t time.Time) error {
	if w.bodyRead() {
		return nil
	}
	return w.conn.net.SetReadDeadline(t)
}

// EnableFullDuplex implements what http.ResponseController asks for: an answer
// may always begin before the body has been read.
func (w *response) EnableFullDuplex() error { return nil }
