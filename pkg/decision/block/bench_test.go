package block

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"sync"
	"testing"

	"github.com/gaissmai/bart"
)

// The required scale of the system: 2.3 million blocks, a quarter of them IPv6, and
// 2000 sites.
const (
	benchBlocks = 2_300_000
	benchSites  = 2_000
	benchV6     = benchBlocks / 4
)

// benchPrefixes yields the prefixes and the indexes of their sites: IPv4 prefixes of
// 20 to 28 bits with gaps, a tenth of them of 20 bits and nested with their
// neighbours, then IPv6 prefixes of 32 to 56 bits. Prefixes may repeat.
func benchPrefixes() iter.Seq2[netip.Prefix, int] {
	return func(yield func(netip.Prefix, int) bool) {
		r := rand.New(rand.NewPCG(1, 1))
		step := uint64(1<<32) / uint64(benchBlocks-benchV6)
		for i := range benchBlocks - benchV6 {
			a := uint32(uint64(i) * step)
			p := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), byte(a)}), 21+r.IntN(8)).Masked()
			if i%10 == 0 {
				p = netip.PrefixFrom(p.Addr(), 20).Masked()
			}
			if !yield(p, r.IntN(benchSites)) {
				return
			}
		}
		for i := range benchV6 {
			a := [16]byte{0x20, byte(i >> 16), byte(i >> 8), byte(i), byte(r.IntN(256)), byte(r.IntN(256))}
			if !yield(netip.PrefixFrom(netip.AddrFrom16(a), 32+8*r.IntN(4)).Masked(), r.IntN(benchSites)) {
				return
			}
		}
	}
}

func benchSiteNames() []string {
	names := make([]string, benchSites)
	for i := range names {
		names[i] = fmt.Sprintf("site-%04d", i)
	}
	return names
}

// benchRows yields rows of the distinct prefixes.
func benchRows(names []string) iter.Seq[Row] {
	return func(yield func(Row) bool) {
		seen := map[netip.Prefix]bool{}
		for p, s := range benchPrefixes() {
			if seen[p] {
				continue
			}
			seen[p] = true
			if !yield(Row{p.String(), names[s]}) {
				return
			}
		}
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// benchTable builds the table once and measures its size in bytes per block.
var benchTable = sync.OnceValues(func() (*Table, float64) {
	before := heapBytes()
	t, err := Build(benchSiteNames(), benchRows(benchSiteNames()))
	if err != nil {
		panic(err)
	}
	return t, float64(heapBytes()-before) / float64(t.Len())
})

// benchBartTable builds and measures the same table with the bart library, for
// comparison.
var benchBartTable = sync.OnceValues(func() (*bart.Table[uint16], float64) {
	before := heapBytes()
	t := &bart.Table[uint16]{}
	for p, s := range benchPrefixes() {
		if _, ok := t.Get(p); !ok {
			t.Insert(p, uint16(s))
		}
	}
	return t, float64(heapBytes()-before) / float64(t.Size())
})

// benchAddrs returns random caller addresses.
func benchAddrs() []netip.Addr {
	r := rand.New(rand.NewPCG(2, 2))
	addrs := make([]netip.Addr, 1<<16)
	for i := range addrs {
		if r.IntN(4) > 0 {
			addrs[i] = netip.AddrFrom4([4]byte{byte(r.IntN(256)), byte(r.IntN(256)), byte(r.IntN(256)), byte(r.IntN(256))})
			continue
		}
		addrs[i] = netip.AddrFrom16([16]byte{0x20, byte(r.IntN(9)), byte(r.IntN(256)), byte(r.IntN(256)), byte(r.IntN(256)), byte(r.IntN(256))})
	}
	return addrs
}

func BenchmarkLookup(b *testing.B) {
	addrs := benchAddrs()
	b.Run("table", func(b *testing.B) {
		t, bytes := benchTable()
		benchLookup(b, addrs, t.Lookup, bytes, t.Len())
	})
	b.Run("bart", func(b *testing.B) {
		t, bytes := benchBartTable()
		benchLookup(b, addrs, t.Lookup, bytes, t.Size())
	})
}

// benchLookup measures one implementation of a table. bytes is its size per block.
func benchLookup[Site any](b *testing.B, addrs []netip.Addr, lookup func(netip.Addr) (Site, bool), bytes float64, blocks int) {
	found := 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if _, ok := lookup(addrs[i&(len(addrs)-1)]); ok {
			found++
		}
	}
	b.ReportMetric(bytes, "B/block")
	b.ReportMetric(float64(blocks), "blocks")
	b.ReportMetric(float64(found)/float64(b.N), "found")
}

func BenchmarkDelta(b *testing.B) {
	t, _ := benchTable()
	names := benchSiteNames()
	r := rand.New(rand.NewPCG(3, 3))
	for b.Loop() {
		var d Delta
		seen := map[netip.Prefix]bool{}
		for len(d.Set) < 100 {
			p := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(r.IntN(256)), byte(r.IntN(256)), byte(r.IntN(256)), 0}), 24+r.IntN(4)).Masked()
			if seen[p] {
				continue
			}
			seen[p] = true
			d.Set = append(d.Set, Row{p.String(), names[r.IntN(benchSites)]})
		}
		next, err := t.Apply(d)
		if err != nil {
			b.Fatal(err)
		}
		t = next
	}
}
