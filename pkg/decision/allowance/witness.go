package allowance

import "time"

// Witness is the part of a holder that promises other holders not to consent
// to the reclaim of their shares. It is not safe for concurrent use.
type Witness struct {
	self             HolderKey
	timing           Timing
	promisedUntil    map[HolderKey]time.Time
	consentedRenewal map[HolderKey]uint64
}

// NewWitness returns a witness that has granted no promises.
func NewWitness(self HolderKey, timing Timing) *Witness {
	return &Witness{self: self, timing: timing, promisedUntil: map[HolderKey]time.Time{}, consentedRenewal: map[HolderKey]uint64{}}
}

// GrantPromise reports whether the witness grants req. expires is the end of
// the witness's own lease: after it the witness grants nothing, so that a
// holder whose shares were reclaimed makes no more promises.
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

// ConsentRequest asks a witness to grant no more promises to the holder whose
// newest recorded heartbeat is Renewal.
type ConsentRequest struct {
	Holder  HolderKey `json:"holder"`
	Witness HolderKey `json:"witness"`
	Renewal uint64    `json:"renewal"`
}

// GrantConsent reports whether the witness grants req. It does so once its
// last promise to the holder has expired.
func (w *Witness) GrantConsent(now time.Time, req ConsentRequest) bool {
	if req.Witness != w.self || now.Before(w.promisedUntil[req.Holder]) {
		return false
	}
	w.consentedRenewal[req.Holder] = max(w.consentedRenewal[req.Holder], req.Renewal)
	return true
}

// Prune drops expired promises to holders that are no longer in row.
func (w *Witness) Prune(now time.Time, row *Row) {
	for k, until := range w.promisedUntil {
		if row.Holder(k) == nil && now.After(until) {
			delete(w.promisedUntil, k)
		}
	}
}
