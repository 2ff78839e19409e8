package allowance

import "time"

// holderState is what a reclaimer has observed of one holder.
type holderState struct {
	renewal       uint64
	renewalSeenAt time.Time          // when that renewal was first observed in the row
	terminatedAt  time.Time          // when the process was first known to have terminated
	consented     map[HolderKey]bool // witnesses that consented since that renewal
}

// Reclaimer decides when the shares of an expired or terminated holder may be
// granted to others. It is not safe for concurrent use.
type Reclaimer struct {
	self         HolderKey
	timing       Timing
	overrides    SafetyOverrides
	row          *Row
	layoutSeenAt time.Time // when the layout of row was first observed
	states       map[HolderKey]*holderState
}

// NewReclaimer returns a reclaimer that has not observed a row yet.
func NewReclaimer(self HolderKey, timing Timing, overrides SafetyOverrides) *Reclaimer {
	return &Reclaimer{self: self, timing: timing, overrides: overrides, row: &Row{}, states: map[HolderKey]*holderState{}}
}

// ObserveRow records a row that is known to be stored. It ignores a row whose
// version is not higher than that of the current one.
func (r *Reclaimer) ObserveRow(now time.Time, row *Row) {
	if row.Version <= r.row.Version {
		return
	}
	if row.LayoutVersion != r.row.LayoutVersion {
		r.layoutSeenAt = now
	}
	r.row = row
	seen := make(map[HolderKey]*holderState, len(row.Holders))
	for i := range row.Holders {
		h := &row.Holders[i]
		s := r.states[h.HolderKey]
		switch {
		case s == nil:
			s = &holderState{renewal: h.Renewal, renewalSeenAt: now, consented: map[HolderKey]bool{}}
		case s.renewal != h.Renewal:
			*s = holderState{renewal: h.Renewal, renewalSeenAt: now, terminatedAt: s.terminatedAt, consented: map[HolderKey]bool{}}
		}
		seen[h.HolderKey] = s
	}
	r.states = seen
}

// ObserveTermination records that the process of k is known to have
// terminated: its peer address refuses connections, or belongs to another
// process.
func (r *Reclaimer) ObserveTermination(now time.Time, k HolderKey) {
	if s := r.states[k]; s != nil && s.terminatedAt.IsZero() {
		s.terminatedAt = now
	}
}

// ObserveAlive records that the process of k responded.
func (r *Reclaimer) ObserveAlive(k HolderKey) {
	if s := r.states[k]; s != nil {
		s.terminatedAt = time.Time{}
	}
}

// HasTerminatedHolder reports whether a holder's process is known to have
// terminated.
func (r *Reclaimer) HasTerminatedHolder() bool {
	for _, s := range r.states {
		if !s.terminatedAt.IsZero() {
			return true
		}
	}
	return false
}

// ExpiredHolders returns the holders other than self whose lease has expired
// unless a witness extended it.
func (r *Reclaimer) ExpiredHolders(now time.Time) []HolderKey {
	var keys []HolderKey
	for i := range r.row.Holders {
		k := r.row.Holders[i].HolderKey
		if k != r.self && r.expired(now, r.states[k], r.timing.Lease) {
			keys = append(keys, k)
		}
	}
	return keys
}

// expired reports whether a lease of duration d, counted from the recorded
// renewal, must have ended on the holder's clock.
func (r *Reclaimer) expired(now time.Time, s *holderState, d time.Duration) bool {
	return now.Sub(s.renewalSeenAt) >= r.timing.extendForDrift(d)
}

// ConsentRequests returns the requests to the witnesses of holder that have
// not consented yet. There are none before its lease has expired.
func (r *Reclaimer) ConsentRequests(now time.Time, holder HolderKey) []ConsentRequest {
	h, s := r.row.Holder(holder), r.states[holder]
	if h == nil || s == nil || !r.expired(now, s, r.timing.Lease) {
		return nil
	}
	var reqs []ConsentRequest
	for _, set := range h.possibleWitnessSets() {
		for _, w := range set {
			if !s.consented[w] && r.row.Holder(w) != nil {
				reqs = append(reqs, ConsentRequest{Holder: holder, Witness: w, Renewal: s.renewal})
			}
		}
	}
	return reqs
}

// RecordConsent records that the witness granted req. Consent for another
// renewal than the current one is ignored.
func (r *Reclaimer) RecordConsent(req ConsentRequest) {
	if s := r.states[req.Holder]; s != nil && s.renewal == req.Renewal {
		s.consented[req.Witness] = true
	}
}

// MayReclaim reports whether the shares of k may be reclaimed by a write that
// is conditional on the last observed row.
func (r *Reclaimer) MayReclaim(now time.Time, k HolderKey) bool {
	h, s := r.row.Holder(k), r.states[k]
	if h == nil || s == nil || k == r.self {
		return false
	}
	if !s.terminatedAt.IsZero() && now.Sub(s.terminatedAt) >= r.terminationWait() {
		return true
	}
	if !r.expired(now, s, r.timing.Lease+r.timing.GracePeriod) {
		return false
	}
	if r.overrides.ReclaimWithoutConsent {
		return true
	}
	if r.expired(now, s, r.timing.LongLease+r.timing.GracePeriod) {
		return r.unanimityImpossible(now, h, s)
	}
	return r.allConsented(h, s)
}

// terminationWait returns how long the shares of a terminated process stay
// unavailable. Shares that it lent are usable until the loans end.
func (r *Reclaimer) terminationWait() time.Duration {
	if r.overrides.IgnoreLoansOfTerminated {
		return r.timing.TerminatedGracePeriod
	}
	return max(r.timing.TerminatedGracePeriod, r.timing.extendForDrift(r.timing.MaxLoan))
}

// allConsented reports whether all witnesses have consented. A witness that
// is no longer in the row does not count as consenting: the holder may have
// observed its termination, which is equivalent to a promise.
func (r *Reclaimer) allConsented(h *Holder, s *holderState) bool {
	for _, set := range h.possibleWitnessSets() {
		if len(set) == 0 {
			return false
		}
		for _, w := range set {
			if !s.consented[w] {
				return false
			}
		}
	}
	return true
}

// unanimityImpossible reports whether each possible witness set has a witness
// that grants no more promises, so that the holder's lease cannot outlast
// LongLease.
func (r *Reclaimer) unanimityImpossible(now time.Time, h *Holder, s *holderState) bool {
	for _, set := range h.possibleWitnessSets() {
		impossible := len(set) == 0
		for _, w := range set {
			impossible = impossible || r.promisesNoMore(now, w, s)
		}
		if !impossible {
			return false
		}
	}
	return true
}

// promisesNoMore reports whether w has consented, or has been out of the row
// for as long as its last promise can last.
func (r *Reclaimer) promisesNoMore(now time.Time, w HolderKey, s *holderState) bool {
	if s.consented[w] {
		return true
	}
	// A witness already extends its promise for drift on its own clock, hence
	// the second extension.
	maxPromise := r.timing.extendForDrift(r.timing.extendForDrift(r.timing.Lease))
	return r.row.Holder(w) == nil && now.Sub(r.layoutSeenAt) >= maxPromise
}
