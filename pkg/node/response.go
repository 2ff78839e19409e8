package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/jacinthramp/jacinthramp/pkg/decision/outcome"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/peer/memory"
	"github.com/jacinthramp/jacinthramp/pkg/peer/target"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// maxBufferedResponse is the largest response body, in bytes, that is read
// completely before its header is relayed, so that a failure while reading it can
// still be reported to the caller.
const maxBufferedResponse = 32 << 10

// responseHead returns the status, header, trailer and body length of resp.
func responseHead(resp *upstream.Response) caller.ResponseHead {
	return caller.ResponseHead{Status: resp.StatusCode, Header: resp.Header, Trailer: resp.Trailer, ContentLength: resp.ContentLength}
}

// bodyPrefix is the part of a response's body that was read before the header is
// relayed.
type bodyPrefix struct {
	data []byte
	// complete is set when data is the whole body.
	complete bool
	// memory holds the reservation of reserved bytes for data; nil without one.
	memory   *memory.Budget
	reserved int64
}

// release returns the memory of the prefix. Further calls do nothing.
func (p *bodyPrefix) release() {
	p.memory.Release(p.reserved)
	p.memory, p.reserved = nil, 0
}

// readPrefix reads a body of at most maxBufferedResponse bytes completely, and
// nothing of a larger one. A body of unknown length is read up to that bound if
// the outcome is recorded, or if a failure would end other requests on the
// caller's connection. Nothing is read of a body for which the memory of buffered bodies
// has no room. The caller must release the prefix.
func (x *exchange) readPrefix(resp *upstream.Response, head caller.ResponseHead) (bodyPrefix, error) {
	switch {
	case head.ContentLength == 0 || resp.Request.Method == http.MethodHead:
		return bodyPrefix{complete: true}, nil
	case head.ContentLength > maxBufferedResponse, head.ContentLength < 0 && !x.recordResult && !x.relay.SharesConnection():
		return bodyPrefix{}, nil
	}
	prefix := bodyPrefix{memory: x.node.bodies, reserved: head.ContentLength}
	if head.ContentLength < 0 {
		prefix.reserved = maxBufferedResponse + 1
	}
	if !prefix.memory.TryReserve(prefix.reserved) {
		return bodyPrefix{}, nil
	}
	err := prefix.read(resp.Body, head.ContentLength)
	if err != nil {
		prefix.release()
	}
	return prefix, err
}

// read reads a body of length bytes, or up to maxBufferedResponse of one of unknown length.
func (p *bodyPrefix) read(body io.Reader, length int64) (err error) {
	if length > 0 {
		p.data, p.complete = make([]byte, length), true
		_, err = io.ReadFull(body, p.data)
		return err
	}
	p.data, err = io.ReadAll(io.LimitReader(body, maxBufferedResponse+1))
	p.complete = len(p.data) <= maxBufferedResponse
	return err
}

// recordOutcome records the response for repeats of the request. Of a response
// whose body was not read completely it records only that there was one.
func (x *exchange) recordOutcome(target string, head caller.ResponseHead, prefix bodyPrefix) {
	if !x.recordResult {
		return
	}
	x.result = outcome.Result{}
	if prefix.complete {
		x.recordResponse(target, head, prefix.data)
	}
}

// received is a response of which the header and a prefix of the body have been read.
type received struct {
	response *upstream.Response
	head     caller.ResponseHead
	prefix   bodyPrefix
	// ctx is that of the exchange with the sender, and cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
	// release ends the exchange once the whole body has been read. It may be called from
	// another goroutine.
	release func()
}

// relayResponse relays r to the caller and returns the kind of the outcome. The sender of a
// large or pipelined response is released when the body has been read to its end, whether
// or not the caller has taken it.
// If the body fails after the header was sent, it sets truncated, so that the caller's
// connection is closed and the caller detects the incomplete response.
func (x *exchange) relayResponse(r *received, skip func(string) bool) fault.Kind {
	x.closeIfBodyUnread()
	errRead, errWrite := x.relayParts(r, skip)
	switch {
	case errWrite != nil:
		x.truncated = true
		x.recordStall(errWrite)
		return fault.KindCallerGone
	case errRead != nil:
		x.truncated = true
		return target.FaultKind(r.response.BodyError(r.ctx, errRead))
	}
	return fault.KindNone
}

// relayParts writes the header and the body of r.
func (x *exchange) relayParts(r *received, skip func(string) bool) (errRead, errWrite error) {
	if r.prefix.complete {
		if x.relay.SharesConnection() {
			// The response may have to wait for those before it.
			r.release()
		}
		x.relay.WriteFinalHeader(r.head, skip)
		return nil, x.relay.WriteBody(r.prefix.data, r.head)
	}
	// The values of the trailer change while the body is read.
	announced := r.head
	announced.Trailer = maps.Clone(r.head.Trailer)
	body := io.MultiReader(bytes.NewReader(r.prefix.data), r.response.Body)
	spool := caller.NewSpool(body, caller.SpoolOptions{
		Memory: x.node.bodies, Holding: x.node.holding, Owner: x.owner(), Length: r.head.ContentLength, Whole: r.release, Interrupt: r.cancel,
	})
	defer spool.Close()
	// The header of a pipelined response waits for its turn.
	done := spool.WatchWrite()
	x.relay.WriteFinalHeader(announced, skip)
	done()
	return x.relay.CopyBody(spool, r.head)
}

// owner names whose share of the memory for unread responses the response takes: that of
// the workspace, else of the member, else of all callers at the address.
func (x *exchange) owner() string {
	if w := x.req.Workspace; w != nil {
		return "workspace " + w.Name
	}
	if x.req.Member != "" {
		return "member " + x.req.Member
	}
	host, _, err := net.SplitHostPort(x.httpReq.RemoteAddr)
	if err != nil {
		return x.httpReq.RemoteAddr
	}
	return host
}

// recordStall counts a caller that was cut off because it took nothing of its response.
func (x *exchange) recordStall(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	if m := x.node.metrics; m != nil {
		m.CountCallerStall()
	}
}

// isReservedField reports whether field is a header field of jacinthramp itself,
// which targets must not set.
func isReservedField(field string) bool { return strings.HasPrefix(field, "Jacinthramp-") }

// isPerInstanceField reports whether field is a header field that each instance
// sets itself.
func isPerInstanceField(field string) bool {
	return field == wire.HeaderInstance || field == wire.HeaderRequestID
}
