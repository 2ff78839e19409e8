// Package hop passes requests on to an instance of another availability zone,
// and reads on that side what has been decided already.
package hop

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

// Choice is what the passing instance has decided.
type Choice struct {
	// Route is the name of the matched route.
	Route string
	// Pool is the name of the chosen pool.
	Pool string
	// Version is the table version of the choice.
	Version uint64
	// Idempotent is the mark that holds for the request.
	Idempotent bool
	// Deadline ends the request.
	Deadline time.Time
}

// Client passes requests to one instance.
type Client struct {
	instance string
	pool     *upstream.Pool
}

// New returns a client of the instance's hop listener.
func New(d *upstream.Dialer, instance, address string, limit int) *Client {
	return &Client{instance: instance, pool: upstream.NewPool(d, address, limit)}
}

// Address returns the address of the hop listener.
func (c *Client) Address() string { return c.pool.Address() }

// Close closes the connections as they become idle.
func (c *Client) Close() { c.pool.Close() }

// Sweep looks for silent connections; see upstream.Pool.Sweep.
func (c *Client) Sweep() { c.pool.Sweep() }

// Answer is the other instance's answer.
type Answer struct {
	*upstream.Response
	// Kind is the kind of an answer that the other instance made itself, and
	// fault.KindNone for a target's answer.
	Kind fault.Kind
	// RetryAfter goes with Kind.
	RetryAfter time.Duration
}

// Send passes in with body and the choice c made, at most once.
func (c *Client) Send(ctx context.Context, in *http.Request, body *upstream.Body, ch Choice) (*Answer, error) {
	out := upstream.NewRequest(in, c.pool.Address(), body, nil)
	setChoice(out.Header, ch)
	a, err := c.pool.SendWithOptions(ctx, out, upstream.SendOptions{NonIdempotent: !ch.Idempotent})
	if err != nil {
		e := upstream.AsError(err)
		return nil, fault.Wrap(kindOf(e), e, "instance %s", c.instance)
	}
	kind, ok := fault.KindByName(a.Header.Get(wire.HeaderKind))
	if !ok {
		return &Answer{Response: a}, nil
	}
	ms, _ := strconv.ParseInt(a.Header.Get(wire.HeaderRetryAfterMS), 10, 64)
	return &Answer{Response: a, Kind: kind, RetryAfter: time.Duration(ms) * time.Millisecond}, nil
}

// SendHome passes a repeat to the instance that its request id names.
func (c *Client) SendHome(ctx context.Context, in *http.Request, body *upstream.Body, idempotent bool, deadline time.Time) (*Answer, error) {
	out := upstream.NewRequest(in, c.pool.Address(), body, nil)
	left := max(time.Until(deadline).Milliseconds(), 1)
	out.Header[wire.HeaderHopHome] = []string{"true"}
	out.Header[wire.HeaderIdempotent] = []string{strconv.FormatBool(idempotent)}
	out.Header[wire.HeaderDeadlineMS] = []string{strconv.FormatInt(left, 10)}
	a, err := c.pool.Send(ctx, out)
	if err != nil {
		e := upstream.AsError(err)
		return nil, fault.Wrap(kindOf(e), e, "instance %s", c.instance)
	}
	return &Answer{Response: a}, nil
}

// IsHome reports whether h is of a repeat passed to its home.
func IsHome(h http.Header) bool { return h.Get(wire.HeaderHopHome) == "true" }

func setChoice(h http.Header, ch Choice) {
	left := max(time.Until(ch.Deadline).Milliseconds(), 1)
	h[wire.HeaderHopRoute] = []string{ch.Route}
	h[wire.HeaderHopPool] = []string{ch.Pool}
	h[wire.HeaderHopVersion] = []string{strconv.FormatUint(ch.Version, 10)}
	h[wire.HeaderIdempotent] = []string{strconv.FormatBool(ch.Idempotent)}
	h[wire.HeaderDeadlineMS] = []string{strconv.FormatInt(left, 10)}
}

// kindOf returns the kind of a failed exchange with an instance.
func kindOf(e *upstream.Error) fault.Kind {
	switch e.Reason {
	case upstream.ReasonCanceled:
		return fault.KindCallerGone
	case upstream.ReasonBodyFailed:
		if e.MaybeSent {
			return fault.KindBodyMismatch
		}
		return fault.KindBadRequest
	case upstream.ReasonTimedOut:
		if e.MaybeSent {
			return fault.KindTargetTimeout
		}
		return fault.KindDeadlinePassed
	}
	if e.MaybeSent {
		return fault.KindHopLost
	}
	return fault.KindHopRefused
}

// ReadChoice reads the choice from a request on the hop listener, at now. The
// idempotency mark and the deadline are read with the caller's own fields.
func ReadChoice(r *http.Request) (Choice, error) {
	route, pool := r.Header.Get(wire.HeaderHopRoute), r.Header.Get(wire.HeaderHopPool)
	version, err := strconv.ParseUint(r.Header.Get(wire.HeaderHopVersion), 10, 64)
	if route == "" || pool == "" || err != nil {
		return Choice{}, fault.New(fault.KindBadRequest, "a request on the hop listener needs %s, %s and %s",
			wire.HeaderHopRoute, wire.HeaderHopPool, wire.HeaderHopVersion)
	}
	return Choice{Route: route, Pool: pool, Version: version}, nil
}

// IsHopField reports whether field is between instances only.
func IsHopField(field string) bool { return strings.HasPrefix(field, "Jacinthramp-Hop-") }
