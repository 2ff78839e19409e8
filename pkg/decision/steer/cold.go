package steer

import "time"

// coldRequestInterval is the time between two requests of one instance to a cold
// target.
const coldRequestInterval = 1100 * time.Millisecond

// isCold reports whether the target's caches are cold.
func (m *target) isCold(ns int64) bool { return ns < m.coldUntil.Load() }

// maySendToCold reports whether this instance may send a request to the cold target
// m: a few instances share the rate that the target tolerates.
func (c *Core) maySendToCold(m *target, ns int64) bool {
	if !intervalElapsed(m.lastSentAt.Load(), ns) {
		return false
	}
	ids := *c.direct.instances.Load()
	allowed := len(ids)
	if m.coldRate > 0 {
		allowed = int(m.coldRate)
	}
	own := mixHashes(m.hash, hashName(c.self.Instance))
	ahead := 0
	for _, id := range ids {
		if mixHashes(m.hash, hashName(id)) > own {
			ahead++
		}
	}
	return ahead < allowed
}

// intervalElapsed reports whether a request may follow one that was sent at last.
func intervalElapsed(last, ns int64) bool {
	return last == 0 || ns-last >= coldRequestInterval.Nanoseconds()
}

// claimColdRequest notes a request to m at ns. It reports false when m is cold and
// another request has been sent meanwhile.
func (m *target) claimColdRequest(ns int64) bool {
	if !m.isCold(ns) {
		m.lastSentAt.Store(ns)
		return true
	}
	last := m.lastSentAt.Load()
	return intervalElapsed(last, ns) && m.lastSentAt.CompareAndSwap(last, ns)
}
