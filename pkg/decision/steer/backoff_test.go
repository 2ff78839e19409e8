package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// refusedWith has the target of d turn a request away at now, with a time for
// which it wants no others.
func refusedWith(c *Core, now time.Time, d Decision, retryAfter time.Duration) {
	c.ObserveNotice(now, d, Notice{RetryAfter: retryAfter})
	c.Done(now, d, Result{Kind: fault.KindTargetShed})
}

func TestTargetGetsNothingInTheTimeItAsksFor(t *testing.T) {
	tb := fleet{perRegion: []int{2, 0, 0}, slots: 8}.tables()
	c := directCore(tb, "a", "osrednja")
	d := mustDispatch(t, c.Decide(at(0), directRequest(tb, at(0), 3)))
	refusedWith(c, at(0), d, 2*time.Second)
	refusedWith(c, at(0), mustDispatch(t, c.Decide(at(0), directRequest(tb, at(0), 3))), 0)
	for now := time.Duration(0); now < 2*time.Second; now += 100 * time.Millisecond {
		if next := c.Decide(at(now+time.Millisecond), directRequest(tb, at(now), 3)); next.Target == d.Target {
			t.Fatalf("a request after %v", now)
		}
	}
}

func TestShorterTimeDoesNotEndALongerOne(t *testing.T) {
	var r backoff
	r.start(0, 2*time.Second, 0)
	if r.start(int64(time.Second), 100*time.Millisecond, 0) || !r.active(int64(1900*time.Millisecond)) {
		t.Error("the longer time has ended")
	}
}

// TestCallersAreToldWhenTheFirstTargetTakesRequestsAgain where all of a service
// want none.
func TestCallersAreToldWhenTheFirstTargetTakesRequestsAgain(t *testing.T) {
	tb := fleet{perRegion: []int{3, 0, 0}, slots: 8}.tables()
	c := directCore(tb, "a", "osrednja")
	for i := range 3 {
		d := mustDispatch(t, c.Decide(at(0), directRequest(tb, at(0), 3)))
		refusedWith(c, at(0), d, time.Duration(8+i)*time.Second)
	}
	d := c.Decide(at(time.Second), directRequest(tb, at(time.Second), 3))
	// The wish ends 7 s from now, a little later here, and half as much again may
	// be added for the caller.
	if d.Verdict != Refuse || d.Kind != fault.KindOverloaded || d.RetryAfter < 7*time.Second || d.RetryAfter > 11*time.Second {
		t.Errorf("verdict %v, kind %v, come back after %v", d.Verdict, d.Kind, d.RetryAfter)
	}
}

func TestReturnBeginsWithOneRequest(t *testing.T) {
	tb := fleet{perRegion: []int{1, 0, 0}, slots: 8}.tables()
	c := directCore(tb, "a", "osrednja")
	refusedWith(c, at(0), mustDispatch(t, c.Decide(at(0), directRequest(tb, at(0), 3))), time.Second)
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

func TestLeavingOutlastsReportsThatNameNoIncarnation(t *testing.T) {
	tb := fleet{perRegion: []int{1, 0, 0}, slots: 8}.tables()
	c := directCore(tb, "a", "osrednja")
	d := mustDispatch(t, c.Decide(at(0), directRequest(tb, at(0), 3)))
	if !c.ObserveNotice(at(0), d, Notice{Leaving: true}) || c.ObserveNotice(at(0), d, Notice{Leaving: true}) {
		t.Error("the sign is news once")
	}
	late := at(2 * leavingHold)
	c.ObserveLoad(late, LoadReport{Target: d.Target, At: late, Healthy: true})
	if got := c.Decide(late, directRequest(tb, late, 3)); got.Verdict != Refuse {
		t.Errorf("verdict %v for a target that has said it leaves", got.Verdict)
	}
	next := fleet{perRegion: []int{1, 0, 0}, slots: 8}.tables()
	next.Version, next.Pools[0].Targets[0].Incarnation = 2, "2"
	c.SetTables(late, next)
	mustDispatch(t, c.Decide(late, directRequest(next, late, 3)))
}

// restLoad is a load of many instances on targets some of which turn all requests
// away for a while.
type restLoad struct {
	instances int
	// resting is the number of targets, of restTargets, that turn requests away.
	resting int
	// ignored switches off what the targets ask for, as the plain baseline.
	ignored bool
}

const (
	restTargets = 6
	// restWork is how long a target works on a request, and rejectWork on turning
	// one away: its own process is what is short.
	restWork   = 40 * time.Millisecond
	rejectWork = 20 * time.Millisecond
	restPause  = 4 * time.Second
	restLength = 10 * time.Second
	restGap    = 5 * time.Millisecond
)

// restOutcome is what a replay has counted.
type restOutcome struct {
	// unwanted is the largest number of requests that reached a target from one
	// instance between half a second after its first refusal and the pause's end.
	unwanted int
	served   int
	// crowd is the largest number of requests that reached one target within
	// 100 ms after the end of its pause.
	crowd int
}

// replayRests plays the load: for restPause from the first second on, the resting
// targets turn requests away and ask for the rest of that time.
func replayRests(tb *table.Tables, load restLoad) restOutcome {
	const from = time.Second
	until := from + restPause
	resting := make(map[string]bool)
	for _, tg := range tb.Pools[0].Targets[:load.resting] {
		resting[tg.Name] = true
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
	var out restOutcome
	reached, crowds := make(map[string]int), make(map[string]int)
	refusedAt := make(map[string]time.Duration)
	for now := time.Duration(0); now < restLength; now += restGap {
		kept := flights[:0]
		for _, f := range flights {
			if f.end > now {
				kept = append(kept, f)
				continue
			}
			f.core.Done(at(now), f.d, Result{Latency: restWork})
			out.served++
		}
		flights = kept
		i := int(now/restGap) % load.instances
		d := cores[i].Decide(at(now), directRequest(tb, at(now), uint64(now/restGap)%60+1))
		if d.Verdict != Dispatch {
			continue
		}
		key := fmt.Sprint(i, d.Target)
		if resting[d.Target] && now >= from && now < until {
			if first, ok := refusedAt[key]; !ok {
				refusedAt[key] = now
			} else if now-first > 500*time.Millisecond {
				reached[key]++
				out.unwanted = max(out.unwanted, reached[key])
			}
			if !load.ignored {
				cores[i].ObserveNotice(at(now), d, Notice{RetryAfter: until - now})
			}
			cores[i].Done(at(now+rejectWork), d, Result{Kind: fault.KindTargetShed})
			continue
		}
		if resting[d.Target] && now < until+100*time.Millisecond && now >= until {
			crowds[d.Target]++
			out.crowd = max(out.crowd, crowds[d.Target])
		}
		flights = append(flights, flight{cores[i], d, now + restWork})
	}
	return out
}

// TestTargetsThatAskForTimeAreLeftAlone replays one target, a third and all of a
// service that want nothing for four seconds, at many instances, beside the plain
// baseline that does not listen.
func TestTargetsThatAskForTimeAreLeftAlone(t *testing.T) {
	tb := fleet{perRegion: []int{restTargets, 0, 0}, slots: 8}.tables()
	for _, resting := range []int{1, restTargets / 3, restTargets} {
		got := replayRests(tb, restLoad{instances: 20, resting: resting})
		plain := replayRests(tb, restLoad{instances: 20, resting: resting, ignored: true})
		t.Logf("%d of %d: served %d, unwanted %d, first 100 ms %d; not listened to: %d, %d, %d",
			resting, restTargets, got.served, got.unwanted, got.crowd, plain.served, plain.unwanted, plain.crowd)
		if got.unwanted > 0 {
			t.Errorf("%d resting: %d requests of one instance in the time asked for", resting, got.unwanted)
		}
		// Where all rest, the instances stay away a little longer.
		if got.served < plain.served-int(maxBackoffJitter/restGap) {
			t.Errorf("%d resting: %d served, %d without listening", resting, got.served, plain.served)
		}
		if resting > 1 && plain.unwanted <= 2 {
			t.Errorf("the baseline sends only %d: the replay tests nothing", plain.unwanted)
		}
	}
}
