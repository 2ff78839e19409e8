package steer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

const (
	// largeBody and smallBody are sizes of a body in bytes, above and below
	// largeBodyBytes.
	largeBody = 60_000
	smallBody = 400
)

// twoZoneTables returns the tables of a fleet whose regions have two zones
// each.
func twoZoneTables(perRegion ...int) *table.Tables {
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

// zoneCore returns the Core of an instance in a zone of a region, with direct
// dispatch.
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

// fractionInZone returns the fraction of requests for many objects, with bodies
// of a size, that are sent to a zone.
func fractionInZone(t *testing.T, tb *table.Tables, c *Core, size int64, zone string) float64 {
	const requests = 1000
	inZone := 0
	for key := range uint64(requests) {
		d := mustDispatch(t, c.Decide(at(time.Second), bodyRequest(tb, key+1, size)))
		if c.snapshot.Load().targets[d.Target].row.Zone == zone {
			inZone++
		}
		c.Done(at(time.Second), d, Result{Latency: 100 * time.Millisecond})
	}
	return float64(inZone) / requests
}

func TestLargeBodiesStayInTheirZoneOfArrival(t *testing.T) {
	tb := twoZoneTables(10, 2, 8)
	for _, zone := range []string{"a", "b"} {
		own := "osrednja-" + zone
		if fraction := fractionInZone(t, tb, zoneCore(tb, "osrednja", zone), largeBody, own); fraction < 0.9 {
			t.Errorf("zone %s keeps %.2f of its large bodies, want at least 0.9", zone, fraction)
		}
		if fraction := fractionInZone(t, tb, zoneCore(tb, "osrednja", zone), smallBody, own); fraction < 0.4 || fraction > 0.6 {
			t.Errorf("zone %s keeps %.2f of its small bodies, want about half", zone, fraction)
		}
	}
}

func TestZoneWithFewTargetsSendsLargeBodiesToOthers(t *testing.T) {
	tb := twoZoneTables(10, 2, 8)
	if fraction := fractionInZone(t, tb, zoneCore(tb, "stajerska", "a"), largeBody, "stajerska-a"); fraction < 0.25 || fraction > 0.35 {
		t.Errorf("the zone keeps %.2f of its large bodies, want about 0.3, the capacity of its targets", fraction)
	}
}

// TestLargeBodyOverflowsToTheTargetOfTheNextZone checks that the overflow goes
// to the target that is warm for the object through the callers of the next
// zone.
func TestLargeBodyOverflowsToTheTargetOfTheNextZone(t *testing.T) {
	tb := twoZoneTables(10, 2, 8)
	for key := uint64(1); key <= 50; key++ {
		next := mustDispatch(t, coreWithLargeBodies(t, tb, "b").Decide(at(time.Second), bodyRequest(tb, key, largeBody))).Target
		c := coreWithLargeBodies(t, tb, "a")
		first := mustDispatch(t, c.Decide(at(time.Second), bodyRequest(tb, key, largeBody))).Target
		last := first
		for n := 0; last == first && n < 20; n++ {
			last = mustDispatch(t, c.Decide(at(time.Second), bodyRequest(tb, key, largeBody))).Target
		}
		if last != next && first != next {
			t.Fatalf("object %d overflows from %s to %s, want %s, its target in zone b", key, first, last, next)
		}
	}
}

// coreWithLargeBodies returns the Core of an instance of osrednja that has
// observed a large body on the route.
func coreWithLargeBodies(t *testing.T, tb *table.Tables, zone string) *Core {
	c := zoneCore(tb, "osrednja", zone)
	d := mustDispatch(t, c.Decide(at(time.Second), bodyRequest(tb, 1<<40, largeBody)))
	c.Done(at(time.Second), d, Result{Latency: 100 * time.Millisecond})
	return c
}

func TestInstanceInADrainedZoneUsesItsRegion(t *testing.T) {
	tb := twoZoneTables(10, 2, 8)
	for i := range tb.Pools[0].Targets {
		tg := &tb.Pools[0].Targets[i]
		tg.Drain = tg.Zone == "osrednja-a"
	}
	if fraction := fractionInZone(t, tb, zoneCore(tb, "osrednja", "a"), largeBody, "osrednja-b"); fraction < 0.6 {
		t.Errorf("%.2f of the bodies stay in the region, want at least 0.6, the capacity of its targets", fraction)
	}
}

// refusedOnce returns a Core with a request of which an attempt was refused by its target, and
// the next version of the tables, with the pools that change returns.
func refusedOnce(t *testing.T, change func(pools []table.Pool) []table.Pool) (*Core, *Request, *table.Tables) {
	t.Helper()
	tb := twoZoneTables(10, 2, 8)
	c := zoneCore(tb, "osrednja", "a")
	r := bodyRequest(tb, 3, smallBody)
	d := mustDispatch(t, c.Decide(at(time.Second), r))
	c.Done(at(time.Second), d, Result{Kind: fault.KindTargetRefused})
	r.Attempts++
	next := tb.Clone()
	next.Version++
	next.Pools = change(next.Pools)
	return c, r, next
}

func TestRetryIsRefusedAfterItsServiceIsRemoved(t *testing.T) {
	for name, change := range map[string]func([]table.Pool) []table.Pool{
		"removed":               func([]table.Pool) []table.Pool { return nil },
		"no longer the route's": func(pools []table.Pool) []table.Pool { return pools },
	} {
		c, r, next := refusedOnce(t, change)
		next.Routes[0].Pools = nil
		c.SetTables(at(time.Second), next)
		if d := c.Decide(at(time.Second), r); d.Verdict != Refuse || d.Kind != fault.KindNoTarget {
			t.Errorf("%s: verdict %v, kind %v, want a refusal with no-target", name, d.Verdict, d.Kind)
		}
	}
}

func TestRetryGoesToTheServiceThatTakesOverThePools(t *testing.T) {
	c, r, next := refusedOnce(t, func(pools []table.Pool) []table.Pool {
		for i := range pools {
			pools[i].Service = "another"
		}
		return pools
	})
	c.SetTables(at(time.Second), next)
	if d := mustDispatch(t, c.Decide(at(time.Second), r)); r.service != "another" || next.Pool(d.Pool) == nil {
		t.Errorf("service %s, pool %s", r.service, d.Pool)
	}
}

// TestFurtherTargetTakesOnlyWhatTheFirstHasNoRoomFor replays requests for one object where
// warming up costs little. Each target that an object is sent to must learn it, and forgets
// another one for it.
func TestFurtherTargetTakesOnlyWhatTheFirstHasNoRoomFor(t *testing.T) {
	tb := fleet{perRegion: []int{6, 0, 0}, slots: 4}.tables()
	c := directCore(tb, "a", "osrednja")
	now := at(time.Second)
	for key := uint64(1); key <= 200; key++ {
		for _, work := range []time.Duration{130 * time.Millisecond, 100 * time.Millisecond} {
			c.Done(now, mustDispatch(t, c.Decide(now, directRequest(tb, now, key))), Result{Latency: work})
		}
	}
	first := mustDispatch(t, c.Decide(now, directRequest(tb, now, 3)))
	used := map[string]int{}
	for range 30 {
		d := c.Decide(now, directRequest(tb, now, 3))
		if d.Verdict != Dispatch {
			break
		}
		used[d.Target]++
		if d.Target != first.Target && used[first.Target] < 10 {
			t.Fatalf("a further target is used although only %d requests are at the first one", used[first.Target]+1)
		}
	}
	if len(used) < 2 {
		t.Error("no further target is used although the first one has no room")
	}
}
