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
	first *try
	// cancelFirst ends the first attempt.
	cancelFirst context.CancelFunc
	// ended is closed when the second attempt is over or will not be made.
	ended chan struct{}

	mu sync.Mutex
	// closed keeps a second attempt from beginning.
	closed bool
	// winner is the attempt that brought an answer first.
	winner *try
	second *try
	cancel context.CancelFunc
}

// hedged makes the first attempt, and a second one if it has no answer after
// delay. It returns the attempt that counts; settle ends the other one.
func (x *exchange) hedged(d steer.Decision, delay time.Duration) (t *try, settle func()) {
	ctx, cancel := context.WithCancel(x.ctx)
	h := &hedge{x: x, first: x.newTry(ctx, d), cancelFirst: cancel, ended: make(chan struct{})}
	timer := time.AfterFunc(delay, h.run)
	h.first.send()
	if timer.Stop() {
		return h.first, cancel
	}
	second, won := h.finishFirst()
	if second == nil || !won {
		<-h.ended
	}
	if second == nil {
		return h.first, cancel
	}
	if won || !h.counts(second) {
		h.cancel()
		return h.first, func() { h.settle(second) }
	}
	return second, func() { h.settle(h.first) }
}

// finishFirst takes in the end of the first attempt. It returns the second
// one, if that has begun, and whether the first has won.
func (h *hedge) finishFirst() (second *try, won bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	if h.winner == nil && h.first.err == nil {
		h.winner = h.first
	}
	return h.second, h.winner == h.first
}

// counts reports whether the second attempt stands for both: it has won, or
// both have failed and only the second may have run.
func (h *hedge) counts(second *try) bool {
	if second.err == nil {
		return true
	}
	return outcomeOf(second) == fault.OutcomeUnknown && outcomeOf(h.first) == fault.OutcomeNotRun
}

func outcomeOf(t *try) fault.Outcome { return t.res.Kind.Info().Outcome }

// settle ends the attempt that does not count.
func (h *hedge) settle(loser *try) {
	h.cancel()
	h.cancelFirst()
	<-h.ended
	if loser.err == nil {
		loser.res.Kind = fault.KindCallerGone
	}
	loser.done()
}

// run makes the second attempt when there is budget and a place for it.
func (h *hedge) run() {
	defer close(h.ended)
	if !h.begin() {
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

// begin decides on the second attempt.
func (h *hedge) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, x := h.x.node, h.x
	if h.closed || !n.core.MayHedge(n.now(), &x.req) {
		return false
	}
	d := n.core.Decide(n.now(), &x.req)
	if d.Verdict == steer.Wait {
		d = x.giveUpWait(d)
	}
	if d.Verdict == steer.Refuse {
		return false
	}
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(x.ctx)
	h.second = x.newTry(ctx, d)
	return true
}

// giveUpWait takes a request out of the queue, unless its decision has been
// made already.
func (x *exchange) giveUpWait(d steer.Decision) steer.Decision {
	place := x.node.waiters.place(d.Ticket)
	defer x.node.waiters.forget(d.Ticket)
	if x.node.core.Cancel(x.node.now(), d.Ticket) {
		return steer.Decision{}
	}
	return <-place
}
