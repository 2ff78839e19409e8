package steer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

const (
	// uploadBytes is the size of a large body, and formBytes that of a small one.
	uploadBytes = 60_000
	formBytes   = 400
)

// twoZones returns the tables of a fleet whose regions have two zones each.
func twoZones(perRegion ...int) *table.Tables {
	tb := fleet{perRegion: perRegion, slots: 4}.tables()
	for i := range tb.Pools {
		for j := range tb.Pools[i].Targets {
			if j%2 == 1 {
				tb.Pools[i].Targets[j].Zone = tb.Pools[i].Region + "-b"
			}
		}
	}
	return tb
}

// zoneCore returns the decisions of an instance in a zone of a region.
func zoneCore(tb *table.Tables, region, zone string) *Core {
	c := New(Self{Instance: region + zone, Zone: region + "-" + zone, Region: region}, rand.NewPCG(1, 1))
	c.EnableDirect(directPolicy)
	c.SetTables(epoch, tb)
	return c
}

// bodyRequest returns a request with a body of a size.
func bodyRequest(tb *table.Tables, key uint64, size int64) *Request {
	r := directRequest(tb, at(time.Second), key)
	r.BodyBytes = size
	return r
}

// placed returns the part of the requests about many objects, with bodies of a
// size, that go to a zone.
func placed(t *testing.T, tb *table.Tables, c *Core, size int64, zone string) float64 {
	const requests = 1000
	there := 0
	for key := range uint64(requests) {
		d := mustDispatch(t, c.Decide(at(time.Second), bodyRequest(tb, key+1, size)))
		if c.snapshot.Load().targets[d.Target].row.Zone == zone {
			there++
		}
		c.Done(at(time.Second), d, Result{Latency: 100 * time.Millisecond})
	}
	return float64(there) / requests
}

func TestLargeBodiesStayInTheZoneTheyComeInAt(t *testing.T) {
	tb := twoZones(10, 2, 8)
	for _, zone := range []string{"a", "b"} {
		own := "osrednja-" + zone
		if part := placed(t, tb, zoneCore(tb, "osrednja", zone), uploadBytes, own); part < 0.9 {
			t.Errorf("zone %s keeps %.2f of its large bodies, want 0.9", zone, part)
		}
		if part := placed(t, tb, zoneCore(tb, "osrednja", zone), formBytes, own); part < 0.4 || part > 0.6 {
			t.Errorf("zone %s keeps %.2f of its small bodies, want about half", zone, part)
		}
	}
}

func TestAZoneWithFewTargetsSendsLargeBodiesAway(t *testing.T) {
	tb := twoZones(10, 2, 8)
	if part := placed(t, tb, zoneCore(tb, "stajerska", "a"), uploadBytes, "stajerska-a"); part < 0.25 || part > 0.35 {
		t.Errorf("the zone keeps %.2f of its large bodies, its targets carry 0.3 of them", part)
	}
}

// TestLargeBodyOverflowsToTheTargetOfTheNextZone: that one knows the object from
// the callers of its own zone.
func TestLargeBodyOverflowsToTheTargetOfTheNextZone(t *testing.T) {
	tb := twoZones(10, 2, 8)
	for key := uint64(1); key <= 50; key++ {
		next := mustDispatch(t, warmedUp(t, tb, "b").Decide(at(time.Second), bodyRequest(tb, key, uploadBytes))).Target
		c := warmedUp(t, tb, "a")
		first := mustDispatch(t, c.Decide(at(time.Second), bodyRequest(tb, key, uploadBytes))).Target
		last := first
		for n := 0; last == first && n < 20; n++ {
			last = mustDispatch(t, c.Decide(at(time.Second), bodyRequest(tb, key, uploadBytes))).Target
		}
		if last != next && first != next {
			t.Fatalf("object %d overflows from %s to %s, zone b has it at %s", key, first, last, next)
		}
	}
}

// warmedUp returns the decisions of an instance of osrednja that has seen that
// the route has large bodies.
func warmedUp(t *testing.T, tb *table.Tables, zone string) *Core {
	c := zoneCore(tb, "osrednja", zone)
	d := mustDispatch(t, c.Decide(at(time.Second), bodyRequest(tb, 1<<40, uploadBytes)))
	c.Done(at(time.Second), d, Result{Latency: 100 * time.Millisecond})
	return c
}

func TestWithoutOpenTargetsInItsZoneAnInstanceUsesTheRegion(t *testing.T) {
	tb := twoZones(10, 2, 8)
	for i := range tb.Pools[0].Targets {
		tg := &tb.Pools[0].Targets[i]
		tg.Drain = tg.Zone == "osrednja-a"
	}
	if part := placed(t, tb, zoneCore(tb, "osrednja", "a"), uploadBytes, "osrednja-b"); part < 0.6 {
		t.Errorf("%.2f of the bodies stay in the region, want what its targets carry", part)
	}
}

// TestRetryOfARequestWhoseServiceIsGone: the tables change between two attempts.
func TestRetryOfARequestWhoseServiceIsGone(t *testing.T) {
	tb := twoZones(10, 2, 8)
	c := zoneCore(tb, "osrednja", "a")
	r := bodyRequest(tb, 3, formBytes)
	d := mustDispatch(t, c.Decide(at(time.Second), r))
	c.Done(at(time.Second), d, Result{Kind: fault.KindTargetRefused})
	r.Attempts++
	next := *tb
	next.Version++
	next.Pools = nil
	for _, p := range tb.Pools {
		p.Service = "another"
		next.Pools = append(next.Pools, p)
	}
	c.SetTables(at(time.Second), &next)
	if d := c.Decide(at(time.Second), r); d.Verdict != Refuse || d.Kind != fault.KindNoTarget {
		t.Errorf("verdict %v, kind %v", d.Verdict, d.Kind)
	}
}
