// Package target speaks to targets: it sends them requests, tells the answers
// that they gave from those that the system must make itself, and asks for
// their health and load.
package target

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// ownPrefix starts the header fields of the system itself.
const ownPrefix = "Jacinthramp-"

// forwarded lists the system's fields that a target gets from the caller.
var forwarded = map[string]bool{
	wire.HeaderRequestID:  true,
	wire.HeaderMember:     true,
	wire.HeaderIdempotent: true,
}

// Client sends requests to one target.
type Client struct {
	name string
	pool *upstream.Pool
}

// New returns a client of the target with the given name and address, which
// opens at most limit connections.
func New(d *upstream.Dialer, name, address string, limit int) *Client {
	return &Client{name: name, pool: upstream.NewPool(d, address, limit)}
}

// Name returns the target's name.
func (c *Client) Name() string { return c.name }

// Pool returns the connections to the target.
func (c *Client) Pool() *upstream.Pool { return c.pool }

// Close closes the connections that are idle now, and the others once their
// requests have ended.
func (c *Client) Close() { c.pool.Close() }

// Answer is a target's answer.
type Answer struct {
	*upstream.Answer
	// Leaving is true when the target says that it is leaving.
	Leaving bool
}

// Send sends in with body to the target under the terms, at most once.
// deadline travels with the request. The errors carry a fault kind whose outcome tells whether the
// target may have run the request.
func (c *Client) Send(ctx context.Context, in *http.Request, body *upstream.Body, deadline time.Time, t upstream.Terms) (*Answer, error) {
	out := upstream.NewRequest(in, c.pool.Address(), body, func(field string) bool {
		return strings.HasPrefix(field, ownPrefix) && !forwarded[field]
	})
	left := max(time.Until(deadline).Milliseconds(), 1)
	out.Header[wire.HeaderDeadlineMS] = []string{strconv.FormatInt(left, 10)}
	a, err := c.pool.SendUnder(ctx, out, t)
	if err != nil {
		return nil, c.fault(upstream.AsError(err))
	}
	leaving := a.Header.Get(wire.HeaderTargetLeaving) == "true"
	if a.Header.Get(wire.HeaderTargetShed) == "true" {
		a.Close()
		return &Answer{Leaving: leaving}, fault.New(fault.KindTargetShed, "target %s refused the request without running it", c.name)
	}
	return &Answer{Answer: a, Leaving: leaving}, nil
}

// fault returns the error with the kind for a failed exchange.
func (c *Client) fault(e *upstream.Error) error {
	return fault.Wrap(Kind(e), e, "target %s", c.name)
}

// Kind returns the kind of a failed exchange with a target.
func Kind(e *upstream.Error) fault.Kind {
	if e.Sent {
		return sentKinds[e.Reason]
	}
	return unsentKinds[e.Reason]
}

// sentKinds has the kinds of failures after a byte of the request may have
// reached the target.
var sentKinds = map[upstream.Reason]fault.Kind{
	upstream.Lost:       fault.KindTargetLost,
	upstream.Garbage:    fault.KindTargetGarbage,
	upstream.TimedOut:   fault.KindTargetTimeout,
	upstream.Canceled:   fault.KindCallerGone,
	upstream.BodyFailed: fault.KindBodyMismatch,
}

// unsentKinds has the kinds of failures before any byte was sent.
var unsentKinds = map[upstream.Reason]fault.Kind{
	upstream.Refused:    fault.KindTargetRefused,
	upstream.Full:       fault.KindOverloaded,
	upstream.Late:       fault.KindShareLapsed,
	upstream.Lost:       fault.KindTargetRefused,
	upstream.Garbage:    fault.KindTargetRefused,
	upstream.TimedOut:   fault.KindDeadlinePassed,
	upstream.Canceled:   fault.KindCallerGone,
	upstream.BodyFailed: fault.KindBadRequest,
}
