package block

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 6, 150) }

var sites = []string{"s0", "s1", "s2", "s3"}

// model is a reference implementation of Table.
type model map[netip.Prefix]string

// lookup returns the site of the longest prefix that contains a, or "".
func (m model) lookup(a netip.Addr) string {
	best, site := -1, ""
	for p, s := range m {
		if p.Contains(a) && p.Bits() > best {
			best, site = p.Bits(), s
		}
	}
	return site
}

// drawAddr draws an address from a small part of the address space, so that prefixes
// are often nested or adjacent.
func drawAddr(t *rapid.T) netip.Addr {
	low := byte(rapid.IntRange(0, 15).Draw(t, "low"))
	mid := byte(rapid.SampledFrom([]int{0, 1, 128, 255}).Draw(t, "mid"))
	if rapid.Bool().Draw(t, "v4") {
		return netip.AddrFrom4([4]byte{10, mid, low, low << 4})
	}
	a := [16]byte{0x20, 0x01, 0x0d, 0xb8, mid, low, 0, mid}
	if rapid.Bool().Draw(t, "second half") {
		a[8], a[15] = mid, low
	}
	return netip.AddrFrom16(a)
}

func drawPrefix(t *rapid.T) netip.Prefix {
	a := drawAddr(t)
	bits := rapid.IntRange(0, a.BitLen()).Draw(t, "bits")
	return netip.PrefixFrom(a, bits).Masked()
}

// lookupName returns the name of the site of a, or "".
func lookupName(tb *Table, a netip.Addr) string {
	if i, ok := tb.Lookup(a); ok {
		return tb.SiteName(i)
	}
	return ""
}

// checkAgainstModel fails t unless lookups of random addresses in tb and m agree.
func checkAgainstModel(t *rapid.T, tb *Table, m model) {
	if tb.Len() != len(m) {
		t.Fatalf("%d blocks, want %d", tb.Len(), len(m))
	}
	for range 20 {
		a := drawAddr(t)
		if got, want := lookupName(tb, a), m.lookup(a); got != want {
			t.Fatalf("lookup %v = %q, want %q in %v", a, got, want, m)
		}
	}
}

func TestLookupReturnsLongestMatchAfterDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb, err := New(sites)
		if err != nil {
			t.Fatal(err)
		}
		m := model{}
		for range rapid.IntRange(1, 8).Draw(t, "deltas") {
			var d Delta
			next := model{}
			for p, s := range m {
				next[p] = s
			}
			named := map[netip.Prefix]bool{}
			for range rapid.IntRange(0, 30).Draw(t, "rows") {
				p := drawPrefix(t)
				if named[p] {
					continue
				}
				named[p] = true
				if _, ok := m[p]; ok && rapid.Bool().Draw(t, "remove") {
					d.Remove = append(d.Remove, Row{Prefix: p.String()})
					delete(next, p)
					continue
				}
				s := rapid.SampledFrom(sites).Draw(t, "site")
				d.Set = append(d.Set, Row{p.String(), s})
				next[p] = s
			}
			after, err := tb.Apply(d)
			if err != nil {
				t.Fatal(err)
			}
			checkAgainstModel(t, tb, m)
			checkAgainstModel(t, after, next)
			tb, m = after, next
		}
	})
}

// manyRows returns distinct rows, with n narrow prefixes of each address family that
// are nested in wide ones across page boundaries, and the model of them.
func manyRows(n int) ([]Row, model) {
	m := model{netip.MustParsePrefix("10.0.0.0/7"): "s1", netip.MustParsePrefix("10.3.0.0/16"): "s2", netip.MustParsePrefix("2001:db8::/32"): "s3"}
	for i := range n {
		a := netip.AddrFrom4([4]byte{10, byte(i >> 11), byte(i >> 3), byte(i << 5)})
		m[netip.PrefixFrom(a, 28)] = sites[i%4]
		m[netip.PrefixFrom(netip.AddrFrom16([16]byte{0x20, 1, 0xd, 0xb8, byte(i >> 8), byte(i)}), 56)] = sites[i%3]
	}
	var rows []Row
	for p, s := range m {
		rows = append(rows, Row{p.String(), s})
	}
	return rows, m
}

func TestLookupAcrossSplitAndMergedPages(t *testing.T) {
	rows, m := manyRows(3000)
	slices.SortFunc(rows, func(a, b Row) int {
		return comparePrefix(netip.MustParsePrefix(a.Prefix), netip.MustParsePrefix(b.Prefix))
	})
	sorted, err := Build(sites, slices.Values(rows))
	if err != nil {
		t.Fatal(err)
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Prefix[3:], b.Prefix[3:]) })
	shuffled, err := Build(sites, slices.Values(rows))
	if err != nil {
		t.Fatal(err)
	}
	check := func(tb *Table) {
		t.Helper()
		if tb.Len() != len(m) {
			t.Fatalf("%d blocks, want %d", tb.Len(), len(m))
		}
		for _, s := range []string{"10.0.0.1", "10.3.0.17", "10.3.255.1", "10.1.2.16", "11.9.9.9", "9.255.255.255", "12.0.0.0", "2001:db8:ff:1::1", "2001:db8::", "2001:db9::"} {
			a := netip.MustParseAddr(s)
			if got, want := lookupName(tb, a), m.lookup(a); got != want {
				t.Fatalf("lookup %v = %q, want %q", a, got, want)
			}
		}
	}
	check(sorted)
	check(shuffled)
	var d Delta
	for i, r := range rows {
		if p := netip.MustParsePrefix(r.Prefix); i%40 != 0 && p.Bits() == 28 {
			d.Remove = append(d.Remove, r)
			delete(m, p)
		}
	}
	after, err := shuffled.Apply(d)
	if err != nil {
		t.Fatal(err)
	}
	check(after)
	for _, p := range after.v4.pages[:len(after.v4.pages)-1] {
		if p.size < minPageEntries {
			t.Fatalf("a page with only %d entries remains", p.size)
		}
	}
}

func TestInvalidRowsAreReportedAndChangeNothing(t *testing.T) {
	good := Row{"10.0.0.0/8", "s0"}
	for name, c := range map[string]struct {
		delta  Delta
		row    int
		reason string
	}{
		"malformed":                          {Delta{Set: []Row{good, {"10.0.0/8", "s0"}}}, 2, "malformed"},
		"prefix too long":                    {Delta{Set: []Row{{"10.0.0.0/33", "s0"}}}, 1, "malformed"},
		"host bits":                          {Delta{Set: []Row{good, {"10.0.0.1/24", "s0"}}}, 2, "10.0.0.0/24 is accepted"},
		"IPv4-mapped IPv6":                   {Delta{Set: []Row{{"::ffff:10.0.0.0/104", "s0"}}}, 1, "write it as IPv4"},
		"unknown site":                       {Delta{Set: []Row{{"10.0.0.0/8", "nowhere"}}}, 1, "unknown site"},
		"duplicate prefix with another site": {Delta{Set: []Row{good, {"11.0.0.0/8", "s0"}, {"10.0.0.0/8", "s1"}}}, 3, "row 1 gives the same prefix, with site s0"},
		"set and removed":                    {Delta{Set: []Row{{"192.168.0.0/16", "s1"}}, Remove: []Row{{"192.168.0.0/16", ""}}}, 2, "row 1 gives the same prefix"},
		"removal of a missing block":         {Delta{Remove: []Row{{"10.0.0.0/9", ""}}}, 1, "no such block"},
		"several problems are all reported":  {Delta{Set: []Row{{"x", "s0"}, {"10.0.0.0/8", "nowhere"}}}, 2, "unknown site"},
	} {
		t.Run(name, func(t *testing.T) {
			tb, err := Build(sites, slices.Values([]Row{{"192.168.0.0/16", "s1"}}))
			if err != nil {
				t.Fatal(err)
			}
			after, err := tb.Apply(c.delta)
			var r *InvalidError
			if !errors.As(err, &r) || after != nil || fault.KindOf(err) != fault.KindInvalidTable {
				t.Fatalf("after = %v, err = %v", after, err)
			}
			if !slices.ContainsFunc(r.Problems, func(p Problem) bool { return p.Row == c.row && strings.Contains(p.Reason, c.reason) }) {
				t.Fatalf("problems = %v", r.Problems)
			}
			if tb.Len() != 1 {
				t.Fatal("the table changed")
			}
		})
	}
}

func TestBuildChecksDuplicatesAcrossBatches(t *testing.T) {
	load := func(lastSite string) error {
		_, err := Build(sites, func(yield func(Row) bool) {
			for i := range buildBatchRows + 10 {
				if !yield(Row{fmt.Sprintf("10.%d.%d.0/24", i>>8&255, i&255), "s1"}) {
					return
				}
			}
			yield(Row{"10.0.0.0/24", lastSite})
		})
		return err
	}
	if err := load("s1"); err != nil {
		t.Fatal(err)
	}
	if err := load("s2"); err == nil || !strings.Contains(err.Error(), fmt.Sprintf("row %d", buildBatchRows+11)) {
		t.Fatalf("err = %v", err)
	}
}

func TestIPv4MappedAddressIsLookedUpAsIPv4(t *testing.T) {
	tb, err := Build(sites, slices.Values([]Row{{"10.0.0.0/8", "s1"}, {"::/0", "s2"}}))
	if err != nil {
		t.Fatal(err)
	}
	if got := lookupName(tb, netip.MustParseAddr("::ffff:10.1.2.3")); got != "s1" {
		t.Fatalf("site = %q", got)
	}
	if _, ok := tb.Lookup(netip.Addr{}); ok {
		t.Fatal("Lookup found a site for the zero address")
	}
}

func TestReadersSeeDeltasAtomically(t *testing.T) {
	tb, err := Build(sites, slices.Values([]Row{{"10.0.0.0/24", "s0"}, {"10.9.0.0/24", "s0"}}))
	if err != nil {
		t.Fatal(err)
	}
	var current atomic.Pointer[Table]
	current.Store(tb)
	a, b := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.9.0.1")
	var wg conc.WaitGroup
	var stop atomic.Bool
	for range 2 {
		wg.Go(func() {
			for !stop.Load() {
				snap := current.Load()
				if lookupName(snap, a) != lookupName(snap, b) {
					t.Error("a reader saw a partially applied delta")
					return
				}
			}
		})
	}
	for i := range 500 {
		s := sites[i%4]
		next, err := current.Load().Apply(Delta{Set: []Row{{"10.0.0.0/24", s}, {"10.9.0.0/24", s}}})
		if err != nil {
			t.Fatal(err)
		}
		current.Store(next)
	}
	stop.Store(true)
	wg.Wait()
}
