package steer

import "time"

// coldRequestInterval is the minimum time between requests from one instance to
// a cold target.
const coldRequestInterval = 1100 * time.Millisecond

// isCold reports whether the target's caches are cold.
func (t *target) isCold(now int64) bool { return now < t.coldUntil.Load() }

// maySendToCold reports whether this instance may send a request to the cold
// target t. Only as many instances as t tolerates requests per second may,
// those that rank highest for t.
func (c *Core) maySendToCold(t *target, now int64) bool {
	if !intervalElapsed(t.lastSentAt.Load(), now) {
		return false
	}
	members := c.members.Load()
	allowed := members.Count()
	if t.coldRate > 0 {
		allowed = max(1, int(t.coldRate))
	}
	return members.IsSender(t.hash, allowed)
}

// intervalElapsed reports whether a request may follow the one sent at time
// last. Zero means that none was sent.
func intervalElapsed(last, now int64) bool {
	return last == 0 || now-last >= coldRequestInterval.Nanoseconds()
}

// claimColdRequest records a request to t at now. It reports false when t is
// cold and another request has been sent within coldRequestInterval.
func (t *target) claimColdRequest(now int64) bool {
	if !t.isCold(now) {
		t.lastSentAt.Store(now)
		return true
	}
	last := t.lastSentAt.Load()
	return intervalElapsed(last, now) && t.lastSentAt.CompareAndSwap(last, now)
}
