package upstream

import (
	"errors"
	"io"
	"net/http"
	"net/textproto"
)

// trailerCopy copies the fields of a request's trailer, which are set once the caller's body
// has been read to its end.
type trailerCopy struct {
	from, to http.Header
	// skip reports whether a field is left out; nil leaves out none.
	skip func(field string) bool
}

// copyFields copies the fields that are set by now.
func (c *trailerCopy) copyFields() {
	for field, values := range c.from {
		if c.skip == nil || !c.skip(field) {
			c.to[field] = values
		}
	}
}

// errMalformedTrailer stands for an error that repeats a line of the caller's trailer, which
// may hold a key.
var errMalformedTrailer = errors.New("request trailer is malformed")

// withoutFieldText returns err, or errMalformedTrailer in place of an error that repeats a
// field.
func withoutFieldText(err error) error {
	var p textproto.ProtocolError
	if errors.As(err, &p) {
		return errMalformedTrailer
	}
	return err
}

// newReaderWithTrailer returns NewReader and the trailer that is sent after the body: the
// fields of trailer for which skip returns false. Only a streamed body has a trailer.
func (b *Body) newReaderWithTrailer(trailer http.Header, skip func(field string) bool) (io.ReadCloser, http.Header) {
	r := b.NewReader()
	a, ok := r.(*attemptReader)
	if !ok || trailer == nil {
		return r, nil
	}
	a.trailer = trailerCopy{from: trailer, to: make(http.Header, len(trailer)), skip: skip}
	a.trailer.copyFields()
	return r, a.trailer.to
}
