package steer

import (
	"sync/atomic"
	"time"
)

// backoff is the time for which a target has asked for no requests. It answers two
// loads: a target that is sent on what it cannot do, so that refusals take the
// time of its work; and callers of many instances that all come back at the
// moment at which the time ends. After it the requests in flight are bounded by a
// window that begins at one and doubles with each answer. The zero value is a
// target that has asked for nothing.
type backoff struct {
	until atomic.Int64
	// window bounds the requests in flight after until; zero is no bound.
	window atomic.Int64
}

const (
	// backoffJitterFraction is the part of the time asked for by which an instance stays away
	// longer, at random, so that the instances don't return together.
	backoffJitterFraction = 0.25
	// maxBackoffJitter bounds that: a herd is spread once a target can do its work
	// meanwhile.
	maxBackoffJitter = 300 * time.Millisecond
)

// start keeps requests away for d from now on. It never shortens an earlier time,
// and reports whether it has prolonged it.
func (b *backoff) start(now int64, d time.Duration, random uint64) bool {
	spread := uint64(min(backoffJitterFraction*float64(d), float64(maxBackoffJitter)))
	until := now + d.Nanoseconds() + int64(random%(spread+1))
	for {
		old := b.until.Load()
		if until <= old {
			return false
		}
		if b.until.CompareAndSwap(old, until) {
			b.window.Store(1)
			return true
		}
	}
}

// active reports whether the time has not ended at now.
func (b *backoff) active(now int64) bool { return now < b.until.Load() }

// allows reports whether a request may be sent at now beside those in flight.
func (b *backoff) allows(now, inFlight int64) bool {
	if b.active(now) {
		return false
	}
	window := b.window.Load()
	return window == 0 || inFlight < window
}

// recordSuccess widens the window after an answer at now, and lifts it once it holds
// all slots of the target.
func (b *backoff) recordSuccess(now, slots int64) {
	window := b.window.Load()
	if window == 0 || b.active(now) {
		return
	}
	if window *= 2; window >= slots {
		window = 0
	}
	b.window.Store(window)
}

// ObserveNotice takes in what the target of d has said of itself with the head of
// an answer, while the rest of the answer may still be on its way. It reports
// whether any of it was news.
func (c *Core) ObserveNotice(now time.Time, d Decision, n Notice) (news bool) {
	if d.targetStats == nil {
		return false
	}
	ns := c.nanos(now)
	if n.Leaving {
		news = d.targetStats.markLeaving(ns)
	}
	if n.RetryAfter > 0 {
		news = d.targetStats.backoff.start(ns, n.RetryAfter, c.random()) || news
	}
	return news
}

// earliestBackoffEnd returns how long it takes until the first of the targets for r that
// have asked for no requests takes one again. rest says that there are any, and free
// that there are others. That r was sent to a target before counts for nothing: who
// comes back sends another request.
func (c *Core) earliestBackoffEnd(r *Request, ns int64) (wait time.Duration, rest, free bool) {
	wait = maxDuration
	for _, p := range c.state.Load().poolsOf(r.service) {
		if !allowsRegion(r.Route.Regions, p.row.Region) {
			continue
		}
		for _, t := range p.targets {
			switch {
			case !t.eligible(ns) || t.unreachable.Load():
			case t.backoff.allows(ns, t.inFlight.Load()):
				free = true
			default:
				rest = true
				wait = min(wait, time.Duration(max(0, t.backoff.until.Load()-ns)))
			}
		}
	}
	return wait, rest, free
}
