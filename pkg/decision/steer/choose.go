package steer

import (
	"math"

	"github.com/jacinthramp/jacinthramp/pkg/decision/choice"
)

// choose takes a slot of a target of p in this zone, or returns nil. Among few
// targets it compares all; among many it compares two random ones, and looks
// further only when neither has a free slot.
func (c *Core) choose(p *pool, r *Request, now int64) *member {
	n := len(p.local)
	if n == 0 {
		return nil
	}
	start := int(c.random() % uint64(n))
	if n > scanTargets {
		other := int(c.random() % uint64(n))
		if m := better(p.local[start], p.local[other], r, now); m != nil && m.take(now) {
			return m
		}
	}
	for range 2 {
		m := c.search(p, r, now, start)
		if m == nil || m.take(now) {
			return m
		}
	}
	return nil
}

// search returns the best free target, or of many the first one found.
func (c *Core) search(p *pool, r *Request, now int64, start int) *member {
	n := len(p.local)
	var best *member
	bestScore := math.Inf(1)
	for i := range min(n, probeTargets) {
		m := p.local[(start+i)%n]
		score := m.score(r, now)
		if score < bestScore {
			best, bestScore = m, score
		}
		if best != nil && n > scanTargets {
			return best
		}
	}
	return best
}

// better returns the one with the lower score, or nil when neither is free.
func better(a, b *member, r *Request, now int64) *member {
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

// score rates the target for r, +Inf when it can't be chosen.
func (m *member) score(r *Request, now int64) float64 {
	usable := m.usable(now)
	inFlight := m.inFlight.Load()
	if inFlight >= usable || r.Excluded(m.name) {
		return math.Inf(1)
	}
	return choice.Score(inFlight, usable, m.latency.Value(), m.report.Penalty(now))
}

// take counts one request in flight, unless the share has been used up
// meanwhile.
func (m *member) take(now int64) bool { return acquire(&m.inFlight, m.usable(now)) }

// hasCandidate reports whether any target of this zone could be chosen for r
// once this instance has a free slot of it. It may have no share now: shares
// move to where requests wait.
func (p *pool) hasCandidate(now int64, r *Request) bool {
	for _, m := range p.local {
		if m.open(now) && !r.Excluded(m.name) {
			return true
		}
	}
	return false
}
