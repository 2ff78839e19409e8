package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 20261204, 300) }

var start = time.Unix(1000, 0)

func info(id, incarnation string) Info {
	return Info{ID: id, Zone: "osrednja-a", Region: "osrednja", Incarnation: incarnation, PeerAddress: id}
}

func newView() *View { return New(info("self", "1"), DefaultTiming()) }

func stateOf(t *testing.T, v *View, now time.Time, id string) State {
	t.Helper()
	for _, m := range v.Members(now) {
		if m.ID == id {
			return m.State
		}
	}
	t.Fatalf("member %s is not in the view", id)
	return Suspect
}

func TestUnseenMemberIsSuspectedUntilItsNextMessage(t *testing.T) {
	v := newView()
	v.ObserveMessage(start, info("a", "1"))
	if s := stateOf(t, v, start.Add(2900*time.Millisecond), "a"); s != Alive {
		t.Errorf("state before SuspectAfter = %v", s)
	}
	if s := stateOf(t, v, start.Add(3*time.Second), "a"); s != Suspect {
		t.Errorf("state at SuspectAfter = %v", s)
	}
	v.ObserveMessage(start.Add(4*time.Second), info("a", "1"))
	if s := stateOf(t, v, start.Add(4*time.Second), "a"); s != Alive {
		t.Errorf("state after a new heartbeat = %v", s)
	}
}

func TestMemberThatCannotBeCalledIsSuspected(t *testing.T) {
	v := newView()
	for i := range 5 {
		now := start.Add(time.Duration(i) * time.Second)
		v.ObserveMessage(now, info("a", "1"))
		v.ObserveCall(now, "a", false)
	}
	if s := stateOf(t, v, start.Add(4*time.Second), "a"); s != Suspect {
		t.Errorf("state = %v", s)
	}
	v.ObserveCall(start.Add(4*time.Second), "a", true)
	if s := stateOf(t, v, start.Add(4*time.Second), "a"); s != Alive {
		t.Errorf("state after a successful call = %v", s)
	}
}

func TestSingleFailedCallRaisesNoSuspicion(t *testing.T) {
	v := newView()
	v.ObserveMessage(start, info("a", "1"))
	v.ObserveCall(start, "a", false)
	for i := range 5 {
		now := start.Add(time.Duration(i) * time.Second)
		v.ObserveMessage(now, info("a", "1"))
		if s := stateOf(t, v, now, "a"); s != Alive {
			t.Fatalf("state %d s after the failed call = %v", i, s)
		}
	}
}

func TestListedMemberIsAliveDuringGracePeriodOnly(t *testing.T) {
	v := newView()
	v.ObserveList(start, []Info{info("a", "1")})
	if s := stateOf(t, v, start.Add(time.Second), "a"); s != Alive {
		t.Errorf("state = %v", s)
	}
	if s := stateOf(t, v, start.Add(6*time.Second), "a"); s != Suspect {
		t.Errorf("state after the grace period = %v", s)
	}
}

func TestUnlistedUnseenMemberIsRemoved(t *testing.T) {
	v := newView()
	v.ObserveMessage(start, info("a", "1"))
	v.ObserveList(start.Add(time.Minute), nil)
	if n := len(v.Members(start.Add(time.Minute))); n != 0 {
		t.Errorf("%d members remain", n)
	}
}

func TestReportsOfEqualViewsHaveEqualDigests(t *testing.T) {
	a, b := New(info("a", "1"), DefaultTiming()), New(info("b", "1"), DefaultTiming())
	a.ObserveMessage(start, info("b", "1"))
	b.ObserveMessage(start.Add(time.Second), info("a", "1"))
	now := start.Add(time.Second)
	if a.Digest(now) != b.Reports(now).Digest {
		t.Error("the digests of equal views differ")
	}
	b.SetLeaving()
	if a.Digest(now) == b.Reports(now).Digest {
		t.Error("the digest did not change when a member began to leave")
	}
}

// TestPeersThatExchangeReportsDoNotKeepAFailedMemberAlive guards against two
// peers that confirm a failed third member to each other, although neither has
// received a message from it.
func TestPeersThatExchangeReportsDoNotKeepAFailedMemberAlive(t *testing.T) {
	a, b := New(info("a", "1"), DefaultTiming()), New(info("b", "1"), DefaultTiming())
	a.ObserveMessage(start, info("dead", "1"))
	b.ObserveMessage(start, info("dead", "1"))
	exchange := func(now time.Time, from, to *View) {
		to.ObserveMessage(now, from.Self())
		w := from.Reports(now)
		if w.Digest == to.Digest(now) {
			to.ObserveAgreement(now, w.Age)
		}
		for _, r := range w.Reports {
			to.ObserveReport(now, r)
		}
	}
	now := start
	for range 10 {
		now = now.Add(500 * time.Millisecond)
		exchange(now, a, b)
		exchange(now, b, a)
	}
	if s := stateOf(t, a, now, "dead"); s != Suspect {
		t.Errorf("state = %v, %v after its last message", s, now.Sub(start))
	}
}

// TestIncarnationsNeverDecrease checks that, in any order of observations, no
// earlier incarnation replaces a later one that was seen recently, and that a
// member that is leaving remains so within its incarnation.
func TestIncarnationsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newView()
		now := start
		newest, left := map[string]string{}, map[Info]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			in := info(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "incarnation")))
			key := in
			in.Leaving = rapid.Bool().Draw(t, "leaving")
			switch rapid.IntRange(0, 2).Draw(t, "source") {
			case 0:
				v.ObserveMessage(now, in)
			case 1:
				v.ObserveList(now, []Info{in})
			case 2:
				v.ObserveReport(now, Report{Info: in, Age: time.Second})
			}
			newest[in.ID] = max(newest[in.ID], in.Incarnation)
			if in.Incarnation == newest[in.ID] && in.Leaving {
				left[key] = true
			}
			for _, m := range v.Members(now) {
				if m.Incarnation != newest[m.ID] {
					t.Fatalf("member %s has incarnation %s after %s", m.ID, m.Incarnation, newest[m.ID])
				}
				if key := info(m.ID, m.Incarnation); left[key] && !m.Leaving {
					t.Fatalf("member %s is no longer leaving", m.ID)
				}
			}
		}
	})
}

// listOf returns a list of instances of the zone a, all with the incarnation 1.
func listOf(ids ...string) []Info {
	var list []Info
	for _, id := range ids {
		list = append(list, Info{ID: id, Zone: "a", Incarnation: "1"})
	}
	return list
}

// TestMembersOutlastAListThatLacksThem covers a store that is restored from a copy of before
// the members registered. Those of other cells are known from the list only.
func TestMembersOutlastAListThatLacksThem(t *testing.T) {
	start := time.Unix(1000, 0)
	timing := DefaultTiming()
	v := New(Info{ID: "self", Zone: "b", Incarnation: "1"}, timing)
	v.ObserveList(start, listOf("x", "y"))
	restored := start.Add(time.Hour)
	v.HoldUnlisted(restored.Add(timing.ForgetAfter))
	v.ObserveList(restored, listOf("x"))
	if n := len(v.Members(restored)); n != 2 {
		t.Errorf("%d members after the restore, want 2", n)
	}
	v.ObserveList(restored.Add(timing.ForgetAfter), listOf("x"))
	if n := len(v.Members(restored)); n != 1 {
		t.Errorf("%d members of which one has not registered again, want 1", n)
	}
}

// TestEndedInstancesStayAwayWhenAListNamesThemAgain covers instances that had left before
// the store was restored from a copy that still lists them.
func TestEndedInstancesStayAwayWhenAListNamesThemAgain(t *testing.T) {
	start := time.Unix(1000, 0)
	v := New(Info{ID: "self", Zone: "a", Incarnation: "1"}, DefaultTiming())
	v.ObserveList(start, listOf("x", "y"))
	later := start.Add(time.Hour)
	v.ObserveList(later, listOf("y"))
	v.ObserveList(later.Add(time.Second), listOf("x", "y"))
	if members := v.Members(later.Add(time.Second)); len(members) != 1 || members[0].ID != "y" {
		t.Errorf("members %v, want y only", members)
	}
	if again := v.Reappeared("a"); len(again) != 1 || again[0].ID != "x" {
		t.Errorf("reappeared %v, want x", again)
	}
	v.ObserveList(later.Add(2*time.Second), append(listOf("y"), Info{ID: "x", Zone: "a", Incarnation: "2"}))
	if n := len(v.Members(later.Add(2 * time.Second))); n != 2 || len(v.Reappeared("a")) != 0 {
		t.Errorf("%d members after x has started again, want 2", n)
	}
}

func TestMessageOfAnEndedIncarnationCounts(t *testing.T) {
	start := time.Unix(1000, 0)
	v := New(Info{ID: "self", Zone: "a", Incarnation: "1"}, DefaultTiming())
	v.ObserveList(start, listOf("x"))
	v.ObserveList(start.Add(time.Hour), nil)
	v.ObserveMessage(start.Add(time.Hour), Info{ID: "x", Zone: "a", Incarnation: "1"})
	if n := len(v.Members(start.Add(time.Hour))); n != 1 {
		t.Errorf("%d members, want the one that has sent a message", n)
	}
}
