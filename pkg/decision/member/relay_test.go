package member

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// seconds returns the time s seconds after the start.
func seconds(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// watcher returns the view of a settled watcher that has heard of a and b
// through the relay r.
func watcher(t *testing.T) *View {
	t.Helper()
	v := newView()
	v.SetRelaysInUse(start, true)
	v.ObserveDownstreamHeartbeat(start, info("r", "1"))
	reports := []Report{{Info: info("a", "1")}, {Info: info("b", "1")}}
	if !v.ObserveRelayReports(start, "r", ReportSet{Reports: reports, Digest: 7}) {
		t.Fatal("full reports are asked for again")
	}
	return v
}

func TestReportsLeftOutAreKnownByTheirDigest(t *testing.T) {
	v := watcher(t)
	now := seconds(3)
	if !v.ObserveRelayReports(now, "r", ReportSet{Digest: 7, Age: time.Second}) {
		t.Error("known reports are asked for again")
	}
	if s := stateOf(t, v, seconds(5), "a"); s != Alive {
		t.Errorf("state of a member that is still reported = %v", s)
	}
	if v.ObserveRelayReports(now, "r", ReportSet{Digest: 8}) {
		t.Error("unknown reports are not asked for")
	}
	if v.ObserveRelayReports(now, "other", ReportSet{Digest: 7}) {
		t.Error("the reports of another relay are taken for those of this one")
	}
}

func TestAMemberThatNoRelayReportsIsSuspected(t *testing.T) {
	v := watcher(t)
	timing := DefaultTiming()
	bound := timing.SuspectAfter + timing.WatcherAllowance
	v.SetRelaysInUse(start.Add(bound-time.Second), true)
	if s := stateOf(t, v, start.Add(bound-time.Millisecond), "a"); s != Alive {
		t.Errorf("state before the bound = %v", s)
	}
	if s := stateOf(t, v, start.Add(bound), "a"); s != Suspect {
		t.Errorf("state at the bound = %v", s)
	}
}

func TestAVerdictIsTakenOver(t *testing.T) {
	v := newView()
	v.SetRelaysInUse(start, false)
	v.ObserveVerdict(start, start, info("r", "1"), []Report{{Info: info("a", "1")}, {Info: info("b", "1")}})
	v.SetRelaysInUse(seconds(1), false)
	v.ObserveVerdict(seconds(1), seconds(1), info("r", "1"), []Report{{Info: info("a", "1")}})
	if a, b := stateOf(t, v, seconds(1), "a"), stateOf(t, v, seconds(1), "b"); a != Alive || b != Suspect {
		t.Errorf("states %v of the one that is held alive and %v of the one that is not", a, b)
	}
	v.ObserveMessage(seconds(2), info("b", "1"))
	if s := stateOf(t, v, seconds(2), "b"); s != Alive {
		t.Errorf("state of a member that has spoken since = %v", s)
	}
}

func TestWithoutVerdictsAllAreSuspectedByAndBy(t *testing.T) {
	v := newView()
	v.SetRelaysInUse(start, false)
	v.ObserveVerdict(start, start, info("r", "1"), []Report{{Info: info("a", "1")}})
	timing := DefaultTiming()
	bound := timing.SuspectAfter + timing.RelayAllowance
	v.SetRelaysInUse(start.Add(bound-time.Second), false)
	if s := stateOf(t, v, start.Add(bound), "a"); s != Suspect {
		t.Errorf("state = %v", s)
	}
}

// TestVerdictsPassedAroundKeepNobodyAlive has instances pass on each other's
// verdicts, in any order, after the last watcher has ended.
func TestVerdictsPassedAroundKeepNobodyAlive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 4
		views := make([]*View, n)
		list := []Report{{Info: info("a", "1")}}
		for i := range views {
			self := info(string(rune('p'+i)), "1")
			views[i] = New(self, DefaultTiming())
			views[i].SetRelaysInUse(start, false)
			views[i].ObserveVerdict(start, start, info("w", "1"), list)
		}
		timing := DefaultTiming()
		now := start
		for end := start.Add(timing.SuspectAfter + timing.RelayAllowance); now.Before(end); {
			now = now.Add(time.Duration(rapid.IntRange(10, 400).Draw(t, "ms")) * time.Millisecond)
			from, to := rapid.IntRange(0, n-1).Draw(t, "from"), rapid.IntRange(0, n-1).Draw(t, "to")
			if from == to {
				continue
			}
			w := views[from].Verdict(now)
			views[to].SetRelaysInUse(now, false)
			if w.Digest == views[to].Digest(now) {
				views[to].ObserveSameVerdict(now, now.Add(-w.Age))
			} else {
				views[to].ObserveVerdict(now, now.Add(-w.Age), views[from].Self(), w.Reports)
			}
		}
		for i, v := range views {
			for _, m := range v.Members(now) {
				if m.ID == "a" && m.State != Suspect {
					t.Fatalf("view %d holds it %v %v after the last watcher's word", i, m.State, now.Sub(start))
				}
			}
		}
	})
}

// TestANewWatcherTakesOverTheVerdictOfAnOldOne: it spares who is in use until the
// relays have reported to it, but not those that a watcher holds for silent.
func TestANewWatcherTakesOverTheVerdictOfAnOldOne(t *testing.T) {
	v := newView()
	v.SetRelaysInUse(start, false)
	both := []Report{{Info: info("a", "1")}, {Info: info("b", "1")}}
	v.ObserveVerdict(start, start, info("w", "1"), both)
	now := seconds(4)
	v.ObserveVerdict(now, now, info("w", "1"), both)
	v.SetRelaysInUse(now, true)
	if !v.TakingOver(now) {
		t.Fatal("a new watcher does not take over")
	}
	if w := v.Verdict(seconds(4.5)); w.Age != 500*time.Millisecond {
		t.Errorf("its verdict has the age %v, not that of the one it goes back to", w.Age)
	}
	v.ObserveVerdict(seconds(4.5), seconds(4.5), info("w", "1"), both[:1])
	if s := stateOf(t, v, seconds(4.5), "a"); s != Alive {
		t.Errorf("state of a member that is in use = %v", s)
	}
	if s := stateOf(t, v, seconds(4.5), "b"); s != Suspect {
		t.Errorf("state of a member that the old watcher holds for silent = %v", s)
	}
	if v.TakingOver(now.Add(DefaultTiming().TakeoverGrace)) {
		t.Error("a watcher takes over for ever")
	}
}

func TestANewWatcherDecidesWhenNobodyElseWatches(t *testing.T) {
	v := newView()
	v.SetRelaysInUse(start, false)
	v.ObserveVerdict(start, start, info("w", "1"), []Report{{Info: info("a", "1")}})
	now := seconds(3.5)
	v.SetRelaysInUse(now, true)
	if w := v.Verdict(now); w.Age != 0 {
		t.Errorf("its verdict has the age %v", w.Age)
	}
}
