package allowance

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// witnessCount is the number of holders that may extend a lease.
const witnessCount = 3

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
	renewed, changed := next.record(in.Heartbeats)
	if next.removeLeft() {
		changed = true
	}
	if in.TablesVersion >= next.TablesVersion && in.TablesVersion > 0 {
		if next.distribute(in) {
			changed = true
		}
	}
	if next.chooseWitnesses() {
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

// record takes in the heartbeats that are newer than what the row holds.
func (r *Row) record(hbs []Heartbeat) (renewed, changed bool) {
	for i := range hbs {
		hb := &hbs[i]
		h := r.Holder(hb.HolderKey)
		if h == nil {
			if !hb.Leaving {
				r.add(hb)
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
		if h.lower(hb.CommittedCaps) {
			changed = true
		}
	}
	return renewed, changed
}

// add inserts a new holder without shares. It counts as having seen this
// version, since it can't have used any earlier witnesses.
func (r *Row) add(hb *Heartbeat) {
	r.Holders = append(r.Holders, Holder{
		HolderKey: hb.HolderKey, Address: hb.Address, Renewal: hb.Number, AckedLayout: r.Version,
		Grants: Counts{}, RequestedCaps: Counts{}, WitnessLayout: r.Version,
	})
	sort.Slice(r.Holders, func(i, j int) bool { return r.Holders[i].Less(r.Holders[j].HolderKey) })
}

// lower reduces the grants to the promised ceilings.
func (h *Holder) lower(ceilings Counts) bool {
	changed := false
	for l, n := range ceilings {
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

// removeLeft removes the leaving holders without shares.
func (r *Row) removeLeft() bool {
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
	for rank, i := range r.rank(l) {
		h := &r.Holders[i]
		part := evenPart(limit, r.staying(), rank)
		if h.Leaving {
			part = 0
		}
		have := h.Grants[l]
		if more := min(part-have, free); more > 0 {
			h.Grants[l] = have + more
			free -= more
			changed = true
		}
		if h.setCap(l, part, have > part) {
			changed = true
		}
	}
	return changed
}

// setCap sets or clears the cap of one limit.
func (h *Holder) setCap(l Limit, part int, set bool) bool {
	old, had := h.RequestedCaps[l]
	if !set {
		delete(h.RequestedCaps, l)
		return had
	}
	h.RequestedCaps[l] = part
	return !had || old != part
}

// staying counts the holders that are not leaving.
func (r *Row) staying() int {
	n := 0
	for i := range r.Holders {
		if !r.Holders[i].Leaving {
			n++
		}
	}
	return n
}

// evenPart divides limit among n holders; the remainder goes to the first.
func evenPart(limit, n, rank int) int {
	if n == 0 {
		return 0
	}
	part := limit / n
	if rank < limit%n {
		part++
	}
	return part
}

// rank returns the indexes of the holders in the order in which they get the
// remainder of l. It differs by limit, so that small limits spread over the
// holders, and changes little when a holder comes or goes. Leaving holders
// are last.
func (r *Row) rank(l Limit) []int {
	order := make([]int, len(r.Holders))
	score := make([]uint64, len(r.Holders))
	for i := range r.Holders {
		order[i] = i
		score[i] = rendezvous(string(l), r.Holders[i].HolderKey)
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

// rendezvous scores holder k for name.
func rendezvous(name string, k HolderKey) uint64 {
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

// chooseWitnesses gives each holder witnesses among the others. A set is
// replaced only after the holder has seen the last change.
func (r *Row) chooseWitnesses() bool {
	changed := false
	for i := range r.Holders {
		h := &r.Holders[i]
		if !h.acksWitnesses() {
			continue
		}
		want := r.witnessesFor(h)
		if sameKeys(want, h.Witnesses) {
			continue
		}
		h.PreviousWitnesses = h.Witnesses
		h.Witnesses = want
		h.WitnessLayout = r.Version
		changed = true
	}
	return changed
}

// witnessesFor keeps the witnesses that are still holders and fills up by
// rendezvous hash.
func (r *Row) witnessesFor(h *Holder) []HolderKey {
	var want []HolderKey
	chosen := map[HolderKey]bool{h.HolderKey: true}
	for _, k := range h.Witnesses {
		if w := r.Holder(k); w != nil && !w.Leaving {
			want = append(want, k)
			chosen[k] = true
		}
	}
	for _, i := range r.rank(Limit(h.ID)) {
		w := &r.Holders[i]
		if len(want) < witnessCount && !w.Leaving && !chosen[w.HolderKey] {
			want = append(want, w.HolderKey)
		}
	}
	return want
}

func sameKeys(a, b []HolderKey) bool {
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
