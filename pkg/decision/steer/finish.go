package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/choice"
	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// release gives back what d has taken.
func (d *Decision) release() {
	if d.targetStats != nil {
		d.targetStats.inFlight.Add(-1)
		d.region.inFlight.Add(-1)
	}
}

// Done gives back what d took and returns the waiting requests that may now
// proceed. Call it once for each Dispatch and Hop.
func (c *Core) Done(now time.Time, d Decision, res Result) []Wakeup {
	ns := c.nanos(now)
	switch d.Verdict {
	case Dispatch:
		c.recordDirectResult(ns, &d, res)
		c.recordResult(ns, &d, res)
		c.releaseOrOrphan(ns, &d, res)
	case Hop:
		d.zoneStats.recordHop(ns, res)
	default:
		return nil
	}
	c.recordPoison(now, &d, res)
	return c.serveAndCollect(now)
}

// releaseOrOrphan gives back what d took, at once unless the target may still run it.
func (c *Core) releaseOrOrphan(now int64, d *Decision, res Result) {
	if leavesOrphan(res.Kind) {
		c.orphans.add(now, d)
		return
	}
	d.release()
	if res.Kind == fault.KindNone {
		c.orphans.releaseBefore(d.targetStats, d.dispatchedAt)
	}
}

// recordResult takes in how an attempt at a target ended.
func (c *Core) recordResult(now int64, d *Decision, res Result) {
	s := d.targetStats
	switch res.Kind {
	case fault.KindNone:
		s.latency.Observe(now, res.Latency)
		s.health.Succeeded()
		s.backoff.recordSuccess(now, d.targetSlots)
		d.poolStats.serviceTime.Observe(res.Latency)
		s.unreachable.Store(false)
	case fault.KindTargetShed:
		s.pausedUntil.Store(now + shedPause.Nanoseconds())
	case fault.KindTargetTimeout, fault.KindTargetRefused, fault.KindTargetLost, fault.KindTargetGarbage:
		if s.health.Failed() {
			c.eject(now, d)
		}
	}
}

// eject keeps the target of d out, unless too many of its pool are out.
func (c *Core) eject(now int64, d *Decision) {
	p, ok := c.state.Load().pools[d.Pool]
	if !ok {
		return
	}
	ejected := 0
	for _, t := range p.targets {
		if t.health.Ejected(now) {
			ejected++
		}
	}
	if ejected < choice.MaxEjected(len(p.targets)) {
		d.targetStats.health.Eject(now)
	}
}

// recordPoison takes in what the attempt says about the request itself.
func (c *Core) recordPoison(now time.Time, d *Decision, res Result) {
	switch {
	case res.Kind == fault.KindTargetLost && d.Verdict == Hop:
		c.poison.Relayed(now, d.fingerprint, d.poisonCounted)
	case res.Kind == fault.KindTargetLost:
		c.poison.Lost(now, d.fingerprint, d.Target, d.poisonCounted)
	case res.Kind == fault.KindNone:
		c.poison.Completed(d.fingerprint)
	case d.poisonCounted:
		c.poison.Abandon(d.fingerprint)
	}
}

// PoisonRecords returns what this instance knows of requests that cost
// targets, with a loss after since, for exchange with other instances.
func (c *Core) PoisonRecords(since time.Time) []poison.Record { return c.poison.Export(since) }

// MergePoison takes in the records of another instance.
func (c *Core) MergePoison(now time.Time, recs []poison.Record) { c.poison.Merge(now, recs) }

// AllowRetry reports whether r may be decided again after an attempt that ended
// with res, and takes the attempt out of the retry budget, unless the last one
// got no connection: only when r is idempotent or was not run, within the
// attempts and the deadline. A request that another instance passed on is only
// retried there.
func (c *Core) AllowRetry(now time.Time, r *Request, res Result) bool {
	if res.Kind.Answer().Outcome == fault.Unknown && !r.mayHaveRun {
		r.mayHaveRun = true
		r.unknownKind = res.Kind
	}
	if !retryable(res.Kind) || r.Pool != "" || r.Attempts >= r.attemptLimit() || !now.Before(r.Deadline) {
		return false
	}
	if r.mayHaveRun && !r.Idempotent {
		return false
	}
	// An attempt that got no connection was no work for any target.
	return res.Kind == fault.KindTargetRefused || c.retryBudget(r).Spend()
}

// retryable reports whether another attempt can end differently.
func retryable(k fault.Kind) bool {
	switch k {
	case fault.KindNotReady, fault.KindLeaving, fault.KindOverloaded, fault.KindRegionFull,
		fault.KindShiftCapped, fault.KindNoTarget, fault.KindShareLapsed,
		fault.KindHopRefused, fault.KindTargetRefused, fault.KindTargetShed,
		fault.KindTargetTimeout, fault.KindTargetLost, fault.KindTargetGarbage, fault.KindTargetFailed, fault.KindHopLost:
		return true
	default:
		return false
	}
}

const (
	// hedgeFactor times the mean service time is when a hedge may start.
	hedgeFactor   = 4
	minHedgeDelay = 5 * time.Millisecond
)

// HedgeDelay returns how long after the dispatch d a second attempt of r may
// start, and false when it may not: only idempotent requests are hedged, by
// the instance that they arrived at.
func (c *Core) HedgeDelay(r *Request, d Decision) (time.Duration, bool) {
	if !r.Idempotent || r.Pool != "" || d.Verdict != Dispatch || d.poolStats == nil {
		return 0, false
	}
	return max(minHedgeDelay, hedgeFactor*d.poolStats.serviceTime.Value(priorServiceTime)), true
}

// AllowHedge reports whether a hedge of r may start at now, and takes it out of
// the retry budget.
func (c *Core) AllowHedge(now time.Time, r *Request) bool {
	if !r.Idempotent || r.Pool != "" || r.Attempts >= r.attemptLimit() || !now.Before(r.Deadline) {
		return false
	}
	return c.retryBudget(r).Spend()
}
