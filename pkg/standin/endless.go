package standin

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// EndlessPart is the part of a response that has no end.
type EndlessPart string

// Parts of a response.
const (
	// EndlessHead is a header whose fields never end.
	EndlessHead EndlessPart = "endless-head"
	// EndlessExcess is a complete response, followed by bytes beyond its
	// Content-Length.
	EndlessExcess EndlessPart = "endless-excess"
	// EndlessBody is a body without a Content-Length.
	EndlessBody EndlessPart = "endless-body"
)

// Endless describes a response that the peer must end by closing the connection.
type Endless struct {
	Part EndlessPart
	// ByteInterval is the pause between two bytes of the endless part. If it is zero,
	// the bytes are sent in chunks of endlessChunkBytes, one every endlessChunkPause.
	ByteInterval time.Duration
}

const (
	endlessField      = "X-Endless: more\r\n"
	endlessBodyByte   = "."
	endlessChunkBytes = 16 << 10
	// endlessChunkPause bounds the processor time spent on a connection that
	// accepts bytes without limit.
	endlessChunkPause = time.Millisecond
)

// WriteEndless takes over the connection of w and sends a response with the header
// of w and a body that begins with body. It returns when the peer closes the
// connection.
func WriteEndless(w http.ResponseWriter, e Endless, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	}()
	if _, err := conn.Write(e.prefix(w.Header(), body)); err == nil {
		e.sendUntil(closed, conn)
	}
	_ = conn.Close()
	<-closed
}

// prefix returns the bytes before the endless part.
func (e Endless) prefix(h http.Header, body []byte) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\n")
	_ = h.Write(&b)
	switch e.Part {
	case EndlessHead:
		return b.Bytes()
	case EndlessExcess:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// repeatedBytes returns the bytes that the endless part repeats.
func (e Endless) repeatedBytes() string {
	if e.Part == EndlessHead {
		return endlessField
	}
	return endlessBodyByte
}

// sendUntil sends the endless part until closed is closed or a write fails: one byte per
// ByteInterval, or one large chunk per endlessChunkPause.
func (e Endless) sendUntil(closed <-chan struct{}, conn net.Conn) {
	pause, repeated := e.ByteInterval, e.repeatedBytes()
	chunks := strings.Split(repeated, "")
	if pause == 0 {
		pause, chunks = endlessChunkPause, []string{strings.Repeat(repeated, endlessChunkBytes/len(repeated))}
	}
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-closed:
			return
		case <-ticker.C:
		}
		if _, err := io.WriteString(conn, chunks[i%len(chunks)]); err != nil {
			return
		}
	}
}
