// Package target is a client of targets. It sends them requests, separates their
// responses from failures that the instance must report itself, and probes their
// health and load.
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

// reservedHeaderPrefix is the prefix of the reserved header fields.
const reservedHeaderPrefix = "Jacinthramp-"

// forwardedHeaders lists the reserved header fields that are forwarded from the
// caller to a target.
var forwardedHeaders = map[string]bool{
	wire.HeaderRequestID:  true,
	wire.HeaderMember:     true,
	wire.HeaderIdempotent: true,
}

// Options configures a Client for one target.
type Options struct {
	Name    string
	Address string
	// MaxConnections limits the open connections.
	MaxConnections int
	Dialect        wire.Dialect
	// HealthPath is the path of the health endpoint. If it is empty, the target has
	// the endpoints wire.PathTargetHealth and wire.PathTargetLoad.
	HealthPath string
	// MaxRetryAfter limits the time for which a target may ask for no requests.
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
	// sendsName is set once the target has sent its name in a response.
	sendsName atomic.Bool
}

// New returns a client of the target that o describes.
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

// Pool returns the pool of connections to the target.
func (c *Client) Pool() *upstream.Pool { return c.pool }

// Close closes the idle connections now, and the busy ones when their requests end.
func (c *Client) Close() { c.pool.Close() }

// Caller is what a target gets to know about who has sent a request.
type Caller struct {
	// HideKey keeps the caller's key from the target, in the header and the trailer.
	HideKey bool
	// Workspace is the name of the caller's workspace; empty without one.
	Workspace string
}

// Send sends in with body to the target, at most once. The time remaining until
// deadline and the workspace of who are sent in header fields. Errors have an error kind, whose outcome states
// whether the target may have run the request. With an error, the response is nil or
// holds only the notice and load of the target.
func (c *Client) Send(ctx context.Context, in *http.Request, body *upstream.Body, deadline time.Time, who Caller, opts upstream.SendOptions) (*Response, error) {
	out := upstream.NewRequest(in, c.pool.Address(), body, func(field string) bool { return c.isWithheld(field, who) })
	if who.Workspace != "" && c.dialect.Workspace != "" {
		out.Header[c.dialect.Workspace] = []string{who.Workspace}
	}
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

// isWithheld reports whether a field of the caller's is kept from the target.
func (c *Client) isWithheld(field string, who Caller) bool {
	if field == wire.HeaderAuthorization {
		return who.HideKey
	}
	return strings.HasPrefix(field, reservedHeaderPrefix) && !forwardedHeaders[field] || c.dialect.Workspace != "" && field == c.dialect.Workspace
}

// wrapError returns e as an error with the kind of FaultKind.
func (c *Client) wrapError(e *upstream.Error) error {
	return fault.Wrap(FaultKind(e), e, "target %s", c.name)
}

// FaultKind returns the error kind of a failed exchange with a target.
func FaultKind(e *upstream.Error) fault.Kind {
	if e.MaybeSent {
		return maybeSentKinds[e.Reason]
	}
	return unsentKinds[e.Reason]
}

// maybeSentKinds has the error kinds of failures after a byte of the request may have
// been sent.
var maybeSentKinds = map[upstream.Reason]fault.Kind{
	upstream.ReasonConnectionLost:  fault.KindTargetLost,
	upstream.ReasonInvalidResponse: fault.KindTargetGarbage,
	upstream.ReasonTimedOut:        fault.KindTargetTimeout,
	upstream.ReasonCanceled:        fault.KindCallerGone,
	upstream.ReasonBodyFailed:      fault.KindBodyMismatch,
}

// unsentKinds has the error kinds of failures before any byte was sent.
var unsentKinds = map[upstream.Reason]fault.Kind{
	upstream.ReasonNoConnection:      fault.KindTargetRefused,
	upstream.ReasonPoolFull:          fault.KindOverloaded,
	upstream.ReasonSendWindowExpired: fault.KindShareLapsed,
	upstream.ReasonWithdrawn:         fault.KindTargetLeaving,
	upstream.ReasonConnectionLost:    fault.KindTargetRefused,
	upstream.ReasonInvalidResponse:   fault.KindTargetRefused,
	upstream.ReasonTimedOut:          fault.KindDeadlinePassed,
	upstream.ReasonCanceled:          fault.KindCallerGone,
	upstream.ReasonBodyFailed:        fault.KindBadRequest,
}
