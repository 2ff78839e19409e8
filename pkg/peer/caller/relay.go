package caller

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"sync"

	"golang.org/x/net/http/httpguts"

	"github.com/jacinthramp/jacinthramp/pkg/peer/memory"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
)

const (
	// copyBufferBytes is the size of the buffer for copying a response body.
	copyBufferBytes = 32 << 10
	// smallCopyBufferBytes is its size when the memory for buffers is used up.
	smallCopyBufferBytes = 4 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// ResponseRelay relays one response, interim responses included, to a caller.
type ResponseRelay struct {
	w http.ResponseWriter
	// allowedReserved is the one reserved header field that targets may set;
	// empty means none.
	allowedReserved string
	// mu guards the fields below and keeps interim responses from being written
	// after the final one has begun.
	mu           sync.Mutex
	finalStarted bool
	// interim holds the statuses of the interim responses that were relayed, status
	// that of the final one.
	interim []int
	status  int
}

// NewResponseRelay returns a ResponseRelay that writes to w.
func NewResponseRelay(w http.ResponseWriter) *ResponseRelay { return &ResponseRelay{w: w} }

// SharesConnection reports whether the caller has other unanswered requests on
// the connection. They fail if this response is aborted.
func (r *ResponseRelay) SharesConnection() bool {
	s, ok := r.w.(interface{ SharesConnection() bool })
	return ok && s.SharesConnection()
}

// AllowReservedField lets targets set the reserved header field of that name.
func (r *ResponseRelay) AllowReservedField(field string) { r.allowedReserved = field }

// WriteInterim relays an interim (1xx) response, except 100 and 101. It may be
// called from another goroutine than WriteFinalHeader and StopInterim; after
// either of them it does nothing.
func (r *ResponseRelay) WriteInterim(code int, header textproto.MIMEHeader) error {
	if code == http.StatusContinue || code == http.StatusSwitchingProtocols {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finalStarted {
		return nil
	}
	h := r.w.Header()
	saved := h.Clone()
	upstream.CopyHeader(h, http.Header(header), isReservedField)
	r.w.WriteHeader(code)
	r.interim = append(r.interim, code)
	clear(h)
	for k, v := range saved {
		h[k] = v
	}
	return nil
}

// Statuses returns the status of the final response that was relayed, or 0 without one,
// and those of the interim responses before it.
func (r *ResponseRelay) Statuses() (final int, interim []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status, r.interim
}

// StopInterim drops all later interim responses.
func (r *ResponseRelay) StopInterim() { r.beginFinal(0) }

// beginFinal drops all later interim responses and records the status of the final one,
// 0 for one that is not relayed.
func (r *ResponseRelay) beginFinal(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finalStarted, r.status = true, status
}

// reservedHeaderPrefix is the prefix of reserved header fields, which are not relayed
// from targets.
const reservedHeaderPrefix = "Jacinthramp-"

func isReservedField(field string) bool { return strings.HasPrefix(field, reservedHeaderPrefix) }

// ResponseHead is the status and the header of a final response.
type ResponseHead struct {
	Status int
	Header http.Header
	// Trailer has the announced names as keys; the values are set once the body
	// has been read.
	Trailer http.Header
	// ContentLength is the length of the body in bytes, or -1 if unknown.
	ContentLength int64
}

// WriteFinalHeader writes the status and the end-to-end header fields of the final
// response, without those for which skip returns true. The field passed to
// AllowReservedField is never skipped.
func (r *ResponseRelay) WriteFinalHeader(head ResponseHead, skip func(string) bool) {
	r.beginFinal(head.Status)
	h := r.w.Header()
	upstream.CopyHeader(h, head.Header, func(field string) bool { return skip(field) && (r.allowedReserved == "" || field != r.allowedReserved) })
	// A nil value keeps net/http from guessing the type from the body.
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	for k := range head.Trailer {
		if isTrailerField(k) {
			h.Add("Trailer", k)
		}
	}
	r.w.WriteHeader(head.Status)
}

// WriteBody writes a complete body and the trailer.
func (r *ResponseRelay) WriteBody(body []byte, head ResponseHead) error {
	if len(body) > 0 {
		if _, err := r.w.Write(body); err != nil {
			return err
		}
	}
	r.writeTrailer(head.Trailer)
	return nil
}

// CopyBody writes the body that s reads, and the trailer. A body of unknown length is
// flushed whenever all that was read has been written. readErr is a failure to read the
// response, writeErr a failure to write to the caller.
func (r *ResponseRelay) CopyBody(s *Spool, head ResponseHead) (readErr, writeErr error) {
	flush := head.ContentLength < 0
	if flush {
		if err := r.writePart(s, nil, true); err != nil {
			return nil, err
		}
	}
	for {
		data, more, err := s.next()
		if err == io.EOF {
			r.writeTrailer(head.Trailer)
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
		if err := r.writePart(s, data, flush && !more); err != nil {
			return nil, err
		}
		s.written(len(data))
	}
}

// writePart writes a part of the body of s and flushes it if flush is set. Either may wait
// for the caller to read; the body is read ahead meanwhile.
func (r *ResponseRelay) writePart(s *Spool, data []byte, flush bool) (err error) {
	defer s.WatchWrite()()
	if len(data) > 0 {
		_, err = r.w.Write(data)
	}
	if err == nil && flush {
		err = http.NewResponseController(r.w).Flush()
	}
	return err
}

// copyBuffer is a buffer for copying a body.
type copyBuffer struct {
	data []byte
	// pooled is the array of data if it is of copyBuffers and reserved in memory, else nil.
	pooled *[copyBufferBytes]byte
	memory *memory.Budget
}

// newCopyBuffer returns a buffer, a small one if m is used up.
func newCopyBuffer(m *memory.Budget) copyBuffer {
	if !m.TryReserve(copyBufferBytes) {
		return copyBuffer{data: make([]byte, smallCopyBufferBytes)}
	}
	pooled := copyBuffers.Get().(*[copyBufferBytes]byte)
	return copyBuffer{data: pooled[:], pooled: pooled, memory: m}
}

// release makes the buffer available to others.
func (b *copyBuffer) release() {
	if b.pooled != nil {
		copyBuffers.Put(b.pooled)
		b.memory.Release(copyBufferBytes)
	}
}

// isTrailerField reports whether field is a valid name that may stand in a trailer.
func isTrailerField(field string) bool {
	return httpguts.ValidHeaderFieldName(field) && httpguts.ValidTrailerHeader(field)
}

// writeTrailer writes the trailer fields, without reserved ones.
func (r *ResponseRelay) writeTrailer(t http.Header) {
	h := r.w.Header()
	for k, vs := range t {
		if !isReservedField(k) && isTrailerField(k) {
			h[http.TrailerPrefix+k] = vs
		}
	}
}
