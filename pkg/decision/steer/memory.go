package steer

import "sync"

// maxRemembered bounds each of the two generations of a memory.
const maxRemembered = 1 << 14

// memory holds which objects this instance has sent to which targets lately, so
// that the work on an object that a target knows is told from that on another. The
// zero value is empty. It may be used from several goroutines at once.
type memory struct {
	mu     sync.Mutex
	recent map[uint64]struct{}
	older  map[uint64]struct{}
}

// note takes in that the object was sent to the target whose slot has the serial,
// and reports whether it was before. A new incarnation has another slot.
func (m *memory) note(serial, object uint64) (known bool) {
	pair := mix(serial, object)
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known = m.recent[pair]; known {
		return true
	}
	_, known = m.older[pair]
	if m.recent == nil || len(m.recent) >= maxRemembered {
		m.older, m.recent = m.recent, make(map[uint64]struct{})
	}
	m.recent[pair] = struct{}{}
	return known
}
