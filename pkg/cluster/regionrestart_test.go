package cluster

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/lookup"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/test/virtualtime"
)

// startInRegions starts count instances in each region, which is also their cell.
func (tc *testCluster) startInRegions(count int, regions ...string) {
	for i, region := range regions {
		tc.cell = region
		for j := range count {
			tc.start(fmt.Sprintf("instance-%03d", i*count+j), region+"-a")
		}
	}
}

// inRegion returns the running instances of a region.
func (tc *testCluster) inRegion(region string) []*testNode {
	return slices.DeleteFunc(slices.Clone(tc.nodes), func(n *testNode) bool { return n.cell != region })
}

// query returns the query of a lookup at n, by a caller of region for a route that only
// this region may serve.
func (n *testNode) query(region string) lookup.Query {
	q := lookup.Query{
		Caller:  lookup.Location{Zone: region + "-a", Region: region},
		Allowed: lookup.AllowedBy(&table.Route{Regions: []string{region}}),
	}
	unreachable := n.UnreachableCells()
	for _, in := range n.Instances() {
		q.Instances = append(q.Instances, lookup.Instance{
			ID: in.ID, Zone: in.Zone, Region: in.Region, Leaving: in.Leaving, Unreachable: slices.Contains(unreachable, in.EffectiveCell()),
		})
	}
	_, q.Complete = n.Members()
	return q
}

const (
	// stopInterval is the time between the stops of two instances of a region.
	stopInterval = 200 * time.Millisecond
	// leaveTime is how long an instance runs after it has announced that it leaves,
	// exitTime how long it runs after it was deregistered, and startDelay the time until
	// it starts again.
	leaveTime  = 3 * time.Second
	exitTime   = 200 * time.Millisecond
	startDelay = time.Second
	// observeInterval is the time between two observations.
	observeInterval = 100 * time.Millisecond
)

// event is something done at a time after the start of a restart.
type event struct {
	at time.Duration
	do func()
}

// restartInTurn stops and starts the instances of region one after the other, so that for
// a while all of them leave or have ended. It calls observe before, meanwhile and for
// the given time after the last start.
func (tc *testCluster) restartInTurn(t *testing.T, region string, after time.Duration, observe func()) {
	var events []event
	for i, n := range tc.inRegion(region) {
		leave := time.Duration(i) * stopInterval
		end := leave + leaveTime + exitTime
		events = append(events,
			event{leave, func() { mustSucceed(n.Leave(t.Context())) }},
			event{leave + leaveTime, func() { mustSucceed(n.ReturnShares(t.Context())) }},
			event{end, func() { tc.kill(n) }},
			event{end + startDelay, func() { tc.cell = region; tc.start(n.self.ID, region+"-a") }},
		)
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	last := events[len(events)-1].at
	for began := time.Now(); time.Since(began) < last+after; time.Sleep(observeInterval) {
		for len(events) > 0 && events[0].at <= time.Since(began) {
			events[0].do()
			events = events[1:]
		}
		observe()
	}
}

// TestRestartingRegionKeepsItsCallersInIt restarts all instances of a region at nearly
// the same time. None of them may name one of another region for a route that only this
// region may serve.
func TestRestartingRegionKeepsItsCallersInIt(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		tc := newTestCluster(7)
		defer tc.stop()
		tc.useFeeds(newFakeFeedStore())
		tc.startInRegions(4, "ra", "rb")
		time.Sleep(2 * DefaultTiming().ListInterval) // until all instances have read the whole list
		answers, none := 0, 0
		tc.restartInTurn(t, "rb", DefaultTiming().ListInterval, func() {
			for _, n := range tc.inRegion("rb") {
				c := lookup.Select(n.query("rb"))
				answers++
				if len(c.Zone)+len(c.Region) == 0 {
					none++
				}
				if others := lookup.Regions(c.Others); len(others) > 0 {
					t.Errorf("%s names instances of %v", n.self.ID, others)
				}
			}
		})
		if none == 0 {
			t.Errorf("none of %d responses lacks an instance of the region: nothing was tested", answers)
		}
	})
}

// TestInstanceKnowsNoOtherRegionBeforeTheList starts an instance that can't read the
// platform's list: it must not take the other region for lost.
func TestInstanceKnowsNoOtherRegionBeforeTheList(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		tc := newTestCluster(8)
		defer tc.stop()
		tc.useFeeds(newFakeFeedStore())
		tc.startInRegions(2, "ra", "rb")
		time.Sleep(2 * DefaultTiming().ListInterval)
		tc.store.setListDown(true)
		tc.cell = "ra"
		n := tc.start("instance-004", "ra-a")
		time.Sleep(2 * cellTimeout)
		q := n.query("rb")
		t.Logf("without the list, the instance knows instances of %v", lookup.Regions(q.Instances))
		if q.Complete {
			t.Error("the list counts as read")
		}
		if c := lookup.Select(q); len(c.Others) > 0 {
			t.Errorf("an instance that has not read the list names %+v", c.Others)
		}
		if c := lookup.Select(n.query("ra")); len(c.Zone) != 3 {
			t.Errorf("%d instances of the own region are named, want 3", len(c.Zone))
		}
	})
}

// TestPartitionedRegionsNameTheirOwnInstances cuts two regions off from each other: the
// instances of each hold the other for unreachable, never their own.
func TestPartitionedRegionsNameTheirOwnInstances(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		tc := newTestCluster(9)
		defer tc.stop()
		tc.useFeeds(newFakeFeedStore())
		tc.startInRegions(4, "ra", "rb")
		time.Sleep(2 * DefaultTiming().ListInterval)
		regionOf := map[string]string{}
		for _, n := range tc.nodes {
			regionOf[n.addr] = n.cell
		}
		tc.setPartition(func(from, to string) bool { return regionOf[from] != regionOf[to] })
		for range int(time.Minute / observeInterval) {
			time.Sleep(observeInterval)
			for _, n := range tc.nodes {
				if c := lookup.Select(n.query(n.cell)); len(c.Zone) != 4 {
					t.Fatalf("%s names %d instances of its own region, want 4", n.self.ID, len(c.Zone))
				}
			}
		}
	})
}
