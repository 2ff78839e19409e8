package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// refuseWithRetryAfter lets the target of d refuse the request at now. With a
// positive retryAfter the target also asks for no requests for that time.
func refuseWithRetryAfter(c *Core, now time.Time, d Decision, retryAfter time.Duration) {
	c.ObserveNotice(now, d, Notice{RetryAfter: retryAfter})
	c.Done(now, d, Result{Kind: fault.KindTargetShed})
}

func TestTargetInBackoffGetsNoRequests(t *testing.T) {
	tb := fleet{perRegion: []int{2, 0, 0}, slots: 8}.tables()
	c := directCore(tb, "a", "osrednja")
	d := mustDispatch(t, c.Decide(at(0), directRequest(tb, at(0), 3)))
	refuseWithRetryAfter(c, at(0), d, 2*time.Second)
	refuseWithRetryAfter(c, at(0), mustDispatch(t, c.Decide(at(0), directRequest(tb, at(0), 3))), 0)
	for now := time.Duration(0); now < 2*time.Second; now += 100 * time.Millisecond {
		if next := c.Decide(at(now+time.Millisecond), directRequest(tb, at(now), 3)); next.Target == d.Target {
			t.Fatalf("the target in backoff got a request after %v", now)
		}
	}
}

func TestShorterBackoffDoesNotEndALongerOne(t *testing.T) {
	var b backoff
	b.start(0, 2*time.Second, 0)
	if b.start(int64(time.Second), 100*time.Millisecond, 0) || !b.active(int64(1900*time.Millisecond)) {
		t.Error("a shorter backoff ended or replaced a longer one")
	}
}

// TestRefusalCarriesTheEndOfTheFirstBackoff covers a service whose targets are
// all in backoff.
func TestRefusalCarriesTheEndOfTheFirstBackoff(t *testing.T) {
	tb := fleet{perRegion: []int{3, 0, 0}, slots: 8}.tables()
	c := directCore(tb, "a", "osrednja")
	for i := range 3 {
		d := mustDispatch(t, c.Decide(at(0), directRequest(tb, at(0), 3)))
		refuseWithRetryAfter(c, at(0), d, time.Duration(8+i)*time.Second)
	}
	d := c.Decide(at(time.Second), directRequest(tb, at(time.Second), 3))
	// The first backoff ends 7 s from now plus jitter, and the caller may get
	// up to half as much again as jitter.
	if d.Verdict != Refuse || d.Kind != fault.KindOverloaded || d.RetryAfter < 7*time.Second || d.RetryAfter > 11*time.Second {
		t.Errorf("verdict %v, kind %v, retry after %v; want a refusal with 7s to 11s", d.Verdict, d.Kind, d.RetryAfter)
	}
}

func TestWindowAfterABackoffStartsAtOneRequest(t *testing.T) {
	tb := fleet{perRegion: []int{1, 0, 0}, slots: 8}.tables()
	c := directCore(tb, "a", "osrednja")
	refuseWithRetryAfter(c, at(0), mustDispatch(t, c.Decide(at(0), directRequest(tb, at(0), 3))), time.Second)
	now := at(2 * time.Second)
	for _, want := range []int{1, 2, 4} {
		var sent []Decision
		for range 8 {
			if d := c.Decide(now, directRequest(tb, now, 3)); d.Verdict == Dispatch {
				sent = append(sent, d)
			}
		}
		if len(sent) != want {
			t.Fatalf("%d requests in flight, want %d", len(sent), want)
		}
		now = now.Add(time.Second)
		c.Done(now, sent[0], Result{Latency: 50 * time.Millisecond})
		for _, d := range sent[1:] {
			c.Done(now, d, Result{Kind: fault.KindCallerGone})
		}
		now = now.Add(time.Minute)
		c.Tick(now)
	}
}

// TestBackoffOutlastsARemovalFromTheTables covers a row that returns to the tables
// while the target still wants no requests. A row of another incarnation describes
// another target.
func TestBackoffOutlastsARemovalFromTheTables(t *testing.T) {
	tables := func(version uint64, edit func(*table.Pool)) *table.Tables {
		tb := fleet{perRegion: []int{1, 0, 0}, slots: 8}.tables()
		tb.Version = version
		edit(&tb.Pools[0])
		return tb
	}
	same := func(*table.Pool) {}
	tb := tables(1, same)
	c := directCore(tb, "a", "osrednja")
	refuseWithRetryAfter(c, at(0), mustDispatch(t, c.Decide(at(0), directRequest(tb, at(0), 3))), 10*time.Second)
	c.SetTables(at(time.Second), tables(2, func(p *table.Pool) { p.Targets = nil }))
	c.SetTables(at(2*time.Second), tables(3, same))
	if d := c.Decide(at(2*time.Second), directRequest(tb, at(2*time.Second), 3)); d.Verdict != Refuse {
		t.Errorf("verdict %v for a target in backoff, want a refusal", d.Verdict)
	}
	c.SetTables(at(3*time.Second), tables(4, func(p *table.Pool) { p.Targets[0].Incarnation = "2" }))
	mustDispatch(t, c.Decide(at(3*time.Second), directRequest(tb, at(3*time.Second), 3)))
}

func TestLeavingOutlastsReportsWithoutIncarnation(t *testing.T) {
	tb := fleet{perRegion: []int{1, 0, 0}, slots: 8}.tables()
	c := directCore(tb, "a", "osrednja")
	d := mustDispatch(t, c.Decide(at(0), directRequest(tb, at(0), 3)))
	if !c.ObserveNotice(at(0), d, Notice{Leaving: true}) || c.ObserveNotice(at(0), d, Notice{Leaving: true}) {
		t.Error("want a change from the first leaving notice only")
	}
	late := at(2 * leavingHold)
	c.ObserveLoad(late, LoadReport{Target: d.Target, At: late, Healthy: true})
	if got := c.Decide(late, directRequest(tb, late, 3)); got.Verdict != Refuse {
		t.Errorf("verdict %v for a leaving target, want a refusal", got.Verdict)
	}
	next := fleet{perRegion: []int{1, 0, 0}, slots: 8}.tables()
	next.Version, next.Pools[0].Targets[0].Incarnation = 2, "2"
	c.SetTables(late, next)
	mustDispatch(t, c.Decide(late, directRequest(next, late, 3)))
}

// TestDecisionKnowsThatItsTargetIsLeaving covers a request that is decided before, and
// sent after, another response shows that the target is leaving.
func TestDecisionKnowsThatItsTargetIsLeaving(t *testing.T) {
	tb := fleet{perRegion: []int{2, 0, 0}, slots: 8}.tables()
	c := directCore(tb, "a", "osrednja")
	answered := mustDispatch(t, c.Decide(at(0), directRequest(tb, at(0), 3)))
	placed := mustDispatch(t, c.Decide(at(0), directRequest(tb, at(0), 3)))
	if placed.Target != answered.Target || c.TargetLeaving(&placed) {
		t.Fatalf("decision %+v, want the target %s, which is not leaving", placed, answered.Target)
	}
	c.ObserveNotice(at(1), answered, Notice{Leaving: true})
	if !c.TargetLeaving(&placed) {
		t.Error("the decision doesn't show that its target is leaving")
	}
	if refused := c.Decide(at(1), &Request{}); c.TargetLeaving(&refused) {
		t.Error("a refusal has a leaving target")
	}
}

// TestDecisionKnowsThatItsTargetLeavesByTheTables covers a request that is decided under
// tables in which its target may be used, and sent under later ones.
func TestDecisionKnowsThatItsTargetLeavesByTheTables(t *testing.T) {
	for name, change := range map[string]func(p *table.Pool){
		"drained":             func(p *table.Pool) { p.Targets[0].Drain = true },
		"pool drained":        func(p *table.Pool) { p.Drain = true },
		"removed":             func(p *table.Pool) { p.Targets = p.Targets[1:] },
		"another incarnation": func(p *table.Pool) { p.Targets[0].Incarnation = "2" },
		"another address":     func(p *table.Pool) { p.Targets[0].Address = "10.9.9.9:80" },
	} {
		t.Run(name, func(t *testing.T) {
			tb := fleet{perRegion: []int{2, 0, 0}, slots: 8}.tables()
			c := directCore(tb, "a", "osrednja")
			first := tb.Pools[0].Targets[0].Name
			placed := map[string]Decision{}
			for key := uint64(1); len(placed) < 2; key++ {
				d := mustDispatch(t, c.Decide(at(0), directRequest(tb, at(0), key)))
				placed[d.Target] = d
			}
			later := fleet{perRegion: []int{2, 0, 0}, slots: 8}.tables()
			later.Version = tb.Version + 1
			change(&later.Pools[0])
			c.SetTables(at(1), later)
			for target, d := range placed {
				want := target == first || later.Pools[0].Drain
				if got := c.TargetLeaving(&d); got != want {
					t.Errorf("request to %s, where %s has changed: leaving %v", target, first, got)
				}
			}
		})
	}
}

// backoffLoad is a load from many instances, while some targets refuse all
// requests for a time.
type backoffLoad struct {
	instances int
	// refusing is the number of targets, of backoffTargets, that refuse
	// requests.
	refusing int
	// backoffIgnored disables the backoff, to get a baseline.
	backoffIgnored bool
}

const (
	backoffTargets = 6
	// backoffServiceTime is how long a target takes to serve a request, and
	// refusalTime how long to refuse one: in this load the target's own process
	// is the bottleneck.
	backoffServiceTime     = 40 * time.Millisecond
	refusalTime            = 20 * time.Millisecond
	refusingTime           = 4 * time.Second
	backoffReplayLength    = 10 * time.Second
	backoffArrivalInterval = 5 * time.Millisecond
)

// backoffOutcome holds the counts of a replay.
type backoffOutcome struct {
	// duringBackoff is the largest number of requests from one instance to one
	// target between half a second after the target's first refusal and the end
	// of the time that it asked for.
	duringBackoff int
	served        int
	// burst is the largest number of requests to one target within 100 ms after
	// the end of that time.
	burst int
}

// replayBackoffs replays the load. For refusingTime from the first second on,
// the refusing targets refuse all requests and ask for no more until its end.
func replayBackoffs(tb *table.Tables, load backoffLoad) backoffOutcome {
	const from = time.Second
	until := from + refusingTime
	refusing := make(map[string]bool)
	for _, tg := range tb.Pools[0].Targets[:load.refusing] {
		refusing[tg.Name] = true
	}
	cores := make([]*Core, load.instances)
	for i := range cores {
		cores[i] = directCore(tb, fmt.Sprintf("i-%d", i), "osrednja")
	}
	type flight struct {
		core *Core
		d    Decision
		end  time.Duration
	}
	var flights []flight
	var out backoffOutcome
	received, bursts := make(map[string]int), make(map[string]int)
	refusedAt := make(map[string]time.Duration)
	for now := time.Duration(0); now < backoffReplayLength; now += backoffArrivalInterval {
		kept := flights[:0]
		for _, f := range flights {
			if f.end > now {
				kept = append(kept, f)
				continue
			}
			f.core.Done(at(now), f.d, Result{Latency: backoffServiceTime})
			out.served++
		}
		flights = kept
		i := int(now/backoffArrivalInterval) % load.instances
		d := cores[i].Decide(at(now), directRequest(tb, at(now), uint64(now/backoffArrivalInterval)%60+1))
		if d.Verdict != Dispatch {
			continue
		}
		key := fmt.Sprint(i, d.Target)
		if refusing[d.Target] && now >= from && now < until {
			if first, ok := refusedAt[key]; !ok {
				refusedAt[key] = now
			} else if now-first > 500*time.Millisecond {
				received[key]++
				out.duringBackoff = max(out.duringBackoff, received[key])
			}
			if !load.backoffIgnored {
				cores[i].ObserveNotice(at(now), d, Notice{RetryAfter: until - now})
			}
			cores[i].Done(at(now+refusalTime), d, Result{Kind: fault.KindTargetShed})
			continue
		}
		if refusing[d.Target] && now < until+100*time.Millisecond && now >= until {
			bursts[d.Target]++
			out.burst = max(out.burst, bursts[d.Target])
		}
		flights = append(flights, flight{cores[i], d, now + backoffServiceTime})
	}
	return out
}

// TestBackoffKeepsRequestsFromRefusingTargets guards against instances that ignore
// Retry-After. It replays one target, a third and all of a service that refuse
// the requests of many instances for four seconds, beside a baseline without
// backoff.
func TestBackoffKeepsRequestsFromRefusingTargets(t *testing.T) {
	tb := fleet{perRegion: []int{backoffTargets, 0, 0}, slots: 8}.tables()
	for _, refusing := range []int{1, backoffTargets / 3, backoffTargets} {
		got := replayBackoffs(tb, backoffLoad{instances: 20, refusing: refusing})
		baseline := replayBackoffs(tb, backoffLoad{instances: 20, refusing: refusing, backoffIgnored: true})
		t.Logf("%d of %d refusing: served %d, during backoff %d, in the first 100 ms after %d; without backoff: %d, %d, %d",
			refusing, backoffTargets, got.served, got.duringBackoff, got.burst, baseline.served, baseline.duringBackoff, baseline.burst)
		if got.duringBackoff > 0 {
			t.Errorf("%d refusing: %d requests from one instance to a target during its backoff, want none", refusing, got.duringBackoff)
		}
		// When all targets are in backoff, the jitter delays the instances a
		// little.
		if got.served < baseline.served-int(maxBackoffJitter/backoffArrivalInterval) {
			t.Errorf("%d refusing: %d served, %d without backoff", refusing, got.served, baseline.served)
		}
		if refusing > 1 && baseline.duringBackoff <= 2 {
			t.Errorf("the baseline sends only %d requests, so the replay shows no effect of the backoff", baseline.duringBackoff)
		}
	}
}
