package caller

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"sync"

	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
)

// copyBufferBytes is the size of the buffer between an answer and a caller.
const copyBufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// ResponseRelay passes an answer on.
type ResponseRelay struct {
	w http.ResponseWriter
	// passed is a field of the system's that targets may set.
	passed string
	// mu orders interim answers before the final one.
	mu      sync.Mutex
	started bool
}

// NewResponseRelay returns a Relay to w.
func NewResponseRelay(w http.ResponseWriter) *ResponseRelay { return &ResponseRelay{w: w} }

// SharesConnection reports whether other requests of the caller end when the
// answer is cut.
func (r *ResponseRelay) SharesConnection() bool {
	s, ok := r.w.(interface{ SharesConnection() bool })
	return ok && s.SharesConnection()
}

// AllowReservedField lets targets set a field of the system's.
func (r *ResponseRelay) AllowReservedField(field string) { r.passed = field }

// WriteInterim passes on an interim (1xx) answer. It is safe to call from another
// goroutine than Final; after Final it does nothing.
func (r *ResponseRelay) WriteInterim(code int, header textproto.MIMEHeader) error {
	if code == http.StatusContinue || code == http.StatusSwitchingProtocols {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started {
		return nil
	}
	h := r.w.Header()
	own := h.Clone()
	upstream.CopyHeader(h, http.Header(header), isOwnField)
	r.w.WriteHeader(code)
	clear(h)
	for k, v := range own {
		h[k] = v
	}
	return nil
}

// StopInterim ends the time of interim answers.
func (r *ResponseRelay) StopInterim() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started = true
}

// ownPrefix starts the header fields of the system itself.
const ownPrefix = "Jacinthramp-"

func isOwnField(field string) bool { return strings.HasPrefix(field, ownPrefix) }

// ResponseHead is the header of a final answer, and what of its body has been read
// before.
type ResponseHead struct {
	Status int
	Header http.Header
	// Trailer is filled in once the body has been read.
	Trailer http.Header
	// ContentLength is the announced length of the body, or -1.
	ContentLength int64
}

// WriteFinalHeader writes the header of the final answer. skip keeps fields back.
func (r *ResponseRelay) WriteFinalHeader(head ResponseHead, skip func(string) bool) {
	r.StopInterim()
	h := r.w.Header()
	upstream.CopyHeader(h, head.Header, func(field string) bool { return skip(field) && (r.passed == "" || field != r.passed) })
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	for k := range head.Trailer {
		h.Add("Trailer", k)
	}
	r.w.WriteHeader(head.Status)
}

// WriteBody writes a body that has been read whole.
func (r *ResponseRelay) WriteBody(body []byte, head ResponseHead) error {
	if len(body) > 0 {
		if _, err := r.w.Write(body); err != nil {
			return err
		}
	}
	r.trailer(head.Trailer)
	return nil
}

// CopyBody copies body; streaming answers are flushed as they come. errRead is a
// failure of the answer, errWrite one of the caller.
func (r *ResponseRelay) CopyBody(body io.Reader, head ResponseHead) (errRead, errWrite error) {
	flush := head.ContentLength < 0
	buf := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buf)
	rc := http.NewResponseController(r.w)
	if flush {
		if err := rc.Flush(); err != nil {
			return nil, err
		}
	}
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
			if _, werr := r.w.Write(buf[:n]); werr != nil {
				return nil, werr
			}
			if flush {
				if werr := rc.Flush(); werr != nil {
					return nil, werr
				}
			}
		}
		if err == io.EOF {
			r.trailer(head.Trailer)
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}

// trailer writes the trailer fields.
func (r *ResponseRelay) trailer(t http.Header) {
	h := r.w.Header()
	for k, vs := range t {
		if !isOwnField(k) {
			h[http.TrailerPrefix+k] = vs
		}
	}
}
