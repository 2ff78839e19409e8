package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// MaxBufferedBody is the largest request body, in bytes, that is buffered before
// the request is sent, so that another attempt can send it again.
const MaxBufferedBody = 64 << 10

// ErrBodyTooLarge is returned when a request body exceeds its limit: by NewBody
// for a declared length, and by reads of a body whose length is not declared.
var ErrBodyTooLarge = errors.New("request body exceeds the route's limit")

// Body is a request body that is shared by all attempts of the request. It is
// empty, buffered in memory, or streamed from the caller. A streamed body belongs to one
// attempt at a time: the goroutine that writes it may outlive its attempt.
type Body struct {
	length int64
	limit  int64
	source io.ReadCloser
	// buffered is the whole body; nil when the body is empty or streamed.
	buffered []byte
	eof      atomic.Bool

	// mu guards reader, the attempt that may read a streamed body, and readStarted,
	// which is set once any attempt has begun to.
	mu          sync.Mutex
	reader      *attemptReader
	readStarted bool
}

// NewBody takes over the body of r. It returns ErrBodyTooLarge when the declared
// length exceeds limit bytes. A body with a declared length of at most
// MaxBufferedBody is read into memory, and a failure to read it is returned.
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
	// The server detects that the caller disconnects only after the body has been
	// read to EOF.
	if _, err := r.Body.Read(make([]byte, 1)); err != io.EOF {
		return nil, io.ErrUnexpectedEOF
	}
	return b, nil
}

// Length returns the declared length in bytes, or -1 if it is unknown.
func (b *Body) Length() int64 { return b.length }

// IsStreamed reports whether the body is forwarded while it is being read.
func (b *Body) IsStreamed() bool { return b.length != 0 && b.buffered == nil }

// ReachedEOF reports whether a streamed body has been read to its end.
func (b *Body) ReachedEOF() bool { return b.eof.Load() }

// Replayable reports whether another attempt can still send the whole body. If it can,
// the attempts before read nothing more of it.
func (b *Body) Replayable() bool {
	if b.length == 0 || b.buffered != nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.readStarted {
		b.reader = nil
	}
	return !b.readStarted
}

// NewReader returns a reader of the body for one attempt. From then on, the readers of
// earlier attempts fail.
func (b *Body) NewReader() io.ReadCloser {
	switch {
	case b.length == 0:
		return http.NoBody
	case b.buffered != nil:
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	a := &attemptReader{body: b}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.readStarted {
		b.reader = a
	}
	return a
}

// errNotReadersTurn is the error of an attempt that may not read the body: another
// attempt has begun to read it, or may.
var errNotReadersTurn = errors.New("request body belongs to another attempt")

// startReading reports whether the attempt a may read the body, which then belongs to it.
func (b *Body) startReading(a *attemptReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readStarted = b.readStarted || b.reader == a
	return b.reader == a
}

// attemptReader streams the body to one attempt and records a failure to read it.
type attemptReader struct {
	body       *Body
	bytesRead  int64
	readFailed atomic.Bool
	// trailer is the trailer after the body; zero without one.
	trailer trailerCopy
}

// Read reads from the caller's body. It returns ErrBodyTooLarge beyond the limit.
func (a *attemptReader) Read(p []byte) (int, error) {
	if !a.body.startReading(a) {
		a.readFailed.Store(true)
		return 0, errNotReadersTurn
	}
	n, err := a.body.source.Read(p)
	a.bytesRead += int64(n)
	if a.bytesRead > a.body.limit {
		a.readFailed.Store(true)
		return 0, ErrBodyTooLarge
	}
	if err == io.EOF {
		a.trailer.copyFields()
		a.body.eof.Store(true)
	}
	if err != nil && err != io.EOF {
		a.readFailed.Store(true)
		err = withoutFieldText(err)
	}
	return n, err
}

// Close does nothing: another attempt may read the source, and the server closes it.
func (a *attemptReader) Close() error { return nil }

// failed reports whether the body could not be read, or exceeded its limit.
func (a *attemptReader) failed() bool { return a.readFailed.Load() }

// Buffered returns the whole body if it is buffered, otherwise nil.
func (b *Body) Buffered() []byte { return b.buffered }
