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

// submissions synchronizes access to the registry of outcomes and wakes the
// repeats that wait for the first submission of their request.
type submissions struct {
	mu       sync.Mutex
	registry *outcome.Registry
	// running holds, by request id, a channel that is closed when the first
	// submission ends.
	running map[string]chan struct{}
	// startMonotonic and startWall are the same time, with and without a monotonic
	// clock reading; see monotonic.
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

// monotonic returns now as a wall clock time that never steps back, as the registry
// requires.
func (r *submissions) monotonic(now time.Time) time.Time {
	return r.startWall.Add(now.Sub(r.startMonotonic))
}

// admit decides on a submission of id. With outcome.Join, ended is closed when the
// first submission ends.
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

// certainlyNotRun reports whether the request with the id text has certainly not
// run, so that a refusal may state this: its id is empty or malformed, so that no
// instance admits it, or this incarnation would run it for the first time.
func (r *submissions) certainlyNotRun(now time.Time, text string) bool {
	id, err := outcome.Parse(text)
	if err != nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.Fresh(r.monotonic(now), id)
}

// finish records the outcome of the first submission of id and wakes its repeats.
func (r *submissions) finish(now time.Time, id outcome.ID, res outcome.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registry.Finish(r.monotonic(now), id, res)
	key := id.String()
	close(r.running[key])
	delete(r.running, key)
}

// runOnce serves a non-idempotent request with an id. If the id names this
// incarnation, the registry decides; otherwise the request is forwarded to its
// home. A repeat waits while the first submission is running.
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
			x.refuse(caller.Refusal{Kind: v.Kind, Message: "the request id was submitted before, is not valid now, or can't be recorded"})
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

// runFirstSubmission runs the first submission to its end, even if its caller
// disconnects, and records the outcome. The outcome is target-lost, hence unknown,
// if run sets none.
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

// replayResponse responds with the recorded response a.
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

// forwardHome forwards a repeat to its home, the instance that its id names. If the
// home can't be reached, the outcome of the request is unknown.
func (x *exchange) forwardHome(id outcome.ID) {
	key := peerKey{id.Instance, id.Incarnation}
	c := x.snapshot.peers[key]
	if c == nil && !x.forwardedHome && id.Instance != x.node.self.ID {
		c = x.node.homeFinder.find(x.ctx, key)
	}
	if c == nil || x.forwardedHome {
		x.refuse(caller.Refusal{Kind: fault.KindHomeGone, Message: "instance " + id.Instance + " is not known in the incarnation that the request id names"})
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

// homeFailureKind returns the kind for a failure to reach the home. Its outcome is
// never "not run", as the first submission may have run.
func homeFailureKind(err error) fault.Kind {
	if k := fault.KindOf(err); k == fault.KindCallerGone {
		return k
	}
	return fault.KindHomeGone
}

// recordResponse records a target's whole response for repeats, with the header
// that the target sent, before this instance adds to it.
func (x *exchange) recordResponse(target string, head caller.Head, body []byte) {
	x.result = outcome.Result{Answer: &outcome.Answer{
		Status: head.Status, Header: http.Header(head.Header).Clone(), Body: body, Target: target,
	}}
}
