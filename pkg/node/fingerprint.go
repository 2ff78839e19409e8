package node

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// fingerprint identifies repeats of the same request: route, method, path,
// query and body. The host is left out, as callers may put the instance's
// address there, and repeats go to other instances. Of a body that is not read
// whole beforehand nothing is known, so the request's id takes its place;
// without one it returns zero.
func fingerprint(route string, r *http.Request, body *upstream.Body) uint64 {
	id := r.Header.Get(wire.HeaderRequestID)
	unread := body.Length() != 0 && body.Buffered() == nil
	if unread && id == "" {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{route, r.Method, r.URL.EscapedPath(), r.URL.RawQuery} {
		d.WriteString(part)
		d.Write([]byte{0})
	}
	d.Write(body.Buffered())
	if unread {
		d.WriteString(id)
	}
	return max(d.Sum64(), 1)
}
