package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/outcome"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// repeats guards the registry of outcomes and wakes the submissions that wait
// for the first one.
type repeats struct {
	mu       sync.Mutex
	registry *outcome.Registry
	running  map[string]chan struct{}
	// started and base make a clock that never steps back.
	started time.Time
	base    time.Time
}

func newRepeats(instance, incarnation string, now time.Time) *repeats {
	return &repeats{
		registry: outcome.NewRegistry(instance, incarnation, outcome.DefaultLimits()),
		running:  make(map[string]chan struct{}),
		started:  now,
		base:     now.Round(0),
	}
}

// clock returns the time at now, as the registry needs it.
func (r *repeats) clock(now time.Time) time.Time { return r.base.Add(now.Sub(r.started)) }

// admit decides on a submission; ended is set with outcome.Wait.
func (r *repeats) admit(now time.Time, id outcome.ID) (v outcome.Decision, ended <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v = r.registry.Admit(r.clock(now), id)
	key := id.String()
	if v.Action == outcome.Run {
		r.running[key] = make(chan struct{})
	}
	return v, r.running[key]
}

// fresh reports whether "not run" may be said of the request with the id text
// without having run it: it has no id, an id that was never admitted anywhere,
// or one that this incarnation would run for the first time.
func (r *repeats) fresh(now time.Time, text string) bool {
	id, err := outcome.Parse(text)
	if err != nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.ProvablyNotRun(r.clock(now), id)
}

// finish records the end of a first submission.
func (r *repeats) finish(now time.Time, id outcome.ID, res outcome.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registry.Finish(r.clock(now), id, res)
	key := id.String()
	close(r.running[key])
	delete(r.running, key)
}

// runOnce serves a non-idempotent request with an id: here when the id names
// this incarnation, else at the instance that it names.
func (x *exchange) runOnce(id outcome.ID) {
	x.w.Header().Set(wire.HeaderRequestID, id.String())
	if !x.node.repeats.registry.Owns(id) {
		x.passHome(id)
		return
	}
	for {
		v, ended := x.node.repeats.admit(x.node.now(), id)
		switch v.Action {
		case outcome.Run:
			x.proven = true
			x.runFirst(id)
			return
		case outcome.Replay:
			x.replay(v.Response)
			return
		case outcome.Refuse:
			x.refuse(caller.Refusal{Kind: v.Kind, Message: "the request was submitted before"})
			return
		}
		select {
		case <-ended:
		case <-x.ctx.Done():
			x.refuse(caller.Refusal{Kind: fault.KindTargetTimeout, Message: "the first submission is still running"})
			return
		}
	}
}

// runFirst runs the first submission to its end, also when its caller goes
// away, and records the outcome.
func (x *exchange) runFirst(id outcome.ID) {
	x.record = true
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.ctx), x.req.Deadline)
	defer cancel()
	x.ctx = ctx
	x.result = outcome.Result{Kind: fault.KindTargetLost}
	defer func() { x.node.repeats.finish(x.node.now(), id, x.result) }()
	if x.node.refusesWork() {
		x.refuse(caller.Refusal{Kind: fault.KindLeaving})
		return
	}
	x.run()
}

// replay gives a recorded answer again.
func (x *exchange) replay(a *outcome.Response) {
	h := x.w.Header()
	h.Set(wire.HeaderOutcome, string(fault.Completed))
	h.Set(wire.HeaderTarget, a.Target)
	head := caller.ResponseHead{Status: a.Status, Header: a.Header, ContentLength: int64(len(a.Body))}
	x.relay.WriteFinalHeader(head, isOwnField)
	if x.relay.WriteBody(a.Body, head) != nil {
		x.broken = true
	}
}

// passHome passes a repeat to the instance that its id names. When that can't
// be reached, nothing is known about the request.
func (x *exchange) passHome(id outcome.ID) {
	key := home{id.Instance, id.Incarnation}
	c := x.view.homes[key]
	if c == nil && !x.atHome && id.Instance != x.node.self.ID {
		c = x.node.finder.find(x.ctx, key)
	}
	if c == nil || x.atHome {
		x.refuse(caller.Refusal{Kind: fault.KindHomeGone, Message: "instance " + id.Instance + " of that incarnation is gone"})
		return
	}
	if !x.takeBody() {
		return
	}
	a, err := c.SendHome(x.ctx, x.in, x.body, x.req.Idempotent, x.req.Deadline)
	if err != nil {
		x.refuse(caller.Refusal{Kind: homeKind(err), Message: err.Error()})
		return
	}
	defer a.Close()
	x.pass(x.ctx, a.Answer, headOf(a.Answer), firstPart{}, isInstanceField)
}

// homeKind is the kind for a failure to reach the home. The first submission
// may have run, so it is never "not run".
func homeKind(err error) fault.Kind {
	if k := fault.KindOf(err); k == fault.KindCallerGone {
		return k
	}
	return fault.KindHomeGone
}

// recordAnswer keeps a target's whole answer for repeats. The header is that
// of the target, before this instance adds to it.
func (x *exchange) recordAnswer(target string, head caller.ResponseHead, body []byte) {
	x.result = outcome.Result{Response: &outcome.Response{
		Status: head.Status, Header: http.Header(head.Header).Clone(), Body: body, Target: target,
	}}
}
