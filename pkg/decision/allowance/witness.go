package allowance

import "time"

// Witness is the side of a holder that promises others not to help reclaim
// their shares. It is not safe for concurrent use.
type Witness struct {
	self             HolderKey
	timing           Timing
	promisedUntil    map[HolderKey]time.Time
	consentedRenewal map[HolderKey]uint64
}

// NewWitness returns a witness without promises.
func NewWitness(self HolderKey, timing Timing) *Witness {
	return &Witness{self: self, timing: timing, promisedUntil: map[HolderKey]time.Time{}, consentedRenewal: map[HolderKey]uint64{}}
}

// GrantPromise answers a holder. Only a witness whose own lease lasts until
// expires may promise, so that one whose shares are reclaimed promises no more.
func (w *Witness) GrantPromise(now, expires time.Time, req PromiseRequest) bool {
	if req.Witness != w.self || !now.Before(expires) {
		return false
	}
	if n, ok := w.consentedRenewal[req.Holder]; ok && req.Renewal <= n {
		return false
	}
	until := now.Add(w.timing.extendForDrift(w.timing.Lease))
	if until.After(w.promisedUntil[req.Holder]) {
		w.promisedUntil[req.Holder] = until
	}
	return true
}

// ConsentRequest is what a reclaimer asks of a witness: to promise no more for the
// holder whose newest recorded heartbeat is Renewal.
type ConsentRequest struct {
	Holder  HolderKey `json:"holder"`
	Witness HolderKey `json:"witness"`
	Renewal uint64    `json:"renewal"`
}

// GrantConsent answers a reclaimer. It agrees once the last promise has lapsed.
func (w *Witness) GrantConsent(now time.Time, req ConsentRequest) bool {
	if req.Witness != w.self || now.Before(w.promisedUntil[req.Holder]) {
		return false
	}
	w.consentedRenewal[req.Holder] = max(w.consentedRenewal[req.Holder], req.Renewal)
	return true
}

// Prune drops what is remembered of holders that are not in row any more.
func (w *Witness) Prune(now time.Time, row *Row) {
	for k, until := range w.promisedUntil {
		if row.Holder(k) == nil && now.After(until) {
			delete(w.promisedUntil, k)
		}
	}
}
