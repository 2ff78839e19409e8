package freshness

import "time"

// StoreClock estimates when the store has formed its responses, in local time, from its
// steady clock that they state. The response that has travelled the shortest time shows
// the difference of the clocks best. The zero value has seen no response. It is not safe
// for concurrent use.
type StoreClock struct {
	// zero is the local time at which the store's clock was zero, or later.
	zero time.Time
	last time.Duration
}

// Observe returns the local time at which the store has formed a response to a request
// sent at sent and received at received, which states the time stated of the store's
// clock. Without a stated time it returns sent.
func (c *StoreClock) Observe(sent, received time.Time, stated time.Duration) time.Time {
	if stated <= 0 {
		return sent
	}
	zero := received.Add(-stated)
	if c.zero.IsZero() || zero.Before(c.zero) || stated < c.last {
		c.zero = zero
	}
	c.last = stated
	at := c.zero.Add(stated)
	if at.Before(sent) {
		// The store's clock has run slower than the local one since.
		c.zero = c.zero.Add(sent.Sub(at))
		return sent
	}
	return at
}
