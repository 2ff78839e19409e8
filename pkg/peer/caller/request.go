// Package caller handles HTTP towards callers: it reads the header fields that
// control a request, relays responses, and writes error responses with their
// kind and outcome.
package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// RequestFields holds the parts of a request's header that control its handling.
type RequestFields struct {
	// ID identifies the request, so that a repeat is recognized; empty if absent.
	ID string
	// Member is the member on whose behalf the caller sends the request; empty
	// if absent.
	Member string
	// Idempotent overrides the route's idempotency setting if IdempotentSet.
	Idempotent    bool
	IdempotentSet bool
	// RequestTimeout is the time within which the caller expects the complete
	// response; zero if absent.
	RequestTimeout time.Duration
	// Object names the object that the request is about, for affinity; empty if
	// absent.
	Object string
}

// maxMemberBytes is the maximum length of a member's name.
const maxMemberBytes = 128

// maxRequestTimeout is the maximum timeout of a request; longer ones are reduced
// to it.
const maxRequestTimeout = 24 * time.Hour

// ReadRequestFields reads the fields under the names that d gives them. Errors
// are of kind fault.KindBadRequest.
func ReadRequestFields(r *http.Request, d *wire.Dialect) (RequestFields, error) {
	h := r.Header
	f := RequestFields{ID: h.Get(d.RequestID), Member: h.Get(wire.HeaderMember)}
	if d.AffinityCookie != "" {
		if c, err := r.Cookie(d.AffinityCookie); err == nil {
			f.Object = c.Value
		}
	}
	if len(f.Member) > maxMemberBytes {
		return f, fault.New(fault.KindBadRequest, "header %s is longer than %d bytes", wire.HeaderMember, maxMemberBytes)
	}
	if v := h.Get(wire.HeaderIdempotent); v != "" {
		if v != "true" && v != "false" {
			return f, fault.New(fault.KindBadRequest, "header %s must be true or false", wire.HeaderIdempotent)
		}
		f.Idempotent, f.IdempotentSet = v == "true", true
	}
	if v := h.Get(d.DeadlineMS); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 0 {
			return f, fault.New(fault.KindBadRequest, "header %s must be a non-negative whole number of milliseconds", d.DeadlineMS)
		}
		f.RequestTimeout = maxRequestTimeout
		if ms < maxRequestTimeout.Milliseconds() {
			f.RequestTimeout = max(time.Duration(ms)*time.Millisecond, 1)
		}
	}
	return f, nil
}

// IsIdempotent reports whether the request may run more than once. The caller's
// header takes precedence over the setting of the route, and that over the
// method.
func (f *RequestFields) IsIdempotent(r *table.Route, method string) bool {
	if f.IdempotentSet {
		return f.Idempotent
	}
	return r.IsIdempotent(method)
}

// RequestPath returns the path of r as the caller sent it, without the query. It is
// not unescaped: %2F is not a slash.
func RequestPath(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") { // "*", or an absolute URI
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}
