package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/hashing"
)

func TestColdTargetGetsNoMoreThanItsRateFromAllInstances(t *testing.T) {
	tb := fleet{perRegion: []int{1, 0, 0}, slots: 8, coldRate: 4}.tables()
	tb.Pools[0].Targets[0].ColdUntil = at(time.Minute)
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}
	var cores []*Core
	for _, id := range ids {
		cores = append(cores, directCore(tb, id, "osrednja", ids...))
	}
	var sent []time.Time
	for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
		for _, c := range cores {
			d := c.Decide(at(now), directRequest(tb, at(now), 7))
			if d.Verdict == Dispatch {
				sent = append(sent, at(now))
				c.Done(at(now), d, Result{Latency: time.Millisecond})
			}
		}
	}
	if len(sent) == 0 {
		t.Fatal("nothing was sent, so the target stays cold")
	}
	for i := range sent {
		n := 0
		for _, other := range sent[i:] {
			if other.Sub(sent[i]) < time.Second {
				n++
			}
		}
		if n > 8 {
			t.Fatalf("%d requests to a cold target within a second, want at most 8 at a rate of 4", n)
		}
	}
}

// sentToCold counts the requests that 84 instances send to a cold target within a second.
// members says which instances each of them knows.
func sentToCold(members func(c *Core, ids []string)) int {
	tb := fleet{perRegion: []int{1, 0, 0}, slots: 200, coldRate: 4}.tables()
	tb.Pools[0].Targets[0].ColdUntil = at(time.Minute)
	var ids []string
	for i := range 84 {
		ids = append(ids, fmt.Sprintf("front-%d", i))
	}
	sent := 0
	for _, id := range ids {
		c := New(Self{Instance: id, Zone: "osrednja-a", Region: "osrednja"}, rand.NewPCG(hashing.Name(id), 1))
		c.EnableDirect(directPolicy)
		members(c, ids)
		c.SetTables(epoch, tb)
		if d := c.Decide(at(time.Second), directRequest(tb, at(time.Second), 7)); d.Verdict == Dispatch {
			sent++
		}
	}
	return sent
}

// TestInstancesThatKnowNoOthersSpareColdTargets covers a fleet that has just been
// restarted: instances that each count themselves alone would all be among the few that
// may send to a cold target.
func TestInstancesThatKnowNoOthersSpareColdTargets(t *testing.T) {
	all := sentToCold(func(c *Core, ids []string) { c.SetInstances(epoch, membersOf(ids...), true) })
	alone := sentToCold(func(c *Core, _ []string) { c.SetInstances(epoch, membersOf(c.self.Instance), true) })
	unknown := sentToCold(func(*Core, []string) {})
	if all != 4 || alone <= 8 || unknown > 4 {
		t.Errorf("%d requests from instances that know each other, %d that count themselves alone, %d that know no others; want 4, more than 8, at most 4", all, alone, unknown)
	}
}

// TestRetryReserveIsSplitAmongTheMembers covers members that come and go.
func TestRetryReserveIsSplitAmongTheMembers(t *testing.T) {
	tb := fleet{perRegion: []int{2, 0, 0}, slots: 4}.tables()
	c := directCore(tb, "a", "osrednja", "b", "c", "d")
	r := directRequest(tb, at(0), 1)
	budget := func() (n int) {
		for range 1000 {
			c.Done(at(0), c.Decide(at(0), directRequest(tb, at(0), 1)), Result{Latency: time.Millisecond})
		}
		r.service = "feedlog"
		for c.retryBudget(r).TryWithdraw() {
			n++
		}
		return n
	}
	if got, want := budget(), directPolicy.RetryReserve/4; got < want || got > want+1 {
		t.Errorf("%d retries of one of four instances, want %d", got, want)
	}
	c.SetInstances(at(time.Second), membersOf("a"), true)
	if got, want := budget(), directPolicy.RetryReserve; got < want || got > want+1 {
		t.Errorf("%d retries of the only instance, want %d", got, want)
	}
}
