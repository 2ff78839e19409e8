package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/outcome"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/peer/hop"
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
func (s *submissions) monotonic(now time.Time) time.Time {
	return s.startWall.Add(now.Sub(s.startMonotonic))
}

// admit decides on a submission of id. With outcome.Wait, ended is closed when the
// first submission ends.
func (s *submissions) admit(now time.Time, id outcome.ID) (decision outcome.Decision, ended <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision = s.registry.Admit(s.monotonic(now), id)
	key := id.String()
	if decision.Action == outcome.Run {
		s.running[key] = make(chan struct{})
	}
	return decision, s.running[key]
}

// certainlyNotRun reports whether the request with the id rawID has certainly not
// run, so that a refusal may state this: its id is empty or malformed, so that no
// instance admits it, or this incarnation would run it for the first time.
func (s *submissions) certainlyNotRun(now time.Time, rawID string) bool {
	id, err := outcome.Parse(rawID)
	if err != nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.ProvablyNotRun(s.monotonic(now), id)
}

// finish records the outcome of the first submission of id and wakes its repeats.
func (s *submissions) finish(now time.Time, id outcome.ID, res outcome.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Finish(s.monotonic(now), id, res)
	key := id.String()
	close(s.running[key])
	delete(s.running, key)
}

// runOnce serves a non-idempotent request with an id. If the id names this
// incarnation, the registry decides; otherwise the request is forwarded to its
// home. A repeat waits while the first submission is running.
func (x *exchange) runOnce(id outcome.ID) {
	x.w.Header().Set(wire.HeaderRequestID, id.String())
	if !x.node.submissions.registry.Owns(id) {
		x.forwardHome(id)
		return
	}
	for {
		decision, ended := x.node.submissions.admit(x.node.now(), id)
		switch decision.Action {
		case outcome.Run:
			x.knownFirst = true
			x.runFirstSubmission(id)
			return
		case outcome.Replay:
			x.replayResponse(decision.Response)
			return
		case outcome.Refuse:
			x.refuse(caller.Refusal{Kind: decision.Kind, Message: "the request id was submitted before, is not valid now, or cannot be recorded"})
			return
		}
		select {
		case <-ended:
		case <-x.ctx.Done():
			x.refuse(caller.Refusal{Kind: fault.KindTargetTimeout, Message: "the first submission is still running"})
			return
		}
		// The key may have been withdrawn, or moved to another workspace, meanwhile.
		if x.keysInUse && !x.identify() {
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

// replayResponse responds with a recorded response, unless it belongs to another workspace.
func (x *exchange) replayResponse(recorded *outcome.Response) {
	if recorded.Workspace != x.workspaceName() {
		// The key may have moved from that workspace to this one, so that the request has run.
		x.refuse(caller.Refusal{Kind: fault.KindHomeGone, Message: "the request id belongs to another workspace"})
		return
	}
	h := x.w.Header()
	h.Set(wire.HeaderOutcome, string(fault.OutcomeCompleted))
	h.Set(wire.HeaderTarget, recorded.Target)
	head := caller.ResponseHead{Status: recorded.Status, Header: recorded.Header, ContentLength: int64(len(recorded.Body))}
	x.relay.WriteFinalHeader(head, isReservedField)
	if x.relay.WriteBody(recorded.Body, head) != nil {
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
		x.refuse(caller.Refusal{Kind: fault.KindHomeGone, Message: "instance " + id.Instance + " is not listed with the incarnation that the request id names"})
		return
	}
	if !x.prepareBody() {
		return
	}
	// The tables may have gained workspaces while the body came in.
	if !x.identify() {
		return
	}
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	resp, err := c.ForwardHome(ctx, x.httpReq, x.body, hop.Decision{
		TablesVersion: x.req.TablesVersion, Idempotent: x.req.Idempotent, Deadline: x.req.Deadline,
		Key: hop.Key{InUse: x.keysInUse, Digest: x.req.Key},
	})
	if err != nil {
		x.refuse(caller.Refusal{Kind: homeFailureKind(err), Message: err.Error()})
		return
	}
	defer resp.Close()
	x.relayResponse(&received{
		response: resp.Response, head: responseHead(resp.Response), ctx: ctx, cancel: cancel, release: resp.Close,
	}, isPerInstanceField)
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
func (x *exchange) recordResponse(target string, head caller.ResponseHead, body []byte) {
	x.result = outcome.Result{Response: &outcome.Response{
		Status: head.Status, Header: http.Header(head.Header).Clone(), Body: body, Target: target, Workspace: x.lastDecision.Caller.Workspace,
	}}
}
