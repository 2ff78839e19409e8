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

// errNoInstance is the cause when a zone has no instance to pass a request to.
var errNoInstance = errors.New("no instance of the zone is known")

// try is one attempt of a request: a dispatch to a target or a hop.
type try struct {
	x *exchange
	d steer.Decision
	// in is the request with the trace context of the attempt.
	in    *http.Request
	ctx   context.Context
	start time.Time
	res   steer.Result

	// answer, its head and its first part are set when the attempt has
	// brought an answer; err is set otherwise.
	answer *upstream.Answer
	head   caller.Head
	first  firstPart
	err    error
}

// newTry counts an attempt that follows the decision d.
func (x *exchange) newTry(ctx context.Context, d steer.Decision) *try {
	x.req.Attempts++
	if d.Verdict == steer.Hop {
		x.req.Exclude(d.Zone)
	} else {
		x.req.Exclude(d.Target)
	}
	return &try{x: x, d: d, in: x.in, ctx: ctx, start: x.node.now()}
}

// send makes the attempt up to the first part of its answer.
func (t *try) send() {
	name, place := "dispatch", attribute.String("target", t.d.Target)
	if t.d.Verdict == steer.Hop {
		name, place = "hop", attribute.String("zone", t.d.Zone)
	}
	ctx, span, in := t.x.node.tracer.StartClientSpan(t.ctx, t.in, name)
	t.ctx, t.in = ctx, in
	t.err = t.exchange()
	if t.err != nil {
		t.res.Kind = fault.KindOf(t.err)
	}
	telemetry.EndSpan(span, t.res.Kind, attribute.String("pool", t.d.Pool), place)
}

// exchange sends the request and reads the first part of its answer. A panic ends
// this attempt only: a hedge runs beside the request's own goroutine, where nobody
// else would stop it. What was sent may have run.
func (t *try) exchange() (err error) {
	defer func() {
		if v := recover(); v != nil {
			t.x.node.attemptPanicked(v, debug.Stack())
			err = fault.New(fault.KindTargetLost, "the attempt could not be made")
		}
	}()
	if t.d.Verdict == steer.Hop {
		return t.hop()
	}
	return t.dispatch()
}

// dispatch sends the request to the target.
func (t *try) dispatch() error {
	c, ok := t.x.view.targets[t.d.Target]
	if !ok {
		return fault.New(fault.KindTargetRefused, "target %s is not known any more", t.d.Target)
	}
	req := &t.x.req
	terms := upstream.Terms{NotAfter: t.d.NotAfter, Once: !req.Idempotent}
	a, err := c.Send(t.ctx, t.in, t.x.body, req.Deadline, terms)
	if a != nil {
		t.x.noticed(t.d, a.Notice)
		if a.Load != nil {
			t.res.Load = &steer.TargetLoad{Running: a.Load.Running, Waiting: a.Load.Waiting, Slots: a.Load.Slots}
		}
	}
	if err != nil {
		return err
	}
	if err := t.take(a.Answer); err != nil {
		e := a.BodyError(t.ctx, err)
		return fault.Wrap(target.Kind(e), e, "target %s", t.d.Target)
	}
	t.res.Failed = t.head.Status >= http.StatusInternalServerError
	return nil
}

// hop passes the request to an instance of the decided zone.
func (t *try) hop() error {
	c := t.x.pickHop(t.d.Zone)
	if c == nil {
		return fault.Wrap(fault.KindHopRefused, errNoInstance, "zone %s", t.d.Zone)
	}
	req := &t.x.req
	a, err := c.Send(t.ctx, t.in, t.x.body, hop.Choice{
		Route: req.Route.Name, Pool: t.d.Pool, Version: t.x.view.tables.Version,
		Idempotent: req.Idempotent, Deadline: req.Deadline,
	})
	if err != nil {
		return err
	}
	if a.Kind != fault.KindNone {
		a.Close()
		return fault.WithRetryAfter(fault.New(a.Kind, "zone %s: %s", t.d.Zone, a.Kind), a.RetryAfter)
	}
	if err := t.take(a.Answer); err != nil {
		return fault.Wrap(fault.KindHopLost, err, "zone %s", t.d.Zone)
	}
	return nil
}

// pickHop returns an instance of zone at random, or nil.
func (x *exchange) pickHop(zone string) *hop.Client {
	cs := x.view.hops[zone]
	if len(cs) == 0 {
		return nil
	}
	return cs[x.node.random(len(cs))]
}

// take reads the first part of an answer.
func (t *try) take(a *upstream.Answer) error {
	t.res.Latency = t.x.node.now().Sub(t.start)
	t.head = headOf(a)
	first, err := t.x.readFirst(a, t.head)
	if err != nil {
		a.Close()
		return err
	}
	t.answer, t.first = a, first
	return nil
}

// deliver gives the attempt's answer to the caller.
func (t *try) deliver() {
	x := t.x
	name, skip := t.d.Target, isOwnField
	if t.d.Verdict == steer.Hop {
		name, skip = t.head.Header.Get(wire.HeaderTarget), isInstanceField
	} else {
		x.w.Header().Set(wire.HeaderOutcome, string(fault.Completed))
		x.w.Header().Set(wire.HeaderTarget, name)
	}
	x.keep(name, t.head, t.first)
	t.res.Kind = x.pass(t.ctx, t.answer, t.head, t.first, skip)
}

// done ends the attempt and gives back what its decision took.
func (t *try) done() {
	if t.answer != nil {
		t.answer.Close()
	}
	n := t.x.node
	n.latencies.observe(t.d, t.res)
	n.waiters.deliver(n.core.Done(n.now(), t.d, t.res))
}
