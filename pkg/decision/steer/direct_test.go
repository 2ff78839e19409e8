package steer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/hashing"
	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// directPolicy is the policy of the tests.
var directPolicy = DirectPolicy{ShiftCap: 0.15, ShiftWindow: 2 * time.Second, RetryRatio: 0.2, RetryReserve: 20}

// fleet describes tables of a service with targets in three regions.
type fleet struct {
	perRegion []int
	slots     int
	coldRate  float64
}

var regionNames = []string{"osrednja", "stajerska", "primorska"}

// tables returns the tables of f.
func (f fleet) tables() *table.Tables {
	t := &table.Tables{Version: 1}
	r := table.Route{
		Name: "read", PathPrefix: "/", Affinity: true, Idempotency: table.IdempotentAlways, MaxAttempts: 2,
		Timeout: table.Duration(800 * time.Millisecond), TargetLatency: table.Duration(300 * time.Millisecond),
	}
	for i, region := range regionNames {
		t.Regions = append(t.Regions, table.Region{Name: region})
		p := table.Pool{Name: "feedlog." + region, Service: "feedlog", Region: region, ColdRate: f.coldRate}
		for n := range f.perRegion[i] {
			p.Targets = append(p.Targets, table.Target{
				Name: fmt.Sprintf("%s-%d", region, n), Address: fmt.Sprintf("10.%d.0.%d:80", i, n+1),
				Zone: region + "-a", Slots: f.slots, Incarnation: "1",
			})
		}
		if len(p.Targets) == 0 {
			continue
		}
		t.Pools = append(t.Pools, p)
		r.Pools = append(r.Pools, table.PoolWeight{Pool: p.Name, Weight: 1})
	}
	t.Routes = []table.Route{r}
	return t.WithDefaults()
}

// directCore returns the Core of an instance in a region, with direct dispatch.
func directCore(t *table.Tables, id, region string, instances ...string) *Core {
	c := New(Self{Instance: id, Zone: region + "-a", Region: region}, rand.NewPCG(hashing.Name(id), 1))
	c.EnableDirect(directPolicy)
	c.SetInstances(epoch, membersOf(append([]string{id}, instances...)...), true)
	c.SetTables(epoch, t)
	return c
}

// membersOf returns instances with the given IDs, which have no location.
func membersOf(ids ...string) []ratelimit.Member {
	var list []ratelimit.Member
	for _, id := range ids {
		list = append(list, ratelimit.Member{ID: id})
	}
	return list
}

// directRequest returns a request for an object that arrives at now.
func directRequest(t *table.Tables, now time.Time, key uint64) *Request {
	return &Request{Route: &t.Routes[0], TablesVersion: t.Version, Idempotent: true, ObjectKey: key, Arrived: now, Deadline: now.Add(800 * time.Millisecond)}
}

func TestInstancesOfARegionSendAnObjectToTheSameTargets(t *testing.T) {
	tb := fleet{perRegion: []int{10, 2, 8}, slots: 4}.tables()
	a, b := directCore(tb, "a", "osrednja"), directCore(tb, "b", "osrednja")
	for key := uint64(1); key <= 200; key++ {
		x := mustDispatch(t, a.Decide(at(time.Second), directRequest(tb, at(time.Second), key)))
		y := mustDispatch(t, b.Decide(at(time.Second), directRequest(tb, at(time.Second), key)))
		a.Done(at(time.Second), x, Result{Latency: 100 * time.Millisecond})
		b.Done(at(time.Second), y, Result{Latency: 100 * time.Millisecond})
		if x.Target != y.Target {
			t.Fatalf("object %d: one instance sends it to %s, the other to %s", key, x.Target, y.Target)
		}
	}
}

func TestObjectsStayWhenAnotherTargetIsRemoved(t *testing.T) {
	tb := fleet{perRegion: []int{10, 2, 8}, slots: 4}.tables()
	before := directCore(tb, "a", "osrednja")
	smaller := fleet{perRegion: []int{9, 2, 8}, slots: 4}.tables()
	after := directCore(smaller, "a", "osrednja")
	for key := uint64(1); key <= 300; key++ {
		x := mustDispatch(t, before.Decide(at(time.Second), directRequest(tb, at(time.Second), key)))
		y := mustDispatch(t, after.Decide(at(time.Second), directRequest(smaller, at(time.Second), key)))
		before.Done(at(time.Second), x, Result{Latency: 100 * time.Millisecond})
		after.Done(at(time.Second), y, Result{Latency: 100 * time.Millisecond})
		if x.Target != "osrednja-9" && x.Target != y.Target {
			t.Errorf("object %d moved from %s to %s", key, x.Target, y.Target)
		}
	}
}

func TestRouteStaysInItsRegions(t *testing.T) {
	tb := fleet{perRegion: []int{4, 2, 4}, slots: 1}.tables()
	tb.Routes[0].Regions = []string{"stajerska"}
	c := directCore(tb, "a", "osrednja")
	for key := uint64(0); key < 40; key++ {
		d := c.Decide(at(time.Second), directRequest(tb, at(time.Second), key))
		if d.Verdict == Dispatch && d.Pool != "feedlog.stajerska" {
			t.Fatalf("sent to %s, outside the route's regions", d.Pool)
		}
	}
}

func TestDrainedAndUnreachableTargetsGetNoRequests(t *testing.T) {
	tb := fleet{perRegion: []int{2, 0, 0}, slots: 8}.tables()
	tb.Pools[0].Targets[0].Drain = true
	c := directCore(tb, "a", "osrednja")
	d := mustDispatch(t, c.Decide(at(1), directRequest(tb, at(1), 3)))
	if d.Target != "osrednja-1" {
		t.Fatalf("sent to %s, want the undrained target", d.Target)
	}
	c.Done(at(2), d, Result{Kind: fault.KindTargetRefused})
	if d := c.Decide(at(3), directRequest(tb, at(3), 3)); d.Verdict != Refuse || d.Kind != fault.KindNoTarget {
		t.Fatalf("decision %+v, want a refusal with no-target", d)
	}
	if !c.ClaimProbe(at(3), "osrednja-1") {
		t.Error("the target that refused a connection is not probed")
	}
	c.ObserveLoad(at(4), LoadReport{Target: "osrednja-1", At: at(4), Healthy: true, ColdRemaining: time.Second})
	if c.ClaimProbe(at(4), "osrednja-1") {
		t.Error("the target still needs a probe after a successful one")
	}
}

func TestNewIncarnationHasNoHistory(t *testing.T) {
	tb := fleet{perRegion: []int{1, 0, 0}, slots: 8}.tables()
	c := directCore(tb, "a", "osrednja")
	d := mustDispatch(t, c.Decide(at(1), directRequest(tb, at(1), 3)))
	c.Done(at(2), d, Result{Kind: fault.KindTargetRefused})
	next := fleet{perRegion: []int{1, 0, 0}, slots: 8}.tables()
	next.Version = 2
	next.Pools[0].Targets[0].Incarnation = "2"
	c.SetTables(at(3), next)
	mustDispatch(t, c.Decide(at(4), directRequest(next, at(4), 3)))
}

// TestShareOfARegionRisesNoFasterThanItsCap drains most targets of a region, so
// that most of its objects must move, and later undrains them.
func TestShareOfARegionRisesNoFasterThanItsCap(t *testing.T) {
	const perWindow = 1000
	tb := fleet{perRegion: []int{10, 2, 8}, slots: 400}.tables()
	c := directCore(tb, "a", "osrednja")
	window := directPolicy.ShiftWindow
	lastShare, maxShare, moved := 0.0, 0.0, 0
	pools := make(map[uint64]string)
	for w := range 40 {
		if w == 3 || w == 20 {
			next := fleet{perRegion: []int{10, 2, 8}, slots: 400}.tables()
			next.Version = uint64(w)
			for i := range 9 {
				next.Pools[0].Targets[i].Drain = w == 3
			}
			tb = next
			c.SetTables(at(time.Duration(w)*window), tb)
		}
		outside := 0
		for i := range perWindow {
			now := at(time.Duration(w)*window + time.Duration(i)*window/perWindow)
			c.Tick(now)
			d := mustDispatch(t, c.Decide(now, directRequest(tb, now, uint64(i)+1)))
			c.Done(now, d, Result{Latency: time.Millisecond})
			if d.Pool != "feedlog.osrednja" {
				outside++
			}
			if pools[uint64(i)] != d.Pool {
				pools[uint64(i)] = d.Pool
				moved++
			}
		}
		share := float64(outside) / perWindow
		if w > 0 && math.Abs(share-lastShare) > directPolicy.ShiftCap {
			t.Errorf("window %d: %.2f of the requests leave the region, %.2f before", w, share, lastShare)
		}
		lastShare, maxShare = share, max(maxShare, share)
	}
	if maxShare < 0.5 {
		t.Errorf("%.2f of the requests leave a region with one target, want at least 0.5", maxShare)
	}
	if lastShare > 0.1 {
		t.Errorf("%.2f of the requests leave the region after its targets are undrained, want at most 0.1", lastShare)
	}
	// Some objects move by way of another region.
	if most := int((1 + 2.3*maxShare) * perWindow); moved > most {
		t.Errorf("%d objects moved %d times, want only those that must move, there and back", perWindow, moved)
	}
}

func TestRouteIsSplitByTheWeightsOfItsServices(t *testing.T) {
	tb := fleet{perRegion: []int{4, 2, 4}, slots: 100}.tables()
	for _, region := range regionNames {
		p := *tb.Pool("feedlog." + region)
		p.Name, p.Service = "second."+region, "second"
		p.Targets = append([]table.Target(nil), p.Targets...)
		for i := range p.Targets {
			p.Targets[i].Name += "-second"
		}
		tb.Pools = append(tb.Pools, p)
		tb.Routes[0].Pools = append(tb.Routes[0].Pools, table.PoolWeight{Pool: p.Name, Weight: 3})
	}
	c := directCore(tb, "a", "osrednja")
	toSecond := 0
	for i := range 400 {
		now := at(time.Duration(i) * time.Millisecond)
		r := directRequest(tb, now, uint64(i%50+1))
		d := mustDispatch(t, c.Decide(now, r))
		if r.service == "second" {
			toSecond++
		}
		c.Done(now, d, Result{Latency: time.Millisecond})
	}
	if toSecond < 280 || toSecond > 320 {
		t.Errorf("%d of 400 requests for the service with three quarters of the weight, want 280 to 320", toSecond)
	}
}

func TestRetriesOfAllInstancesStayWithinTheBudget(t *testing.T) {
	tb := fleet{perRegion: []int{4, 2, 4}, slots: 100}.tables()
	ids := []string{"a", "b", "c", "d"}
	retries, requests := 0, 0
	for _, id := range ids {
		c := directCore(tb, id, "osrednja", ids...)
		for i := range 100 {
			now := at(time.Duration(i) * 10 * time.Millisecond)
			r := directRequest(tb, now, uint64(i+1))
			d := c.Decide(now, r)
			if d.Verdict != Dispatch {
				continue
			}
			requests++
			r.Attempts++
			c.Done(now, d, Result{Kind: fault.KindTargetLost})
			if c.AllowRetry(now, r, Result{Kind: fault.KindTargetLost}) {
				retries++
			}
		}
	}
	if limit := int(directPolicy.RetryRatio*float64(requests)) + directPolicy.RetryReserve; retries > limit || retries == 0 {
		t.Errorf("%d retries of %d requests, want 1 to %d", retries, requests, limit)
	}
}

func TestRetriesOfUnsentRequestsTakeNothingFromTheBudget(t *testing.T) {
	tb := fleet{perRegion: []int{4, 2, 4}, slots: 100}.tables()
	c := directCore(tb, "a", "osrednja")
	const requests = 200
	refused, withdrawn, lost := 0, 0, 0
	for i := range requests {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		r := directRequest(tb, now, uint64(i+1))
		if d := c.Decide(now, r); d.Verdict != Dispatch {
			t.Fatalf("decision %+v, want a dispatch", d)
		}
		r.Attempts++
		if c.AllowRetry(now, r, Result{Kind: fault.KindTargetRefused}) {
			refused++
		}
		if c.AllowRetry(now, r, Result{Kind: fault.KindTargetLeaving}) {
			withdrawn++
		}
		if c.AllowRetry(now, r, Result{Kind: fault.KindTargetLost}) {
			lost++
		}
	}
	if refused != requests || withdrawn != requests {
		t.Errorf("of %d requests %d may be retried after a refused connection and %d after the target announced that it leaves, want all", requests, refused, withdrawn)
	}
	limit := int(directPolicy.RetryRatio*requests) + directPolicy.RetryReserve
	if lost > limit || lost < limit/2 {
		t.Errorf("%d of %d requests may be retried after a lost connection, want up to %d", lost, requests, limit)
	}
}

func TestRegionKeepsObjectsWithinItsCapacity(t *testing.T) {
	tb := fleet{perRegion: []int{10, 2, 8}, slots: 4}.tables()
	for _, c := range []struct {
		region   string
		from, to float64
	}{{"osrednja", 0.93, 1}, {"stajerska", 0.25, 0.35}, {"primorska", 0.93, 1}} {
		core := directCore(tb, "a", c.region)
		kept := 0
		for key := uint64(1); key <= 1000; key++ {
			d := mustDispatch(t, core.Decide(at(time.Second), directRequest(tb, at(time.Second), key)))
			if d.Pool == "feedlog."+c.region {
				kept++
			}
			core.Done(at(time.Second), d, Result{Latency: 100 * time.Millisecond})
		}
		if fraction := float64(kept) / 1000; fraction < c.from || fraction > c.to {
			t.Errorf("%s keeps %.2f of its objects, want %.2f to %.2f", c.region, fraction, c.from, c.to)
		}
	}
}

func TestRetryAfterIsSpreadAroundTheTargetLatency(t *testing.T) {
	tb := fleet{perRegion: []int{1, 0, 0}, slots: 2}.tables()
	c := directCore(tb, "a", "osrednja")
	earliest, latest := time.Hour, time.Duration(0)
	for range 60 {
		if d := c.Decide(at(time.Second), directRequest(tb, at(time.Second), 3)); d.Verdict == Refuse {
			earliest, latest = min(earliest, d.RetryAfter), max(latest, d.RetryAfter)
		}
	}
	targetLatency := tb.Routes[0].TargetLatency.Std()
	if earliest < targetLatency/2 || latest > 2*targetLatency || latest-earliest < targetLatency/10 {
		t.Errorf("retry-after times from %v to %v, want them spread around %v", earliest, latest, targetLatency)
	}
}

// TestSecondTargetOfAnObjectIsUnusedUntilTheFirstHasAQueue guards against
// spreading an object to its second target too early: a request there does not
// make the first target warm.
func TestSecondTargetOfAnObjectIsUnusedUntilTheFirstHasAQueue(t *testing.T) {
	tb := fleet{perRegion: []int{6, 0, 0}, slots: 4}.tables()
	c := directCore(tb, "a", "osrednja")
	first := mustDispatch(t, c.Decide(at(time.Second), directRequest(tb, at(time.Second), 3))).Target
	for range 4 {
		if d := mustDispatch(t, c.Decide(at(time.Second), directRequest(tb, at(time.Second), 3))); d.Target != first {
			t.Fatalf("sent to %s while %s has a free slot or an empty queue", d.Target, first)
		}
	}
	for range 8 {
		if d := mustDispatch(t, c.Decide(at(time.Second), directRequest(tb, at(time.Second), 3))); d.Target != first {
			return
		}
	}
	t.Error("the second target gets no requests although the first has a queue")
}
