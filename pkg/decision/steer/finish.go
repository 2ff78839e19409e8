package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/choice"
	"github.com/jacinthramp/jacinthramp/pkg/decision/mechanism"
	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// release frees the target's slot and the region's capacity that d holds.
func (d *Decision) release() {
	if d.targetStats != nil {
		d.targetStats.inFlight.Add(-1)
		d.region.inFlight.Add(-1)
	}
}

// Done records the result of an attempt, frees what d holds and returns the
// decisions on queued requests that can now be made. Call it once for each
// Dispatch and Hop.
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

// releaseOrOrphan frees what d holds, unless the target may still run the
// request.
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

// recordResult records the result of an attempt at a target.
func (c *Core) recordResult(now int64, d *Decision, res Result) {
	s := d.targetStats
	switch res.Kind {
	case fault.KindNone:
		s.latency.Observe(now, res.Latency)
		s.health.RecordSuccess()
		s.backoff.recordSuccess(now, d.targetSlots)
		d.poolStats.serviceTime.Observe(res.Latency)
		s.unreachable.Store(false)
	case fault.KindTargetShed:
		s.pausedUntil.Store(now + shedPause.Nanoseconds())
	case fault.KindTargetTimeout, fault.KindTargetRefused, fault.KindTargetLost, fault.KindTargetGarbage:
		if s.health.RecordFailure() {
			c.eject(now, d)
		}
	}
}

// eject ejects the target of d, unless too many targets of its pool are ejected
// already.
func (c *Core) eject(now int64, d *Decision) {
	p, ok := c.snapshot.Load().pools[d.Pool]
	if !ok {
		return
	}
	ejected := 0
	for _, t := range p.targets {
		if t.health.Ejected(now) {
			ejected++
		}
	}
	if ejected < choice.MaxEjectedTargets(len(p.targets)) {
		d.targetStats.health.Eject(now)
	}
}

// recordPoison records whether the attempt suggests that the request itself
// makes targets fail.
func (c *Core) recordPoison(now time.Time, d *Decision, res Result) {
	switch {
	case res.Kind == fault.KindTargetLost && d.Verdict == Hop:
		c.poison.RecordRelayedLoss(now, d.fingerprint, d.poisonCounted)
	case res.Kind == fault.KindTargetLost:
		c.poison.RecordLoss(now, d.fingerprint, d.Target, d.poisonCounted)
	case res.Kind == fault.KindNone:
		c.poison.Complete(d.fingerprint)
	case d.poisonCounted:
		c.poison.Abandon(d.fingerprint)
	}
}

// PoisonRecords returns the records of requests during which targets were lost,
// with a loss after since, for exchange with other instances.
func (c *Core) PoisonRecords(since time.Time) []poison.Record { return c.poison.Export(since) }

// MergePoison merges the records of another instance.
func (c *Core) MergePoison(now time.Time, recs []poison.Record) { c.poison.Merge(now, recs) }

// AllowRetry reports whether Decide may be called again for r after an attempt
// that ended with res, and withdraws the retry from the retry budget unless
// no byte of that attempt was sent. Only requests that are idempotent or cannot
// have run are retried, within their attempt limit and deadline. A forwarded
// request is retried only by the instance that forwarded it.
func (c *Core) AllowRetry(now time.Time, r *Request, res Result) bool {
	if res.Kind.Info().Outcome == fault.OutcomeUnknown && !r.mayHaveRun {
		r.mayHaveRun = true
		r.unknownKind = res.Kind
	}
	if res.Kind == fault.KindTargetLeaving && r.withdrawn < maxWithdrawn {
		r.withdrawn++
	}
	if !retryable(res.Kind) {
		return false
	}
	kind := c.mayFollow(now, r)
	if kind == fault.KindUnknownKey && costNoWork(res.Kind) {
		// Decide refuses the request with this kind.
		return true
	}
	if kind != fault.KindNone {
		return false
	}
	if (r.mayHaveRun || r.hedged) && !r.Idempotent {
		return false
	}
	return costNoWork(res.Kind) || c.retryBudget(r).TryWithdraw()
}

// mayFollow returns fault.KindNone if a further attempt of r at now is allowed, also by the
// tables in force, or else the kind of the refusal.
func (c *Core) mayFollow(now time.Time, r *Request) fault.Kind {
	if r.Pool != "" || !now.Before(r.Deadline) {
		return fault.KindNoTarget
	}
	if kind := c.bind(c.snapshot.Load(), r); kind != fault.KindNone {
		return kind
	}
	if r.Attempts-r.withdrawn >= attemptLimit(r.Route) {
		return fault.KindNoTarget
	}
	return fault.KindNone
}

// costNoWork reports whether an attempt that ended with k cost no target any work,
// since no byte of it was sent.
func costNoWork(k fault.Kind) bool {
	return k == fault.KindTargetRefused || k == fault.KindTargetLeaving
}

// retryable reports whether another attempt may have a different result.
func retryable(k fault.Kind) bool {
	switch k {
	case fault.KindNotReady, fault.KindLeaving, fault.KindOverloaded, fault.KindRegionFull,
		fault.KindShiftCapped, fault.KindNoTarget, fault.KindShareLapsed,
		fault.KindHopRefused, fault.KindTargetRefused, fault.KindTargetShed, fault.KindTargetLeaving,
		fault.KindTargetTimeout, fault.KindTargetLost, fault.KindTargetGarbage, fault.KindTargetFailed, fault.KindHopLost:
		return true
	default:
		return false
	}
}

const (
	// hedgeFactor times the mean service time is the delay before a hedge.
	hedgeFactor   = 4
	minHedgeDelay = 5 * time.Millisecond
)

// HedgeDelay returns how long after the dispatch d a second attempt of r may
// start, and false if it may not. Only idempotent requests are hedged, and only
// by the instance that received them from the caller.
func (c *Core) HedgeDelay(r *Request, d Decision) (time.Duration, bool) {
	if c.without(mechanism.Hedges) || !r.Idempotent || r.Pool != "" || d.Verdict != Dispatch || d.poolStats == nil {
		return 0, false
	}
	return max(minHedgeDelay, hedgeFactor*d.poolStats.serviceTime.Value(priorServiceTime), c.routeHedgeDelay(r, &d)), true
}

// AllowHedge reports whether a hedge of r may start at now, and withdraws it
// from the retry budget.
func (c *Core) AllowHedge(now time.Time, r *Request) bool {
	if c.mayFollow(now, r) != fault.KindNone || !r.Idempotent || !c.retryBudget(r).TryWithdraw() {
		return false
	}
	r.hedged = true
	return true
}
