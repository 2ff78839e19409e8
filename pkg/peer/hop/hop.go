// Package hop forwards requests to an instance in another availability zone or to
// a request's home instance. The hop listener of that instance receives them with
// the decisions of the forwarding instance in header fields.
package hop

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// Decision holds what the forwarding instance has decided about a request, so that
// the receiving instance does not decide it again.
type Decision struct {
	// Route is the name of the matched route.
	Route string
	// Pool is the name of the chosen pool.
	Pool string
	// TablesVersion is the version of the tables on which the decision is based.
	TablesVersion uint64
	// Idempotent states whether the request may run more than once.
	Idempotent bool
	// Deadline is the time by which the request must complete.
	Deadline time.Time
	// Key takes the place of the caller's key.
	Key Key
	// Withdrawn reports whether the request must not be sent any more; see
	// upstream.SendOptions. It is nil at the receiving instance.
	Withdrawn func() bool
}

// Key is what an instance gets in place of the caller's key.
type Key struct {
	// InUse states that the tables of the forwarding instance have workspaces. Without them
	// the caller's fields are forwarded as they came.
	InUse bool
	// Digest is the digest of the key; empty without one.
	Digest table.KeyDigest
}

// isWithheld reports whether a field of the caller's is not forwarded.
func (k Key) isWithheld(field string) bool { return k.InUse && field == wire.HeaderAuthorization }

// setHeader sets the field with the digest.
func (k Key) setHeader(h http.Header) {
	if k.InUse && k.Digest != "" {
		h[wire.HeaderHopKey] = []string{string(k.Digest)}
	}
}

// ReadTablesVersion returns the version of the tables of the forwarding instance, or zero if it
// has sent none.
func ReadTablesVersion(h http.Header) uint64 {
	version, err := readVersion(h)
	if err != nil {
		return 0
	}
	return version
}

func readVersion(h http.Header) (uint64, error) {
	return strconv.ParseUint(h.Get(wire.HeaderHopVersion), 10, 64)
}

// ReadKey returns the digest that the forwarding instance has sent in place of the caller's
// key, and false if it has sent none. Error: fault.KindBadRequest for a malformed one.
func ReadKey(h http.Header) (digest table.KeyDigest, ok bool, err error) {
	values := h[wire.HeaderHopKey]
	if len(values) == 0 {
		return "", false, nil
	}
	digest = table.KeyDigest(values[0])
	if len(values) > 1 || !digest.IsValid() {
		return "", true, fault.New(fault.KindBadRequest, "a forwarded request must have one valid header field %s", wire.HeaderHopKey)
	}
	return digest, true, nil
}

// Client forwards requests to one instance.
type Client struct {
	instanceID string
	pool       *upstream.Pool
}

// New returns a client of the hop listener at address of the instance with the
// given id. The client opens at most limit connections.
func New(dialer *upstream.Dialer, instanceID, address string, limit int) *Client {
	return &Client{instanceID: instanceID, pool: upstream.NewPool(dialer, address, limit)}
}

// Address returns the address of the hop listener.
func (c *Client) Address() string { return c.pool.Address() }

// Close closes each connection once it is idle.
func (c *Client) Close() { c.pool.Close() }

// Sweep detects stalled connections; see upstream.Pool.Sweep.
func (c *Client) Sweep() { c.pool.Sweep() }

// Response is the response of the other instance.
type Response struct {
	*upstream.Response
	// Kind is the error kind if the other instance generated the response itself,
	// or fault.KindNone for a relayed response of a target.
	Kind fault.Kind
	// RetryAfter is the time after which the caller may retry, if Kind is set.
	RetryAfter time.Duration
}

// Forward sends the request in with body and decision to the instance, at most
// once. The kind of an error, such as fault.KindHopRefused or fault.KindHopLost,
// states whether the request may have run.
func (c *Client) Forward(ctx context.Context, in *http.Request, body *upstream.Body, decision Decision) (*Response, error) {
	req := upstream.NewRequest(in, c.pool.Address(), body, decision.Key.isWithheld)
	setDecisionHeaders(req.Header, decision)
	resp, err := c.pool.SendWithOptions(ctx, req, upstream.SendOptions{NonIdempotent: !decision.Idempotent, Withdrawn: decision.Withdrawn})
	if err != nil {
		sendErr := upstream.AsError(err)
		return nil, fault.Wrap(errorKind(sendErr), sendErr, "cannot forward the request to instance %s", c.instanceID)
	}
	kind, ok := fault.KindByName(resp.Header.Get(wire.HeaderKind))
	if !ok {
		return &Response{Response: resp}, nil
	}
	ms, _ := strconv.ParseInt(resp.Header.Get(wire.HeaderRetryAfterMS), 10, 64)
	return &Response{Response: resp, Kind: kind, RetryAfter: time.Duration(ms) * time.Millisecond}, nil
}

// ForwardHome sends a repeat to its home instance, which its request id names. The home
// instance decides itself how to run it: of decision, it gets all but the route and the pool.
// Errors are those of Forward.
func (c *Client) ForwardHome(ctx context.Context, in *http.Request, body *upstream.Body, decision Decision) (*Response, error) {
	req := upstream.NewRequest(in, c.pool.Address(), body, decision.Key.isWithheld)
	setCommonHeaders(req.Header, decision)
	req.Header[wire.HeaderHopHome] = []string{"true"}
	resp, err := c.pool.Send(ctx, req)
	if err != nil {
		sendErr := upstream.AsError(err)
		return nil, fault.Wrap(errorKind(sendErr), sendErr, "cannot forward the repeat to its home instance %s", c.instanceID)
	}
	return &Response{Response: resp}, nil
}

// IsForwardedHome reports whether h is the header of a repeat that was forwarded to
// its home instance.
func IsForwardedHome(h http.Header) bool { return h.Get(wire.HeaderHopHome) == "true" }

func setDecisionHeaders(h http.Header, decision Decision) {
	setCommonHeaders(h, decision)
	h[wire.HeaderHopRoute] = []string{decision.Route}
	h[wire.HeaderHopPool] = []string{decision.Pool}
}

// setCommonHeaders sets the fields of forwarded requests and repeats alike.
func setCommonHeaders(h http.Header, decision Decision) {
	remainingMS := max(time.Until(decision.Deadline).Milliseconds(), 1)
	decision.Key.setHeader(h)
	h[wire.HeaderHopVersion] = []string{strconv.FormatUint(decision.TablesVersion, 10)}
	h[wire.HeaderIdempotent] = []string{strconv.FormatBool(decision.Idempotent)}
	h[wire.HeaderDeadlineMS] = []string{strconv.FormatInt(remainingMS, 10)}
}

// errorKind returns the error kind for a failed exchange with an instance. It
// depends on whether any byte of the request may have been sent, since the request
// may then have run.
func errorKind(sendErr *upstream.Error) fault.Kind {
	switch sendErr.Reason {
	case upstream.ReasonCanceled:
		return fault.KindCallerGone
	case upstream.ReasonBodyFailed:
		if sendErr.MaybeSent {
			return fault.KindBodyMismatch
		}
		return fault.KindBadRequest
	case upstream.ReasonTimedOut:
		if sendErr.MaybeSent {
			return fault.KindTargetTimeout
		}
		return fault.KindDeadlinePassed
	case upstream.ReasonWithdrawn:
		return fault.KindTargetLeaving
	}
	if sendErr.MaybeSent {
		return fault.KindHopLost
	}
	return fault.KindHopRefused
}

// ReadDecision reads the decision from the header of a request on the hop listener.
// It leaves Idempotent and Deadline unset: they are read together with the caller's
// header fields. Error: fault.KindBadRequest for missing or malformed fields.
func ReadDecision(r *http.Request) (Decision, error) {
	route, pool := r.Header.Get(wire.HeaderHopRoute), r.Header.Get(wire.HeaderHopPool)
	version, err := readVersion(r.Header)
	if route == "" || pool == "" || err != nil {
		return Decision{}, fault.New(fault.KindBadRequest, "a forwarded request must have valid header fields %s, %s and %s",
			wire.HeaderHopRoute, wire.HeaderHopPool, wire.HeaderHopVersion)
	}
	return Decision{Route: route, Pool: pool, TablesVersion: version}, nil
}

// IsHopHeader reports whether field is a header field that only instances may send
// to each other.
func IsHopHeader(field string) bool { return strings.HasPrefix(field, "Jacinthramp-Hop-") }
