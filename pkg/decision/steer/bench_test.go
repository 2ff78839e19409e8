package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// oneTargetPerZone returns tables with one pool that has one target in each of
// n zones.
func oneTargetPerZone(n int) *table.Tables {
	t := &table.Tables{Version: 1, AcceptedAt: epoch}
	p := table.Pool{Name: "p", Region: "osrednja"}
	for i := range n {
		p.Targets = append(p.Targets, table.Target{Name: fmt.Sprintf("t%d", i), Address: "127.0.0.1:1", Zone: fmt.Sprintf("z%d", i), Slots: 4})
	}
	t.Pools = []table.Pool{p}
	t.Routes = []table.Route{{Name: "r", Pools: []table.PoolWeight{{Pool: "p", Weight: 1}}}}
	return t
}

func BenchmarkDecide(b *testing.B) {
	oneZone := fixture{regions: []string{"osrednja"}, targets: 36, slots: 4}.tables()
	for i := range oneZone.Pools[0].Targets {
		oneZone.Pools[0].Targets[i].Zone = testSelf.Zone
	}
	manyZones := oneTargetPerZone(2000)
	for _, bc := range []struct {
		name string
		tb   *table.Tables
		zone string
	}{
		{"36 targets", oneZone, testSelf.Zone},
		{"2000 sites, own zone", manyZones, "z7"},
		{"2000 sites, hop", manyZones, "elsewhere"},
	} {
		b.Run(bc.name, func(b *testing.B) {
			self := Self{Instance: "i", Zone: bc.zone, Region: "osrednja"}
			c := New(self, rand.NewPCG(1, 2))
			c.SetTables(epoch, bc.tb)
			c.SetShares(epoch, allShares(bc.tb, self, at(time.Hour)))
			r := &Request{Route: &bc.tb.Routes[0], Deadline: at(time.Hour)}
			b.ReportAllocs()
			for b.Loop() {
				c.Done(at(1), c.Decide(at(1), r), Result{Latency: time.Millisecond})
			}
		})
	}
}

// BenchmarkDecideDirect decides on requests for 500 objects.
func BenchmarkDecideDirect(b *testing.B) {
	for _, perRegion := range [][]int{{100, 20, 80}, {1000, 200, 800}} {
		tb := fleet{perRegion: perRegion, slots: 4}.tables()
		b.Run(fmt.Sprintf("%d targets", perRegion[0]+perRegion[1]+perRegion[2]), func(b *testing.B) {
			c := directCore(tb, "a", "osrednja")
			b.ReportAllocs()
			i := uint64(0)
			for b.Loop() {
				i++
				now := at(time.Duration(i) * time.Millisecond)
				d := c.Decide(now, directRequest(tb, now, i%500+1))
				c.Done(now, d, Result{Latency: 100 * time.Millisecond})
			}
		})
	}
}
