package node

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/jacinthramp/jacinthramp/pkg/decision/outcome"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
)

// exchange is one request on its way through this instance.
type exchange struct {
	node  *Node
	view  *view
	w     http.ResponseWriter
	in    *http.Request
	ctx   context.Context
	relay *caller.Relay
	body  *upstream.Body
	req   steer.Request
	// id is the request's id as its caller wrote it.
	id string
	// object names what the request concerns.
	object string
	// broken is set when the answer ended before its whole body.
	broken bool
	// atHome is set on a repeat that another instance has passed here.
	atHome bool
	// record is set when the outcome must be kept in result.
	record bool
	// kind is how the request has ended, and last its last attempt.
	kind fault.Kind
	last steer.Decision
	// load is what the target of the last attempt has said of its load, or nil.
	load *steer.TargetLoad
	// basis is what the last decision rested on.
	basis steer.Diagnostics
	// proven is set when the request has no id that is honoured, or the
	// registry has said that this is its first submission.
	proven bool
	result outcome.Result
}

// run brings the request to its answer.
func (x *exchange) run() {
	if !x.takeBody() {
		return
	}
	trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
		return x.relay.Interim(code, h)
	}}
	x.ctx = httptrace.WithClientTrace(x.ctx, trace)
	for {
		d := x.decide()
		x.basis = d.Diagnostics
		if d.Verdict == steer.Refuse {
			x.refuse(caller.Refusal{Kind: x.req.AnswerKind(d.Kind), RetryAfter: d.RetryAfter})
			return
		}
		err := x.attempt(d)
		if err == nil {
			return
		}
		x.logAttempt(err)
		if !errors.Is(err, errTargetFailed) && !x.mayRetry(err) {
			x.refuse(x.lastRefusal(err))
			return
		}
	}
}

// lastRefusal answers for the last attempt, which ended with err.
func (x *exchange) lastRefusal(err error) caller.Refusal {
	f := caller.RefusalOf(err)
	if f.Kind == fault.KindTargetShed {
		if after, ok := x.node.core.RetryAfter(x.node.now(), &x.req, x.last, x.load); ok {
			f.RetryAfter = after
		}
	}
	f.Kind = x.req.AnswerKind(f.Kind)
	return f
}

// takeBody prepares the request's body, or refuses it.
func (x *exchange) takeBody() bool {
	body, err := upstream.NewBody(x.in, x.req.Route.MaxBodyBytes)
	if err != nil {
		x.refuse(x.bodyRefusal(err))
		return false
	}
	x.body = body
	if body.Streams() {
		// Lets the answer begin before the body has ended.
		_ = http.NewResponseController(x.w).EnableFullDuplex()
	}
	x.req.BodyBytes = body.Length()
	x.req.Fingerprint = fingerprint(x.req.Route.Name, x.in, body)
	return true
}

// bodyRefusal answers for a body that could not be read before the dispatch.
func (x *exchange) bodyRefusal(err error) caller.Refusal {
	switch {
	case errors.Is(err, upstream.ErrBodyTooLarge):
		return caller.Refusal{Kind: fault.KindBodyTooLarge, Message: err.Error()}
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return caller.Refusal{Kind: fault.KindDeadlinePassed, Message: "the body came too slowly"}
	}
	return caller.Refusal{Kind: fault.KindBadRequest, Message: "the body ended early or is malformed: " + err.Error()}
}

// decide returns the final decision, after a wait if there is one.
func (x *exchange) decide() steer.Decision {
	d := x.node.core.Decide(x.node.now(), &x.req)
	if d.Verdict != steer.Wait {
		return d
	}
	x.node.signalQueued()
	place := x.node.waiters.place(d.Ticket)
	defer x.node.waiters.forget(d.Ticket)
	select {
	case final := <-place:
		return final
	case <-x.ctx.Done():
	}
	if x.node.core.Cancel(x.node.now(), d.Ticket) {
		return steer.Decision{Kind: x.endKind()}
	}
	return <-place
}

// endKind says why the request's context ended before a dispatch.
func (x *exchange) endKind() fault.Kind {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return fault.KindDeadlinePassed
	}
	return fault.KindCallerGone
}

// mayRetry reports whether another decision may follow the failure err.
func (x *exchange) mayRetry(err error) bool {
	if x.ctx.Err() != nil || !x.body.Replayable() {
		return false
	}
	return x.node.core.AllowRetry(x.node.now(), &x.req, steer.Result{Kind: fault.KindOf(err)})
}

// attempt carries out d. Without an error the answer has been given.
func (x *exchange) attempt(d steer.Decision) error {
	t, settle := x.make(d)
	defer settle()
	defer t.done()
	x.last, x.load = t.d, t.res.Load
	if t.err == nil && t.res.Failed && x.mayRetry(errTargetFailed) {
		t.res.Kind = fault.KindTargetFailed
		return errTargetFailed
	}
	if t.err == nil {
		t.deliver()
	}
	x.kind = t.res.Kind
	return t.err
}

// errTargetFailed reports that a target answered with its own failure.
var errTargetFailed = fault.New(fault.KindTargetFailed, "the target answered with its own failure")

// make makes the attempt that d decides on, with a hedge where one may help.
// settle is called after the attempt has been done with.
func (x *exchange) make(d steer.Decision) (t *try, settle func()) {
	if delay, ok := x.node.core.HedgeDelay(&x.req, d); ok && !x.body.Streams() {
		return x.hedged(d, delay)
	}
	t = x.newTry(x.ctx, d)
	t.send()
	return t, func() {}
}

// closeUnread ends the caller's connection after the answer when the body of
// its request has not been read to its end.
func (x *exchange) closeUnread() {
	if x.body != nil && x.body.Streams() && !x.body.Ended() {
		x.w.Header().Set("Connection", "close")
	}
}

// refuse answers in the system's own name.
func (x *exchange) refuse(f caller.Refusal) {
	x.relay.Seal()
	if !x.proven {
		f = x.node.honest(f, x.in)
	}
	x.kind = f.Kind
	x.result = outcome.Result{Kind: f.Kind}
	x.closeUnread()
	x.node.refusal(f).Write(x.w)
}
