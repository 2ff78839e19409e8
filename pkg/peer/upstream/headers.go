package upstream

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the header fields that apply to a single connection
// (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Te":                  true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
}

// CopyHeader adds the end-to-end header fields of src to dst, except those for
// which skip returns true. A nil skip excludes none.
func CopyHeader(dst, src http.Header, skip func(field string) bool) {
	listed := connectionOptions(src)
	for field, values := range src {
		if hopByHop[field] || listed[field] || (skip != nil && skip(field)) {
			continue
		}
		dst[field] = append(dst[field], values...)
	}
}

// connectionOptions returns the names of the header fields that the Connection
// field lists as hop-by-hop.
func connectionOptions(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	listed := make(map[string]bool)
	for _, v := range values {
		for _, field := range strings.Split(v, ",") {
			listed[http.CanonicalHeaderKey(textproto.TrimString(field))] = true
		}
	}
	return listed
}

// acceptsTrailers reports whether the TE header field lists "trailers".
func acceptsTrailers(h http.Header) bool {
	for _, v := range h["Te"] {
		for _, t := range strings.Split(v, ",") {
			if strings.EqualFold(textproto.TrimString(t), "trailers") {
				return true
			}
		}
	}
	return false
}
