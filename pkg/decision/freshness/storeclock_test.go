package freshness

import (
	"testing"
	"time"
)

func TestStoreClockFollowsTheFastestResponse(t *testing.T) {
	const zero = 7 * time.Second
	var c StoreClock
	for _, r := range []struct{ sent, formed, received, want time.Duration }{
		{0, 500, 540, 540},
		{600, 1100, 1105, 1105},
		// Delayed on the way back: the clock shows when it was formed.
		{1200, 1700, 2900, 1705},
		{3000, 3500, 3502, 3502},
	} {
		got := c.Observe(at(r.sent*time.Millisecond), at(r.received*time.Millisecond), zero+r.formed*time.Millisecond)
		if got != at(r.want*time.Millisecond) {
			t.Errorf("response formed at %d ms: %v after the start, want %d ms", r.formed, got.Sub(start), r.want)
		}
	}
}

func TestStoreClockThatStartsAnewIsFollowed(t *testing.T) {
	var c StoreClock
	c.Observe(at(0), at(10*time.Millisecond), time.Hour)
	if got := c.Observe(at(time.Second), at(1010*time.Millisecond), time.Second); got != at(1010*time.Millisecond) {
		t.Errorf("formed %v after the start, want when it was received", got.Sub(start))
	}
}

func TestResponseIsNotFormedBeforeItsRequest(t *testing.T) {
	var c StoreClock
	c.Observe(at(0), at(0), time.Second)
	if got := c.Observe(at(time.Second), at(1200*time.Millisecond), time.Second+100*time.Millisecond); got.Before(at(time.Second)) {
		t.Errorf("formed %v after the start, before it was requested", got.Sub(start))
	}
	if got := c.Observe(at(time.Second), at(1200*time.Millisecond), 0); got != at(time.Second) {
		t.Errorf("without a stated time %v after the start, want the time of the request", got.Sub(start))
	}
}
