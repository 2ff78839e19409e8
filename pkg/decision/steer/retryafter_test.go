package steer

import (
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// TestRetryAfterFollowsTheLoadOfTheTarget checks the retry-after
// time for a target with free slots, which is the minimum, and for one with a
// queue, which is the time to serve the queue. Both must have jitter.
func TestRetryAfterFollowsTheLoadOfTheTarget(t *testing.T) {
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
				t.Fatal("RetryAfter returned no time for a reported load")
			}
			earliest, latest = min(earliest, after), max(latest, after)
		}
		if earliest < s.from || latest > s.to || latest == earliest {
			t.Errorf("load %+v: retry after %v to %v, want %v to %v with jitter", *s.load, earliest, latest, s.from, s.to)
		}
	}
	if _, ok := c.RetryAfter(at(2*time.Second), r, d, nil); ok {
		t.Error("RetryAfter returned a time without a load")
	}
	if _, ok := c.RetryAfter(at(2*time.Second), r, Decision{Kind: fault.KindNoTarget}, &TargetLoad{Slots: 8}); ok {
		t.Error("RetryAfter returned a time without a dispatch")
	}
}

// TestRetryAfterCoversTheBackoffOfAllTargets checks that the time covers the
// backoffs as soon as the last available target asks for no requests.
func TestRetryAfterCoversTheBackoffOfAllTargets(t *testing.T) {
	tb := fleet{perRegion: []int{2, 0, 0}, slots: 8}.tables()
	c := directCore(tb, "a", "osrednja")
	idle := &TargetLoad{Slots: 8}
	for i, want := range []time.Duration{0, 3 * time.Second} {
		r := directRequest(tb, at(0), 3)
		d := mustDispatch(t, c.Decide(at(0), r))
		r.Exclude(d.Target)
		refuseWithRetryAfter(c, at(0), d, time.Duration(3+i)*time.Second)
		after, ok := c.RetryAfter(at(0), r, d, idle)
		if !ok || after < want || want == 0 && after > 2*minRetryAfter {
			t.Errorf("with %d targets in backoff: retry after %v", i+1, after)
		}
	}
}
