package target

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/jacinthramp/jacinthramp/pkg/standin/exchange"
)

// writeGarbage takes the connection over and answers badly.
func writeGarbage(w http.ResponseWriter, g MalformedResponse, rec exchange.ReceivedRequest) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(garbage(g, rec))
}

// garbage returns the bytes of a bad answer.
func garbage(g MalformedResponse, rec exchange.ReceivedRequest) []byte {
	switch g {
	case MalformedTruncated:
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 4096\r\n\r\nshort", exchange.HeaderNonce, rec.Nonce)
	case MalformedDuplicate:
		return bytes.Repeat(goodAnswer(rec), 2)
	default:
		return []byte("\x00\x01 this is not an answer \xff\r\n\r\n")
	}
}

// goodAnswer returns the bytes of a right answer.
func goodAnswer(rec exchange.ReceivedRequest) []byte {
	var body answerBuffer
	_ = exchange.WriteResponse(&body, rec)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", exchange.HeaderNonce, rec.Nonce, body.Len())
	return append([]byte(head), body.Bytes()...)
}

// answerBuffer keeps an answer's body and drops its header.
type answerBuffer struct{ bytes.Buffer }

// Header returns a header that is not kept.
func (*answerBuffer) Header() http.Header { return http.Header{} }

// WriteHeader does nothing.
func (*answerBuffer) WriteHeader(int) {}
