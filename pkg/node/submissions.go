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

// submissions guards the registry of outcomes and wakes the submissions that wait
// for the first one.
type submissions struct {
	mu       sync.Mutex
	registry *outcome.Registry
	running  map[string]chan struct{}
	// startMonotonic and base make a clock that never steps back.
	startMonotonic time.Time
	startWall      time.Time
}

func newSubmissions(instance, incarnation string, now time.Time) *submissions {
	return &submissions{
		registry:       outcome.NewRegistry(instance, incarnation, outcome.DefaultLimits()),
		running:        make(map[string]chan struct{}),
		startMonotonic: now,
		startWall:      now.Round(0),
	}
}

// monotonic returns the time at now, as the registry needs it.
func (r *submissions) monotonic(now time.Time) time.Time {
	return r.startWall.Add(now.Sub(r.startMonotonic))
}

// admit decides on a submission; ended is set with outcome.Join.
func (r *submissions) admit(now time.Time, id outcome.ID) (v outcome.Verdict, ended <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v = r.registry.Admit(r.monotonic(now), id)
	key := id.String()
	if v.Action == outcome.Run {
		r.running[key] = make(chan struct{})
	}
	return v, r.running[key]
}

// certainlyNotRun reports whether "not run" may be said of the request with the id text
// without having run it: it has no id, an id that was never admitted anywhere,
// or one that this incarnation would run for the first time.
func (r *submissions) certainlyNotRun(now time.Time, text string) bool {
	id, err := outcome.Parse(text)
	if err != nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.Fresh(r.monotonic(now), id)
}

// finish records the end of a first submission.
func (r *submissions) finish(now time.Time, id outcome.ID, res outcome.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registry.Finish(r.monotonic(now), id, res)
	key := id.String()
	close(r.running[key])
	delete(r.running, key)
}

// runOnce serves a non-idempotent request with an id: here when the id names
// this incarnation, else at the instance that it names.
func (x *exchange) runOnce(id outcome.ID) {
	x.w.Header().Set(wire.HeaderRequestID, id.String())
	if !x.node.submissions.registry.Names(id) {
		x.forwardHome(id)
		return
	}
	for {
		v, ended := x.node.submissions.admit(x.node.now(), id)
		switch v.Action {
		case outcome.Run:
			x.knownFirst = true
			x.runFirstSubmission(id)
			return
		case outcome.Replay:
			x.replayResponse(v.Answer)
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

// runFirstSubmission runs the first submission to its end, also when its caller goes
// away, and records the outcome.
func (x *exchange) runFirstSubmission(id outcome.ID) {
	x.recordResult = true
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.ctx), x.req.Deadline)
	defer cancel()
	x.ctx = ctx
	x.result = outcome.Result{Kind: fault.KindTargetLost}
	defer func() { x.node.submissions.finish(x.node.now(), id, x.result) }()
	if x.node.refusesRequests() {
		x.refuse(caller.Refusal{Kind: fault.KindLeaving})
		return
	}
	x.run()
}

// replayResponse gives a recorded answer again.
func (x *exchange) replayResponse(a *outcome.Answer) {
	h := x.w.Header()
	h.Set(wire.HeaderOutcome, string(fault.Completed))
	h.Set(wire.HeaderTarget, a.Target)
	head := caller.Head{Status: a.Status, Header: a.Header, Length: int64(len(a.Body))}
	x.relay.Final(head, isReservedField)
	if x.relay.Whole(a.Body, head) != nil {
		x.truncated = true
	}
}

// forwardHome passes a repeat to the instance that its id names. When that can't
// be reached, nothing is known about the request.
func (x *exchange) forwardHome(id outcome.ID) {
	key := peerKey{id.Instance, id.Incarnation}
	c := x.snapshot.peers[key]
	if c == nil && !x.forwardedHome && id.Instance != x.node.self.ID {
		c = x.node.homeFinder.find(x.ctx, key)
	}
	if c == nil || x.forwardedHome {
		x.refuse(caller.Refusal{Kind: fault.KindHomeGone, Message: "instance " + id.Instance + " of that incarnation is gone"})
		return
	}
	if !x.prepareBody() {
		return
	}
	a, err := c.SendHome(x.ctx, x.in, x.body, x.req.Idempotent, x.req.Deadline)
	if err != nil {
		x.refuse(caller.Refusal{Kind: homeFailureKind(err), Message: err.Error()})
		return
	}
	defer a.Close()
	x.relayResponse(x.ctx, a.Answer, responseHead(a.Answer), bodyPrefix{}, isPerInstanceField)
}

// homeFailureKind is the kind for a failure to reach the home. The first submission
// may have run, so it is never "not run".
func homeFailureKind(err error) fault.Kind {
	if k := fault.KindOf(err); k == fault.KindCallerGone {
		return k
	}
	return fault.KindHomeGone
}

// recordResponse keeps a target's whole answer for repeats. The header is that
// of the target, before this instance adds to it.
func (x *exchange) recordResponse(target string, head caller.Head, body []byte) {
	x.result = outcome.Result{Answer: &outcome.Answer{
		Status: head.Status, Header: http.Header(head.Header).Clone(), Body: body, Target: target,
	}}
}
