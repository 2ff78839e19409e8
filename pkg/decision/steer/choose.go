package steer

import (
	"math"

	"github.com/jacinthramp/jacinthramp/pkg/decision/choice"
)

// acquireTarget acquires a slot of a target of p, or returns nil. In a small
// pool it compares all targets; in a large one it compares two random targets,
// and scans others only when neither has a free slot.
func (c *Core) acquireTarget(p *pool, r *Request, now int64) *target {
	n := len(p.targets)
	if n == 0 {
		return nil
	}
	start := int(c.random() % uint64(n))
	if n > maxFullScan {
		other := int(c.random() % uint64(n))
		if t := lowerScored(p.targets[start], p.targets[other], r, now); t != nil && t.acquireSlot(now) {
			return t
		}
	}
	for range 2 {
		t := c.bestFreeTarget(p, r, now, start)
		if t == nil || t.acquireSlot(now) {
			return t
		}
	}
	return nil
}

// bestFreeTarget returns the free target with the lowest score, in a large pool
// the first free one, or nil.
func (c *Core) bestFreeTarget(p *pool, r *Request, now int64, start int) *target {
	n := len(p.targets)
	var best *target
	bestScore := math.Inf(1)
	for i := range min(n, maxTargetsScanned) {
		t := p.targets[(start+i)%n]
		score := t.score(r, now)
		if score < bestScore {
			best, bestScore = t, score
		}
		if best != nil && n > maxFullScan {
			return best
		}
	}
	return best
}

// lowerScored returns the target with the lower score, or nil when neither is
// free.
func lowerScored(a, b *target, r *Request, now int64) *target {
	sa, sb := a.score(r, now), b.score(r, now)
	switch {
	case math.IsInf(sa, 1) && math.IsInf(sb, 1):
		return nil
	case sa <= sb:
		return a
	default:
		return b
	}
}

// score rates the target for r; lower is better. It is +Inf when r cannot be
// sent to the target now.
func (t *target) score(r *Request, now int64) float64 {
	usable := t.usableSlots(now)
	inFlight := t.inFlight.Load()
	if inFlight >= usable || r.Excluded(t.name) {
		return math.Inf(1)
	}
	return choice.Score(inFlight, usable, t.latency.Value(), t.report.Penalty(now))
}

// acquireSlot counts one request in flight, unless the usable slots or this instance's
// share of the rate limit have been taken in the meantime.
func (t *target) acquireSlot(now int64) bool {
	if !acquire(&t.inFlight, t.usableSlots(now), &t.share) {
		return false
	}
	if t.limiter.Claim(now) {
		return true
	}
	t.inFlight.Add(-1)
	return false
}

// hasEligibleTarget reports whether r could be dispatched to a target of p once
// this instance has a free slot there. The instance may have no share now:
// shares move to where requests are queued.
func (p *pool) hasEligibleTarget(now int64, r *Request) bool {
	for _, t := range p.targets {
		if t.eligible(now) && !r.Excluded(t.name) {
			return true
		}
	}
	return false
}
