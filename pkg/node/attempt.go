package node

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/peer/hop"
	"github.com/jacinthramp/jacinthramp/pkg/peer/target"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/telemetry"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// errNoInstance is the cause of a hop that fails because the zone has no instance
// to forward the request to.
var errNoInstance = errors.New("no instance of the zone accepts forwarded requests")

// attempt is one attempt to run a request: a dispatch to a target or a hop to an
// instance of another zone.
type attempt struct {
	x        *exchange
	decision steer.Decision
	// httpReq is the request with the trace context of the attempt.
	httpReq *http.Request
	ctx     context.Context
	// cancel ends ctx.
	cancel context.CancelFunc
	start  time.Time
	result steer.Result
	// route is the name of the request's route, and idempotent whether the request may run
	// more than once, when the attempt was decided on. The decision on another attempt may
	// change the request at the same time.
	route      string
	idempotent bool
	// sentAfter is the time from the arrival of the request until its first byte was
	// about to be sent to the target, in nanoseconds; zero before.
	sentAfter atomic.Int64
	// sentTables is the version of the tables in force then, and sentDisallowed is set if
	// they did not allow the attempt.
	sentTables     atomic.Uint64
	sentDisallowed atomic.Bool

	// response, head and prefix are set when the attempt received a response;
	// err is set otherwise.
	response *upstream.Response
	head     caller.ResponseHead
	prefix   bodyPrefix
	err      error
	// released is done once the target does not work for the attempt any more.
	released sync.Once
}

// newAttempt returns an attempt for the decision d. It counts the attempt and
// excludes the target or zone of d from later decisions on the request.
func (x *exchange) newAttempt(ctx context.Context, d steer.Decision) *attempt {
	x.req.Attempts++
	if d.Verdict == steer.Hop {
		x.req.Exclude(d.Zone)
	} else {
		x.req.Exclude(d.Target)
	}
	ctx, cancel := context.WithCancel(ctx)
	return &attempt{
		x: x, decision: d, httpReq: x.httpReq, ctx: ctx, cancel: cancel, start: x.node.now(),
		route: x.req.Route.Name, idempotent: x.req.Idempotent,
	}
}

// send makes the attempt up to the header of the response and the part of the body
// that is buffered. It sets err and the kind of result on failure.
func (a *attempt) send() {
	name, destination := "dispatch", attribute.String("target", a.decision.Target)
	if a.decision.Verdict == steer.Hop {
		name, destination = "hop", attribute.String("zone", a.decision.Zone)
	}
	ctx, span, httpReq := a.x.node.tracer.StartClientSpan(a.ctx, a.httpReq, name)
	a.ctx, a.httpReq = ctx, httpReq
	a.err = a.roundTrip()
	if a.err != nil {
		a.result.Kind = fault.KindOf(a.err)
	}
	telemetry.EndSpan(span, a.result.Kind, attribute.String("pool", a.decision.Pool), destination)
}

// roundTrip sends the request and reads the start of the response. It turns a
// panic into the failure of this attempt: a hedge runs in a goroutine of its own,
// where an unrecovered panic would end the process. The kind is target-lost,
// since a request that was sent may have run.
func (a *attempt) roundTrip() (err error) {
	defer func() {
		if v := recover(); v != nil {
			a.x.node.recordPanic(v, debug.Stack())
			err = fault.New(fault.KindTargetLost, "the instance panicked during the attempt")
		}
	}()
	if a.decision.Verdict == steer.Hop {
		return a.hop()
	}
	return a.dispatch()
}

// dispatch sends the request to the target.
func (a *attempt) dispatch() error {
	c, ok := a.x.node.snapshot.Load().targets[a.decision.Target]
	if !ok || c.Pool().Address() != a.decision.Address {
		return fault.New(fault.KindTargetLeaving, "target %s is not among the current targets of this instance at %s", a.decision.Target, a.decision.Address)
	}
	req := &a.x.req
	if _, limited := a.decision.RateLimit(); limited && a.x.node.metrics != nil {
		a.x.node.metrics.CountRateLimitedRequest()
	}
	options := upstream.SendOptions{NotAfter: a.decision.NotAfter, NonIdempotent: !a.idempotent, Withdrawn: a.withdrawn}
	who := target.Caller{HideKey: a.decision.Caller.KeysInUse, Workspace: a.decision.Caller.Workspace}
	resp, err := c.Send(a.ctx, a.httpReq, a.x.body, req.Deadline, who, options)
	if resp != nil {
		a.x.handleNotice(a.decision, resp.Notice)
		if resp.Load != nil {
			a.result.Load = a.x.handleLoad(a.decision, resp.Load)
		}
	}
	if err != nil {
		return err
	}
	if err := a.readResponse(resp.Response); err != nil {
		e := resp.BodyError(a.ctx, err)
		return fault.Wrap(target.FaultKind(e), e, "cannot read the response of target %s", a.decision.Target)
	}
	a.result.Failed = a.head.Status >= http.StatusInternalServerError
	return nil
}

// withdrawn reports whether the request must not be sent to its target any more. It is
// called right before the first byte is sent.
func (a *attempt) withdrawn() bool {
	now := a.x.node.now()
	if a.x.node.core.MustNotSend(now, &a.x.req, &a.decision) {
		return true
	}
	a.recordSent(now)
	return false
}

// recordSent records that the attempt is sent at now, and what the tables in force say about
// it.
func (a *attempt) recordSent(now time.Time) {
	a.x.anySent.Store(true)
	a.sentAfter.Store(now.Sub(a.x.req.Arrived).Nanoseconds())
	version, allowed := a.x.node.core.TablesNow(&a.x.req, &a.decision)
	a.sentTables.Store(version)
	if allowed {
		return
	}
	a.sentDisallowed.Store(true)
	if m := a.x.node.metrics; m != nil {
		m.CountDisallowedAttempt()
	}
}

// sentState is what the tables in force said when an attempt was sent.
type sentState struct {
	// version is that of the tables, zero if the attempt was not sent to a target.
	version uint64
	// disallowed is set if these tables did not allow the attempt.
	disallowed bool
}

func (a *attempt) sentState() sentState {
	return sentState{version: a.sentTables.Load(), disallowed: a.sentDisallowed.Load()}
}

// hop forwards the request to an instance of the decided zone.
func (a *attempt) hop() error {
	c := a.x.pickPeer(a.decision.Zone)
	if c == nil {
		return fault.Wrap(fault.KindHopRefused, errNoInstance, "cannot forward to zone %s", a.decision.Zone)
	}
	req := &a.x.req
	resp, err := c.Forward(a.ctx, a.httpReq, a.x.body, hop.Decision{
		Route: a.route, Pool: a.decision.Pool, TablesVersion: a.decision.TablesVersion,
		Idempotent: a.idempotent, Deadline: req.Deadline, Withdrawn: a.withdrawn,
		Key: hop.Key{InUse: a.decision.Caller.KeysInUse, Digest: req.Key},
	})
	if err != nil {
		return err
	}
	if resp.Kind != fault.KindNone {
		resp.Close()
		return fault.WithRetryAfter(fault.New(resp.Kind, "an instance of zone %s responded with kind %s", a.decision.Zone, resp.Kind), resp.RetryAfter)
	}
	if err := a.readResponse(resp.Response); err != nil {
		return fault.Wrap(fault.KindHopLost, err, "cannot read the response from zone %s", a.decision.Zone)
	}
	return nil
}

// pickPeer returns the client of a random instance of zone, or nil without one.
func (x *exchange) pickPeer(zone string) *hop.Client {
	peers := x.node.snapshot.Load().zonePeers[zone]
	if len(peers) == 0 {
		return nil
	}
	return peers[x.node.randomIndex(len(peers))]
}

// readResponse records the latency of resp and reads the start of its body. It
// closes resp on failure.
func (a *attempt) readResponse(resp *upstream.Response) error {
	a.result.Latency = a.x.node.now().Sub(a.start)
	a.head = responseHead(resp)
	prefix, err := a.x.readPrefix(resp, a.head)
	if err != nil {
		resp.Close()
		return err
	}
	a.response, a.prefix = resp, prefix
	return nil
}

// relay relays the response to the caller. A target's response is marked as
// completed; that of another instance already carries its outcome.
func (a *attempt) relay() {
	x := a.x
	name, skip := a.decision.Target, isReservedField
	if a.decision.Verdict == steer.Hop {
		name, skip = a.head.Header.Get(wire.HeaderTarget), isPerInstanceField
	} else {
		x.w.Header().Set(wire.HeaderOutcome, string(fault.OutcomeCompleted))
		x.w.Header().Set(wire.HeaderTarget, name)
	}
	x.recordOutcome(name, a.head, a.prefix)
	a.result.Kind = x.relayResponse(&received{
		response: a.response, head: a.head, prefix: a.prefix, ctx: a.ctx, cancel: a.cancel, release: a.releaseTarget,
	}, skip)
}

// done ends the attempt.
func (a *attempt) done() {
	a.releaseTarget()
	a.prefix.release()
	a.cancel()
}

// releaseTarget closes the response, records the latency and releases what the decision
// reserved. Further calls do nothing.
func (a *attempt) releaseTarget() {
	a.released.Do(func() {
		if a.response != nil {
			a.response.Close()
		}
		n := a.x.node
		n.latencies.observe(a.decision, a.result)
		n.waiters.deliver(n.core.Done(n.now(), a.decision, a.result))
	})
}
