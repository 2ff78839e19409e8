package allowance

import (
	"time"
)

// maxOutstanding bounds the heartbeats that a holder keeps until the row
// records them.
const maxOutstanding = 64

// sentHeartbeat is a heartbeat that the row may still record.
type sentHeartbeat struct {
	number   uint64
	at       time.Time
	ceilings Counts
}

// Ledger is one holder's side: what it may use, lend and borrow. It is not
// safe for concurrent use.
type Ledger struct {
	self   HolderKey
	addr   string
	timing Timing
	rules  SafetyOverrides

	row       *Row
	own       *Holder // self's record in row, or nil
	number    uint64
	sent      []sentHeartbeat
	recorded  uint64    // the newest heartbeat known to be recorded
	renewedAt time.Time // when that heartbeat was sent
	promised  map[HolderKey]time.Time
	ended     map[HolderKey]bool // witnesses that ended without a consent
	leaving   bool

	inUse    Counts
	usedAt   map[Limit]time.Time // when this holder last used a share
	lent     map[HolderKey]map[Limit]lending
	borrowed map[HolderKey]map[Limit]borrowing
	nextLoan uint64
}

// NewLedger returns a ledger without shares.
func NewLedger(self HolderKey, addr string, timing Timing, rules SafetyOverrides) *Ledger {
	return &Ledger{
		self: self, addr: addr, timing: timing, rules: rules,
		row:      &Row{},
		promised: map[HolderKey]time.Time{},
		ended:    map[HolderKey]bool{},
		inUse:    Counts{},
		usedAt:   map[Limit]time.Time{},
		lent:     map[HolderKey]map[Limit]lending{},
		borrowed: map[HolderKey]map[Limit]borrowing{},
	}
}

// Row returns the newest row seen.
func (g *Ledger) Row() *Row { return g.row }

// Leave makes the ledger give up all that is not in use.
func (g *Ledger) Leave() { g.leaving = true }

// Released reports whether nothing is granted, lent or borrowed any more.
func (g *Ledger) Released() bool {
	return g.leaving && g.own == nil
}

// SetInUse tells the ledger which shares serve requests now.
func (g *Ledger) SetInUse(now time.Time, inUse Counts) {
	g.inUse = inUse
	for l, n := range inUse {
		if n > 0 {
			g.usedAt[l] = now
		}
	}
}

// Heartbeat returns the next heartbeat, to be sent after now.
func (g *Ledger) Heartbeat(now time.Time) Heartbeat {
	g.pruneLoans(now)
	g.number++
	hb := Heartbeat{
		HolderKey: g.self, Address: g.addr, Number: g.number,
		SeenLayout: g.row.LayoutVersion, Leaving: g.leaving, CommittedCaps: g.ceilings(now),
	}
	g.sent = append(g.sent, sentHeartbeat{number: hb.Number, at: now, ceilings: hb.CommittedCaps})
	if len(g.sent) > maxOutstanding {
		g.mergeOldest()
	}
	return hb
}

// mergeOldest drops the oldest heartbeat but keeps its promises in the next.
func (g *Ledger) mergeOldest() {
	old, next := g.sent[0], &g.sent[1]
	merged := next.ceilings.Clone()
	for l, n := range old.ceilings {
		if have, ok := merged[l]; !ok || n < have {
			merged[l] = n
		}
	}
	next.ceilings = merged
	g.sent = append(g.sent[:0], g.sent[1:]...)
}

// ceilings promises to come down to the caps as far as use allows.
func (g *Ledger) ceilings(now time.Time) Counts {
	if g.own == nil {
		return nil
	}
	ceilings := Counts{}
	for l, granted := range g.own.Grants {
		ceiling, capped := g.cap(l)
		ceiling = max(ceiling, g.inUse[l]-g.borrowedOf(now, l)+g.lentOf(now, l), g.lentOf(now, l))
		if capped && ceiling < granted {
			ceilings[l] = ceiling
		}
	}
	return ceilings
}

// cap returns the shares of l that this holder is asked to come down to.
func (g *Ledger) cap(l Limit) (int, bool) {
	if g.leaving {
		return 0, true
	}
	if g.own == nil {
		return 0, false
	}
	n, ok := g.own.RequestedCaps[l]
	return n, ok
}

// ObserveRow takes in a row. A version that is not higher is ignored.
func (g *Ledger) ObserveRow(now time.Time, r *Row) {
	if r.Version <= g.row.Version {
		return
	}
	g.row = r
	g.own = r.Holder(g.self)
	if g.own == nil {
		g.renewedAt = time.Time{}
		g.promised, g.ended = map[HolderKey]time.Time{}, map[HolderKey]bool{}
		return
	}
	g.forgetWitnesses()
	g.renew(now, g.own.Renewal)
}

// ObserveRenewal takes in that a version of the row, whose layout is the one
// already seen, records heartbeat number of this holder. An older version is
// as good as a newer: a reclaimer waits after each renewal that was recorded.
func (g *Ledger) ObserveRenewal(now time.Time, version, layout, number uint64) {
	if g.own == nil || layout != g.row.LayoutVersion {
		return
	}
	if version > g.row.Version {
		next := *g.row
		next.Version = version
		g.row = &next
	}
	g.renew(now, number)
}

// renew counts the lease from when the recorded heartbeat was sent.
func (g *Ledger) renew(now time.Time, number uint64) {
	g.recorded = max(g.recorded, number)
	kept := g.sent[:0]
	for _, s := range g.sent {
		if s.number > number {
			kept = append(kept, s)
			continue
		}
		if s.at.After(g.renewedAt) {
			g.renewedAt = s.at
		}
	}
	renewed := len(kept) < len(g.sent)
	g.sent = kept
	if renewed && g.rules.StartLeaseAtReply {
		g.renewedAt = now
	}
}

// forgetWitnesses drops the promises of those that are no witnesses any more.
func (g *Ledger) forgetWitnesses() {
	kept, ended := map[HolderKey]time.Time{}, map[HolderKey]bool{}
	for _, w := range g.own.Witnesses {
		if at, ok := g.promised[w]; ok {
			kept[w] = at
		}
		if g.ended[w] {
			ended[w] = true
		}
	}
	g.promised, g.ended = kept, ended
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
	if g.own == nil || now.Sub(g.renewedAt) < g.timing.Lease/2 {
		return nil
	}
	var ps []PromiseRequest
	for _, w := range g.own.Witnesses {
		ps = append(ps, PromiseRequest{Holder: g.self, Witness: w, Renewal: g.recorded})
	}
	return ps
}

// RecordPromise takes in that the witness agreed to p, which was asked at asked.
func (g *Ledger) RecordPromise(asked time.Time, p PromiseRequest) {
	if g.own == nil {
		return
	}
	for _, w := range g.own.Witnesses {
		if w == p.Witness && asked.After(g.promised[w]) {
			g.promised[w] = asked
		}
	}
}

// CapRequested reports whether the row asks this holder to come down, so that a
// heartbeat with its ceilings is due.
func (g *Ledger) CapRequested() bool { return g.own != nil && len(g.own.RequestedCaps) > 0 }

// RenewalOverdue reports whether no renewal has been recorded for half a lease.
func (g *Ledger) RenewalOverdue(now time.Time) bool {
	return now.Sub(g.renewedAt) >= g.timing.Lease/2
}

// ObserveWitnessTermination takes in that the process of witness w is known to have ended.
// When it ended before it may have consented to a reclaim, it never will, which
// is as good as a promise. A reclaimer asks for consent only after the lease,
// and a witness gives it only after its promise.
func (g *Ledger) ObserveWitnessTermination(now time.Time, w HolderKey) {
	if now.Before(later(g.renewedAt, g.promised[w]).Add(g.timing.Lease)) || g.rules.TrustAnyTerminatedWitness {
		g.ended[w] = true
	}
}

// Expires returns when this holder's right to its grants ends.
func (g *Ledger) Expires() time.Time {
	if g.own == nil || g.renewedAt.IsZero() {
		return time.Time{}
	}
	long := g.renewedAt.Add(g.timing.LongLease)
	if len(g.own.Witnesses) == 0 {
		if g.own.acksWitnesses() {
			return long
		}
		return g.renewedAt.Add(g.timing.Lease)
	}
	newest, oldest := g.promiseTimes()
	expires := g.renewedAt.Add(g.timing.Lease)
	some := newest.Add(g.timing.Lease)
	if g.hasEndedWitness() {
		some = long
	}
	if some = earlier(some, long); some.After(expires) {
		expires = some
	}
	if all := oldest.Add(g.timing.Lease); all.After(expires) {
		expires = all
	}
	return expires
}

func (g *Ledger) hasEndedWitness() bool {
	for _, w := range g.own.Witnesses {
		if g.ended[w] {
			return true
		}
	}
	return false
}

// promiseTimes returns when the newest promise of any witness and the oldest
// among all witnesses were asked for.
func (g *Ledger) promiseTimes() (newest, oldest time.Time) {
	for i, w := range g.own.Witnesses {
		at := g.promised[w]
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
