// Package target speaks to targets: it sends them requests, tells the answers
// that they gave from those that the system must make itself, and asks for
// their health and load.
package target

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// reservedHeaderPrefix starts the header fields of the system itself.
const reservedHeaderPrefix = "Jacinthramp-"

// forwardedHeaders lists the system's fields that a target gets from the caller.
var forwardedHeaders = map[string]bool{
	wire.HeaderRequestID:  true,
	wire.HeaderMember:     true,
	wire.HeaderIdempotent: true,
}

// Options describes a target to a new Client.
type Options struct {
	Name    string
	Address string
	// MaxConnections bounds the open connections.
	MaxConnections int
	Dialect        wire.Dialect
	// HealthPath is the path of the health endpoint; empty means the system's
	// own endpoints for health and load.
	HealthPath string
	// MaxRetryAfter bounds the time for which a target may ask for no requests.
	// Default DefaultMaxRetryAfter.
	MaxRetryAfter time.Duration
}

// Client sends requests to one target.
type Client struct {
	name          string
	pool          *upstream.Pool
	dialect       wire.Dialect
	healthPath    string
	maxRetryAfter time.Duration
	// sendsName is set once the target has given its name on an answer.
	sendsName atomic.Bool
}

// New returns a client of a target.
func New(d *upstream.Dialer, o Options) *Client {
	if o.MaxRetryAfter <= 0 {
		o.MaxRetryAfter = DefaultMaxRetryAfter
	}
	return &Client{
		maxRetryAfter: o.MaxRetryAfter,
		name:          o.Name, pool: upstream.NewPool(d, o.Address, o.MaxConnections),
		dialect: o.Dialect, healthPath: o.HealthPath,
	}
}

// Name returns the target's name.
func (c *Client) Name() string { return c.name }

// Pool returns the connections to the target.
func (c *Client) Pool() *upstream.Pool { return c.pool }

// Close closes the connections that are idle now, and the others once their
// requests have ended.
func (c *Client) Close() { c.pool.Close() }

// Send sends in with body to the target under the terms, at most once.
// deadline travels with the request. The errors carry a fault kind whose
// outcome tells whether the target may have run the request; the answer that
// comes with an error holds only what the target said of itself, or is nil.
func (c *Client) Send(ctx context.Context, in *http.Request, body *upstream.Body, deadline time.Time, opts upstream.SendOptions) (*Response, error) {
	out := upstream.NewRequest(in, c.pool.Address(), body, func(field string) bool {
		return strings.HasPrefix(field, reservedHeaderPrefix) && !forwardedHeaders[field]
	})
	remainingMS := max(time.Until(deadline).Milliseconds(), 1)
	out.Header[c.dialect.DeadlineMS] = []string{strconv.FormatInt(remainingMS, 10)}
	if c.dialect.ExpectTarget != "" {
		out.Header[c.dialect.ExpectTarget] = []string{c.name}
	}
	resp, err := c.pool.SendWithOptions(ctx, out, opts)
	if err != nil {
		return nil, c.wrapError(upstream.AsError(err))
	}
	return c.classifyResponse(resp, in.Header.Get(c.dialect.RequestID))
}

// wrapError returns the error with the kind for a failed exchange.
func (c *Client) wrapError(e *upstream.Error) error {
	return fault.Wrap(FaultKind(e), e, "target %s", c.name)
}

// FaultKind returns the kind of a failed exchange with a target.
func FaultKind(e *upstream.Error) fault.Kind {
	if e.MaybeSent {
		return maybeSentKinds[e.Reason]
	}
	return unsentKinds[e.Reason]
}

// maybeSentKinds has the kinds of failures after a byte of the request may have
// reached the target.
var maybeSentKinds = map[upstream.Reason]fault.Kind{
	upstream.ReasonConnectionLost:  fault.KindTargetLost,
	upstream.ReasonInvalidResponse: fault.KindTargetGarbage,
	upstream.ReasonTimedOut:        fault.KindTargetTimeout,
	upstream.ReasonCanceled:        fault.KindCallerGone,
	upstream.ReasonBodyFailed:      fault.KindBodyMismatch,
}

// unsentKinds has the kinds of failures before any byte was sent.
var unsentKinds = map[upstream.Reason]fault.Kind{
	upstream.ReasonNoConnection:      fault.KindTargetRefused,
	upstream.ReasonPoolFull:          fault.KindOverloaded,
	upstream.ReasonSendWindowExpired: fault.KindShareLapsed,
	upstream.ReasonConnectionLost:    fault.KindTargetRefused,
	upstream.ReasonInvalidResponse:   fault.KindTargetRefused,
	upstream.ReasonTimedOut:          fault.KindDeadlinePassed,
	upstream.ReasonCanceled:          fault.KindCallerGone,
	upstream.ReasonBodyFailed:        fault.KindBadRequest,
}
