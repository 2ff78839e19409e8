package node

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// fingerprint returns a hash of r's route, method, path, query and body, which is
// equal for repeats of a request. The host is left out: callers may put the
// instance's address there, and repeats may go to other instances. If the body is
// not buffered, the request's id is hashed in its place; without an id the result
// is zero.
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
