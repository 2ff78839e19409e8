package steer

import (
	"strings"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/departure"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// departureFleet returns tables with four targets in one region and two in another.
func departureFleet() *table.Tables { return fleet{perRegion: []int{4, 2, 0}, slots: 50}.tables() }

// leavingRecord returns what others tell about a target of departureFleet.
func leavingRecord(name string) departure.Record {
	return departure.Record{Target: name, Incarnation: "1", AgeMS: 500}
}

// targetsOf returns the targets to which c sends one request each for objects 1 to n,
// which end at once.
func targetsOf(c *Core, tb *table.Tables, now time.Duration, n uint64) []string {
	out := make([]string, 0, n)
	for key := uint64(1); key <= n; key++ {
		d := c.Decide(at(now), directRequest(tb, at(now), key))
		out = append(out, d.Target)
		if d.Verdict == Dispatch {
			c.Done(at(now), d, Result{Latency: 100 * time.Millisecond})
		}
	}
	return out
}

const departureObjects = 200

// observeOwnNotice lets the named target send its leaving notice to c.
func observeOwnNotice(t *testing.T, c *Core, tb *table.Tables, now time.Duration, name string) Decision {
	t.Helper()
	for key := uint64(1); key <= departureObjects; key++ {
		d := mustDispatch(t, c.Decide(at(now), directRequest(tb, at(now), key)))
		if d.Target == name {
			c.ObserveNotice(at(now), d, Notice{Leaving: true})
			return d
		}
		c.Done(at(now), d, Result{Kind: fault.KindCallerGone})
	}
	t.Fatalf("no object belongs to %s", name)
	return Decision{}
}

// TestHeardNoticeActsAsTheOwn passes one instance's notice on to another. From then
// on both must send each object to the same target, and objects of other targets must
// stay where they are.
func TestHeardNoticeActsAsTheOwn(t *testing.T) {
	const leaving = "osrednja-0"
	tb := departureFleet()
	reader, hearer := directCore(tb, "a", "osrednja"), directCore(tb, "b", "osrednja")
	before := targetsOf(hearer, tb, 0, departureObjects)
	targetsOf(reader, tb, 0, departureObjects)
	d := observeOwnNotice(t, reader, tb, time.Second, leaving)
	running := mustDispatch(t, hearer.Decide(at(time.Second), directRequest(tb, at(time.Second), 3)))

	recs := reader.LeavingRecords(at(2*time.Second), departure.Request, nil)
	if len(recs) != 1 || recs[0].Target != leaving || recs[0].AgeMS != 1000 {
		t.Fatalf("told %v", recs)
	}
	hearer.HearLeaving(at(2*time.Second), departure.Request, "a", recs)
	reader.Done(at(2*time.Second), d, Result{Kind: fault.KindCallerGone})
	if heard := hearer.TakeHeard(); len(heard) != 1 || heard[0] != (HeardLeaving{Target: leaving, From: "a", Age: time.Second}) {
		t.Errorf("heard %v", heard)
	}
	if heard := hearer.TakeHeard(); heard != nil {
		t.Errorf("heard %v again", heard)
	}
	own, heard := targetsOf(reader, tb, 2*time.Second, departureObjects), targetsOf(hearer, tb, 2*time.Second, departureObjects)
	for i := range heard {
		switch {
		case heard[i] == leaving:
			t.Fatalf("object %d was sent to the target that leaves", i+1)
		case heard[i] != own[i]:
			t.Errorf("object %d: %s by hearsay, %s by the own notice", i+1, heard[i], own[i])
		case before[i] != leaving && heard[i] != before[i]:
			t.Errorf("object %d of another target moved from %s to %s", i+1, before[i], heard[i])
		}
	}
	if running.targetStats.inFlight.Load() != 1 {
		t.Error("the running request is no longer counted")
	}
	hearer.Done(at(3*time.Second), running, Result{Latency: 2 * time.Second})
}

func TestHeardNoticeEndsWithTheNextIncarnationOrEntry(t *testing.T) {
	for name, change := range map[string]func(*table.Target){
		"incarnation": func(tg *table.Target) { tg.Incarnation = "2" },
		"entry":       func(tg *table.Target) { tg.EntryVersion = 9 },
	} {
		tb := departureFleet()
		c := directCore(tb, "a", "osrednja")
		c.HearLeaving(at(0), departure.Reply, "b", []departure.Record{leavingRecord("osrednja-0")})
		next := departureFleet()
		next.Version = 2
		c.SetTables(at(time.Second), next)
		if excluded := excludedReason(c, time.Second, "osrednja-0"); excluded == "" {
			t.Errorf("%s: the notice ended with tables that say nothing new", name)
		}
		next = departureFleet()
		next.Version = 3
		change(&next.Pools[0].Targets[0])
		c.SetTables(at(time.Second), next)
		if excluded := excludedReason(c, time.Second, "osrednja-0"); excluded != "" {
			t.Errorf("%s: excluded as %q", name, excluded)
		}
		// What the others still tell is out of date.
		c.HearLeaving(at(2*time.Second), departure.Reply, "b", []departure.Record{leavingRecord("osrednja-0")})
		if excluded := excludedReason(c, 2*time.Second, "osrednja-0"); excluded != "" {
			t.Errorf("%s: excluded again as %q", name, excluded)
		}
	}
}

// excludedReason returns why c sends no requests to the target, or "".
func excludedReason(c *Core, now time.Duration, target string) string {
	for _, p := range c.PoolViews(at(now)) {
		for _, v := range p.Targets {
			if v.Target == target && strings.Contains(v.Excluded, "leaving") {
				return v.Excluded
			}
		}
	}
	return ""
}

func TestHeardNoticeEndsByItself(t *testing.T) {
	c := directCore(departureFleet(), "a", "osrednja")
	c.HearLeaving(at(0), departure.Reply, "b", []departure.Record{leavingRecord("osrednja-0")})
	const want = "leaving, as the target reported 1.5s ago to another instance (heard from b)"
	if got := excludedReason(c, time.Second, "osrednja-0"); got != want {
		t.Errorf("excluded as %q, want %q", got, want)
	}
	c.Tick(at(departure.KeepFor))
	if got := excludedReason(c, departure.KeepFor, "osrednja-0"); got != "" {
		t.Errorf("excluded as %q after KeepFor", got)
	}
}

// TestHearsayEmptiesNoService names all targets. Each must leave half of its pool in
// use, and every request must be sent.
func TestHearsayEmptiesNoService(t *testing.T) {
	tb := departureFleet()
	c := directCore(tb, "a", "osrednja")
	for _, p := range tb.Pools {
		for _, tg := range p.Targets {
			c.HearLeaving(at(0), departure.Reply, "b", []departure.Record{leavingRecord(tg.Name)})
		}
	}
	used := map[string]bool{}
	for i, name := range targetsOf(c, tb, time.Second, departureObjects) {
		if name == "" {
			t.Fatalf("the request for object %d was refused", i+1)
		}
		used[name] = true
	}
	if len(used) != 3 {
		t.Errorf("targets in use: %v, want 2 of 4 and 1 of 2", used)
	}
	// The targets that are left say so themselves.
	for name := range used {
		c.snapshot.Load().targets[name].markLeaving(1)
	}
	c.Tick(at(2 * time.Second))
	for _, name := range targetsOf(c, tb, 2*time.Second, departureObjects) {
		if name == "" || used[name] {
			t.Fatalf("a request was sent to %q, want a target known to leave only by hearsay", name)
		}
	}
}

func TestUnknownTargetsInListsAreIgnored(t *testing.T) {
	tb := departureFleet()
	c := directCore(tb, "a", "osrednja")
	c.HearLeaving(at(0), departure.Reply, "b", []departure.Record{
		leavingRecord("unknown"),
		{Target: "osrednja-1", Incarnation: "0"},
	})
	if recs := c.LeavingRecords(at(0), departure.Reply, nil); recs != nil {
		t.Errorf("passed on %v", recs)
	}
}

// TestHeardNoticeIsTiedToTheProbedIncarnation covers dispatch within a zone, where
// targets report their incarnation with their load.
func TestHeardNoticeIsTiedToTheProbedIncarnation(t *testing.T) {
	const name = "osrednja-t0"
	c := newCore(smallFixture.tables())
	told := []departure.Record{{Target: name, Incarnation: "a"}}
	c.HearLeaving(at(0), departure.Reply, "b", told)
	if got := excludedReason(c, 0, name); got != "" {
		t.Errorf("excluded as %q before its incarnation is known", got)
	}
	c.ObserveLoad(at(1), LoadReport{Target: name, At: at(1), Healthy: true, Incarnation: "a"})
	c.HearLeaving(at(1), departure.Reply, "b", told)
	if got := excludedReason(c, 1, name); got == "" {
		t.Error("the target is not excluded")
	}
	c.ObserveLoad(at(time.Second), LoadReport{Target: name, At: at(time.Second), Healthy: true, Incarnation: "b"})
	c.Tick(at(time.Second))
	if got := excludedReason(c, time.Second, name); got != "" {
		t.Errorf("the next incarnation is excluded as %q", got)
	}
}
