package steer

import (
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// TestCallersTurnedAwayByATargetComeBackWhenItHasRoom: at once where it has now, and
// after what waits has been worked off where it has not, spread in both cases.
func TestCallersTurnedAwayByATargetComeBackWhenItHasRoom(t *testing.T) {
	tb := fleet{perRegion: []int{2, 0, 0}, slots: 8}.tables()
	c := directCore(tb, "a", "osrednja")
	d := mustDispatch(t, c.Decide(at(0), directRequest(tb, at(0), 3)))
	c.Done(at(0), d, Result{Latency: warmWork})
	d = mustDispatch(t, c.Decide(at(time.Second), directRequest(tb, at(time.Second), 3)))
	c.Done(at(2*time.Second), d, Result{Latency: warmWork})
	for _, s := range []struct {
		load     *TargetLoad
		from, to time.Duration
	}{
		{&TargetLoad{Running: 3, Slots: 8}, minRetryAfter, 2 * minRetryAfter},
		{&TargetLoad{Running: 8, Waiting: 15, Slots: 8}, 2 * warmWork, 3 * warmWork},
		{&TargetLoad{Running: 8, Waiting: 15_000, Slots: 8}, maxRetryAfter, 2 * maxRetryAfter},
	} {
		earliest, latest := time.Hour, time.Duration(0)
		for range 50 {
			after, ok := c.ComeBack(d, s.load)
			if !ok {
				t.Fatal("nothing is known of when to come back")
			}
			earliest, latest = min(earliest, after), max(latest, after)
		}
		if earliest < s.from || latest > s.to || latest == earliest {
			t.Errorf("load %+v: come back after %v to %v, want %v to %v", *s.load, earliest, latest, s.from, s.to)
		}
	}
	if _, ok := c.ComeBack(d, nil); ok {
		t.Error("a time without a load")
	}
	if _, ok := c.ComeBack(Decision{Kind: fault.KindNoTarget}, &TargetLoad{Slots: 8}); ok {
		t.Error("a time without a dispatch")
	}
}
