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

// maxBufferedResponse is the largest answer that is read whole before its header
// is passed on, so that a failure within it can still be answered.
const maxBufferedResponse = 32 << 10

// responseHead returns the header of a.
func responseHead(a *upstream.Answer) caller.Head {
	return caller.Head{Status: a.StatusCode, Header: a.Header, Trailer: a.Trailer, Length: a.ContentLength}
}

// bodyPrefix is the start of an answer's body that has been read before its
// header is passed on.
type bodyPrefix struct {
	data []byte
	// complete is set when data is the whole body.
	complete bool
}

// readPrefix reads a small answer whole. An answer of unannounced length is read
// up to the bound as well when the outcome is recorded, or when a failure within
// it would cut off other requests of the caller.
func (x *exchange) readPrefix(a *upstream.Answer, head caller.Head) (bodyPrefix, error) {
	switch {
	case head.Length == 0 || a.Request.Method == http.MethodHead:
		return bodyPrefix{complete: true}, nil
	case head.Length > maxBufferedResponse, head.Length < 0 && !x.recordResult && !x.relay.SharesConnection():
		return bodyPrefix{}, nil
	case head.Length > 0:
		buf := make([]byte, head.Length)
		_, err := io.ReadFull(a.Body, buf)
		return bodyPrefix{buf, true}, err
	}
	data, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedResponse+1))
	return bodyPrefix{data, len(data) <= maxBufferedResponse}, err
}

// recordOutcome records a whole answer for repeats of the request; of a longer one
// only the fact that it was given.
func (x *exchange) recordOutcome(target string, head caller.Head, first bodyPrefix) {
	if !x.recordResult {
		return
	}
	x.result = outcome.Result{}
	if first.complete {
		x.recordResponse(target, head, first.data)
	}
}

// relayResponse gives the answer to the caller. When it breaks off after its header,
// the connection to the caller is cut, so that the caller can tell.
func (x *exchange) relayResponse(ctx context.Context, a *upstream.Answer, head caller.Head, first bodyPrefix, skip func(string) bool) fault.Kind {
	x.closeIfBodyUnread()
	x.relay.Final(head, skip)
	errRead, errWrite := x.relayBody(a, head, first)
	switch {
	case errWrite != nil:
		x.truncated = true
		return fault.KindCallerGone
	case errRead != nil:
		x.truncated = true
		return target.Kind(a.BodyError(ctx, errRead))
	}
	return fault.KindNone
}

// relayBody writes the body of an answer of which first has been read.
func (x *exchange) relayBody(a *upstream.Answer, head caller.Head, first bodyPrefix) (errRead, errWrite error) {
	switch {
	case first.complete:
		return nil, x.relay.Whole(first.data, head)
	case len(first.data) > 0:
		return x.relay.Body(io.MultiReader(bytes.NewReader(first.data), a.Body), head)
	}
	return x.relay.Body(a.Body, head)
}

// isReservedField reports whether field belongs to the system.
func isReservedField(field string) bool { return strings.HasPrefix(field, "Jacinthramp-") }

// isPerInstanceField reports whether field is set anew by each instance.
func isPerInstanceField(field string) bool {
	return field == wire.HeaderInstance || field == wire.HeaderRequestID
}
