package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/jacinthramp/jacinthramp/pkg/decision/outcome"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/peer/target"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// wholeAnswerBytes is the largest answer that is read whole before its header
// is passed on, so that a failure within it can still be answered.
const wholeAnswerBytes = 32 << 10

// headOf returns the header of a.
func headOf(a *upstream.Answer) caller.ResponseHead {
	return caller.ResponseHead{Status: a.StatusCode, Header: a.Header, Trailer: a.Trailer, ContentLength: a.ContentLength}
}

// firstPart is the start of an answer's body that has been read before its
// header is passed on.
type firstPart struct {
	data []byte
	// whole is set when data is the whole body.
	whole bool
}

// readFirst reads a small answer whole. An answer of unannounced length is read
// up to the bound as well when the outcome is recorded, or when a failure within
// it would cut off other requests of the caller.
func (x *exchange) readFirst(a *upstream.Answer, head caller.ResponseHead) (firstPart, error) {
	switch {
	case head.ContentLength == 0 || a.Request.Method == http.MethodHead:
		return firstPart{whole: true}, nil
	case head.ContentLength > wholeAnswerBytes, head.ContentLength < 0 && !x.record && !x.relay.SharesConnection():
		return firstPart{}, nil
	case head.ContentLength > 0:
		buf := make([]byte, head.ContentLength)
		_, err := io.ReadFull(a.Body, buf)
		return firstPart{buf, true}, err
	}
	data, err := io.ReadAll(io.LimitReader(a.Body, wholeAnswerBytes+1))
	return firstPart{data, len(data) <= wholeAnswerBytes}, err
}

// keep records a whole answer for repeats of the request; of a longer one
// only the fact that it was given.
func (x *exchange) keep(target string, head caller.ResponseHead, first firstPart) {
	if !x.record {
		return
	}
	x.result = outcome.Result{}
	if first.whole {
		x.recordAnswer(target, head, first.data)
	}
}

// pass gives the answer to the caller. When it breaks off after its header,
// the connection to the caller is cut, so that the caller can tell.
func (x *exchange) pass(ctx context.Context, a *upstream.Answer, head caller.ResponseHead, first firstPart, skip func(string) bool) fault.Kind {
	x.closeUnread()
	x.relay.WriteFinalHeader(head, skip)
	errRead, errWrite := x.passBody(a, head, first)
	switch {
	case errWrite != nil:
		x.broken = true
		return fault.KindCallerGone
	case errRead != nil:
		x.broken = true
		return target.Kind(a.BodyError(ctx, errRead))
	}
	return fault.KindNone
}

// passBody writes the body of an answer of which first has been read.
func (x *exchange) passBody(a *upstream.Answer, head caller.ResponseHead, first firstPart) (errRead, errWrite error) {
	switch {
	case first.whole:
		return nil, x.relay.WriteBody(first.data, head)
	case len(first.data) > 0:
		return x.relay.CopyBody(io.MultiReader(bytes.NewReader(first.data), a.Body), head)
	}
	return x.relay.CopyBody(a.Body, head)
}

// isOwnField reports whether field belongs to the system.
func isOwnField(field string) bool { return strings.HasPrefix(field, "Jacinthramp-") }

// isInstanceField reports whether field is set anew by each instance.
func isInstanceField(field string) bool {
	return field == wire.HeaderInstance || field == wire.HeaderRequestID
}
