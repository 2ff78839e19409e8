package steer

import (
	"math"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// turn is when a request is expected to leave a waiting room.
type turn struct {
	// ahead is the number of requests before it, interval the time between two of them, and
	// expected the wait that follows.
	ahead              int
	interval, expected time.Duration
	// until is when it is refused if it has not been sent by then.
	until time.Time
}

// late returns how much later than until the turn is expected; zero or less if it isn't.
func (t turn) late(now time.Time) time.Duration { return t.expected - t.until.Sub(now) }

// turnOf returns the turn of r if it began to wait now. The caller holds the mutex of the wait
// queues.
func (rm *room) turnOf(c *Core, snap *snapshot, r *Request) turn {
	est := c.estimateFor(snap.routes[r.Route.Name], r.roomSince, r)
	t := turn{until: r.waitUntil(est), interval: rm.interval(c, snap, est.warmWork), ahead: rm.queue.EstimateAhead(r.roomFlow(), r.rank())}
	t.expected = time.Duration(t.ahead+1) * t.interval
	return t
}

// waitUntil returns when r, with the costs est, is refused if it has not been sent by then:
// its response would be too late for its target latency or its deadline.
func (r *Request) waitUntil(est estimate) time.Time {
	until := r.Deadline.Add(-max(est.warmWork, minTimeLeft))
	longest := est.maxWait
	if r.Workspace != nil && r.Workspace.Rate > 0 {
		longest = min(longest, maxLimitedWait)
	}
	if longest < maxDuration && r.roomSince.Add(longest).Before(until) {
		return r.roomSince.Add(longest)
	}
	return until
}

// interval estimates the time between two requests that this instance sends to the service,
// which take work each.
func (rm *room) interval(c *Core, snap *snapshot, work time.Duration) time.Duration {
	if pace := math.Float64frombits(rm.paceBits.Load()); pace >= 1 {
		return time.Duration(float64(time.Second) / pace)
	}
	slots := 0.0
	for _, p := range snap.poolsOf(rm.name) {
		slots += p.undrainedSlots()
	}
	own := max(1, slots/float64(c.members.Load().Count()))
	return time.Duration(float64(rm.serviceTime.Value(work)) / own)
}

// refuse refuses r, which is expected to find room after wait. The retry-after times of a flow
// follow each other at the pace at which the flow takes turns, but leave its callers time for
// the response. The caller holds the mutex of the wait queues.
func (rm *room) refuse(c *Core, now time.Time, r *Request, wait, interval time.Duration) Decision {
	rm.refused[r.rank()].Add(1)
	d, at := rm.refusalOf(c, now, r, wait, interval)
	rm.lastRetryAt[r.roomFlow()] = at
	return d
}

// refusalOf returns the refusal of refuse, and when its caller may retry, in
// nanoseconds. It changes no state but the random numbers of c.
func (rm *room) refusalOf(c *Core, now time.Time, r *Request, wait, interval time.Duration) (d Decision, at int64) {
	ns, flow := c.nanos(now), r.roomFlow()
	spacing := interval * time.Duration(max(1, len(rm.lastRetryAt)))
	at = min(ns+maxRetryAfter.Nanoseconds(), max(rm.lastRetryAt[flow]+spacing.Nanoseconds(), ns+max(wait, minRetryAfter).Nanoseconds()))
	after := time.Duration(at-ns) + time.Duration(c.random()%uint64(min(spacing, maxRetryAfter/2)+1))
	if !r.CallerDeadline.IsZero() {
		left := r.CallerDeadline.Sub(now)
		after = min(after, max(minRetryAfter, time.Duration(retryAfterFraction*float64(left))))
	}
	return Decision{Kind: fault.KindOverloaded, RetryAfter: after}, at
}

// turnAfter returns how long the caller of r should wait for its turn, after a target has
// refused r that takes queued to serve what waits there.
func (c *Core) turnAfter(rm *room, now time.Time, r *Request, queued time.Duration) time.Duration {
	snap, w := c.snapshot.Load(), &c.waitQueues
	rt, ok := snap.routes[r.Route.Name]
	if !ok {
		return c.refuseOverloaded(queued).RetryAfter
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	interval := rm.interval(c, snap, c.estimateFor(rt, now, r).warmWork)
	ahead := rm.queue.EstimateAhead(r.roomFlow(), r.rank())
	return rm.refuse(c, now, r, max(queued, time.Duration(ahead+1)*interval), interval).RetryAfter
}
