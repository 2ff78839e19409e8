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

// leavingRecord returns a peer's record of the leaving notice of a target of
// departureFleet.
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

// observeOwnNotice has the named target send its leaving notice to c.
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

// TestPeerReportActsAsOwnNotice sends the record of one instance to another. From then
// on both must send each object to the same target, and objects of other targets must
// stay where they are.
func TestPeerReportActsAsOwnNotice(t *testing.T) {
	const leaving = "osrednja-0"
	tb := departureFleet()
	sender, receiver := directCore(tb, "a", "osrednja"), directCore(tb, "b", "osrednja")
	before := targetsOf(receiver, tb, 0, departureObjects)
	targetsOf(sender, tb, 0, departureObjects)
	d := observeOwnNotice(t, sender, tb, time.Second, leaving)
	running := mustDispatch(t, receiver.Decide(at(time.Second), directRequest(tb, at(time.Second), 3)))

	recs := sender.LeavingRecords(at(2*time.Second), departure.Request, nil)
	if len(recs) != 1 || recs[0].Target != leaving || recs[0].AgeMS != 1000 {
		t.Fatalf("sent %v", recs)
	}
	receiver.MergeLeaving(at(2*time.Second), departure.Request, "a", recs)
	sender.Done(at(2*time.Second), d, Result{Kind: fault.KindCallerGone})
	if reports := receiver.TakeLeavingReports(); len(reports) != 1 || reports[0] != (LeavingReport{Target: leaving, ReportedBy: "a", Age: time.Second}) {
		t.Errorf("reports %v", reports)
	}
	if reports := receiver.TakeLeavingReports(); reports != nil {
		t.Errorf("reports %v again", reports)
	}
	own, reported := targetsOf(sender, tb, 2*time.Second, departureObjects), targetsOf(receiver, tb, 2*time.Second, departureObjects)
	for i := range reported {
		switch {
		case reported[i] == leaving:
			t.Fatalf("object %d was sent to the target that leaves", i+1)
		case reported[i] != own[i]:
			t.Errorf("object %d: %s by a peer's report, %s by the own notice", i+1, reported[i], own[i])
		case before[i] != leaving && reported[i] != before[i]:
			t.Errorf("object %d of another target moved from %s to %s", i+1, before[i], reported[i])
		}
	}
	if running.targetStats.inFlight.Load() != 1 {
		t.Error("the running request is no longer counted")
	}
	receiver.Done(at(3*time.Second), running, Result{Latency: 2 * time.Second})
}

func TestPeerReportEndsWithTheNextIncarnationOrEntry(t *testing.T) {
	for name, change := range map[string]func(*table.Target){
		"incarnation": func(tg *table.Target) { tg.Incarnation = "2" },
		"entry":       func(tg *table.Target) { tg.EntryVersion = 9 },
	} {
		tb := departureFleet()
		c := directCore(tb, "a", "osrednja")
		c.MergeLeaving(at(0), departure.Reply, "b", []departure.Record{leavingRecord("osrednja-0")})
		next := departureFleet()
		next.Version = 2
		c.SetTables(at(time.Second), next)
		if excluded := excludedReason(c, time.Second, "osrednja-0"); excluded == "" {
			t.Errorf("%s: the report ended with tables in which the target is unchanged", name)
		}
		next = departureFleet()
		next.Version = 3
		change(&next.Pools[0].Targets[0])
		c.SetTables(at(time.Second), next)
		if excluded := excludedReason(c, time.Second, "osrednja-0"); excluded != "" {
			t.Errorf("%s: excluded as %q", name, excluded)
		}
		// The records that peers still send are outdated.
		c.MergeLeaving(at(2*time.Second), departure.Reply, "b", []departure.Record{leavingRecord("osrednja-0")})
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

func TestPeerReportEndsAfterKeepFor(t *testing.T) {
	c := directCore(departureFleet(), "a", "osrednja")
	c.MergeLeaving(at(0), departure.Reply, "b", []departure.Record{leavingRecord("osrednja-0")})
	const want = "leaving, as the target announced 1.5s ago to another instance (reported by b)"
	if got := excludedReason(c, time.Second, "osrednja-0"); got != want {
		t.Errorf("excluded as %q, want %q", got, want)
	}
	c.Tick(at(departure.KeepFor))
	if got := excludedReason(c, departure.KeepFor, "osrednja-0"); got != "" {
		t.Errorf("excluded as %q after KeepFor", got)
	}
}

// TestPeerReportsExcludeAtMostHalfOfAPool reports all targets. Half of each pool must
// stay in use, and every request must be sent.
func TestPeerReportsExcludeAtMostHalfOfAPool(t *testing.T) {
	tb := departureFleet()
	c := directCore(tb, "a", "osrednja")
	for _, p := range tb.Pools {
		for _, tg := range p.Targets {
			c.MergeLeaving(at(0), departure.Reply, "b", []departure.Record{leavingRecord(tg.Name)})
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
	// The targets that are still in use send notices of their own.
	for name := range used {
		c.snapshot.Load().targets[name].markLeaving(1)
	}
	c.Tick(at(2 * time.Second))
	for _, name := range targetsOf(c, tb, 2*time.Second, departureObjects) {
		if name == "" || used[name] {
			t.Fatalf("a request was sent to %q, want a target known to leave only by peers' reports", name)
		}
	}
}

func TestUnknownTargetsInListsAreIgnored(t *testing.T) {
	tb := departureFleet()
	c := directCore(tb, "a", "osrednja")
	c.MergeLeaving(at(0), departure.Reply, "b", []departure.Record{
		leavingRecord("unknown"),
		{Target: "osrednja-1", Incarnation: "0"},
	})
	if recs := c.LeavingRecords(at(0), departure.Reply, nil); recs != nil {
		t.Errorf("records to send: %v, want none", recs)
	}
}

// TestPeerReportIsTiedToTheProbedIncarnation covers dispatch within a zone, where
// targets report their incarnation with their load.
func TestPeerReportIsTiedToTheProbedIncarnation(t *testing.T) {
	const name = "osrednja-t0"
	c := newCore(smallFixture.tables())
	records := []departure.Record{{Target: name, Incarnation: "a"}}
	c.MergeLeaving(at(0), departure.Reply, "b", records)
	if got := excludedReason(c, 0, name); got != "" {
		t.Errorf("excluded as %q before its incarnation is known", got)
	}
	c.ObserveLoad(at(1), LoadReport{Target: name, At: at(1), Healthy: true, Incarnation: "a"})
	c.MergeLeaving(at(1), departure.Reply, "b", records)
	if got := excludedReason(c, 1, name); got == "" {
		t.Error("the target is not excluded")
	}
	c.ObserveLoad(at(time.Second), LoadReport{Target: name, At: at(time.Second), Healthy: true, Incarnation: "b"})
	c.Tick(at(time.Second))
	if got := excludedReason(c, time.Second, name); got != "" {
		t.Errorf("the next incarnation is excluded as %q", got)
	}
}
