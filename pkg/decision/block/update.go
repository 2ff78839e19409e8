package block

import (
	"encoding/binary"
	"fmt"
	"iter"
	"maps"
	"net/netip"
	"slices"
)

// Delta is an update of a table. It is applied completely or not at all.
type Delta struct {
	// Set adds blocks, or changes the site of existing blocks.
	Set []Row `json:"set,omitempty"`
	// Remove removes existing blocks; Site is ignored. Row numbers continue from
	// those of Set.
	Remove []Row `json:"remove,omitempty"`
}

// Build returns a table of the rows. It processes them in batches, so that sorted
// rows (IPv4 before IPv6, then by address and length) are loaded without a copy of
// the list. A row that repeats an earlier one has no effect. The error is an
// InvalidError.
func Build(sites []string, rows iter.Seq[Row]) (*Table, error) {
	t, err := New(sites)
	if err != nil {
		return nil, err
	}
	var b batch
	rowNumber := 0
	for row := range rows {
		rowNumber++
		b.addRow(t, rowNumber, row, false)
		if b.added >= buildBatchRows {
			if t, err = b.commitNoOverwrite(t); err != nil {
				return nil, err
			}
		}
	}
	return b.commitNoOverwrite(t)
}

// buildBatchRows is the number of rows that Build processes in one batch.
const buildBatchRows = 64 * maxPageEntries

// Apply returns the table with the delta applied. t is not modified and may be read
// meanwhile. The error is an InvalidError.
func (t *Table) Apply(d Delta) (*Table, error) {
	var b batch
	for i, row := range d.Set {
		b.addRow(t, i+1, row, false)
	}
	for i, row := range d.Remove {
		b.addRow(t, len(d.Set)+i+1, row, true)
	}
	b.checkRemovals(t)
	return b.commit(t)
}

// checkedRow is a row with a valid prefix and, unless it is a removal, a known site.
// row is its number.
type checkedRow struct {
	row    int
	prefix netip.Prefix
	site   uint16
	remove bool
}

// batch collects checked rows, and the problems of invalid ones.
type batch struct {
	rows []checkedRow
	// added is the number of rows added, including invalid ones.
	added    int
	problems []Problem
}

// addProblem records a problem, up to maxProblems.
func (b *batch) addProblem(row int, prefix, site, reason string) {
	if len(b.problems) < maxProblems {
		b.problems = append(b.problems, Problem{Row: row, Prefix: prefix, Site: site, Reason: reason})
	}
}

// addRow checks a row and adds it to the batch, or records its problem.
func (b *batch) addRow(t *Table, rowNumber int, row Row, remove bool) {
	b.added++
	p, reason := parsePrefix(row.Prefix)
	if reason != "" {
		b.addProblem(rowNumber, row.Prefix, row.Site, reason)
		return
	}
	site, ok := t.index[row.Site]
	if !ok && !remove {
		b.addProblem(rowNumber, row.Prefix, row.Site, "unknown site")
		return
	}
	b.rows = append(b.rows, checkedRow{row: rowNumber, prefix: p, site: site, remove: remove})
}

// checkRemovals records a problem for each removal of a block that does not exist.
func (b *batch) checkRemovals(t *Table) {
	for _, r := range b.rows {
		if _, ok := t.findExact(r.prefix); r.remove && !ok {
			b.addProblem(r.row, r.prefix.String(), "", "no such block")
		}
	}
}

// commitNoOverwrite is commit for Build, whose rows must not change the site of a
// block that an earlier batch has set.
func (b *batch) commitNoOverwrite(t *Table) (*Table, error) {
	for _, r := range b.rows {
		if existing, ok := t.findExact(r.prefix); ok && existing != r.site {
			b.addProblem(r.row, r.prefix.String(), t.SiteName(r.site), "an earlier row gives the same prefix, with site "+t.SiteName(existing))
		}
	}
	return b.commit(t)
}

// commit returns t with the rows applied and empties the batch, or returns the
// problems as an InvalidError.
func (b *batch) commit(t *Table) (*Table, error) {
	slices.SortStableFunc(b.rows, func(x, y checkedRow) int { return comparePrefix(x.prefix, y.prefix) })
	b.dedupe(t)
	if err := newInvalidError(b.problems...); err != nil {
		return nil, err
	}
	next := t.withRows(b.rows)
	b.rows, b.added = b.rows[:0], 0
	return next, nil
}

// dedupe drops rows that repeat a prefix, and records a problem for those that differ
// from the first. The rows must be sorted by prefix.
func (b *batch) dedupe(t *Table) {
	kept := b.rows[:0]
	for _, r := range b.rows {
		if len(kept) == 0 || kept[len(kept)-1].prefix != r.prefix {
			kept = append(kept, r)
			continue
		}
		first := kept[len(kept)-1]
		if first.site != r.site || first.remove != r.remove {
			b.addProblem(r.row, r.prefix.String(), t.describeRow(r), fmt.Sprintf("row %d gives the same prefix, %s", first.row, t.describeRow(first)))
		}
	}
	b.rows = kept
}

// describeRow describes the effect of a row for error messages.
func (t *Table) describeRow(r checkedRow) string {
	if r.remove {
		return "to be removed"
	}
	return "with site " + t.SiteName(r.site)
}

// comparePrefix orders IPv4 before IPv6, then by address, then by length.
func comparePrefix(x, y netip.Prefix) int {
	if c := x.Addr().Compare(y.Addr()); c != 0 {
		return c
	}
	return x.Bits() - y.Bits()
}

// findExact returns the site of the block p, without regard to enclosing blocks.
func (t *Table) findExact(p netip.Prefix) (uint16, bool) {
	if p.Addr().Is4() {
		return t.v4.findExact(entryV4(p))
	}
	if p.Bits() <= halfBits {
		return t.v6.findExact(entryV6(p))
	}
	hi, e := entryV6Long(p)
	if l := t.v6Long[hi]; l != nil {
		return l.findExact(e)
	}
	return 0, false
}

// halfBits is the number of bits in one half of an IPv6 address.
const halfBits = 64

// entryV4 returns the key and length of an IPv4 prefix.
func entryV4(p netip.Prefix) entry[uint32] {
	a := p.Addr().As4()
	return entry[uint32]{key: binary.BigEndian.Uint32(a[:]), length: uint8(p.Bits())}
}

// entryV6 returns the key and length of an IPv6 prefix of at most halfBits.
func entryV6(p netip.Prefix) entry[uint64] {
	hi, _ := halves(p.Addr())
	return entry[uint64]{key: hi, length: uint8(p.Bits())}
}

// entryV6Long returns the upper half of an IPv6 prefix of more than halfBits, and the
// key and length of the rest.
func entryV6Long(p netip.Prefix) (hi uint64, e entry[uint64]) {
	hi, lo := halves(p.Addr())
	return hi, entry[uint64]{key: lo, length: uint8(p.Bits() - halfBits)}
}

// withRows returns the table with the rows applied, which must be sorted and
// distinct.
func (t *Table) withRows(rows []checkedRow) *Table {
	var v4 []change[uint32]
	var v6 []change[uint64]
	long := map[uint64][]change[uint64]{}
	for _, r := range rows {
		switch {
		case r.prefix.Addr().Is4():
			e := entryV4(r.prefix)
			e.site = r.site
			v4 = append(v4, change[uint32]{e, r.remove})
		case r.prefix.Bits() <= halfBits:
			e := entryV6(r.prefix)
			e.site = r.site
			v6 = append(v6, change[uint64]{e, r.remove})
		default:
			hi, e := entryV6Long(r.prefix)
			e.site = r.site
			long[hi] = append(long[hi], change[uint64]{e, r.remove})
		}
	}
	next := *t
	next.v4 = *t.v4.apply(v4)
	next.v6 = *t.v6.apply(v6)
	next.applyV6Long(long)
	return &next
}

// applyV6Long replaces v6Long by a copy with the changes applied, because other
// tables may share the map.
func (t *Table) applyV6Long(changes map[uint64][]change[uint64]) {
	if len(changes) == 0 {
		return
	}
	t.v6Long = maps.Clone(t.v6Long)
	if t.v6Long == nil {
		t.v6Long = make(map[uint64]*prefixSet[uint64])
	}
	for hi, cs := range changes {
		old := t.v6Long[hi]
		if old == nil {
			old = &prefixSet[uint64]{}
		}
		updated := old.apply(cs)
		t.v6LongCount += updated.count - old.count
		if updated.count == 0 {
			delete(t.v6Long, hi)
			continue
		}
		t.v6Long[hi] = updated
	}
}
