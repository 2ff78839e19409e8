package slopes

import (
	"iter"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
	"github.com/jacinthramp/jacinthramp/pkg/decision/block"
)

// Sizes of the block list at full scale.
const (
	fullScaleBlocks   = 2_300_000
	fullScaleBlocksV6 = fullScaleBlocks / 4
	blocksPerDelta    = 100
)

var siteNames = []string{"a", "b", "c", "d"}

// ipv4Address returns the address of block i of n blocks that are spread evenly
// over the IPv4 address space.
func ipv4Address(i, n int) netip.Addr {
	a := uint32(uint64(i) * (1 << 32 / uint64(n)))
	return netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), byte(a)})
}

// ipv6Address returns the address of IPv6 block i.
func ipv6Address(i int) netip.Addr {
	return netip.AddrFrom16([16]byte{0x20, byte(i >> 16), byte(i >> 8), byte(i), byte(i * 7), byte(i * 13)})
}

// blockRows yields v4 IPv4 blocks with prefixes of 28 bits and v6 IPv6 blocks
// with prefixes of 48 bits.
func blockRows(v4, v6 int) iter.Seq[block.Row] {
	return func(yield func(block.Row) bool) {
		for i := range v4 {
			if !yield(block.Row{Prefix: netip.PrefixFrom(ipv4Address(i, v4), 28).Masked().String(), Site: siteNames[i%4]}) {
				return
			}
		}
		for i := range v6 {
			if !yield(block.Row{Prefix: netip.PrefixFrom(ipv6Address(i), 48).String(), Site: siteNames[i%4]}) {
				return
			}
		}
	}
}

func buildTable(v4, v6 int) (*block.Table, error) { return block.Build(siteNames, blockRows(v4, v6)) }

// fullScaleTable builds the block table at full scale once.
var fullScaleTable = sync.OnceValues(func() (*block.Table, error) { return buildTable(fullScaleBlocks-fullScaleBlocksV6, fullScaleBlocksV6) })

// tableOf returns the block table at full scale, or a table of 4,000 blocks for
// runs at small sizes.
func tableOf(r *run) (*block.Table, error) {
	if r.fullScale {
		return fullScaleTable()
	}
	return buildTable(3000, 1000)
}

// liveHeap returns the size of the heap in bytes after a garbage collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// blockBytes fits the growth of the live heap over the number of blocks.
func blockBytes(r *run, build func(n int) (*block.Table, error)) (capacity.Line, error) {
	sizes := []float64{25_000, 50_000, 100_000}
	if r.fullScale {
		sizes = []float64{250_000, 500_000, 1_000_000}
	}
	var points []capacity.Point
	for _, n := range sizes {
		before := liveHeap()
		tb, err := build(int(n))
		if err != nil {
			return capacity.Line{}, err
		}
		points = append(points, capacity.Point{X: n, Y: liveHeap() - before})
		runtime.KeepAlive(tb)
	}
	return capacity.Fit(points), nil
}

func blockBytesV4(r *run) (capacity.Line, error) {
	return blockBytes(r, func(n int) (*block.Table, error) { return buildTable(n, 0) })
}

func blockBytesV6(r *run) (capacity.Line, error) {
	return blockBytes(r, func(n int) (*block.Table, error) { return buildTable(0, n) })
}

func blockLookup(r *run) (capacity.Line, error) {
	tb, err := tableOf(r)
	if err != nil {
		return capacity.Line{}, err
	}
	random := rand.New(rand.NewPCG(1, 1))
	addrs := make([]netip.Addr, 1<<16)
	for i := range addrs {
		addrs[i] = ipv4Address(random.IntN(fullScaleBlocks), fullScaleBlocks)
		if random.IntN(4) == 0 {
			addrs[i] = ipv6Address(random.IntN(fullScaleBlocksV6))
		}
	}
	n := 1 << 16
	if r.fullScale {
		n = 1 << 21
	}
	start := time.Now()
	for i := range n {
		tb.Lookup(addrs[i&(len(addrs)-1)])
	}
	return capacity.Line{Slope: float64(time.Since(start).Nanoseconds()) / float64(n)}, nil
}

func blockDelta(r *run) (capacity.Line, error) {
	tb, err := tableOf(r)
	if err != nil {
		return capacity.Line{}, err
	}
	const deltas = 20
	random := rand.New(rand.NewPCG(2, 2))
	start := time.Now()
	for range deltas {
		var d block.Delta
		first := random.IntN(1000)
		for i := range blocksPerDelta {
			p := netip.PrefixFrom(ipv4Address(first+i*1000, fullScaleBlocks), 28).Masked()
			d.Set = append(d.Set, block.Row{Prefix: p.String(), Site: siteNames[i%4]})
		}
		next, err := tb.Apply(d)
		if err != nil {
			return capacity.Line{}, err
		}
		tb = next
	}
	return capacity.Line{Slope: float64(time.Since(start).Nanoseconds()) / (deltas * blocksPerDelta)}, nil
}
