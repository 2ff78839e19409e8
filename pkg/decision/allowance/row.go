package allowance

import (
	"encoding/json"
	"sort"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// HolderKey identifies a holder: one incarnation of one instance.
type HolderKey struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
}

// Less orders keys by instance, then by incarnation.
func (k HolderKey) Less(o HolderKey) bool {
	if k.ID != o.ID {
		return k.ID < o.ID
	}
	return k.Incarnation < o.Incarnation
}

// Row is one version of the zone's record of holders. It is immutable once
// built; Plan and Reclaim return changed copies.
type Row struct {
	// Version rises by one with every write.
	Version uint64 `json:"version"`
	// LayoutVersion is the Version of the last write that changed more than renewals.
	LayoutVersion uint64 `json:"layout"`
	// TablesVersion is the version of the tables that the grants follow.
	TablesVersion uint64 `json:"tables"`
	// Holders are sorted by key.
	Holders []Holder `json:"holders"`
}

// Holder is the record of one holder.
type Holder struct {
	HolderKey
	// Address is the holder's peer address. It never changes in an incarnation.
	Address string `json:"address,omitempty"`
	// Renewal is the number of the newest heartbeat recorded.
	Renewal uint64 `json:"renewal"`
	// AckedLayout is the layout that the holder had seen when it sent that heartbeat.
	AckedLayout uint64 `json:"acked"`
	// Leaving is set once the holder has announced its stop.
	Leaving bool `json:"leaving,omitempty"`
	// Grants are the shares that the holder may use while its lease lasts.
	Grants Counts `json:"grants,omitempty"`
	// RequestedCaps ask the holder to come down to these shares.
	RequestedCaps Counts `json:"caps,omitempty"`
	// Witnesses may extend the lease while the store can't be reached.
	Witnesses []HolderKey `json:"witnesses,omitempty"`
	// PreviousWitnesses are those before, until the holder has seen the change.
	PreviousWitnesses []HolderKey `json:"former_witnesses,omitempty"`
	// WitnessLayout is the layout that set Witnesses.
	WitnessLayout uint64 `json:"witness_layout,omitempty"`
}

// hasAckedWitnesses reports whether the holder is known to use Witnesses and no
// longer PreviousWitnesses.
func (h *Holder) hasAckedWitnesses() bool { return h.AckedLayout >= h.WitnessLayout }

// possibleWitnessSets returns the sets of which the holder uses one.
func (h *Holder) possibleWitnessSets() [][]HolderKey {
	if h.hasAckedWitnesses() {
		return [][]HolderKey{h.Witnesses}
	}
	return [][]HolderKey{h.Witnesses, h.PreviousWitnesses}
}

// Holder returns the record of k, or nil.
func (r *Row) Holder(k HolderKey) *Holder {
	i := sort.Search(len(r.Holders), func(i int) bool { return !r.Holders[i].Less(k) })
	if i < len(r.Holders) && r.Holders[i].HolderKey == k {
		return &r.Holders[i]
	}
	return nil
}

// Granted returns the sum of the grants of each limit.
func (r *Row) Granted() Counts {
	sum := Counts{}
	for i := range r.Holders {
		for l, n := range r.Holders[i].Grants {
			sum[l] += n
		}
	}
	return sum
}

// clone returns a copy whose holders and counts can be changed.
func (r *Row) clone() *Row {
	out := *r
	out.Holders = make([]Holder, len(r.Holders))
	for i, h := range r.Holders {
		h.Grants = h.Grants.Clone()
		h.RequestedCaps = h.RequestedCaps.Clone()
		out.Holders[i] = h
	}
	return &out
}

// Encode writes the row's stored form.
func (r *Row) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode reads a stored row. An empty value is the row before the first
// write. Errors: fault.KindInvalidTable.
func Decode(value []byte) (*Row, error) {
	r := &Row{}
	if len(value) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, fault.Wrap(fault.KindInvalidTable, err, "the zone's row can't be read")
	}
	return r, r.Validate()
}

// Validate checks what the other methods rely on. Errors:
// fault.KindInvalidTable.
func (r *Row) Validate() error {
	for i := range r.Holders {
		h := &r.Holders[i]
		if h.ID == "" || (i > 0 && !r.Holders[i-1].Less(h.HolderKey)) {
			return fault.New(fault.KindInvalidTable, "the zone's row has holder %q out of order", h.ID)
		}
		for l, n := range h.Grants {
			if n < 0 {
				return fault.New(fault.KindInvalidTable, "the zone's row grants %d of %q to %q", n, l, h.ID)
			}
		}
	}
	if r.LayoutVersion > r.Version {
		return fault.New(fault.KindInvalidTable, "the zone's row has layout %d above version %d", r.LayoutVersion, r.Version)
	}
	return nil
}
