package steer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/queue"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

const (
	waitForever = time.Duration(math.MaxInt64)

	// Bounds of the time to come back after a refusal for lack of capacity.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// waiting holds the requests that wait at this instance, over all pools.
type waiting struct {
	// count is the number of waiting requests and of undelivered wake-ups.
	count  atomic.Int64
	ticket atomic.Uint64

	mu       sync.Mutex
	pools    []*poolStats
	byTicket map[uint64]*poolStats
	ready    []Wakeup
}

func (w *waiting) init() { w.byTicket = make(map[uint64]*poolStats) }

// enqueue lets r wait for p, or refuses it when it could not be served in time.
func (c *Core) enqueue(st *state, p *pool, now time.Time, r *Request) Decision {
	w := &c.wait
	w.mu.Lock()
	defer w.mu.Unlock()
	cl := classOf(r.Route.Priority)
	giveUp := c.giveUp(p.poolStats, now, r)
	left := giveUp.Sub(now)
	need := p.expectedWait(p.queue.EstimateAhead(r.Member, cl))
	if need > left {
		return c.overloaded(need - max(0, left))
	}
	it := &queue.Item{Ticket: w.ticket.Add(1), Member: r.Member, Class: cl, ExpiresAt: giveUp, Value: r}
	w.push(p.poolStats, it, func(victim *queue.Item) Wakeup {
		return Wakeup{Ticket: victim.Ticket, Decision: c.overloaded(need)}
	})
	// A slot may have become free since r was found to have to wait. Others in
	// line are left to Done and Tick, which return their decisions at once.
	if p.queue.Peek() == it {
		c.serveOne(st, p.poolStats, now)
		p.queued.Store(int64(p.queue.Len()))
	}
	return w.claim(it.Ticket, p.name)
}

// giveUp returns when r must be answered if it has not been dispatched.
func (c *Core) giveUp(p *poolStats, now time.Time, r *Request) time.Time {
	timeout := r.Route.QueueTimeout.Std()
	if timeout <= 0 {
		timeout = table.DefaultQueueTimeout
	}
	at := now.Add(timeout)
	if last := r.Deadline.Add(-p.service.Value(0)); last.Before(at) {
		return last
	}
	return at
}

// overloaded refuses for lack of capacity that is expected after d. The time
// to come back is spread, so that those refused together don't return together.
func (c *Core) overloaded(d time.Duration) Decision {
	return c.refusedFor(min(d, maxRetryAfter))
}

// refusedFor refuses for lack of capacity for d.
func (c *Core) refusedFor(d time.Duration) Decision {
	d = max(d, minRetryAfter)
	spread := time.Duration(c.random() % uint64(d/2+1))
	return Decision{Kind: fault.KindOverloaded, RetryAfter: d + spread}
}

// push adds it to the queue of p. The caller holds mu.
func (w *waiting) push(p *poolStats, it *queue.Item, refusal func(*queue.Item) Wakeup) {
	if !p.listed {
		p.listed = true
		w.pools = append(w.pools, p)
	}
	w.count.Add(1)
	w.byTicket[it.Ticket] = p
	victim := p.queue.Push(it)
	p.queued.Store(int64(p.queue.Len()))
	if victim != nil {
		w.finish(victim, refusal(victim).Decision)
	}
}

// finish makes the final decision on an item that has left its queue. The
// caller holds mu.
func (w *waiting) finish(it *queue.Item, d Decision) {
	delete(w.byTicket, it.Ticket)
	w.ready = append(w.ready, Wakeup{Ticket: it.Ticket, Decision: d})
}

// claim returns the decision on a ticket that has been made already, or Wait.
// The caller holds mu.
func (w *waiting) claim(ticket uint64, poolName string) Decision {
	for i, wk := range w.ready {
		if wk.Ticket == ticket {
			w.ready = append(w.ready[:i], w.ready[i+1:]...)
			w.count.Add(-1)
			return wk.Decision
		}
	}
	return Decision{Verdict: Wait, Pool: poolName, Ticket: ticket}
}

// wake serves those who wait and returns all decisions made.
func (c *Core) wake(now time.Time) []Wakeup {
	w := &c.wait
	if w.count.Load() == 0 {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	c.serve(c.state.Load(), now)
	out := w.ready
	w.ready = nil
	w.count.Add(-int64(len(out)))
	return out
}

// serve gives free slots to the first in line, the highest class over all
// pools first. The caller holds the lock.
func (c *Core) serve(st *state, now time.Time) {
	w := &c.wait
	for _, p := range w.pools {
		p.blocked = false
		c.expire(p, now)
	}
	for {
		p := w.nextPool()
		if p == nil {
			break
		}
		if !c.serveOne(st, p, now) {
			p.blocked = true
		}
	}
	kept := w.pools[:0]
	for _, p := range w.pools {
		p.queued.Store(int64(p.queue.Len()))
		p.listed = p.queue.Len() > 0
		if p.listed {
			kept = append(kept, p)
		}
	}
	w.pools = kept
}

// nextPool returns the pool whose next request is of the highest class.
func (w *waiting) nextPool() *poolStats {
	var best *poolStats
	var bestClass queue.Class
	for _, p := range w.pools {
		cl, ok := p.queue.PeekClass()
		if ok && !p.blocked && (best == nil || cl < bestClass) {
			best, bestClass = p, cl
		}
	}
	return best
}

// serveOne decides on the first request in line for ps. It reports false when
// that has to wait on.
func (c *Core) serveOne(st *state, ps *poolStats, now time.Time) bool {
	p, ok := st.pools[ps.name]
	if !ok || p.row.Drain || len(p.local) == 0 {
		c.wait.finish(ps.queue.Pop(), refuse(fault.KindNoTarget))
		return true
	}
	it := ps.queue.Peek()
	r := it.Value.(*Request)
	d := c.take(st, p, now, r)
	if d.Kind == fault.KindShiftCapped && p.suspect.Load() {
		// Waiting would only move the excess to a later window.
		c.wait.finish(ps.queue.Pop(), d)
		return true
	}
	if d.Verdict != Dispatch {
		return false
	}
	ps.queue.Pop()
	counted, ok := c.poison.Start(now, r.Fingerprint)
	if !ok {
		d.release()
		d = refuse(fault.KindPoisonHeld)
	}
	d.counted = counted
	d.fingerprint = r.Fingerprint
	c.wait.finish(it, d)
	return true
}

// expire refuses those who can't be served in time any more.
func (c *Core) expire(p *poolStats, now time.Time) {
	for {
		it := p.queue.PopExpired(now)
		if it == nil {
			return
		}
		c.wait.finish(it, c.overloaded(p.expectedWait(p.queue.Len())))
	}
}

// Cancel takes a waiting request out. It reports false when its Wakeup has
// been returned already; the shell must then use that decision.
func (c *Core) Cancel(_ time.Time, ticket uint64) bool {
	w := &c.wait
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.byTicket[ticket]
	if !ok {
		return w.discard(ticket)
	}
	p.queue.Remove(ticket)
	p.queued.Store(int64(p.queue.Len()))
	delete(w.byTicket, ticket)
	w.count.Add(-1)
	return true
}

// discard drops a decision that has not been returned yet.
func (w *waiting) discard(ticket uint64) bool {
	d := w.claim(ticket, "")
	if d.Verdict == Wait {
		return false
	}
	d.release()
	return true
}

// classOf maps a route's priority to its queueing class.
func classOf(p table.Priority) queue.Class {
	switch p {
	case table.PriorityHigh:
		return queue.High
	case table.PriorityLow:
		return queue.Low
	default:
		return queue.Normal
	}
}
