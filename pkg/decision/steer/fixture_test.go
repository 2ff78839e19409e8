package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 11, 100) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// fixture describes tables with one pool per region and two zones in each
// region.
type fixture struct {
	regions  []string
	targets  int
	slots    int
	limit    int
	shiftCap float64
	window   time.Duration
}

var smallFixture = fixture{regions: []string{"osrednja", "stajerska"}, targets: 4, slots: 2, shiftCap: 0.1, window: 10 * time.Second}

func zoneName(region string, i int) string { return fmt.Sprintf("%s-%d", region, i+1) }

func (f fixture) tables() *table.Tables {
	t := &table.Tables{Version: 1, AcceptedAt: epoch}
	rt := table.Route{Name: "feedlog", Idempotency: table.IdempotentByMethod}
	for _, region := range f.regions {
		p := table.Pool{Name: "feedlog-" + region, Region: region, ShiftCap: f.shiftCap, ShiftWindow: table.Duration(f.window)}
		for i := range f.targets {
			p.Targets = append(p.Targets, table.Target{
				Name: fmt.Sprintf("%s-t%d", region, i), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i),
				Zone: zoneName(region, i%2), Slots: f.slots,
			})
		}
		rt.Pools = append(rt.Pools, table.PoolWeight{Pool: p.Name, Weight: 1})
		t.Pools = append(t.Pools, p)
		t.Regions = append(t.Regions, table.Region{Name: region, Limit: f.limit})
	}
	t.Routes = []table.Route{rt}
	return t
}

// allShares returns all shares of the zone and region of self.
func allShares(t *table.Tables, self Self, expires time.Time) Shares {
	sh := Shares{Expires: expires, Slots: map[string]int{}, Regions: map[string]int{}}
	for _, p := range t.Pools {
		for _, tg := range p.Targets {
			if tg.Zone == self.Zone {
				sh.Slots[tg.Name] = tg.Slots
				sh.Regions[p.Region] += tg.Slots
			}
		}
	}
	for _, r := range t.Regions {
		if r.Limit > 0 {
			sh.Regions[r.Name] = min(sh.Regions[r.Name], r.Limit)
		}
	}
	return sh
}

var testSelf = Self{Instance: "i1", Zone: "osrednja-1", Region: "osrednja"}

// newCore returns the Core of testSelf with all shares of its zone for an hour.
func newCore(t *table.Tables) *Core {
	c := New(testSelf, rand.NewPCG(1, 2))
	c.SetTables(epoch, t)
	c.SetShares(epoch, allShares(t, testSelf, at(time.Hour)))
	return c
}

func newRequest(t *table.Tables, now time.Time) *Request {
	return &Request{Route: &t.Routes[0], Member: "m1", Idempotent: true, BodyBytes: -1, Arrived: now, Deadline: now.Add(time.Second)}
}

func mustDispatch(t *testing.T, d Decision) Decision {
	t.Helper()
	if d.Verdict != Dispatch {
		t.Fatalf("decision = %+v, want a dispatch", d)
	}
	return d
}
