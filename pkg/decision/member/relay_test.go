package member

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// atSecond returns the time s seconds after start.
func atSecond(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// newWatcherView returns the view of a watcher that is not taking over and has
// received reports about a and b from the relay r.
func newWatcherView(t *testing.T) *View {
	t.Helper()
	v := newView()
	v.SetRelaysInUse(start, true)
	v.ObserveDownstreamHeartbeat(start, info("r", "1"))
	reports := []Report{{Info: info("a", "1")}, {Info: info("b", "1")}}
	if !v.ObserveRelayReports(start, "r", ReportSet{Reports: reports, Digest: 7}) {
		t.Fatal("ObserveRelayReports rejected a full set of reports")
	}
	return v
}

func TestOmittedReportsAreIdentifiedByDigest(t *testing.T) {
	v := newWatcherView(t)
	now := atSecond(3)
	if !v.ObserveRelayReports(now, "r", ReportSet{Digest: 7, Age: time.Second}) {
		t.Error("ObserveRelayReports rejected omitted reports with a known digest")
	}
	if s := stateOf(t, v, atSecond(5), "a"); s != Alive {
		t.Errorf("state of a reported member = %v", s)
	}
	if v.ObserveRelayReports(now, "r", ReportSet{Digest: 8}) {
		t.Error("ObserveRelayReports accepted omitted reports with an unknown digest")
	}
	if v.ObserveRelayReports(now, "other", ReportSet{Digest: 7}) {
		t.Error("ObserveRelayReports accepted omitted reports with the digest of another relay")
	}
}

func TestMemberThatNoRelayReportsIsSuspected(t *testing.T) {
	v := newWatcherView(t)
	timing := DefaultTiming()
	timeout := timing.SuspectAfter + timing.WatcherAllowance
	v.SetRelaysInUse(start.Add(timeout-time.Second), true)
	if s := stateOf(t, v, start.Add(timeout-time.Millisecond), "a"); s != Alive {
		t.Errorf("state before the timeout = %v", s)
	}
	if s := stateOf(t, v, start.Add(timeout), "a"); s != Suspect {
		t.Errorf("state at the timeout = %v", s)
	}
}

func TestVerdictIsAdopted(t *testing.T) {
	v := newView()
	v.SetRelaysInUse(start, false)
	v.ObserveVerdict(start, start, info("r", "1"), []Report{{Info: info("a", "1")}, {Info: info("b", "1")}})
	v.SetRelaysInUse(atSecond(1), false)
	v.ObserveVerdict(atSecond(1), atSecond(1), info("r", "1"), []Report{{Info: info("a", "1")}})
	if a, b := stateOf(t, v, atSecond(1), "a"), stateOf(t, v, atSecond(1), "b"); a != Alive || b != Suspect {
		t.Errorf("state of the member in the verdict = %v, of the member left out = %v", a, b)
	}
	v.ObserveMessage(atSecond(2), info("b", "1"))
	if s := stateOf(t, v, atSecond(2), "b"); s != Alive {
		t.Errorf("state of a member that sent a heartbeat after the verdict = %v", s)
	}
}

func TestMembersAreSuspectedWithoutNewVerdicts(t *testing.T) {
	v := newView()
	v.SetRelaysInUse(start, false)
	v.ObserveVerdict(start, start, info("r", "1"), []Report{{Info: info("a", "1")}})
	timing := DefaultTiming()
	timeout := timing.SuspectAfter + timing.RelayAllowance
	v.SetRelaysInUse(start.Add(timeout-time.Second), false)
	if s := stateOf(t, v, start.Add(timeout), "a"); s != Suspect {
		t.Errorf("state = %v", s)
	}
}

// TestForwardedVerdictsKeepNoMemberAlive forwards verdicts between instances in
// random order after the last watcher has failed. Forwarding must not renew the
// age of a verdict, or members would stay alive forever.
func TestForwardedVerdictsKeepNoMemberAlive(t *testing.T) {
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
					t.Fatalf("state in view %d = %v, %v after the last verdict of a watcher", i, m.State, now.Sub(start))
				}
			}
		}
	})
}

// TestNewWatcherAdoptsVerdictOfEarlierWatcher checks that a new watcher does not
// suspect members for lack of messages before the relays have reported to it,
// except those that an earlier watcher suspects.
func TestNewWatcherAdoptsVerdictOfEarlierWatcher(t *testing.T) {
	v := newView()
	v.SetRelaysInUse(start, false)
	both := []Report{{Info: info("a", "1")}, {Info: info("b", "1")}}
	v.ObserveVerdict(start, start, info("w", "1"), both)
	now := atSecond(4)
	v.ObserveVerdict(now, now, info("w", "1"), both)
	v.SetRelaysInUse(now, true)
	if !v.TakingOver(now) {
		t.Fatal("a new watcher is not taking over")
	}
	if w := v.Verdict(atSecond(4.5)); w.Age != 500*time.Millisecond {
		t.Errorf("the verdict has age %v, want that of the verdict it is based on", w.Age)
	}
	v.ObserveVerdict(atSecond(4.5), atSecond(4.5), info("w", "1"), both[:1])
	if s := stateOf(t, v, atSecond(4.5), "a"); s != Alive {
		t.Errorf("state of a member in the verdict = %v", s)
	}
	if s := stateOf(t, v, atSecond(4.5), "b"); s != Suspect {
		t.Errorf("state of a member that the earlier watcher suspects = %v", s)
	}
	if v.TakingOver(now.Add(DefaultTiming().TakeoverGrace)) {
		t.Error("the takeover did not end after TakeoverGrace")
	}
}

func TestNewWatcherDecidesWithoutOtherWatchers(t *testing.T) {
	v := newView()
	v.SetRelaysInUse(start, false)
	v.ObserveVerdict(start, start, info("w", "1"), []Report{{Info: info("a", "1")}})
	now := atSecond(3.5)
	v.SetRelaysInUse(now, true)
	if w := v.Verdict(now); w.Age != 0 {
		t.Errorf("the verdict has age %v, want 0", w.Age)
	}
}
