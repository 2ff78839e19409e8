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
	r := directRequest(tb, at(time.Second), 3)
	d = mustDispatch(t, c.Decide(at(time.Second), r))
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
			after, ok := c.RetryAfter(at(2*time.Second), r, d, s.load)
			if !ok {
				t.Fatal("nothing is known of when to come back")
			}
			earliest, latest = min(earliest, after), max(latest, after)
		}
		if earliest < s.from || latest > s.to || latest == earliest {
			t.Errorf("load %+v: come back after %v to %v, want %v to %v", *s.load, earliest, latest, s.from, s.to)
		}
	}
	if _, ok := c.RetryAfter(at(2*time.Second), r, d, nil); ok {
		t.Error("a time without a load")
	}
	if _, ok := c.RetryAfter(at(2*time.Second), r, Decision{Kind: fault.KindNoTarget}, &TargetLoad{Slots: 8}); ok {
		t.Error("a time without a dispatch")
	}
}

// TestCallersOfAServiceThatWantsNothingComeBackWhenItDoes: the refusal of the last
// target that was left brings its wish with it.
func TestCallersOfAServiceThatWantsNothingComeBackWhenItDoes(t *testing.T) {
	tb := fleet{perRegion: []int{2, 0, 0}, slots: 8}.tables()
	c := directCore(tb, "a", "osrednja")
	idle := &TargetLoad{Slots: 8}
	for i, want := range []time.Duration{0, 3 * time.Second} {
		r := directRequest(tb, at(0), 3)
		d := mustDispatch(t, c.Decide(at(0), r))
		r.Exclude(d.Target)
		refusedWith(c, at(0), d, time.Duration(3+i)*time.Second)
		after, ok := c.RetryAfter(at(0), r, d, idle)
		if !ok || after < want || want == 0 && after > 2*minRetryAfter {
			t.Errorf("with %d targets that want nothing: come back after %v", i+1, after)
		}
	}
}
