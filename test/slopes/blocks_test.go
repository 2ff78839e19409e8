package slopes

import (
	"iter"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
	"github.com/jacinthramp/jacinthramp/pkg/decision/block"
)

// Sizes of the letter.
const (
	letterBlocks = 2_300_000
	letterV6     = letterBlocks / 4
	deltaBlocks  = 100
)

var siteNames = []string{"a", "b", "c", "d"}

// addr4 and addr6 return the address of block i of n.
func addr4(i, n int) netip.Addr {
	a := uint32(uint64(i) * (1 << 32 / uint64(n)))
	return netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), byte(a)})
}

func addr6(i int) netip.Addr {
	return netip.AddrFrom16([16]byte{0x20, byte(i >> 16), byte(i >> 8), byte(i), byte(i * 7), byte(i * 13)})
}

// rows yields v4 IPv4 blocks of 24 bits or the step's size, and v6 IPv6
// blocks of 48 bits.
func rows(v4, v6 int) iter.Seq[block.Row] {
	return func(yield func(block.Row) bool) {
		for i := range v4 {
			if !yield(block.Row{Prefix: netip.PrefixFrom(addr4(i, v4), 28).Masked().String(), Site: siteNames[i%4]}) {
				return
			}
		}
		for i := range v6 {
			if !yield(block.Row{Prefix: netip.PrefixFrom(addr6(i), 48).String(), Site: siteNames[i%4]}) {
				return
			}
		}
	}
}

func build(t *testing.T, v4, v6 int) *block.Table {
	tb, err := block.Build(siteNames, rows(v4, v6))
	if err != nil {
		t.Fatal(err)
	}
	return tb
}

// letterTable is the table at the letter's size.
var letterTable = sync.OnceValue(func() *block.Table {
	tb, err := block.Build(siteNames, rows(letterBlocks-letterV6, letterV6))
	if err != nil {
		panic(err)
	}
	return tb
})

// tableFor returns the letter's table, or a small one.
func tableFor(t *testing.T, full bool) *block.Table {
	if full {
		return letterTable()
	}
	return build(t, 3000, 1000)
}

func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// blockBytes fits the live heap over the number of blocks.
func blockBytes(t *testing.T, full bool, build func(n int) *block.Table) capacity.Line {
	sizes := []float64{25_000, 50_000, 100_000}
	if full {
		sizes = []float64{250_000, 500_000, 1_000_000}
	}
	var points []capacity.Point
	for _, n := range sizes {
		before := liveHeap()
		tb := build(int(n))
		points = append(points, capacity.Point{X: n, Y: liveHeap() - before})
		runtime.KeepAlive(tb)
	}
	return capacity.Fit(points)
}

func blockBytesV4(t *testing.T, full bool) capacity.Line {
	return blockBytes(t, full, func(n int) *block.Table { return build(t, n, 0) })
}

func blockBytesV6(t *testing.T, full bool) capacity.Line {
	return blockBytes(t, full, func(n int) *block.Table { return build(t, 0, n) })
}

func blockLookup(t *testing.T, full bool) capacity.Line {
	tb := tableFor(t, full)
	r := rand.New(rand.NewPCG(1, 1))
	addrs := make([]netip.Addr, 1<<16)
	for i := range addrs {
		addrs[i] = addr4(r.IntN(letterBlocks), letterBlocks)
		if r.IntN(4) == 0 {
			addrs[i] = addr6(r.IntN(letterV6))
		}
	}
	n := 1 << 16
	if full {
		n = 1 << 21
	}
	start := time.Now()
	for i := range n {
		tb.Lookup(addrs[i&(len(addrs)-1)])
	}
	return capacity.Line{Slope: float64(time.Since(start).Nanoseconds()) / float64(n)}
}

func blockDelta(t *testing.T, full bool) capacity.Line {
	tb := tableFor(t, full)
	const deltas = 20
	r := rand.New(rand.NewPCG(2, 2))
	start := time.Now()
	for range deltas {
		var d block.Delta
		first := r.IntN(1000)
		for i := range deltaBlocks {
			p := netip.PrefixFrom(addr4(first+i*1000, letterBlocks), 28).Masked()
			d.Set = append(d.Set, block.Row{Prefix: p.String(), Site: siteNames[i%4]})
		}
		next, err := tb.Apply(d)
		if err != nil {
			t.Fatal(err)
		}
		tb = next
	}
	return capacity.Line{Slope: float64(time.Since(start).Nanoseconds()) / (deltas * deltaBlocks)}
}
