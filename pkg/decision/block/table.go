// Package block maps blocks of callers' IP addresses to sites by longest-prefix
// match. A Table is immutable and safe for concurrent reads; an update returns a
// new Table that shares the unchanged parts. The package performs no I/O.
package block

import (
	"encoding/binary"
	"net/netip"
)

// MaxSites is the maximum number of sites in a table.
const MaxSites = 1 << siteBits

// Table is an immutable map from blocks to sites. The zero value is an empty table.
type Table struct {
	sites []string
	index map[string]uint16
	v4    prefixSet[uint32]
	// v6 holds the IPv6 prefixes of up to 64 bits, keyed by the upper half of the
	// address.
	v6 prefixSet[uint64]
	// v6Long holds the longer IPv6 prefixes by the upper half of their address,
	// keyed by the lower half.
	v6Long map[uint64]*prefixSet[uint64]
	// v6LongCount is the number of prefixes in v6Long.
	v6LongCount int
}

// New returns an empty table for the named sites. The error is an InvalidError.
func New(sites []string) (*Table, error) {
	t := &Table{sites: append([]string(nil), sites...), index: make(map[string]uint16, len(sites))}
	if len(sites) > MaxSites {
		return nil, newInvalidError(Problem{Reason: "more sites than a table can hold"})
	}
	for i, s := range sites {
		if _, ok := t.index[s]; ok {
			return nil, newInvalidError(Problem{Site: s, Reason: "duplicate site"})
		}
		t.index[s] = uint16(i)
	}
	return t, nil
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.v4.count + t.v6.count + t.v6LongCount }

// SiteName returns the name of site i.
func (t *Table) SiteName(i uint16) string { return t.sites[i] }

// Lookup returns the index of the site of the longest block that contains a, for
// use with SiteName; ok is false when there is none. An IPv4-mapped IPv6 address is
// looked up as IPv4.
func (t *Table) Lookup(a netip.Addr) (site uint16, ok bool) {
	if a.Is4() || a.Is4In6() {
		b := a.As4()
		return t.v4.lookup(binary.BigEndian.Uint32(b[:]))
	}
	if !a.Is6() {
		return 0, false
	}
	hi, lo := halves(a)
	if t.v6LongCount > 0 {
		if l := t.v6Long[hi]; l != nil {
			if site, ok := l.lookup(lo); ok {
				return site, true
			}
		}
	}
	return t.v6.lookup(hi)
}

// halves returns the upper and the lower 64 bits of an IPv6 address.
func halves(a netip.Addr) (hi, lo uint64) {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])
}
