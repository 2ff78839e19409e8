package allowance

import "time"

// silence is what a reclaimer has seen of one holder.
type silence struct {
	renewal uint64
	since   time.Time // when that renewal was first seen in the row
	dead    time.Time // when the process was first known to have ended
	consent map[Key]bool
}

// Reclaimer decides when a silent holder's shares may be given to others. It
// is not safe for concurrent use.
type Reclaimer struct {
	self    Key
	timing  Timing
	rules   Rules
	row     *Row
	layout  time.Time // when the row's layout was first seen
	silence map[Key]*silence
}

// NewReclaimer returns a reclaimer that has seen nothing.
func NewReclaimer(self Key, timing Timing, rules Rules) *Reclaimer {
	return &Reclaimer{self: self, timing: timing, rules: rules, row: &Row{}, silence: map[Key]*silence{}}
}

// ObserveRow takes in a row that is known to be stored.
func (c *Reclaimer) ObserveRow(now time.Time, r *Row) {
	if r.Version <= c.row.Version {
		return
	}
	if r.Layout != c.row.Layout {
		c.layout = now
	}
	c.row = r
	seen := make(map[Key]*silence, len(r.Holders))
	for i := range r.Holders {
		h := &r.Holders[i]
		s := c.silence[h.Key]
		switch {
		case s == nil:
			s = &silence{renewal: h.Renewal, since: now, consent: map[Key]bool{}}
		case s.renewal != h.Renewal:
			*s = silence{renewal: h.Renewal, since: now, dead: s.dead, consent: map[Key]bool{}}
		}
		seen[h.Key] = s
	}
	c.silence = seen
}

// ObserveDeath takes in that the process of k is known to have ended: its
// peer address refuses connections, or belongs to another process.
func (c *Reclaimer) ObserveDeath(now time.Time, k Key) {
	if s := c.silence[k]; s != nil && s.dead.IsZero() {
		s.dead = now
	}
}

// ObserveAlive takes in that the process of k answered.
func (c *Reclaimer) ObserveAlive(k Key) {
	if s := c.silence[k]; s != nil {
		s.dead = time.Time{}
	}
}

// Waiting reports whether a holder's process is known to have ended.
func (c *Reclaimer) Waiting() bool {
	for _, s := range c.silence {
		if !s.dead.IsZero() {
			return true
		}
	}
	return false
}

// Silent returns the holders other than self whose lease has lapsed unless a
// witness extended it.
func (c *Reclaimer) Silent(now time.Time) []Key {
	var keys []Key
	for i := range c.row.Holders {
		k := c.row.Holders[i].Key
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

// Consents returns what to ask of the witnesses of k.
func (c *Reclaimer) Consents(now time.Time, k Key) []Consent {
	h, s := c.row.Holder(k), c.silence[k]
	if h == nil || s == nil || !c.lapsed(now, s, c.timing.Lease) {
		return nil
	}
	var asks []Consent
	for _, set := range h.witnessSets() {
		for _, w := range set {
			if !s.consent[w] && c.row.Holder(w) != nil {
				asks = append(asks, Consent{Holder: k, Witness: w, Renewal: s.renewal})
			}
		}
	}
	return asks
}

// Consented takes in that the witness agreed to a.
func (c *Reclaimer) Consented(a Consent) {
	if s := c.silence[a.Holder]; s != nil && s.renewal == a.Renewal {
		s.consent[a.Witness] = true
	}
}

// MayReclaim reports whether the shares of k may be reclaimed by a write that
// is conditional on the row seen last.
func (c *Reclaimer) MayReclaim(now time.Time, k Key) bool {
	h, s := c.row.Holder(k), c.silence[k]
	if h == nil || s == nil || k == c.self {
		return false
	}
	if !s.dead.IsZero() && now.Sub(s.dead) >= c.afterDeath() {
		return true
	}
	if !c.lapsed(now, s, c.timing.Lease+c.timing.Settle) {
		return false
	}
	if c.rules.ReclaimWithoutConsent {
		return true
	}
	if c.lapsed(now, s, c.timing.LongLease+c.timing.Settle) {
		return c.unanimityBroken(now, h, s)
	}
	return c.allConsent(h, s)
}

// afterDeath returns how long the shares of an ended process stay out of use:
// those that it lent are usable until their loans end.
func (c *Reclaimer) afterDeath() time.Duration {
	if c.rules.ForgetLoansOfTheDead {
		return c.timing.DeadSettle
	}
	return max(c.timing.DeadSettle, c.timing.stretched(c.timing.Loan))
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
func (c *Reclaimer) consents(now time.Time, w Key, s *silence) bool {
	if s.consent[w] {
		return true
	}
	// A promise lasts a lease on the witness's clock, stretched already once.
	promise := c.timing.stretched(c.timing.stretched(c.timing.Lease))
	return c.row.Holder(w) == nil && now.Sub(c.layout) >= promise
}
