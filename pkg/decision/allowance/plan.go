package allowance

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// witnessesPerHolder is the number of witnesses that are assigned to a
// holder.
const witnessesPerHolder = 3

// Heartbeat is what a holder sends to the writer of the row to renew its
// lease.
type Heartbeat struct {
	HolderKey
	// Address is the holder's peer address.
	Address string `json:"address"`
	// Number increases with every heartbeat of the incarnation.
	Number uint64 `json:"number"`
	// SeenLayout is the LayoutVersion of the newest row that the holder has
	// observed.
	SeenLayout uint64 `json:"layout"`
	// CommittedCaps commit the holder to use no more than these shares of its
	// grants from now on. A missing limit is not capped.
	CommittedCaps Counts `json:"ceilings,omitempty"`
	// Leaving is set once the holder is stopping: it gets no new shares, and
	// its record is removed when nothing is granted to it.
	Leaving bool `json:"leaving,omitempty"`
}

// PlanInputs is what the writer computes the next row from.
type PlanInputs struct {
	// TablesVersion is the version of the tables that define Limits. Limits
	// are not redistributed when the row is already based on a higher
	// version.
	TablesVersion uint64
	// Limits are the zone's limits.
	Limits Counts
	// Heartbeats holds the newest heartbeat of each holder.
	Heartbeats []Heartbeat
}

// Plan returns the next version of row, or row itself when nothing changes.
// It lowers grants only to the caps that the holder has committed to, and
// raises them only by shares that are not granted.
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

// recordHeartbeats applies the heartbeats that are newer than the recorded
// ones. It reports whether any lease was renewed and whether the layout
// changed.
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

// addHolder adds a new holder without shares. The holder counts as having
// acknowledged this version, since it cannot have used any earlier witnesses.
func (r *Row) addHolder(hb *Heartbeat) {
	r.Holders = append(r.Holders, Holder{
		HolderKey: hb.HolderKey, Address: hb.Address, Renewal: hb.Number, AckedLayout: r.Version,
		Grants: Counts{}, RequestedCaps: Counts{}, WitnessLayout: r.Version,
	})
	sort.Slice(r.Holders, func(i, j int) bool { return r.Holders[i].Less(r.Holders[j].HolderKey) })
}

// lowerGrants reduces the grants to the committed caps and reports whether
// any changed.
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

// removeReleased removes the leaving holders without grants and reports
// whether there were any.
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

// distribute requests caps from holders above their fair share and grants
// free shares to those below. It reports whether the row changed.
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

// distributeLimit distributes one limit, of which free shares are not
// granted. free is negative after the limit was lowered.
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

// setCap sets or clears the requested cap of l and reports whether it
// changed.
func (h *Holder) setCap(l Limit, n int, set bool) bool {
	old, had := h.RequestedCaps[l]
	if !set {
		delete(h.RequestedCaps, l)
		return had
	}
	h.RequestedCaps[l] = n
	return !had || old != n
}

// activeCount returns the number of holders that are not leaving.
func (r *Row) activeCount() int {
	n := 0
	for i := range r.Holders {
		if !r.Holders[i].Leaving {
			n++
		}
	}
	return n
}

// fairShare returns the part of limit for the holder at position rank of n.
// The remainder goes one each to the first holders.
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

// rankHolders returns the indexes of the holders in the order in which they
// get the remainder of l, by rendezvous hashing. The order differs between
// limits, so that small limits spread over the holders, and changes little
// when a holder is added or removed. Leaving holders are last.
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

// rendezvousScore returns the rendezvous hash of name and holder k.
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

// assignWitnesses assigns each holder witnesses among the others and reports
// whether any changed. A set is replaced only after the holder has
// acknowledged the previous change.
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

// selectWitnesses keeps the witnesses of h that are still holders and not
// leaving, and adds others by rendezvous hashing.
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
