package allowance

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// witnessesPerHolder is the number of holders that may extend a lease.
const witnessesPerHolder = 3

// Heartbeat is what a holder tells the writer of the row.
type Heartbeat struct {
	HolderKey
	// Address is the holder's peer address.
	Address string `json:"address"`
	// Number rises with every heartbeat of the incarnation.
	Number uint64 `json:"number"`
	// SeenLayout is the layout of the row that the holder has seen.
	SeenLayout uint64 `json:"layout"`
	// CommittedCaps promise that the holder uses no more than these shares of its
	// grants from now on. A missing limit promises nothing.
	CommittedCaps Counts `json:"ceilings,omitempty"`
	// Leaving is set once the holder stops: it gets no new shares, and its
	// record is removed when nothing is granted to it.
	Leaving bool `json:"leaving,omitempty"`
}

// PlanInputs is what the writer knows when it makes the next row.
type PlanInputs struct {
	// TablesVersion is the version that Limits follow. Grants stay as they are when
	// the row follows a higher one.
	TablesVersion uint64
	// Limits are the zone's limits.
	Limits Counts
	// Heartbeats are the newest of each holder.
	Heartbeats []Heartbeat
}

// Plan returns the next version of row, or row itself when nothing changes.
// Grants are only lowered to what the holder has promised, and only raised
// within what is free.
func Plan(row *Row, in PlanInputs) *Row {
	next := row.clone()
	next.Version++
	renewed, changed := next.recordHeartbeats(in.Heartbeats)
	if next.removeReleased() {
		changed = true
	}
	if in.TablesVersion >= next.TablesVersion && in.TablesVersion > 0 {
		if next.distribute(in) {
			changed = true
		}
	}
	if next.assignWitnesses() {
		changed = true
	}
	if changed {
		next.LayoutVersion = next.Version
	}
	if !renewed && !changed {
		return row
	}
	return next
}

// recordHeartbeats takes in the heartbeats that are newer than what the row holds.
func (r *Row) recordHeartbeats(hbs []Heartbeat) (renewed, changed bool) {
	for i := range hbs {
		hb := &hbs[i]
		h := r.Holder(hb.HolderKey)
		if h == nil {
			if !hb.Leaving {
				r.addHolder(hb)
				changed = true
			}
			continue
		}
		if hb.Number <= h.Renewal {
			continue
		}
		renewed = true
		h.Renewal = hb.Number
		h.AckedLayout = max(h.AckedLayout, hb.SeenLayout)
		if hb.Leaving && !h.Leaving {
			h.Leaving = true
			changed = true
		}
		if h.lowerGrants(hb.CommittedCaps) {
			changed = true
		}
	}
	return renewed, changed
}

// addHolder inserts a new holder without shares. It counts as having seen this
// version, since it can't have used any earlier witnesses.
func (r *Row) addHolder(hb *Heartbeat) {
	r.Holders = append(r.Holders, Holder{
		HolderKey: hb.HolderKey, Address: hb.Address, Renewal: hb.Number, AckedLayout: r.Version,
		Grants: Counts{}, RequestedCaps: Counts{}, WitnessLayout: r.Version,
	})
	sort.Slice(r.Holders, func(i, j int) bool { return r.Holders[i].Less(r.Holders[j].HolderKey) })
}

// lowerGrants reduces the grants to the promised ceilings.
func (h *Holder) lowerGrants(caps Counts) bool {
	changed := false
	for l, n := range caps {
		n = max(n, 0)
		if h.Grants[l] <= n {
			continue
		}
		changed = true
		if n == 0 {
			delete(h.Grants, l)
		} else {
			h.Grants[l] = n
		}
	}
	return changed
}

// removeReleased removes the leaving holders without shares.
func (r *Row) removeReleased() bool {
	kept := r.Holders[:0]
	for _, h := range r.Holders {
		if !h.Leaving || len(h.Grants) > 0 {
			kept = append(kept, h)
		}
	}
	removed := len(kept) < len(r.Holders)
	r.Holders = kept
	return removed
}

// distribute asks holders above their even part to come down to it and gives
// what is free to those below.
func (r *Row) distribute(in PlanInputs) bool {
	changed := r.TablesVersion != in.TablesVersion
	r.TablesVersion = in.TablesVersion
	granted := r.Granted()
	all := in.Limits.Clone()
	for l := range granted {
		all[l] = in.Limits[l]
	}
	for _, l := range all.SortedLimits() {
		if r.distributeLimit(l, all[l], all[l]-granted[l]) {
			changed = true
		}
	}
	return changed
}

// distributeLimit handles one limit of which free shares are not granted;
// free is negative after the limit was lowered.
func (r *Row) distributeLimit(l Limit, limit, free int) bool {
	changed := false
	for rank, i := range r.rankHolders(l) {
		h := &r.Holders[i]
		fair := fairShare(limit, r.activeCount(), rank)
		if h.Leaving {
			fair = 0
		}
		have := h.Grants[l]
		if more := min(fair-have, free); more > 0 {
			h.Grants[l] = have + more
			free -= more
			changed = true
		}
		if h.setCap(l, fair, have > fair) {
			changed = true
		}
	}
	return changed
}

// setCap sets or clears the cap of one limit.
func (h *Holder) setCap(l Limit, n int, set bool) bool {
	old, had := h.RequestedCaps[l]
	if !set {
		delete(h.RequestedCaps, l)
		return had
	}
	h.RequestedCaps[l] = n
	return !had || old != n
}

// activeCount counts the holders that are not leaving.
func (r *Row) activeCount() int {
	n := 0
	for i := range r.Holders {
		if !r.Holders[i].Leaving {
			n++
		}
	}
	return n
}

// fairShare divides limit among n holders; the remainder goes to the first.
func fairShare(limit, n, rank int) int {
	if n == 0 {
		return 0
	}
	share := limit / n
	if rank < limit%n {
		share++
	}
	return share
}

// rankHolders returns the indexes of the holders in the order in which they get the
// remainder of l. It differs by limit, so that small limits spread over the
// holders, and changes little when a holder comes or goes. Leaving holders
// are last.
func (r *Row) rankHolders(l Limit) []int {
	order := make([]int, len(r.Holders))
	score := make([]uint64, len(r.Holders))
	for i := range r.Holders {
		order[i] = i
		score[i] = rendezvousScore(string(l), r.Holders[i].HolderKey)
	}
	sort.SliceStable(order, func(a, b int) bool {
		i, j := order[a], order[b]
		if r.Holders[i].Leaving != r.Holders[j].Leaving {
			return r.Holders[j].Leaving
		}
		return score[i] > score[j]
	})
	return order
}

// rendezvousScore scores holder k for name.
func rendezvousScore(name string, k HolderKey) uint64 {
	return xxhash.Sum64String(name + "\x00" + k.ID + "\x00" + k.Incarnation)
}

// Reclaim returns the next version of row without holder k.
func Reclaim(row *Row, k HolderKey) *Row {
	next := row.clone()
	next.Version++
	next.LayoutVersion = next.Version
	kept := next.Holders[:0]
	for _, h := range next.Holders {
		if h.HolderKey != k {
			kept = append(kept, h)
		}
	}
	next.Holders = kept
	return next
}

// assignWitnesses gives each holder witnesses among the others. A set is
// replaced only after the holder has seen the last change.
func (r *Row) assignWitnesses() bool {
	changed := false
	for i := range r.Holders {
		h := &r.Holders[i]
		if !h.hasAckedWitnesses() {
			continue
		}
		selected := r.selectWitnesses(h)
		if equalKeys(selected, h.Witnesses) {
			continue
		}
		h.PreviousWitnesses = h.Witnesses
		h.Witnesses = selected
		h.WitnessLayout = r.Version
		changed = true
	}
	return changed
}

// selectWitnesses keeps the witnesses that are still holders and fills up by
// rendezvous hash.
func (r *Row) selectWitnesses(h *Holder) []HolderKey {
	var selected []HolderKey
	chosen := map[HolderKey]bool{h.HolderKey: true}
	for _, k := range h.Witnesses {
		if w := r.Holder(k); w != nil && !w.Leaving {
			selected = append(selected, k)
			chosen[k] = true
		}
	}
	for _, i := range r.rankHolders(Limit(h.ID)) {
		w := &r.Holders[i]
		if len(selected) < witnessesPerHolder && !w.Leaving && !chosen[w.HolderKey] {
			selected = append(selected, w.HolderKey)
		}
	}
	return selected
}

func equalKeys(a, b []HolderKey) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
