package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// MaxBufferedBody is the largest request body, in bytes, that is read whole
// before the request is sent, so that it can be sent again.
const MaxBufferedBody = 64 << 10

// ErrBodyTooLarge is returned when a body of unannounced length passes its limit.
var ErrBodyTooLarge = errors.New("the body is larger than the route allows")

// Body is the body of one request over all its attempts.
type Body struct {
	length      int64
	limit       int64
	source      io.ReadCloser
	buffered    []byte
	readStarted atomic.Bool
	eof         atomic.Bool
}

// NewBody takes over the body of r, of at most limit bytes. A small body of
// announced length is read whole; the error is that of the reading.
func NewBody(r *http.Request, limit int64) (*Body, error) {
	b := &Body{length: r.ContentLength, limit: limit, source: r.Body}
	if b.length > limit {
		return nil, ErrBodyTooLarge
	}
	if b.length <= 0 || b.length > MaxBufferedBody {
		return b, nil
	}
	b.buffered = make([]byte, b.length)
	if _, err := io.ReadFull(r.Body, b.buffered); err != nil {
		return nil, err
	}
	// Reading up to the end lets the server notice that the caller goes away.
	if _, err := r.Body.Read(make([]byte, 1)); err != io.EOF {
		return nil, io.ErrUnexpectedEOF
	}
	return b, nil
}

// Length returns the announced length, or -1.
func (b *Body) Length() int64 { return b.length }

// IsStreamed reports whether the body is passed on while it is being read.
func (b *Body) IsStreamed() bool { return b.length != 0 && b.buffered == nil }

// ReachedEOF reports whether a body that streams has been read to its end.
func (b *Body) ReachedEOF() bool { return b.eof.Load() }

// Replayable reports whether another attempt can send the whole body.
func (b *Body) Replayable() bool {
	return b.length == 0 || b.buffered != nil || !b.readStarted.Load()
}

// NewReader returns the body for one attempt.
func (b *Body) NewReader() io.ReadCloser {
	switch {
	case b.length == 0:
		return http.NoBody
	case b.buffered != nil:
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return &attemptReader{body: b}
}

// attemptReader streams the source and remembers its failure.
type attemptReader struct {
	body       *Body
	bytesRead  int64
	readFailed atomic.Bool
}

// Read reads from the source within the limit.
func (a *attemptReader) Read(p []byte) (int, error) {
	a.body.readStarted.Store(true)
	n, err := a.body.source.Read(p)
	a.bytesRead += int64(n)
	if a.bytesRead > a.body.limit {
		a.readFailed.Store(true)
		return 0, ErrBodyTooLarge
	}
	if err == io.EOF {
		a.body.eof.Store(true)
	}
	if err != nil && err != io.EOF {
		a.readFailed.Store(true)
	}
	return n, err
}

// Close leaves the source open for another attempt; the server closes it.
func (a *attemptReader) Close() error { return nil }

// failed reports whether the source failed.
func (a *attemptReader) failed() bool { return a.readFailed.Load() }

// Buffered returns the body when it has been read whole, else nil.
func (b *Body) Buffered() []byte { return b.buffered }
