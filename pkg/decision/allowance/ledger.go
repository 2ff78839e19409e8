package allowance

import (
	"time"
)

// maxUnrecordedHeartbeats limits the sent heartbeats that a holder keeps
// until the row records them.
const maxUnrecordedHeartbeats = 64

// sentHeartbeat is a heartbeat that the row may still record.
type sentHeartbeat struct {
	number        uint64
	sentAt        time.Time
	committedCaps Counts
}

// Ledger tracks what one holder may use, lend and borrow. It is not safe for
// concurrent use.
type Ledger struct {
	self        HolderKey
	peerAddress string
	timing      Timing
	overrides   SafetyOverrides

	row                 *Row
	ownRecord           *Holder // record of self in row, or nil
	heartbeatNumber     uint64  // of the last heartbeat
	unrecorded          []sentHeartbeat
	recordedNumber      uint64                  // newest heartbeat known to be recorded
	renewedAt           time.Time               // when that heartbeat was sent
	promiseRequestedAt  map[HolderKey]time.Time // when the newest granted promise of each witness was requested
	terminatedWitnesses map[HolderKey]bool      // witnesses that terminated without having consented
	leaving             bool

	inUse      Counts
	lastUsedAt map[Limit]time.Time // when this holder last used a share of the limit
	lent       map[HolderKey]map[Limit]lentShares
	borrowed   map[HolderKey]map[Limit]borrowedShares
	loanNumber uint64 // of the last loan request
}

// NewLedger returns a ledger without shares for the holder self.
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

// Row returns the newest observed row.
func (g *Ledger) Row() *Row { return g.row }

// Leave makes the ledger give up all shares that are not in use.
func (g *Ledger) Leave() { g.leaving = true }

// Released reports whether the holder is leaving and has given up all shares:
// it is not in the row, so that nothing is granted to it, and borrows none.
func (g *Ledger) Released(now time.Time) bool {
	return g.leaving && g.ownRecord == nil && !g.borrowsAny(now)
}

// SetInUse sets the numbers of shares that are serving requests.
func (g *Ledger) SetInUse(now time.Time, inUse Counts) {
	g.inUse = inUse
	for l, n := range inUse {
		if n > 0 {
			g.lastUsedAt[l] = now
		}
	}
}

// Heartbeat returns the next heartbeat. The caller must not send it before
// now, because a lease counts from that time.
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

// mergeOldestHeartbeat merges the committed caps of the oldest unrecorded
// heartbeat into the next one and drops it. The lower cap applies.
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

// capsToCommit returns the caps that the next heartbeat commits to: the
// requested caps, raised to what is in use or lent. Caps that would not lower
// a grant are left out.
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

// cap returns the requested cap of l and whether there is one. It is zero for
// a leaving holder.
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

// ObserveRow applies a row. It ignores a row whose version is not higher than
// that of the current one.
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

// ObserveRenewal records that a version of the row contains heartbeat number
// of this holder. It is ignored unless layout is that of the current row. An
// older version counts as much as a newer one, because a reclaimer waits
// after every recorded renewal.
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

// recordRenewal drops the heartbeats up to number and counts the lease from
// when the newest of them was sent.
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

// pruneWitnesses drops what is recorded of holders that are no longer
// witnesses.
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

// PromiseRequest asks a witness not to consent to the reclaim of the holder's
// shares for the duration of a lease.
type PromiseRequest struct {
	Holder HolderKey `json:"holder"`
	// Witness is the incarnation that the request is addressed to.
	Witness HolderKey `json:"witness"`
	// Renewal is the newest heartbeat known to be recorded in the row.
	Renewal uint64 `json:"renewal"`
}

// PromiseRequests returns a request for each witness once the lease has not
// been renewed in the row for half its duration.
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

// RecordPromise records that the witness granted req, which was sent at
// requestedAt.
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

// CapRequested reports whether the row requests caps from this holder, so
// that a heartbeat with committed caps is due.
func (g *Ledger) CapRequested() bool { return g.ownRecord != nil && len(g.ownRecord.RequestedCaps) > 0 }

// RenewalOverdue reports whether no renewal has been recorded for half a
// lease.
func (g *Ledger) RenewalOverdue(now time.Time) bool {
	return now.Sub(g.renewedAt) >= g.timing.Lease/2
}

// ObserveWitnessTermination records that the process of witness w has
// terminated. If it did so before it could have consented to a reclaim, it
// never will, which is equivalent to a promise. A reclaimer requests consent
// only after the lease has expired, and a witness consents only after its
// promise has expired.
func (g *Ledger) ObserveWitnessTermination(now time.Time, w HolderKey) {
	if now.Before(later(g.renewedAt, g.promiseRequestedAt[w]).Add(g.timing.Lease)) || g.overrides.TrustAnyTerminatedWitness {
		g.terminatedWitnesses[w] = true
	}
}

// Expires returns when this holder's right to use its grants ends, or the
// zero time if there is none. Promises of some witnesses extend the lease up
// to LongLease after the last renewal, promises of all witnesses extend it
// further. Without witnesses it lasts LongLease, once the row shows that the
// holder has acknowledged that it has none.
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

// promiseTimes returns the latest and the earliest time at which a promise
// was requested, over all witnesses. A witness without a promise counts as
// the zero time.
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
