package ratelimit

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

func TestLimiterWithoutLimitAllowsAll(t *testing.T) {
	var l Limiter
	for range 3 {
		if !l.Allows(1) || !l.Claim(1) || l.Wait(1) != 0 {
			t.Fatal("a request is held back without a limit")
		}
	}
	if _, limited := l.PerSecond(); limited {
		t.Error("a limit of its own")
	}
}

// countClaims returns how many claims succeed from one time to another, 10 ms apart.
func countClaims(l *Limiter, from, to time.Duration) int {
	n := 0
	for now := from; now < to; now += 10 * time.Millisecond {
		if l.Claim(now.Nanoseconds()) {
			n++
		}
	}
	return n
}

func TestLimiterSpacesRequests(t *testing.T) {
	share := Share{PerSecond: 2, Interval: time.Second, SenderInterval: time.Second, Burst: 2}
	var l Limiter
	l.Set(0, 0, share)
	if n := countClaims(&l, 0, time.Second); n != 0 {
		t.Errorf("%d requests in the first interval, want none", n)
	}
	if n := countClaims(&l, time.Second, 11*time.Second); n != 10 {
		t.Errorf("%d requests in 10 s, want 10", n)
	}
	if n := countClaims(&l, time.Minute, time.Minute+500*time.Millisecond); n != share.Burst {
		t.Errorf("%d requests after a pause, want %d", n, share.Burst)
	}
	l.Clear()
	if n := countClaims(&l, 2*time.Minute, 2*time.Minute+time.Second); n != 100 {
		t.Errorf("%d requests after the end of the limit, want 100", n)
	}
}

// TestLimiterFollowsAShareThatGrows guards against a long interval that outlasts a change
// of the limit.
func TestLimiterFollowsAShareThatGrows(t *testing.T) {
	var l Limiter
	l.Set(0, 0, Share{Interval: time.Hour, SenderInterval: time.Hour, Burst: 1})
	l.Set(1, 0, Share{Interval: time.Second, SenderInterval: time.Second, Burst: 1})
	if n := countClaims(&l, 0, 5500*time.Millisecond); n != 5 {
		t.Errorf("%d requests in 5.5 s, want 5", n)
	}
}

// TestInstanceThatBecomesASenderHasSavedNothing guards against an instance that sends all
// that a sender may save up at the moment at which it becomes one, beside the senders before.
func TestInstanceThatBecomesASenderHasSavedNothing(t *testing.T) {
	alone := Share{Interval: 129 * time.Millisecond, SenderInterval: 129 * time.Millisecond, Burst: 11}
	for name, before := range map[string]Share{
		"list unknown": {SenderInterval: time.Second, Burst: 1, SilentFor: never},
		"no sender":    {Interval: time.Hour, SenderInterval: time.Second, Burst: 1, SilentFor: time.Minute},
	} {
		var l Limiter
		l.Set(0, 0, before)
		l.Set(time.Minute.Nanoseconds(), 0, alone)
		if n := countClaims(&l, time.Minute, time.Minute+100*time.Millisecond); n > 0 {
			t.Errorf("%s before: %d requests at once, want none", name, n)
		}
		if n := countClaims(&l, time.Minute+100*time.Millisecond, time.Minute+10*alone.Interval); n < 9 {
			t.Errorf("%s before: %d requests in 10 intervals, want 9 or more", name, n)
		}
	}
}

// TestShareThatGrowsBringsNoSavedRequests guards against a sender that has saved up under a
// small share what it could have saved up under a large one.
func TestShareThatGrowsBringsNoSavedRequests(t *testing.T) {
	small := Share{Interval: 644 * time.Millisecond, SenderInterval: 644 * time.Millisecond, Burst: 2}
	large := Share{Interval: 129 * time.Millisecond, SenderInterval: 129 * time.Millisecond, Burst: 11}
	var l Limiter
	l.Set(0, 0, small)
	l.Set(time.Minute.Nanoseconds(), 0, large)
	if n := countClaims(&l, time.Minute, time.Minute+100*time.Millisecond); n != small.Burst {
		t.Errorf("%d requests at once, want the %d saved up before", n, small.Burst)
	}
}

func TestLimiterCountsConcurrentClaims(t *testing.T) {
	var l Limiter
	l.Set(0, 0, Share{Interval: time.Second, SenderInterval: time.Second, Burst: 3})
	now := time.Minute.Nanoseconds()
	var claimed atomic.Int64
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for range 20 {
				if l.Claim(now) {
					claimed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if n := claimed.Load(); n != 3 {
		t.Errorf("%d requests, want 3", n)
	}
}

func TestLimiterWaitIsThatOfASender(t *testing.T) {
	var sender, other Limiter
	sender.Set(0, 0, Share{Interval: 2 * time.Second, SenderInterval: 2 * time.Second, Burst: 1})
	other.Set(0, 0, Share{Interval: time.Hour, SenderInterval: 2 * time.Second, Burst: 1, SilentFor: time.Hour})
	if got := sender.Wait(time.Second.Nanoseconds()); got != time.Second {
		t.Errorf("a sender waits %v, want 1s", got)
	}
	if got := other.Wait(time.Second.Nanoseconds()); got != 2*time.Second {
		t.Errorf("another instance waits %v, want the interval of a sender", got)
	}
}
