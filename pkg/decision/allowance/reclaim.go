package allowance

import "time"

// silence is what a reclaimer has seen of one holder.
type silence struct {
	renewal uint64
	since   time.Time // when that renewal was first seen in the row
	dead    time.Time // when the process was first known to have ended
	consent map[HolderKey]bool
}

// Reclaimer decides when a silent holder's shares may be given to others. It
// is not safe for concurrent use.
type Reclaimer struct {
	self    HolderKey
	timing  Timing
	rules   SafetyOverrides
	row     *Row
	layout  time.Time // when the row's layout was first seen
	silence map[HolderKey]*silence
}

// NewReclaimer returns a reclaimer that has seen nothing.
func NewReclaimer(self HolderKey, timing Timing, rules SafetyOverrides) *Reclaimer {
	return &Reclaimer{self: self, timing: timing, rules: rules, row: &Row{}, silence: map[HolderKey]*silence{}}
}

// ObserveRow takes in a row that is known to be stored.
func (c *Reclaimer) ObserveRow(now time.Time, r *Row) {
	if r.Version <= c.row.Version {
		return
	}
	if r.LayoutVersion != c.row.LayoutVersion {
		c.layout = now
	}
	c.row = r
	seen := make(map[HolderKey]*silence, len(r.Holders))
	for i := range r.Holders {
		h := &r.Holders[i]
		s := c.silence[h.HolderKey]
		switch {
		case s == nil:
			s = &silence{renewal: h.Renewal, since: now, consent: map[HolderKey]bool{}}
		case s.renewal != h.Renewal:
			*s = silence{renewal: h.Renewal, since: now, dead: s.dead, consent: map[HolderKey]bool{}}
		}
		seen[h.HolderKey] = s
	}
	c.silence = seen
}

// ObserveTermination takes in that the process of k is known to have ended: its
// peer address refuses connections, or belongs to another process.
func (c *Reclaimer) ObserveTermination(now time.Time, k HolderKey) {
	if s := c.silence[k]; s != nil && s.dead.IsZero() {
		s.dead = now
	}
}

// ObserveAlive takes in that the process of k answered.
func (c *Reclaimer) ObserveAlive(k HolderKey) {
	if s := c.silence[k]; s != nil {
		s.dead = time.Time{}
	}
}

// HasTerminatedHolder reports whether a holder's process is known to have ended.
func (c *Reclaimer) HasTerminatedHolder() bool {
	for _, s := range c.silence {
		if !s.dead.IsZero() {
			return true
		}
	}
	return false
}

// ExpiredHolders returns the holders other than self whose lease has lapsed unless a
// witness extended it.
func (c *Reclaimer) ExpiredHolders(now time.Time) []HolderKey {
	var keys []HolderKey
	for i := range c.row.Holders {
		k := c.row.Holders[i].HolderKey
		if k != c.self && c.lapsed(now, c.silence[k], c.timing.Lease) {
			keys = append(keys, k)
		}
	}
	return keys
}

// lapsed reports whether a lease of length d, counted from the recorded
// renewal, must have ended on the holder's clock.
func (c *Reclaimer) lapsed(now time.Time, s *silence, d time.Duration) bool {
	return now.Sub(s.since) >= c.timing.stretched(d)
}

// ConsentRequests returns what to ask of the witnesses of k.
func (c *Reclaimer) ConsentRequests(now time.Time, k HolderKey) []ConsentRequest {
	h, s := c.row.Holder(k), c.silence[k]
	if h == nil || s == nil || !c.lapsed(now, s, c.timing.Lease) {
		return nil
	}
	var asks []ConsentRequest
	for _, set := range h.witnessSets() {
		for _, w := range set {
			if !s.consent[w] && c.row.Holder(w) != nil {
				asks = append(asks, ConsentRequest{Holder: k, Witness: w, Renewal: s.renewal})
			}
		}
	}
	return asks
}

// RecordConsent takes in that the witness agreed to a.
func (c *Reclaimer) RecordConsent(a ConsentRequest) {
	if s := c.silence[a.Holder]; s != nil && s.renewal == a.Renewal {
		s.consent[a.Witness] = true
	}
}

// MayReclaim reports whether the shares of k may be reclaimed by a write that
// is conditional on the row seen last.
func (c *Reclaimer) MayReclaim(now time.Time, k HolderKey) bool {
	h, s := c.row.Holder(k), c.silence[k]
	if h == nil || s == nil || k == c.self {
		return false
	}
	if !s.dead.IsZero() && now.Sub(s.dead) >= c.afterDeath() {
		return true
	}
	if !c.lapsed(now, s, c.timing.Lease+c.timing.GracePeriod) {
		return false
	}
	if c.rules.ReclaimWithoutConsent {
		return true
	}
	if c.lapsed(now, s, c.timing.LongLease+c.timing.GracePeriod) {
		return c.unanimityBroken(now, h, s)
	}
	return c.allConsent(h, s)
}

// afterDeath returns how long the shares of an ended process stay out of use:
// those that it lent are usable until their loans end.
func (c *Reclaimer) afterDeath() time.Duration {
	if c.rules.IgnoreLoansOfTerminated {
		return c.timing.TerminatedGracePeriod
	}
	return max(c.timing.TerminatedGracePeriod, c.timing.stretched(c.timing.MaxLoan))
}

// allConsent reports whether all witnesses agreed. One that is gone from the
// row did not: the holder may know that it ended, and rely on its silence.
func (c *Reclaimer) allConsent(h *Holder, s *silence) bool {
	for _, set := range h.witnessSets() {
		if len(set) == 0 {
			return false
		}
		for _, w := range set {
			if !s.consent[w] {
				return false
			}
		}
	}
	return true
}

// unanimityBroken reports whether, of each set, at least one witness promises
// no more.
func (c *Reclaimer) unanimityBroken(now time.Time, h *Holder, s *silence) bool {
	for _, set := range h.witnessSets() {
		broken := len(set) == 0
		for _, w := range set {
			broken = broken || c.consents(now, w, s)
		}
		if !broken {
			return false
		}
	}
	return true
}

// consents reports whether w agreed, or has been out of the row for as long
// as its last promise can last.
func (c *Reclaimer) consents(now time.Time, w HolderKey, s *silence) bool {
	if s.consent[w] {
		return true
	}
	// A promise lasts a lease on the witness's clock, stretched already once.
	promise := c.timing.stretched(c.timing.stretched(c.timing.Lease))
	return c.row.Holder(w) == nil && now.Sub(c.layout) >= promise
}
