package node

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
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
var errNoInstance = errors.New("no instance of the zone is known")

// attempt is one attempt to run a request: a dispatch to a target or a hop to an
// instance of another zone.
type attempt struct {
	x        *exchange
	decision steer.Decision
	// in is the request with the trace context of the attempt.
	in     *http.Request
	ctx    context.Context
	start  time.Time
	result steer.Result

	// response, head and prefix are set when the attempt received a response;
	// err is set otherwise.
	response *upstream.Answer
	head     caller.Head
	prefix   bodyPrefix
	err      error
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
	return &attempt{x: x, decision: d, in: x.in, ctx: ctx, start: x.node.now()}
}

// send makes the attempt up to the header of the response and the part of the body
// that is buffered. It sets err and the kind of result on failure.
func (t *attempt) send() {
	name, place := "dispatch", attribute.String("target", t.decision.Target)
	if t.decision.Verdict == steer.Hop {
		name, place = "hop", attribute.String("zone", t.decision.Zone)
	}
	ctx, span, in := t.x.node.tracer.Client(t.ctx, t.in, name)
	t.ctx, t.in = ctx, in
	t.err = t.roundTrip()
	if t.err != nil {
		t.result.Kind = fault.KindOf(t.err)
	}
	telemetry.End(span, t.result.Kind, attribute.String("pool", t.decision.Pool), place)
}

// roundTrip sends the request and reads the start of the response. It turns a
// panic into the failure of this attempt: a hedge runs in a goroutine of its own,
// where an unrecovered panic would end the process. The kind is target-lost,
// since a request that was sent may have run.
func (t *attempt) roundTrip() (err error) {
	defer func() {
		if v := recover(); v != nil {
			t.x.node.recordPanic(v, debug.Stack())
			err = fault.New(fault.KindTargetLost, "the instance panicked during the attempt")
		}
	}()
	if t.decision.Verdict == steer.Hop {
		return t.hop()
	}
	return t.dispatch()
}

// dispatch sends the request to the target.
func (t *attempt) dispatch() error {
	c, ok := t.x.snapshot.targets[t.decision.Target]
	if !ok {
		return fault.New(fault.KindTargetRefused, "target %s is not among the current targets of this instance", t.decision.Target)
	}
	req := &t.x.req
	terms := upstream.Terms{NotAfter: t.decision.NotAfter, Once: !req.Idempotent}
	a, err := c.Send(t.ctx, t.in, t.x.body, req.Deadline, terms)
	if a != nil {
		t.x.handleNotice(t.decision, a.Notice)
		if a.Load != nil {
			t.result.Load = &steer.TargetLoad{Running: a.Load.Running, Waiting: a.Load.Waiting, Slots: a.Load.Slots}
		}
	}
	if err != nil {
		return err
	}
	if err := t.readResponse(a.Answer); err != nil {
		e := a.BodyError(t.ctx, err)
		return fault.Wrap(target.Kind(e), e, "target %s", t.decision.Target)
	}
	t.result.Failed = t.head.Status >= http.StatusInternalServerError
	return nil
}

// hop forwards the request to an instance of the decided zone.
func (t *attempt) hop() error {
	c := t.x.pickPeer(t.decision.Zone)
	if c == nil {
		return fault.Wrap(fault.KindHopRefused, errNoInstance, "zone %s", t.decision.Zone)
	}
	req := &t.x.req
	a, err := c.Send(t.ctx, t.in, t.x.body, hop.Choice{
		Route: req.Route.Name, Pool: t.decision.Pool, Version: t.x.snapshot.tables.Version,
		Idempotent: req.Idempotent, Deadline: req.Deadline,
	})
	if err != nil {
		return err
	}
	if a.Kind != fault.KindNone {
		a.Close()
		return fault.WithRetryAfter(fault.New(a.Kind, "zone %s: %s", t.decision.Zone, a.Kind), a.RetryAfter)
	}
	if err := t.readResponse(a.Answer); err != nil {
		return fault.Wrap(fault.KindHopLost, err, "zone %s", t.decision.Zone)
	}
	return nil
}

// pickPeer returns the client of a random instance of zone, or nil without one.
func (x *exchange) pickPeer(zone string) *hop.Client {
	cs := x.snapshot.zonePeers[zone]
	if len(cs) == 0 {
		return nil
	}
	return cs[x.node.randomIndex(len(cs))]
}

// readResponse records the latency of a and reads the start of its body. It
// closes a on failure.
func (t *attempt) readResponse(a *upstream.Answer) error {
	t.result.Latency = t.x.node.now().Sub(t.start)
	t.head = responseHead(a)
	first, err := t.x.readPrefix(a, t.head)
	if err != nil {
		a.Close()
		return err
	}
	t.response, t.prefix = a, first
	return nil
}

// relay relays the response to the caller. A target's response is marked as
// completed; that of another instance already carries its outcome.
func (t *attempt) relay() {
	x := t.x
	name, skip := t.decision.Target, isReservedField
	if t.decision.Verdict == steer.Hop {
		name, skip = t.head.Header.Get(wire.HeaderTarget), isPerInstanceField
	} else {
		x.w.Header().Set(wire.HeaderOutcome, string(fault.Completed))
		x.w.Header().Set(wire.HeaderTarget, name)
	}
	x.recordOutcome(name, t.head, t.prefix)
	t.result.Kind = x.relayResponse(t.ctx, t.response, t.head, t.prefix, skip)
}

// done ends the attempt: it closes the response, records the latency and releases
// what the decision reserved.
func (t *attempt) done() {
	if t.response != nil {
		t.response.Close()
	}
	n := t.x.node
	n.latencies.observe(t.decision, t.result)
	n.waiters.deliver(n.core.Done(n.now(), t.decision, t.result))
}
