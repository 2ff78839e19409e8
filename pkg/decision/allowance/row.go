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

// Less orders keys by instance ID, then by incarnation.
func (k HolderKey) Less(o HolderKey) bool {
	if k.ID != o.ID {
		return k.ID < o.ID
	}
	return k.Incarnation < o.Incarnation
}

// Row is one version of the zone's record of holders. It is immutable once
// built; Plan and Reclaim return modified copies.
type Row struct {
	// Version increases by one with every write.
	Version uint64 `json:"version"`
	// LayoutVersion is the Version of the last write that changed more than
	// renewals.
	LayoutVersion uint64 `json:"layout"`
	// TablesVersion is the version of the tables that the grants are based
	// on.
	TablesVersion uint64 `json:"tables"`
	// Holders are sorted by key.
	Holders []Holder `json:"holders"`
}

// Holder is the record of one holder.
type Holder struct {
	HolderKey
	// Address is the holder's peer address. It never changes during an
	// incarnation.
	Address string `json:"address,omitempty"`
	// Renewal is the number of the newest recorded heartbeat.
	Renewal uint64 `json:"renewal"`
	// AckedLayout is the newest LayoutVersion that the recorded heartbeats
	// acknowledge.
	AckedLayout uint64 `json:"acked"`
	// Leaving is set once the holder has announced that it is stopping.
	Leaving bool `json:"leaving,omitempty"`
	// Grants are the shares that the holder may use while its lease is valid.
	Grants Counts `json:"grants,omitempty"`
	// RequestedCaps ask the holder to reduce its grants to these numbers of
	// shares.
	RequestedCaps Counts `json:"caps,omitempty"`
	// Witnesses may extend the lease while the store is unreachable.
	Witnesses []HolderKey `json:"witnesses,omitempty"`
	// PreviousWitnesses are the witnesses before the last change. The holder
	// may still use them until it has acknowledged WitnessLayout.
	PreviousWitnesses []HolderKey `json:"former_witnesses,omitempty"`
	// WitnessLayout is the LayoutVersion that set Witnesses.
	WitnessLayout uint64 `json:"witness_layout,omitempty"`
}

// hasAckedWitnesses reports whether the holder is known to use Witnesses and
// no longer PreviousWitnesses.
func (h *Holder) hasAckedWitnesses() bool { return h.AckedLayout >= h.WitnessLayout }

// possibleWitnessSets returns the witness sets that the holder may be using.
// It uses exactly one of them.
func (h *Holder) possibleWitnessSets() [][]HolderKey {
	if h.hasAckedWitnesses() {
		return [][]HolderKey{h.Witnesses}
	}
	return [][]HolderKey{h.Witnesses, h.PreviousWitnesses}
}

// Holder returns the record of k, or nil if k is not in the row.
func (r *Row) Holder(k HolderKey) *Holder {
	i := sort.Search(len(r.Holders), func(i int) bool { return !r.Holders[i].Less(k) })
	if i < len(r.Holders) && r.Holders[i].HolderKey == k {
		return &r.Holders[i]
	}
	return nil
}

// Granted returns the sum of all grants by limit.
func (r *Row) Granted() Counts {
	sum := Counts{}
	for i := range r.Holders {
		for l, n := range r.Holders[i].Grants {
			sum[l] += n
		}
	}
	return sum
}

// clone returns a copy whose holders, grants and requested caps can be
// modified.
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

// Encode returns the stored form of the row.
func (r *Row) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode parses a stored row. An empty value stands for the row before the
// first write. Errors: fault.KindInvalidTable.
func Decode(value []byte) (*Row, error) {
	r := &Row{}
	if len(value) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, fault.Wrap(fault.KindInvalidTable, err, "cannot decode the zone's row")
	}
	return r, r.Validate()
}

// Validate checks the invariants that the other methods rely on. Errors:
// fault.KindInvalidTable.
func (r *Row) Validate() error {
	for i := range r.Holders {
		h := &r.Holders[i]
		if h.ID == "" || (i > 0 && !r.Holders[i-1].Less(h.HolderKey)) {
			return fault.New(fault.KindInvalidTable, "invalid zone row: holder %q has no ID, is a duplicate or is out of order", h.ID)
		}
		for l, n := range h.Grants {
			if n < 0 {
				return fault.New(fault.KindInvalidTable, "invalid zone row: negative grant %d of limit %q to holder %q", n, l, h.ID)
			}
		}
	}
	if r.LayoutVersion > r.Version {
		return fault.New(fault.KindInvalidTable, "invalid zone row: layout version %d is higher than row version %d", r.LayoutVersion, r.Version)
	}
	return nil
}
