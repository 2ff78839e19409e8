package block

import (
	"encoding/binary"
	"fmt"
	"iter"
	"maps"
	"net/netip"
	"slices"
)

// Delta is a change of a table. It is applied whole or not at all.
type Delta struct {
	// Set adds blocks, or moves blocks that exist to another site.
	Set []Row `json:"set,omitempty"`
	// Remove takes out blocks that exist; Site is ignored. Rows are counted
	// on from those of Set.
	Remove []Row `json:"remove,omitempty"`
}

// Build returns a table of the rows. Sorted rows (IPv4 before IPv6, then by
// address and length) are taken in without a copy of the list. A row that
// repeats an earlier one changes nothing. The error is a InvalidError.
func Build(sites []string, rows iter.Seq[Row]) (*Table, error) {
	t, err := New(sites)
	if err != nil {
		return nil, err
	}
	var b batch
	n := 0
	for row := range rows {
		n++
		b.add(t, n, row, false)
		if b.size >= buildBatch {
			if t, err = b.load(t); err != nil {
				return nil, err
			}
		}
	}
	return b.load(t)
}

// buildBatch is the number of rows that Build takes in at once.
const buildBatch = 64 * maxPage

// Apply returns the table after the delta. t stays as it is and may still be
// read. The error is a InvalidError.
func (t *Table) Apply(d Delta) (*Table, error) {
	var b batch
	for i, row := range d.Set {
		b.add(t, i+1, row, false)
	}
	for i, row := range d.Remove {
		b.add(t, len(d.Set)+i+1, row, true)
	}
	b.checkRemovals(t)
	return b.commit(t)
}

// item is a checked row.
type item struct {
	row    int
	prefix netip.Prefix
	site   uint16
	remove bool
}

// batch collects checked rows and the problems of the others.
type batch struct {
	items    []item
	size     int
	problems []Problem
}

// refuse records a problem.
func (b *batch) refuse(row int, prefix, site, reason string) {
	if len(b.problems) < maxProblems {
		b.problems = append(b.problems, Problem{Row: row, Prefix: prefix, Site: site, Reason: reason})
	}
}

// add checks one row.
func (b *batch) add(t *Table, n int, row Row, remove bool) {
	b.size++
	p, reason := parsePrefix(row.Prefix)
	if reason != "" {
		b.refuse(n, row.Prefix, row.Site, reason)
		return
	}
	site, ok := t.index[row.Site]
	if !ok && !remove {
		b.refuse(n, row.Prefix, row.Site, "unknown site")
		return
	}
	b.items = append(b.items, item{row: n, prefix: p, site: site, remove: remove})
}

// checkRemovals refuses the removal of blocks that don't exist.
func (b *batch) checkRemovals(t *Table) {
	for _, it := range b.items {
		if _, ok := t.find(it.prefix); it.remove && !ok {
			b.refuse(it.row, it.prefix.String(), "", "no such block")
		}
	}
}

// load is commit for a list that may not change what it has set already.
func (b *batch) load(t *Table) (*Table, error) {
	for _, it := range b.items {
		if was, ok := t.find(it.prefix); ok && was != it.site {
			b.refuse(it.row, it.prefix.String(), t.SiteName(it.site), "the same prefix was given before with site "+t.SiteName(was))
		}
	}
	return b.commit(t)
}

// commit applies the rows, or returns the problems. It empties the batch.
func (b *batch) commit(t *Table) (*Table, error) {
	slices.SortStableFunc(b.items, func(x, y item) int { return comparePrefix(x.prefix, y.prefix) })
	b.dedupe(t)
	if err := refuse(b.problems...); err != nil {
		return nil, err
	}
	next := t.with(b.items)
	b.items, b.size = b.items[:0], 0
	return next, nil
}

// dedupe drops repeats of a prefix and refuses those that differ.
func (b *batch) dedupe(t *Table) {
	kept := b.items[:0]
	for _, it := range b.items {
		if len(kept) == 0 || kept[len(kept)-1].prefix != it.prefix {
			kept = append(kept, it)
			continue
		}
		first := kept[len(kept)-1]
		if first.site != it.site || first.remove != it.remove {
			b.refuse(it.row, it.prefix.String(), t.describe(it), fmt.Sprintf("row %d gives the same prefix, %s", first.row, t.describe(first)))
		}
	}
	b.items = kept
}

// describe names what a row does.
func (t *Table) describe(it item) string {
	if it.remove {
		return "to be removed"
	}
	return "with site " + t.SiteName(it.site)
}

// comparePrefix orders IPv4 before IPv6, then by address, then by length.
func comparePrefix(x, y netip.Prefix) int {
	if c := x.Addr().Compare(y.Addr()); c != 0 {
		return c
	}
	return x.Bits() - y.Bits()
}

// find returns the site of exactly the block p.
func (t *Table) find(p netip.Prefix) (uint16, bool) {
	if p.Addr().Is4() {
		return t.v4.find(entry4(p))
	}
	if p.Bits() <= halfBits {
		return t.v6.find(entry6(p))
	}
	hi, e := entryLong(p)
	if l := t.long[hi]; l != nil {
		return l.find(e)
	}
	return 0, false
}

// halfBits is the length of the first half of an IPv6 address.
const halfBits = 64

func entry4(p netip.Prefix) entry[uint32] {
	a := p.Addr().As4()
	return entry[uint32]{key: binary.BigEndian.Uint32(a[:]), length: uint8(p.Bits())}
}

func entry6(p netip.Prefix) entry[uint64] {
	hi, _ := halves(p.Addr())
	return entry[uint64]{key: hi, length: uint8(p.Bits())}
}

func entryLong(p netip.Prefix) (hi uint64, e entry[uint64]) {
	hi, lo := halves(p.Addr())
	return hi, entry[uint64]{key: lo, length: uint8(p.Bits() - halfBits)}
}

// with returns the table with sorted, distinct items applied.
func (t *Table) with(items []item) *Table {
	var v4 []change[uint32]
	var v6 []change[uint64]
	long := map[uint64][]change[uint64]{}
	for _, it := range items {
		switch {
		case it.prefix.Addr().Is4():
			e := entry4(it.prefix)
			e.site = it.site
			v4 = append(v4, change[uint32]{e, it.remove})
		case it.prefix.Bits() <= halfBits:
			e := entry6(it.prefix)
			e.site = it.site
			v6 = append(v6, change[uint64]{e, it.remove})
		default:
			hi, e := entryLong(it.prefix)
			e.site = it.site
			long[hi] = append(long[hi], change[uint64]{e, it.remove})
		}
	}
	next := *t
	next.v4 = *t.v4.apply(v4)
	next.v6 = *t.v6.apply(v6)
	next.applyLong(long)
	return &next
}

// applyLong replaces the map of the longer prefixes where it changes.
func (t *Table) applyLong(changes map[uint64][]change[uint64]) {
	if len(changes) == 0 {
		return
	}
	t.long = maps.Clone(t.long)
	if t.long == nil {
		t.long = make(map[uint64]*tier[uint64])
	}
	for hi, cs := range changes {
		old := t.long[hi]
		if old == nil {
			old = &tier[uint64]{}
		}
		now := old.apply(cs)
		t.longCount += now.count - old.count
		if now.count == 0 {
			delete(t.long, hi)
			continue
		}
		t.long[hi] = now
	}
}
