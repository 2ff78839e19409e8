package target

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/jacinthramp/jacinthramp/pkg/standin/exchange"
)

// writeMalformed takes over the connection and writes a malformed response.
func writeMalformed(w http.ResponseWriter, kind MalformedResponse, rec exchange.ReceivedRequest) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(malformedBytes(kind, rec))
}

// malformedBytes returns the bytes of a malformed response of the given kind.
func malformedBytes(kind MalformedResponse, rec exchange.ReceivedRequest) []byte {
	switch kind {
	case MalformedTruncated:
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 4096\r\n\r\nshort", exchange.HeaderNonce, rec.Nonce)
	case MalformedDuplicate:
		return bytes.Repeat(validResponse(rec), 2)
	default:
		return []byte("\x00\x01 this is not an answer \xff\r\n\r\n")
	}
}

// validResponse returns the bytes of the valid response to rec.
func validResponse(rec exchange.ReceivedRequest) []byte {
	var body responseBuffer
	_ = exchange.WriteResponse(&body, rec)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", exchange.HeaderNonce, rec.Nonce, body.Len())
	return append([]byte(head), body.Bytes()...)
}

// responseBuffer is a ResponseWriter that keeps the body and discards the header.
type responseBuffer struct{ bytes.Buffer }

// Header returns a new header, which is discarded.
func (*responseBuffer) Header() http.Header { return http.Header{} }

// WriteHeader implements http.ResponseWriter. It discards the status.
func (*responseBuffer) WriteHeader(int) {}
