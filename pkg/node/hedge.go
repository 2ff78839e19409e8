package node

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// hedge is a second attempt beside a first one that is late. The answer that
// comes first is the caller's, and the other attempt is cancelled.
type hedge struct {
	x     *exchange
	first *attempt
	// cancelFirst ends the first attempt.
	cancelFirst context.CancelFunc
	// secondDone is closed when the second attempt is over or will not be made.
	secondDone chan struct{}

	mu sync.Mutex
	// firstDone keeps a second attempt from beginning.
	firstDone bool
	// winner is the attempt that brought an answer first.
	winner       *attempt
	second       *attempt
	cancelSecond context.CancelFunc
}

// makeHedgedAttempt makes the first attempt, and a second one if it has no answer after
// delay. It returns the attempt that counts; settle ends the other one.
func (x *exchange) makeHedgedAttempt(d steer.Decision, delay time.Duration) (t *attempt, settle func()) {
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

// completeFirst takes in the end of the first attempt. It returns the second
// one, if that has begun, and whether the first has won.
func (h *hedge) completeFirst() (second *attempt, won bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.firstDone = true
	if h.winner == nil && h.first.err == nil {
		h.winner = h.first
	}
	return h.second, h.winner == h.first
}

// prefersSecond reports whether the second attempt stands for both: it has won, or
// both have failed and only the second may have run.
func (h *hedge) prefersSecond(second *attempt) bool {
	if second.err == nil {
		return true
	}
	return outcomeOf(second) == fault.Unknown && outcomeOf(h.first) == fault.NotRun
}

func outcomeOf(t *attempt) fault.Outcome { return t.result.Kind.Answer().Outcome }

// finishLoser ends the attempt that does not count.
func (h *hedge) finishLoser(loser *attempt) {
	h.cancelSecond()
	h.cancelFirst()
	<-h.secondDone
	if loser.err == nil {
		loser.result.Kind = fault.KindCallerGone
	}
	loser.done()
}

// runSecond makes the second attempt when there is budget and a place for it.
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

// startSecond decides on the second attempt.
func (h *hedge) startSecond() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, x := h.x.node, h.x
	if h.firstDone || !n.core.MayHedge(n.now(), &x.req) {
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

// cancelWait takes a request out of the queue, unless its decision has been
// made already.
func (x *exchange) cancelWait(d steer.Decision) steer.Decision {
	place := x.node.waiters.channel(d.Ticket)
	defer x.node.waiters.remove(d.Ticket)
	if x.node.core.Cancel(x.node.now(), d.Ticket) {
		return steer.Decision{}
	}
	return <-place
}
