package node

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// hedge runs a second attempt in parallel with a first one that is late. The first
// response goes to the caller, and the other attempt is cancelled.
type hedge struct {
	x     *exchange
	first *attempt
	// cancelFirst cancels the first attempt.
	cancelFirst context.CancelFunc
	// secondDone is closed when the second attempt has ended or will not be made.
	secondDone chan struct{}

	mu sync.Mutex
	// firstDone is set when the first attempt has ended; no second attempt starts
	// after that.
	firstDone bool
	// winner is the attempt that received a response first, or nil.
	winner *attempt
	// second is nil until the second attempt starts; cancelSecond cancels it.
	second       *attempt
	cancelSecond context.CancelFunc
}

// makeHedgedAttempt makes the attempt for d, and a second one if the first has no
// response after delay. It returns the attempt to use; cleanup cancels the other
// one and waits for its end.
func (x *exchange) makeHedgedAttempt(d steer.Decision, delay time.Duration) (used *attempt, cleanup func()) {
	ctx, cancel := context.WithCancel(x.ctx)
	h := &hedge{x: x, first: x.newAttempt(ctx, d), cancelFirst: cancel, secondDone: make(chan struct{})}
	timer := time.AfterFunc(delay, h.runSecond)
	h.first.send()
	if timer.Stop() {
		return h.first, cancel
	}
	second, won := h.completeFirst()
	if second == nil || !won {
		<-h.secondDone
	}
	if second == nil {
		return h.first, cancel
	}
	if won || !h.prefersSecond(second) {
		h.cancelSecond()
		return h.first, func() { h.finishLoser(second) }
	}
	return second, func() { h.finishLoser(h.first) }
}

// completeFirst records the end of the first attempt. It returns the second
// attempt, or nil if none has started, and whether the first one is the winner.
func (h *hedge) completeFirst() (second *attempt, won bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.firstDone = true
	if h.winner == nil && h.first.err == nil {
		h.winner = h.first
	}
	return h.second, h.winner == h.first
}

// prefersSecond reports whether the second attempt determines the outcome of the
// request: it succeeded, or both failed and only the second may have run.
func (h *hedge) prefersSecond(second *attempt) bool {
	if second.err == nil {
		return true
	}
	return outcomeOf(second) == fault.OutcomeUnknown && outcomeOf(h.first) == fault.OutcomeNotRun
}

// outcomeOf returns the outcome that the kind of a's result stands for.
func outcomeOf(a *attempt) fault.Outcome { return a.result.Kind.Info().Outcome }

// finishLoser cancels loser, the attempt that is not used, waits for the second
// attempt to end and calls done on loser.
func (h *hedge) finishLoser(loser *attempt) {
	h.cancelSecond()
	h.cancelFirst()
	<-h.secondDone
	if loser.err == nil {
		loser.result.Kind = fault.KindCallerGone
	}
	loser.done()
}

// runSecond makes the second attempt if startSecond allows it. A response makes it
// the winner unless the first attempt has won, and cancels the first attempt.
func (h *hedge) runSecond() {
	defer close(h.secondDone)
	if !h.startSecond() {
		return
	}
	h.second.send()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner == nil && h.second.err == nil {
		h.winner = h.second
		h.cancelFirst()
	}
}

// startSecond decides on the second attempt and prepares it. It reports false if
// the first attempt has ended, the retry budget is spent, or the decision is to
// wait or refuse.
func (h *hedge) startSecond() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, x := h.x.node, h.x
	if h.firstDone || !n.core.AllowHedge(n.now(), &x.req) {
		return false
	}
	d := n.core.Decide(n.now(), &x.req)
	if d.Verdict == steer.Wait {
		d = x.cancelWait(d)
	}
	if d.Verdict == steer.Refuse {
		return false
	}
	var ctx context.Context
	ctx, h.cancelSecond = context.WithCancel(x.ctx)
	h.second = x.newAttempt(ctx, d)
	return true
}

// cancelWait removes the request of the waiting decision d from the queue. It
// returns the final decision if that has already been made, else a refusal.
func (x *exchange) cancelWait(d steer.Decision) steer.Decision {
	decided := x.node.waiters.channel(d.Ticket)
	defer x.node.waiters.remove(d.Ticket)
	if x.node.core.Cancel(x.node.now(), d.Ticket) {
		return steer.Decision{}
	}
	return <-decided
}
