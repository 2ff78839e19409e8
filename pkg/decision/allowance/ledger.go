package allowance

import (
	"time"
)

// maxUnrecordedHeartbeats bounds the heartbeats that a holder keeps until the row
// records them.
const maxUnrecordedHeartbeats = 64

// sentHeartbeat is a heartbeat that the row may still record.
type sentHeartbeat struct {
	number        uint64
	sentAt        time.Time
	committedCaps Counts
}

// Ledger is one holder's side: what it may use, lend and borrow. It is not
// safe for concurrent use.
type Ledger struct {
	self        HolderKey
	peerAddress string
	timing      Timing
	overrides   SafetyOverrides

	row                 *Row
	ownRecord           *Holder // self's record in row, or nil
	heartbeatNumber     uint64
	unrecorded          []sentHeartbeat
	recordedNumber      uint64    // the newest heartbeat known to be recorded
	renewedAt           time.Time // when that heartbeat was sent
	promiseRequestedAt  map[HolderKey]time.Time
	terminatedWitnesses map[HolderKey]bool // witnesses that ended without a consent
	leaving             bool

	inUse      Counts
	lastUsedAt map[Limit]time.Time // when this holder last used a share
	lent       map[HolderKey]map[Limit]lentShares
	borrowed   map[HolderKey]map[Limit]borrowedShares
	loanNumber uint64
}

// NewLedger returns a ledger without shares.
func NewLedger(self HolderKey, peerAddress string, timing Timing, overrides SafetyOverrides) *Ledger {
	return &Ledger{
		self: self, peerAddress: peerAddress, timing: timing, overrides: overrides,
		row:                 &Row{},
		promiseRequestedAt:  map[HolderKey]time.Time{},
		terminatedWitnesses: map[HolderKey]bool{},
		inUse:               Counts{},
		lastUsedAt:          map[Limit]time.Time{},
		lent:                map[HolderKey]map[Limit]lentShares{},
		borrowed:            map[HolderKey]map[Limit]borrowedShares{},
	}
}

// Row returns the newest row seen.
func (g *Ledger) Row() *Row { return g.row }

// Leave makes the ledger give up all that is not in use.
func (g *Ledger) Leave() { g.leaving = true }

// Released reports whether nothing is granted, lent or borrowed any more.
func (g *Ledger) Released() bool {
	return g.leaving && g.ownRecord == nil
}

// SetInUse tells the ledger which shares serve requests now.
func (g *Ledger) SetInUse(now time.Time, inUse Counts) {
	g.inUse = inUse
	for l, n := range inUse {
		if n > 0 {
			g.lastUsedAt[l] = now
		}
	}
}

// Heartbeat returns the next heartbeat, to be sent after now.
func (g *Ledger) Heartbeat(now time.Time) Heartbeat {
	g.pruneLoans(now)
	g.heartbeatNumber++
	hb := Heartbeat{
		HolderKey: g.self, Address: g.peerAddress, Number: g.heartbeatNumber,
		SeenLayout: g.row.LayoutVersion, Leaving: g.leaving, CommittedCaps: g.capsToCommit(now),
	}
	g.unrecorded = append(g.unrecorded, sentHeartbeat{number: hb.Number, sentAt: now, committedCaps: hb.CommittedCaps})
	if len(g.unrecorded) > maxUnrecordedHeartbeats {
		g.mergeOldestHeartbeat()
	}
	return hb
}

// mergeOldestHeartbeat drops the oldest heartbeat but keeps its promises in the next.
func (g *Ledger) mergeOldestHeartbeat() {
	old, next := g.unrecorded[0], &g.unrecorded[1]
	merged := next.committedCaps.Clone()
	for l, n := range old.committedCaps {
		if have, ok := merged[l]; !ok || n < have {
			merged[l] = n
		}
	}
	next.committedCaps = merged
	g.unrecorded = append(g.unrecorded[:0], g.unrecorded[1:]...)
}

// capsToCommit promises to come down to the caps as far as use allows.
func (g *Ledger) capsToCommit(now time.Time) Counts {
	if g.ownRecord == nil {
		return nil
	}
	caps := Counts{}
	for l, granted := range g.ownRecord.Grants {
		committed, capped := g.cap(l)
		committed = max(committed, g.inUse[l]-g.borrowedCount(now, l)+g.lentCount(now, l), g.lentCount(now, l))
		if capped && committed < granted {
			caps[l] = committed
		}
	}
	return caps
}

// cap returns the shares of l that this holder is asked to come down to.
func (g *Ledger) cap(l Limit) (int, bool) {
	if g.leaving {
		return 0, true
	}
	if g.ownRecord == nil {
		return 0, false
	}
	n, ok := g.ownRecord.RequestedCaps[l]
	return n, ok
}

// ObserveRow takes in a row. A version that is not higher is ignored.
func (g *Ledger) ObserveRow(now time.Time, r *Row) {
	if r.Version <= g.row.Version {
		return
	}
	g.row = r
	g.ownRecord = r.Holder(g.self)
	if g.ownRecord == nil {
		g.renewedAt = time.Time{}
		g.promiseRequestedAt, g.terminatedWitnesses = map[HolderKey]time.Time{}, map[HolderKey]bool{}
		return
	}
	g.pruneWitnesses()
	g.recordRenewal(now, g.ownRecord.Renewal)
}

// ObserveRenewal takes in that a version of the row, whose layout is the one
// already seen, records heartbeat number of this holder. An older version is
// as good as a newer: a reclaimer waits after each renewal that was recorded.
func (g *Ledger) ObserveRenewal(now time.Time, version, layout, number uint64) {
	if g.ownRecord == nil || layout != g.row.LayoutVersion {
		return
	}
	if version > g.row.Version {
		next := *g.row
		next.Version = version
		g.row = &next
	}
	g.recordRenewal(now, number)
}

// recordRenewal counts the lease from when the recorded heartbeat was sent.
func (g *Ledger) recordRenewal(now time.Time, number uint64) {
	g.recordedNumber = max(g.recordedNumber, number)
	kept := g.unrecorded[:0]
	for _, s := range g.unrecorded {
		if s.number > number {
			kept = append(kept, s)
			continue
		}
		if s.sentAt.After(g.renewedAt) {
			g.renewedAt = s.sentAt
		}
	}
	renewed := len(kept) < len(g.unrecorded)
	g.unrecorded = kept
	if renewed && g.overrides.StartLeaseAtReply {
		g.renewedAt = now
	}
}

// pruneWitnesses drops the promises of those that are no witnesses any more.
func (g *Ledger) pruneWitnesses() {
	kept, terminated := map[HolderKey]time.Time{}, map[HolderKey]bool{}
	for _, w := range g.ownRecord.Witnesses {
		if at, ok := g.promiseRequestedAt[w]; ok {
			kept[w] = at
		}
		if g.terminatedWitnesses[w] {
			terminated[w] = true
		}
	}
	g.promiseRequestedAt, g.terminatedWitnesses = kept, terminated
}

// PromiseRequest is what a holder asks of a witness: not to consent to the reclaim
// of its shares for the time of a lease.
type PromiseRequest struct {
	Holder HolderKey `json:"holder"`
	// Witness is the incarnation that is asked.
	Witness HolderKey `json:"witness"`
	// Renewal is the newest heartbeat known to be recorded in the row.
	Renewal uint64 `json:"renewal"`
}

// PromiseRequests returns what to ask of the witnesses when the lease has not been
// renewed in the row for half its time.
func (g *Ledger) PromiseRequests(now time.Time) []PromiseRequest {
	if g.ownRecord == nil || now.Sub(g.renewedAt) < g.timing.Lease/2 {
		return nil
	}
	var reqs []PromiseRequest
	for _, w := range g.ownRecord.Witnesses {
		reqs = append(reqs, PromiseRequest{Holder: g.self, Witness: w, Renewal: g.recordedNumber})
	}
	return reqs
}

// RecordPromise takes in that the witness agreed to p, which was asked at asked.
func (g *Ledger) RecordPromise(requestedAt time.Time, req PromiseRequest) {
	if g.ownRecord == nil {
		return
	}
	for _, w := range g.ownRecord.Witnesses {
		if w == req.Witness && requestedAt.After(g.promiseRequestedAt[w]) {
			g.promiseRequestedAt[w] = requestedAt
		}
	}
}

// CapRequested reports whether the row asks this holder to come down, so that a
// heartbeat with its ceilings is due.
func (g *Ledger) CapRequested() bool { return g.ownRecord != nil && len(g.ownRecord.RequestedCaps) > 0 }

// RenewalOverdue reports whether no renewal has been recorded for half a lease.
func (g *Ledger) RenewalOverdue(now time.Time) bool {
	return now.Sub(g.renewedAt) >= g.timing.Lease/2
}

// ObserveWitnessTermination takes in that the process of witness w is known to have ended.
// When it ended before it may have consented to a reclaim, it never will, which
// is as good as a promise. A reclaimer asks for consent only after the lease,
// and a witness gives it only after its promise.
func (g *Ledger) ObserveWitnessTermination(now time.Time, w HolderKey) {
	if now.Before(later(g.renewedAt, g.promiseRequestedAt[w]).Add(g.timing.Lease)) || g.overrides.TrustAnyTerminatedWitness {
		g.terminatedWitnesses[w] = true
	}
}

// Expires returns when this holder's right to its grants ends.
func (g *Ledger) Expires() time.Time {
	if g.ownRecord == nil || g.renewedAt.IsZero() {
		return time.Time{}
	}
	extendedEnd := g.renewedAt.Add(g.timing.LongLease)
	if len(g.ownRecord.Witnesses) == 0 {
		if g.ownRecord.hasAckedWitnesses() {
			return extendedEnd
		}
		return g.renewedAt.Add(g.timing.Lease)
	}
	newest, oldest := g.promiseTimes()
	expires := g.renewedAt.Add(g.timing.Lease)
	anyPromiseEnd := newest.Add(g.timing.Lease)
	if g.hasTerminatedWitness() {
		anyPromiseEnd = extendedEnd
	}
	if anyPromiseEnd = earlier(anyPromiseEnd, extendedEnd); anyPromiseEnd.After(expires) {
		expires = anyPromiseEnd
	}
	if allPromisesEnd := oldest.Add(g.timing.Lease); allPromisesEnd.After(expires) {
		expires = allPromisesEnd
	}
	return expires
}

func (g *Ledger) hasTerminatedWitness() bool {
	for _, w := range g.ownRecord.Witnesses {
		if g.terminatedWitnesses[w] {
			return true
		}
	}
	return false
}

// promiseTimes returns when the newest promise of any witness and the oldest
// among all witnesses were asked for.
func (g *Ledger) promiseTimes() (newest, oldest time.Time) {
	for i, w := range g.ownRecord.Witnesses {
		at := g.promiseRequestedAt[w]
		if at.After(newest) {
			newest = at
		}
		if i == 0 || at.Before(oldest) {
			oldest = at
		}
	}
	return newest, oldest
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
