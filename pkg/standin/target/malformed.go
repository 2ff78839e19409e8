package target

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/jacinthramp/jacinthramp/pkg/standin"
	"github.com/jacinthramp/jacinthramp/pkg/standin/exchange"
)

// writeMalformed takes over the connection and writes the malformed response of f.
// Its header fields are those of w, so that it carries the target's leaving notice.
// It calls endRun before it writes a response that ends; the request of an endless
// one runs until the peer closes the connection.
func writeMalformed(w http.ResponseWriter, f Faults, rec exchange.ReceivedRequest, endRun func()) {
	w.Header().Set(exchange.HeaderNonce, rec.Nonce)
	switch f.Malformed {
	case MalformedEndlessHead, MalformedEndlessExcess, MalformedEndlessBody:
		e := standin.Endless{Part: standin.EndlessPart(f.Malformed), ByteInterval: f.ByteInterval.Std()}
		standin.WriteEndless(w, e, validBody(rec))
	default:
		endRun()
		writeMalformedBytes(w, malformedBytes(f.Malformed, w.Header(), rec))
	}
}

// writeMalformedBytes takes over the connection, writes b and closes it.
func writeMalformedBytes(w http.ResponseWriter, b []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(b)
}

// malformedBytes returns the bytes of a malformed response of the given kind.
func malformedBytes(kind MalformedResponse, h http.Header, rec exchange.ReceivedRequest) []byte {
	switch kind {
	case MalformedTruncated:
		return responseBytes(h, 4096, []byte("short"))
	case MalformedDuplicate:
		body := validBody(rec)
		return bytes.Repeat(responseBytes(h, len(body), body), 2)
	default:
		return []byte("\x00\x01 this is not an answer \xff\r\n\r\n")
	}
}

// responseBytes returns the bytes of a response with the given header, Content-Length
// and body.
func responseBytes(h http.Header, length int, body []byte) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\n")
	_ = h.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", length)
	b.Write(body)
	return b.Bytes()
}

// validBody returns the body of the valid response to rec.
func validBody(rec exchange.ReceivedRequest) []byte {
	var body responseBuffer
	_ = exchange.WriteResponse(&body, rec)
	return body.Bytes()
}

// responseBuffer is a ResponseWriter that keeps the body and discards the header.
type responseBuffer struct{ bytes.Buffer }

// Header returns a new header, which is discarded.
func (*responseBuffer) Header() http.Header { return http.Header{} }

// WriteHeader implements http.ResponseWriter. It discards the status.
func (*responseBuffer) WriteHeader(int) {}
