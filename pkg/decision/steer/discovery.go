package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// replacedBy reports whether row describes another incarnation of the target.
func (s *targetStats) replacedBy(row *table.Target) bool {
	known := s.incarnation.Load()
	return row.Incarnation != "" && known != nil && *known != row.Incarnation
}

// applyDiscovery records the target's incarnation and cold period from
// discovery.
func (s *targetStats) applyDiscovery(c *Core, row *table.Target) {
	if row.Incarnation == "" {
		return
	}
	s.incarnation.CompareAndSwap(nil, &row.Incarnation)
	if !row.ColdUntil.IsZero() {
		s.coldUntil.Store(max(s.coldUntil.Load(), c.nanos(row.ColdUntil)))
	}
}

// applyProbe records the target's cold period and, after a successful probe,
// that the target can be reached. Only direct dispatch uses both.
func (s *targetStats) applyProbe(now int64, rep *LoadReport) {
	if rep.ColdRemaining > 0 {
		s.coldUntil.Store(max(s.coldUntil.Load(), now+rep.ColdRemaining.Nanoseconds()))
	}
	if rep.Healthy {
		s.unreachable.Store(false)
	}
	if rep.WorkPercent > 0 {
		s.otherLoad.observe(now, rep.InFlight+rep.Queued, int(s.inFlight.Load()))
		s.workFactor.observe(now, rep.WorkPercent)
	}
}

// ClaimProbe reports whether the target is considered unreachable, so that a
// probe must show whether it can be used again. A probe occupies a slot like a
// request, so targets in backoff are not probed, and a probe counts under the
// target's rate limit.
func (c *Core) ClaimProbe(now time.Time, target string) bool {
	s, ok := c.snapshot.Load().targetStats[target]
	ns := c.nanos(now)
	return ok && s.unreachable.Load() && !s.backoff.active(ns) && s.limiter.Claim(ns)
}

// recordDirectResult records the result of an attempt of direct dispatch.
func (c *Core) recordDirectResult(now int64, d *Decision, res Result) {
	if d.route == nil {
		return
	}
	s := d.targetStats
	if res.Load != nil {
		// The target's count includes the request that has just ended.
		s.otherLoad.observe(now, res.Load.Running+res.Load.Waiting, int(s.inFlight.Load()))
		defer s.workFactor.observe(d.reportedAt(now, res.Latency), res.Load.WorkPercent)
		if res.Load.WorkPercent > 0 && d.poolStats != nil && !d.poolStats.reportsWork.Load() {
			d.poolStats.reportsWork.Store(true)
		}
	}
	if d.room != nil && res.Kind == fault.KindNone {
		d.room.serviceTime.Observe(res.Latency)
	}
	switch res.Kind {
	case fault.KindNone:
		s.slowness.recordAttempt(res.Failed)
		c.recordLatency(now, d, max(res.Latency-d.networkCost, time.Millisecond))
	case fault.KindTargetFailed, fault.KindTargetShed, fault.KindTargetTimeout, fault.KindTargetLost, fault.KindTargetGarbage:
		s.slowness.recordAttempt(true)
	case fault.KindTargetRefused:
		s.slowness.recordAttempt(true)
		s.unreachable.Store(true)
	}
}

// reportedAt returns when the target reported its load with the response that has been read at
// now: with the header, which came after latency. Zero means that no response came.
func (d *Decision) reportedAt(now int64, latency time.Duration) int64 {
	if latency <= 0 {
		return now
	}
	return min(now, d.dispatchedAt+latency.Nanoseconds())
}

// maxSampleFactor bounds one sample of the service time, as a multiple of the
// present estimate.
const maxSampleFactor = 3

// recordLatency records the latency of a response. A request to a target that
// may be cold for its object shows nothing about the target's slowness. The means are of
// work on a usual machine, and the slowness is relative to what the target had reported.
func (c *Core) recordLatency(now int64, d *Decision, latency time.Duration) {
	// The claim of one target to be fast must not raise the expected work of the others.
	usual := usualTime(latency, max(1, d.workFactor))
	if !d.warm {
		work := max(usual-d.expectedWait, time.Millisecond)
		d.route.coldWork.Observe(min(work, maxSampleFactor*d.route.coldWork.Value(work)))
		return
	}
	expected := d.route.warmWork.Value(usual)
	d.targetStats.slowness.observe(now, usualTime(latency, d.workFactor), expected)
	d.route.warmWork.Observe(min(usual, maxSampleFactor*expected))
}

// usualTime returns how long work that took d at the factor takes on a usual machine.
func usualTime(d time.Duration, factor float64) time.Duration {
	if factor <= 0 {
		return d
	}
	return time.Duration(float64(d) / factor)
}
