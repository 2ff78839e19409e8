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
	// maxDuration stands for a wait or cost without a bound.
	maxDuration = time.Duration(math.MaxInt64)

	// Bounds of the retry-after time of refusals for lack of capacity, without
	// jitter. Backoffs may exceed the upper one.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// waitQueues holds the queued requests of all pools, and the decisions on them
// that have not been returned.
type waitQueues struct {
	// count is the number of queued requests and unreturned decisions.
	count      atomic.Int64
	lastTicket atomic.Uint64

	mu sync.Mutex
	// tablesVersion is the version of the tables under which all queued requests have been
	// checked.
	tablesVersion uint64
	pools         []*poolStats
	byTicket      map[uint64]*poolStats
	ready         []Wakeup
}

func (w *waitQueues) init() { w.byTicket = make(map[uint64]*poolStats) }

// enqueue queues r for p, or refuses it when it could not be served in time.
func (c *Core) enqueue(snap *snapshot, p *pool, now time.Time, r *Request) Decision {
	w := &c.waitQueues
	w.mu.Lock()
	defer w.mu.Unlock()
	// Tables that are newer than snap may have been applied to the queues already.
	w.tablesVersion = min(w.tablesVersion, snap.tables.Version)
	class := r.class()
	deadline := c.waitDeadline(p.poolStats, now, r)
	remaining := deadline.Sub(now)
	expected := p.expectedWait(p.queue.EstimateAhead(r.fairnessName(snap), class))
	if expected > remaining {
		return c.refuseOverloaded(expected - max(0, remaining))
	}
	item := &queue.Item{Ticket: w.lastTicket.Add(1), Member: r.fairnessName(snap), Class: class, ExpiresAt: deadline, Value: r}
	c.depositFor(r)
	w.push(p.poolStats, item, func(dropped *queue.Item) Wakeup {
		return Wakeup{Ticket: dropped.Ticket, Decision: c.refuseOverloaded(expected)}
	})
	// A slot may have become free since the dispatch of r was refused. Requests
	// ahead of r are left to Done and Tick, which return decisions at once.
	if p.queue.Peek() == item {
		c.serveNext(snap, p.poolStats, now)
		p.queued.Store(int64(p.queue.Len()))
	}
	return w.takeReady(item.Ticket, p.name)
}

// waitDeadline returns when r is refused if it has not been dispatched by then.
func (c *Core) waitDeadline(p *poolStats, now time.Time, r *Request) time.Time {
	timeout := r.Route.QueueTimeout.Std()
	if timeout <= 0 {
		timeout = table.DefaultQueueTimeout
	}
	deadline := now.Add(timeout)
	if latest := r.Deadline.Add(-p.serviceTime.Value(0)); latest.Before(deadline) {
		return latest
	}
	return deadline
}

// refuseOverloaded refuses for lack of capacity that is expected after d. The
// retry-after time has jitter, so that callers refused together do not return
// together.
func (c *Core) refuseOverloaded(d time.Duration) Decision {
	return c.refuseFor(min(d, maxRetryAfter))
}

// refuseFor refuses for lack of capacity for at least d.
func (c *Core) refuseFor(d time.Duration) Decision {
	d = max(d, minRetryAfter)
	jitter := time.Duration(c.random() % uint64(d/2+1))
	return Decision{Kind: fault.KindOverloaded, RetryAfter: d + jitter}
}

// push adds item to the queue of p. The caller holds mu.
func (w *waitQueues) push(p *poolStats, item *queue.Item, refusal func(*queue.Item) Wakeup) {
	if !p.inWaitQueues {
		p.inWaitQueues = true
		w.pools = append(w.pools, p)
	}
	w.count.Add(1)
	w.byTicket[item.Ticket] = p
	dropped := p.queue.Push(item)
	p.queued.Store(int64(p.queue.Len()))
	if dropped != nil {
		w.resolve(dropped, refusal(dropped).Decision)
	}
}

// resolve records the final decision on an item that has left its queue. The
// caller holds mu.
func (w *waitQueues) resolve(item *queue.Item, d Decision) {
	delete(w.byTicket, item.Ticket)
	w.ready = append(w.ready, Wakeup{Ticket: item.Ticket, Decision: d})
}

// takeReady returns the decision on a ticket, or Wait if there is none yet. The
// caller holds mu.
func (w *waitQueues) takeReady(ticket uint64, poolName string) Decision {
	for i, wakeup := range w.ready {
		if wakeup.Ticket == ticket {
			w.ready = append(w.ready[:i], w.ready[i+1:]...)
			w.count.Add(-1)
			return wakeup.Decision
		}
	}
	return Decision{Verdict: Wait, Pool: poolName, Ticket: ticket}
}

// serveAndCollect serves the queues and returns all decisions made.
func (c *Core) serveAndCollect(now time.Time) []Wakeup {
	w := &c.waitQueues
	if w.count.Load() == 0 {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	c.serveQueues(c.snapshot.Load(), now)
	decided := w.ready
	w.ready = nil
	w.count.Add(-int64(len(decided)))
	return decided
}

// serveQueues assigns free slots to the first requests of the queues, the
// highest class over all pools first. The caller holds mu.
func (c *Core) serveQueues(snap *snapshot, now time.Time) {
	w := &c.waitQueues
	recheck := w.tablesVersion != snap.tables.Version
	w.tablesVersion = snap.tables.Version
	for _, p := range w.pools {
		p.blocked = false
		if recheck {
			c.refuseDisallowed(snap, p)
		}
		c.refuseExpired(snap, p, now)
		c.refuseQueuedBeforeStop(snap, p, now)
	}
	for {
		p := w.nextPool()
		if p == nil {
			break
		}
		if !c.serveNext(snap, p, now) {
			p.blocked = true
		}
	}
	kept := w.pools[:0]
	for _, p := range w.pools {
		p.queued.Store(int64(p.queue.Len()))
		p.inWaitQueues = p.queue.Len() > 0
		if p.inWaitQueues {
			kept = append(kept, p)
		}
	}
	w.pools = kept
}

// nextPool returns the pool whose next request has the highest class.
func (w *waitQueues) nextPool() *poolStats {
	var best *poolStats
	var bestClass queue.Class
	for _, p := range w.pools {
		class, ok := p.queue.PeekClass()
		if ok && !p.blocked && (best == nil || class < bestClass) {
			best, bestClass = p, class
		}
	}
	return best
}

// serveNext decides on the next request in the queue of ps. It reports false
// when that request must remain queued.
func (c *Core) serveNext(snap *snapshot, ps *poolStats, now time.Time) bool {
	if ps.room != nil {
		return c.serveRoom(snap, ps.room, now)
	}
	p, ok := snap.pools[ps.name]
	if !ok || p.row.Drain || len(p.targets) == 0 {
		c.waitQueues.resolve(ps.queue.Pop(), refuse(fault.KindNoTarget))
		return true
	}
	item := ps.queue.Peek()
	r := item.Value.(*Request)
	if refusal, ok := c.bindQueued(snap, r, ps.name); !ok {
		c.waitQueues.resolve(ps.queue.Pop(), refusal)
		return true
	}
	d := c.dispatchNow(snap, p, now, r)
	if d.Kind == fault.KindShiftCapped && p.summaryOverdue.Load() {
		// Queueing would only move the excess to a later shift window.
		c.waitQueues.resolve(ps.queue.Pop(), d)
		return true
	}
	if d.Verdict != Dispatch {
		return false
	}
	ps.queue.Pop()
	d, ok = c.startQueued(snap, now, r, d)
	if !ok {
		p.cancelAdmit()
	}
	c.waitQueues.resolve(item, d)
	return true
}

// startQueued returns the dispatch d of a request that has waited, or false and a refusal
// if its targets are repeatedly lost.
func (c *Core) startQueued(snap *snapshot, now time.Time, r *Request, d Decision) (_ Decision, ok bool) {
	counted, ok := c.poison.Start(now, r.Fingerprint)
	if !ok {
		d.release()
		d = refuse(fault.KindPoisonHeld)
	}
	d.poisonCounted = counted
	d.setRequest(snap, r)
	return d, ok
}

// refuseDisallowed refuses the queued requests of p that the tables of snap do not allow
// there. The caller holds mu.
func (c *Core) refuseDisallowed(snap *snapshot, p *poolStats) {
	for _, item := range p.queue.Items() {
		if refusal, ok := c.bindWaiting(snap, item.Value.(*Request), p); !ok {
			p.queue.Remove(item.Ticket)
			c.waitQueues.resolve(item, refusal)
		}
	}
}

// refuseExpired refuses the queued requests of p that can no longer be served
// in time.
func (c *Core) refuseExpired(snap *snapshot, p *poolStats, now time.Time) {
	for {
		item := p.queue.PopExpired(now)
		if item == nil {
			return
		}
		if p.room != nil {
			c.waitQueues.resolve(item, p.room.refuse(c, now, item.Value.(*Request), 0, p.room.interval(c, snap, priorServiceTime)))
			continue
		}
		c.waitQueues.resolve(item, c.refuseOverloaded(p.expectedWait(p.queue.Len())))
	}
}

// Cancel removes a queued request. It reports false when its Wakeup has already
// been returned; that decision must then be used.
func (c *Core) Cancel(_ time.Time, ticket uint64) bool {
	w := &c.waitQueues
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.byTicket[ticket]
	if !ok {
		return c.discard(ticket)
	}
	p.queue.Remove(ticket)
	p.queued.Store(int64(p.queue.Len()))
	delete(w.byTicket, ticket)
	w.count.Add(-1)
	return true
}

// discard drops a decision that has not been returned yet, with what it holds. The caller
// holds the mutex of the wait queues.
func (c *Core) discard(ticket uint64) bool {
	d := c.waitQueues.takeReady(ticket, "")
	if d.Verdict == Wait {
		return false
	}
	d.release()
	if d.poisonCounted {
		c.poison.Abandon(d.fingerprint)
	}
	return true
}
