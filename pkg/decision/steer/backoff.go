package steer

import (
	"sync/atomic"
	"time"
)

// backoff is the time for which a target has asked, with Retry-After, to
// receive no requests. It prevents two kinds of overload: a target that keeps
// receiving requests which it must refuse spends its capacity on the refusals,
// and the callers of many instances would all return at the moment when the
// time ends. Once the time has passed, the requests in flight are bounded by a
// window, which starts at one and doubles with each response. The zero value is
// the backoff of a target that has not asked for any.
type backoff struct {
	until atomic.Int64
	// window bounds the requests in flight after until. Zero means no bound.
	window atomic.Int64
}

const (
	// backoffJitterFraction is the largest random extension of a backoff, as a
	// fraction of the time asked for. The jitter keeps the instances from
	// returning all at the same moment.
	backoffJitterFraction = 0.25
	// maxBackoffJitter bounds the jitter. Spreading the returning requests over
	// more time than a target needs to serve them gains nothing.
	maxBackoffJitter = 300 * time.Millisecond
)

// start begins a backoff of d from now on. It never shortens a backoff, and
// reports whether it has extended it.
func (b *backoff) start(now int64, d time.Duration, random uint64) bool {
	jitter := uint64(min(backoffJitterFraction*float64(d), float64(maxBackoffJitter)))
	until := now + d.Nanoseconds() + int64(random%(jitter+1))
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

// active reports whether the target must not receive requests at now.
func (b *backoff) active(now int64) bool { return now < b.until.Load() }

// allows reports whether another request may be sent at now, in addition to
// those in flight.
func (b *backoff) allows(now, inFlight int64) bool {
	if b.active(now) {
		return false
	}
	window := b.window.Load()
	return window == 0 || inFlight < window
}

// recordSuccess doubles the window after a response at now, and removes it once
// it is as large as the number of the target's slots.
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

// ObserveNotice records what the target of d has reported about itself in the
// header of a response, whose body may not have been received yet. It reports
// whether the notice changed anything.
func (c *Core) ObserveNotice(now time.Time, d Decision, n Notice) (changed bool) {
	if d.targetStats == nil {
		return false
	}
	ns := c.nanos(now)
	if n.Leaving && d.targetStats.markLeaving(ns) {
		changed = true
		c.recordOwnNotice(now, d.Target)
	}
	if n.RetryAfter > 0 {
		changed = d.targetStats.backoff.start(ns, n.RetryAfter, c.random()) || changed
	}
	return changed
}

// TargetLeaving reports whether the target of d has begun to leave since the decision,
// so that a request that has not been sent to it yet must not be: it has announced that
// to this instance, or by the tables in force it drains, is gone, or is another
// incarnation or at another address. Peers' reports do not count.
func (c *Core) TargetLeaving(d *Decision) bool {
	if d.targetStats == nil {
		return false
	}
	t, ok := c.snapshot.Load().targets[d.Target]
	return d.targetStats.leaving.Load() || !ok || t.drain || t.targetStats != d.targetStats || t.row.Address != d.Address
}

// earliestBackoffEnd returns the time until the first of the targets for r that
// are in backoff or limit their requests accepts requests again. inBackoff reports whether there are
// any such targets, and available whether there are others. Targets that r has
// already been sent to are included, because a caller that retries sends a new
// request.
func (c *Core) earliestBackoffEnd(r *Request, now int64) (wait time.Duration, inBackoff, available bool) {
	wait = maxDuration
	for _, p := range c.snapshot.Load().poolsOf(r.service) {
		if !r.mayUseRegion(p.row.Region) {
			continue
		}
		for _, t := range p.targets {
			switch {
			case !t.eligible(now) || t.unreachable.Load():
			case t.backoff.allows(now, t.inFlight.Load()) && t.limiter.Allows(now):
				available = true
			default:
				inBackoff = true
				wait = min(wait, max(time.Duration(max(0, t.backoff.until.Load()-now)), t.limiter.Wait(now)))
			}
		}
	}
	return wait, inBackoff, available
}
