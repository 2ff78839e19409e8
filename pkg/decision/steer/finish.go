package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/choice"
	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// release gives back what d has taken.
func (d *Decision) release() {
	if d.slot != nil {
		d.slot.inFlight.Add(-1)
		d.region.inFlight.Add(-1)
	}
}

// Done gives back what d took and returns the waiting requests that may now
// proceed. Call it once for each Dispatch and Hop.
func (c *Core) Done(now time.Time, d Decision, res Result) []Wakeup {
	ns := c.nanos(now)
	switch d.Verdict {
	case Dispatch:
		c.learnDirect(ns, &d, res)
		c.learn(ns, &d, res)
		c.end(ns, &d, res)
	case Hop:
		d.zone.finish(ns, res)
	default:
		return nil
	}
	c.learnPoison(now, &d, res)
	return c.wake(now)
}

// end gives back what d took, at once unless the target may still run it.
func (c *Core) end(now int64, d *Decision, res Result) {
	if abandoned(res.Kind) {
		c.linger.add(now, d)
		return
	}
	d.release()
	if res.Kind == fault.KindNone {
		c.linger.proven(d.slot, d.at)
	}
}

// learn takes in how an attempt at a target ended.
func (c *Core) learn(now int64, d *Decision, res Result) {
	s := d.slot
	switch res.Kind {
	case fault.KindNone:
		s.latency.Observe(now, res.Latency)
		s.health.Succeeded()
		s.rest.answered(now, d.slots)
		d.stats.service.Observe(res.Latency)
		s.down.Store(false)
	case fault.KindTargetShed:
		s.pausedTo.Store(now + shedPause.Nanoseconds())
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
	out := 0
	for _, m := range p.local {
		if m.health.Ejected(now) {
			out++
		}
	}
	if out < choice.MaxEjected(len(p.local)) {
		d.slot.health.Eject(now)
	}
}

// learnPoison takes in what the attempt says about the request itself.
func (c *Core) learnPoison(now time.Time, d *Decision, res Result) {
	switch {
	case res.Kind == fault.KindTargetLost && d.Verdict == Hop:
		c.poison.Relayed(now, d.fingerprint, d.counted)
	case res.Kind == fault.KindTargetLost:
		c.poison.Lost(now, d.fingerprint, d.Target, d.counted)
	case res.Kind == fault.KindNone:
		c.poison.Completed(d.fingerprint)
	case d.counted:
		c.poison.Abandon(d.fingerprint)
	}
}

// PoisonRecords returns what this instance knows of requests that cost
// targets, with a loss after since, for exchange with other instances.
func (c *Core) PoisonRecords(since time.Time) []poison.Record { return c.poison.Export(since) }

// MergePoison takes in the records of another instance.
func (c *Core) MergePoison(now time.Time, recs []poison.Record) { c.poison.Merge(now, recs) }

// MayRetry reports whether r may be decided again after an attempt that ended
// with res, and takes the attempt out of the retry budget, unless the last one
// got no connection: only when r is idempotent or was not run, within the
// attempts and the deadline. A request that another instance passed on is only
// retried there.
func (c *Core) MayRetry(now time.Time, r *Request, res Result) bool {
	if res.Kind.Info().Outcome == fault.OutcomeUnknown && !r.mayHaveRun {
		r.mayHaveRun = true
		r.unknown = res.Kind
	}
	if !retryable(res.Kind) || r.Pool != "" || r.Attempts >= r.attemptLimit() || !now.Before(r.Deadline) {
		return false
	}
	if r.mayHaveRun && !r.Idempotent {
		return false
	}
	// An attempt that got no connection was no work for any target.
	return res.Kind == fault.KindTargetRefused || c.budgetOf(r).Spend()
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
	if !r.Idempotent || r.Pool != "" || d.Verdict != Dispatch || d.stats == nil {
		return 0, false
	}
	return max(minHedgeDelay, hedgeFactor*d.stats.service.Value(priorService)), true
}

// MayHedge reports whether a hedge of r may start at now, and takes it out of
// the retry budget.
func (c *Core) MayHedge(now time.Time, r *Request) bool {
	if !r.Idempotent || r.Pool != "" || r.Attempts >= r.attemptLimit() || !now.Before(r.Deadline) {
		return false
	}
	return c.budgetOf(r).Spend()
}
