package pipeline

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// WriteHeader implements http.ResponseWriter. It panics on an invalid status: the caller
// could not read the response, nor those behind it.
func (w *response) WriteHeader(status int) {
	if w.headerWritten {
		return
	}
	if !wire.IsValidStatus(status) {
		panic("invalid status " + strconv.Itoa(status) + " of a response")
	}
	if status < http.StatusOK && status != http.StatusSwitchingProtocols {
		w.writeInterim(status)
		return
	}
	w.status = status
	w.markHeaderWritten()
	w.chooseFraming()
	if err := w.awaitTurn(); err != nil {
		return
	}
	w.writeHead(status, func(h http.Header) {
		h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
		w.setConnectionHeader(h)
	})
}

// markHeaderWritten sets headerWritten, after which writeContinue writes nothing.
func (w *response) markHeaderWritten() {
	w.headerMu.Lock()
	defer w.headerMu.Unlock()
	w.headerWritten = true
}

// writeInterim sends an interim (1xx) response.
func (w *response) writeInterim(status int) {
	w.headerMu.Lock()
	defer w.headerMu.Unlock()
	if w.awaitTurn() == nil {
		w.writeHead(status, nil)
		w.recordErr(w.conn.bw.Flush())
	}
}

// chooseFraming determines from the request and the header how the body is
// delimited.
func (w *response) chooseFraming() {
	w.noBody = w.req.Method == http.MethodHead || w.status == http.StatusNoContent || w.status == http.StatusNotModified
	if v := w.header.Get("Content-Length"); v != "" {
		if n, err := strconv.ParseInt(v, 10, 64); err == nil && n >= 0 {
			w.contentLength = n
			w.header.Del("Transfer-Encoding")
			return
		}
		w.header.Del("Content-Length")
	}
	switch {
	case w.noBody:
	case w.req.ProtoAtLeast(1, 1):
		w.chunked = true
		w.header.Set("Transfer-Encoding", "chunked")
	}
	// For HTTP/1.0 the end of the connection delimits the body.
}

// setConnectionHeader sets "Connection: close" if the connection is closed after
// this response. Only the response to the last request read closes it, so that
// every request that was read is answered.
func (w *response) setConnectionHeader(h http.Header) {
	c := w.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	closing := strings.EqualFold(h.Get("Connection"), "close") || w.closeRequested || c.closing || !w.bodyRead()
	if closing {
		c.closing = true
	}
	h.Del("Connection")
	w.closesConn = closing && c.lastResponse == w
	if w.closesConn {
		h.Set("Connection", "close")
	}
}

// writeHead writes the status line and the header, after modify, if not nil, has
// changed it.
func (w *response) writeHead(status int, modify func(http.Header)) {
	h := w.header
	if modify != nil {
		modify(h)
	}
	bw := w.conn.bw
	_, _ = bw.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	for field, values := range h {
		if strings.HasPrefix(field, http.TrailerPrefix) {
			continue
		}
		for _, v := range values {
			_, _ = bw.WriteString(field + ": " + textproto.TrimString(newlineReplacer.Replace(v)) + "\r\n")
		}
	}
	_, err := bw.WriteString("\r\n") // bufio.Writer returns earlier errors again
	w.recordErr(err)
}

// writeContinue sends 100 Continue, or nothing once the final header is being written.
func (w *response) writeContinue() error {
	w.headerMu.Lock()
	defer w.headerMu.Unlock()
	if w.headerWritten {
		return nil
	}
	if err := w.awaitTurn(); err != nil {
		return err
	}
	_, _ = w.conn.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	return w.conn.bw.Flush()
}
