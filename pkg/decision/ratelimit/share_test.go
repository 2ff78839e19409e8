package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 12, 200) }

// window, excess and slack bound what a target may get: excess times its limit in a
// window, and slack requests.
const (
	window = 4 * time.Second
	excess = 1.5
	slack  = 5
)

var regions = []string{"osrednja", "stajerska", "primorska"}

// drawMembers returns up to 300 members in up to three regions.
func drawMembers(t *rapid.T) []Member {
	n := rapid.IntRange(1, 300).Draw(t, "members")
	used := rapid.IntRange(1, len(regions)).Draw(t, "regions")
	var list []Member
	for i := range n {
		region := regions[rapid.IntRange(0, used-1).Draw(t, "region")]
		list = append(list, Member{ID: fmt.Sprintf("front-%d", i), Zone: region + "-a", Region: region})
	}
	return list
}

// drawTarget returns a target with a random demand of each region, or without demand.
func drawTarget(t *rapid.T) Target {
	target := Target{Hash: rapid.Uint64().Draw(t, "target")}
	if rapid.Bool().Draw(t, "has demand") {
		target.Demand = map[string]float64{}
		for _, r := range regions {
			target.Demand[r] = rapid.SampledFrom([]float64{0, 0.05, 0.5, 1}).Draw(t, "demand")
		}
	}
	return target
}

// mostInWindow returns the largest number of requests that s allows in a window.
func mostInWindow(s Share) int {
	if s.SilentFor > 0 {
		return 0
	}
	return s.Burst + int(window/s.Interval)
}

// TestSendersTogetherStayWithinTheLimit lets all senders use everything that they have
// saved up in the same window.
func TestSendersTogetherStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list, target := drawMembers(t), drawTarget(t)
		limit := math.Pow(10, rapid.Float64Range(-2, 3).Draw(t, "log limit"))
		total, senders := 0, 0
		sustained := 0.0
		for _, in := range list {
			s := NewMembers(in.ID, list, true).Share(target, limit)
			total += mostInWindow(s)
			if s.SilentFor == 0 {
				senders++
				sustained += 1 / s.Interval.Seconds()
			}
		}
		if allowed := excess*limit*window.Seconds() + slack; float64(total) > allowed {
			t.Fatalf("%d senders may send %d requests in %v at a limit of %v, allowed %v", senders, total, window, limit, allowed)
		}
		if want := max(limit, minPerSecond); senders == 0 || sustained < 0.99*want || sustained > 1.01*want {
			t.Fatalf("%d senders share %v requests a second of a limit of %v", senders, sustained, limit)
		}
	})
}

// TestIncompleteMembersSendNothing covers an instance that has just started: the others
// use the limit already.
func TestIncompleteMembersSendNothing(t *testing.T) {
	var l Limiter
	l.Set(0, 0, NewMembers("a", []Member{{ID: "a"}}, false).Share(Target{}, 100))
	if now := time.Hour.Nanoseconds(); l.Allows(now) || l.Claim(now) {
		t.Error("an instance that may not know the others sends a request")
	}
}

// TestMemberThatLeavesChangesOneSender guards against shares that move between all
// instances whenever one of them comes or goes.
func TestMemberThatLeavesChangesOneSender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list, target := drawMembers(t), drawTarget(t)
		target.Demand = nil
		for i := range list {
			list[i].Region = regions[0]
		}
		gone := rapid.IntRange(0, len(list)-1).Draw(t, "gone")
		rest := append(append([]Member{}, list[:gone]...), list[gone+1:]...)
		changed := 0
		for _, in := range rest {
			before := NewMembers(in.ID, list, true).Share(target, 3).SilentFor == 0
			after := NewMembers(in.ID, rest, true).Share(target, 3).SilentFor == 0
			if before && !after {
				t.Fatalf("%s is no longer a sender after another member has left", in.ID)
			}
			if before != after {
				changed++
			}
		}
		if changed > 1 {
			t.Fatalf("%d members became senders after one has left", changed)
		}
	})
}

func TestMembersOfTheRegionWithDemandComeFirst(t *testing.T) {
	var list []Member
	for i := range 12 {
		list = append(list, Member{ID: fmt.Sprintf("front-%d", i), Region: regions[i%3]})
	}
	target := Target{Hash: 7, Demand: map[string]float64{regions[0]: 0.95, regions[1]: 0.025, regions[2]: 0.025}}
	for _, in := range list {
		s := NewMembers(in.ID, list, true).Share(target, 2)
		if isSender := s.SilentFor == 0; isSender && in.Region != regions[0] {
			t.Errorf("%s of %s is a sender", in.ID, in.Region)
		}
	}
}

func TestChecksOfTheOthersUseAFractionOfTheLimit(t *testing.T) {
	const limit, n = 2.0, 300
	var list []Member
	for i := range n {
		list = append(list, Member{ID: fmt.Sprintf("front-%d", i)})
	}
	checks := 0
	var l [n]Limiter
	for i, in := range list {
		l[i].Set(0, 0, NewMembers(in.ID, list, true).Share(Target{Hash: 3}, limit))
	}
	const duration = 100 * time.Second
	for now := time.Duration(0); now < staleAfter+duration; now += 100 * time.Millisecond {
		for i := range l {
			if l[i].share.Load().SilentFor > 0 && l[i].Claim(now.Nanoseconds()) {
				checks++
				if now < staleAfter {
					t.Fatalf("a check after %v, while the news is fresh", now)
				}
			}
		}
	}
	if want := checkFraction * limit * duration.Seconds(); float64(checks) > 1.2*want || float64(checks) < 0.5*want {
		t.Errorf("%d checks in %v, want about %v", checks, duration, want)
	}
}
