// Package caller speaks to callers: it reads the system's own fields of their
// requests and writes the answers, each with its outcome.
package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// RequestFields are the system's own header fields of a request.
type RequestFields struct {
	// ID identifies the request for resubmission; empty when absent.
	ID string
	// Member is the member on whose behalf the caller asks.
	Member string
	// Idempotent overrides the route's mark when IdempotentSet.
	Idempotent    bool
	IdempotentSet bool
	// RequestTimeout is the time left to the whole answer; zero when absent.
	RequestTimeout time.Duration
	// Object names what the request concerns; empty when absent.
	Object string
}

// maxMemberBytes bounds the name of a member.
const maxMemberBytes = 128

// maxDeadline bounds the deadline that a caller may state.
const maxDeadline = 24 * time.Hour

// ReadRequestFields reads the system's own fields; the errors are of kind
// fault.KindBadRequest.
func ReadRequestFields(r *http.Request, d *wire.Dialect) (RequestFields, error) {
	h := r.Header
	f := RequestFields{ID: h.Get(d.RequestID), Member: h.Get(wire.HeaderMember)}
	if d.AffinityCookie != "" {
		if c, err := r.Cookie(d.AffinityCookie); err == nil {
			f.Object = c.Value
		}
	}
	if len(f.Member) > maxMemberBytes {
		return f, fault.New(fault.KindBadRequest, "%s is longer than %d bytes", wire.HeaderMember, maxMemberBytes)
	}
	if v := h.Get(wire.HeaderIdempotent); v != "" {
		if v != "true" && v != "false" {
			return f, fault.New(fault.KindBadRequest, "%s must be true or false", wire.HeaderIdempotent)
		}
		f.Idempotent, f.IdempotentSet = v == "true", true
	}
	if v := h.Get(d.DeadlineMS); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 0 {
			return f, fault.New(fault.KindBadRequest, "%s must be a whole number of milliseconds", d.DeadlineMS)
		}
		f.RequestTimeout = maxDeadline
		if ms < maxDeadline.Milliseconds() {
			f.RequestTimeout = max(time.Duration(ms)*time.Millisecond, 1)
		}
	}
	return f, nil
}

// IsIdempotent returns whether a request with the method and fields f may run more
// than once on the route.
func (f *RequestFields) IsIdempotent(r *table.Route, method string) bool {
	if f.IdempotentSet {
		return f.Idempotent
	}
	switch r.Idempotency {
	case table.IdempotentAlways:
		return true
	case table.IdempotentNever:
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}
