// Package block maps blocks of callers' addresses to sites by the longest
// matching prefix. A Table is immutable and may be read by any number of
// goroutines; updates make a new one that shares what did not change. The
// package is pure.
package block

import (
	"encoding/binary"
	"net/netip"
)

// MaxSites is the largest number of sites of a table.
const MaxSites = 1 << siteBits

// Table is an immutable set of blocks. The zero value is empty.
type Table struct {
	sites []string
	index map[string]uint16
	v4    tier[uint32]
	// v6 holds prefixes of up to 64 bits, by the first half of the address.
	v6 tier[uint64]
	// long holds the longer prefixes of each 64-bit prefix, by the second half.
	long map[uint64]*tier[uint64]
	// longCount is the number of prefixes in long.
	longCount int
}

// New returns an empty table with the given names of sites.
func New(sites []string) (*Table, error) {
	t := &Table{sites: append([]string(nil), sites...), index: make(map[string]uint16, len(sites))}
	if len(sites) > MaxSites {
		return nil, refuse(Problem{Reason: "more sites than a table can hold"})
	}
	for i, s := range sites {
		if _, ok := t.index[s]; ok {
			return nil, refuse(Problem{Site: s, Reason: "the site is named twice"})
		}
		t.index[s] = uint16(i)
	}
	return t, nil
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.v4.count + t.v6.count + t.longCount }

// SiteName returns the name of site i.
func (t *Table) SiteName(i uint16) string { return t.sites[i] }

// Lookup returns the site of the longest block that holds a; ok is false when
// there is none. An IPv4 address in IPv6 form is looked up as IPv4.
func (t *Table) Lookup(a netip.Addr) (site uint16, ok bool) {
	if a.Is4() || a.Is4In6() {
		b := a.As4()
		return t.v4.lookup(binary.BigEndian.Uint32(b[:]))
	}
	if !a.Is6() {
		return 0, false
	}
	hi, lo := halves(a)
	if t.longCount > 0 {
		if l := t.long[hi]; l != nil {
			if site, ok := l.lookup(lo); ok {
				return site, true
			}
		}
	}
	return t.v6.lookup(hi)
}

// halves returns the two halves of an IPv6 address.
func halves(a netip.Addr) (hi, lo uint64) {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])
}
