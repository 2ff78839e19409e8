package node

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/outcome"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
)

// exchange is the state of one request while this instance serves it.
type exchange struct {
	node     *Node
	snapshot *snapshot
	// arrivalTables is the version of the tables in which the route was matched first.
	arrivalTables uint64

	w http.ResponseWriter
	// httpReq is the request as received.
	httpReq *http.Request
	ctx     context.Context
	relay   *caller.ResponseRelay
	body    *upstream.Body
	// req is the input of the decision core for the request.
	req steer.Request
	// id is the request's id as the caller sent it.
	id string
	// key is the key of the caller, and keysInUse is set if the tables had workspaces when
	// identify was called last.
	key       callerKey
	keysInUse bool
	// object names the object that the request concerns; empty without one.
	object string
	// bodyInterrupted is set when interruptBodyAtStop has ended the reads of the body.
	bodyInterrupted atomic.Bool
	// truncated is set when the response ended before its whole body was sent.
	truncated bool
	// forwardedHome is set on a repeat that another instance forwarded to this
	// one as its home.
	forwardedHome bool
	// recordResult is set when the outcome must be kept in result for repeats.
	recordResult bool
	// kind is how the request ended.
	kind fault.Kind
	// lastDecision is the decision of the last attempt.
	lastDecision steer.Decision
	// sentAfter is the time from the arrival of the request until the last attempt was
	// sent to its target; zero if it was not.
	sentAfter time.Duration
	// sent is what the tables in force said when the last attempt was sent.
	sent sentState
	// targetLoad is the load that the target reported with the last attempt, or
	// nil.
	targetLoad *steer.TargetLoad
	// diagnostics is what the last decision was based on.
	diagnostics steer.Diagnostics
	// knownFirst is set when no earlier submission needs to be considered: the
	// request has no id that the registry handles, or the registry reported this
	// submission as the first.
	knownFirst bool
	result     outcome.Result
	// admission is what the request has used of its workspace's quota. anySent is set once
	// the first byte of any attempt is about to be sent.
	admission admission
	anySent   atomic.Bool
}

// run decides and executes attempts until one yields the response or no further
// attempt is allowed.
func (x *exchange) run() {
	// The tables may have changed while the body came in.
	if !x.prepareBody() || !x.identify() || !x.admit() {
		return
	}
	defer x.returnAdmission()
	x.ctx = httptrace.WithClientTrace(x.ctx, &httptrace.ClientTrace{Got1xxResponse: x.relayInterim})
	x.refreshReport()
	for {
		d := x.decide()
		x.diagnostics = d.Diagnostics
		if d.Verdict == steer.Refuse {
			x.refuse(caller.Refusal{Kind: x.req.ResponseKind(d.Kind), RetryAfter: d.RetryAfter})
			return
		}
		err := x.execute(d)
		if err == nil {
			return
		}
		x.logFailedAttempt(err)
		if !errors.Is(err, errTargetFailed) && !x.mayRetry(err) {
			x.refuse(x.attemptRefusal(err))
			return
		}
	}
}

// errForeignInterim is the error of an attempt that received an interim response to another
// request.
var errForeignInterim = fault.New(fault.KindTargetGarbage, "interim response names another request")

// relayInterim relays an interim response, unless it names another request.
func (x *exchange) relayInterim(code int, h textproto.MIMEHeader) error {
	if x.node.dialect.NamesAnotherRequest(http.Header(h), x.id) {
		return errForeignInterim
	}
	return x.relay.WriteInterim(code, h)
}

// attemptRefusal returns the refusal for a request whose last attempt ended with
// err.
func (x *exchange) attemptRefusal(err error) caller.Refusal {
	refusal := caller.RefusalFromError(err)
	switch {
	case !x.bodyInterrupted.Load():
	case refusal.Kind == fault.KindBadRequest:
		refusal = interruptedRefusal(fault.KindLeaving)
	case refusal.Kind == fault.KindBodyMismatch:
		// A part of the request has been sent.
		refusal = interruptedRefusal(fault.KindTargetLost)
	}
	if refusal.Kind == fault.KindTargetShed {
		if after, ok := x.node.core.RetryAfter(x.node.now(), &x.req, x.lastDecision, x.targetLoad); ok {
			refusal.RetryAfter = after
		}
	}
	refusal.Kind = x.req.ResponseKind(refusal.Kind)
	return refusal
}

// prepareBody reads or wraps the request's body. It reports false after it has
// refused the request.
func (x *exchange) prepareBody() bool {
	body, err := upstream.NewBody(x.httpReq, x.req.Route.MaxBodyBytes)
	if err != nil {
		x.refuse(x.bodyRefusal(err))
		return false
	}
	x.body = body
	if body.IsStreamed() {
		// Allows the response to begin before the body has been read.
		_ = http.NewResponseController(x.w).EnableFullDuplex()
	}
	x.req.BodyBytes = body.Length()
	x.req.Fingerprint = fingerprint(x.req.Route.Name, x.httpReq, body)
	return true
}

// interruptBodyAtStop has reads of the request's body fail once a stopping instance could
// not serve the request any more, until the function that it returns is called.
func (x *exchange) interruptBodyAtStop() (cancel func()) {
	if x.httpReq.Body == nil || x.httpReq.Body == http.NoBody {
		return func() {}
	}
	ended := make(chan struct{})
	// Decisions on the request change it while the body arrives.
	row, objectKey := x.req.Route, x.req.ObjectKey
	unwatch := context.AfterFunc(x.node.stopping, func() {
		latest, _ := x.node.core.LatestStart(row, objectKey)
		select {
		case <-ended:
		case <-time.After(latest.Sub(x.node.now())):
			x.bodyInterrupted.Store(true)
			// Connections without support for deadlines are served without them.
			_ = http.NewResponseController(x.w).SetReadDeadline(x.node.now())
		}
	})
	return func() {
		unwatch()
		close(ended)
	}
}

// bodyRefusal returns the refusal for a body that could not be read before the
// dispatch.
func (x *exchange) bodyRefusal(err error) caller.Refusal {
	switch {
	case errors.Is(err, upstream.ErrBodyTooLarge):
		return caller.Refusal{Kind: fault.KindBodyTooLarge, Message: err.Error()}
	case x.bodyInterrupted.Load():
		return interruptedRefusal(fault.KindLeaving)
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return caller.Refusal{Kind: fault.KindDeadlinePassed, Message: "the deadline passed before the request body had arrived"}
	}
	return caller.Refusal{Kind: fault.KindBadRequest, Message: "the request body ended early or is malformed: " + err.Error()}
}

// decide returns the final decision on the request. It blocks while the request
// is queued.
func (x *exchange) decide() steer.Decision {
	for {
		d := x.node.core.Decide(x.node.now(), &x.req)
		if d.Verdict != steer.Wait {
			return d
		}
		// The request may have to wait elsewhere after the tables have changed.
		if final := x.awaitDecision(d); final.Kind != fault.KindTargetLeaving {
			return final
		}
	}
}

// awaitDecision returns the final decision on the request, which is queued under the
// ticket of d.
func (x *exchange) awaitDecision(d steer.Decision) steer.Decision {
	x.node.signalQueued()
	decided := x.node.waiters.channel(d.Ticket)
	defer x.node.waiters.remove(d.Ticket)
	select {
	case final := <-decided:
		return final
	case <-x.ctx.Done():
	}
	if x.node.core.Cancel(x.node.now(), d.Ticket) {
		return steer.Decision{Kind: x.contextErrorKind()}
	}
	return <-decided
}

// interruptedRefusal returns the refusal of a request whose body had not arrived when a
// stopping instance could not serve it any more.
func interruptedRefusal(kind fault.Kind) caller.Refusal {
	return caller.Refusal{Kind: kind, Message: "the instance stops before the request body has arrived"}
}

// contextErrorKind returns the kind for a request whose context ended before a
// dispatch.
func (x *exchange) contextErrorKind() fault.Kind {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return fault.KindDeadlinePassed
	}
	return fault.KindCallerGone
}

// mayRetry reports whether another attempt may follow err, and charges it to the
// retry budget.
func (x *exchange) mayRetry(err error) bool {
	if x.ctx.Err() != nil || !x.body.Replayable() {
		return false
	}
	return x.node.core.AllowRetry(x.node.now(), &x.req, steer.Result{Kind: fault.KindOf(err)})
}

// execute carries out d. A nil error means that the response has been relayed.
func (x *exchange) execute(d steer.Decision) error {
	a, cleanup := x.make(d)
	defer cleanup()
	defer a.done()
	x.lastDecision, x.targetLoad, x.sentAfter = a.decision, a.result.Load, time.Duration(a.sentAfter.Load())
	x.sent = a.sentState()
	if a.err == nil && a.result.Failed && x.mayRetry(errTargetFailed) {
		a.result.Kind = fault.KindTargetFailed
		return errTargetFailed
	}
	if a.err == nil {
		a.relay()
	}
	x.kind = a.result.Kind
	return a.err
}

// errTargetFailed is the error of an attempt to which the target responded with a
// server error (5xx) and which may be retried.
var errTargetFailed = fault.New(fault.KindTargetFailed, "the target responded with a server error")

// make makes the attempt for d, with a hedge if one is allowed and the body can be
// sent twice. The caller must call cleanup after done.
func (x *exchange) make(d steer.Decision) (a *attempt, cleanup func()) {
	if delay, ok := x.node.core.HedgeDelay(&x.req, d); ok && !x.body.IsStreamed() {
		return x.makeHedgedAttempt(d, delay)
	}
	a = x.newAttempt(x.ctx, d)
	a.send()
	return a, func() {}
}

// closeIfBodyUnread has the caller's connection closed after the response if the
// body of the request has not been read to its end.
func (x *exchange) closeIfBodyUnread() {
	if x.body != nil && x.body.IsStreamed() && !x.body.ReachedEOF() {
		x.w.Header().Set("Connection", "close")
	}
}

// refuse responds with a refusal. It reports the outcome as unknown instead of
// not run if an earlier submission of the request may have been run.
func (x *exchange) refuse(refusal caller.Refusal) {
	x.relay.StopInterim()
	if !x.knownFirst {
		refusal = x.node.unknownIfRepeat(refusal, x.httpReq)
	}
	x.kind = refusal.Kind
	x.result = outcome.Result{Kind: refusal.Kind}
	x.closeIfBodyUnread()
	x.node.withDialect(refusal).Write(x.w)
}
