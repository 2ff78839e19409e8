package steer

import "sync"

// maxPairsPerGeneration bounds each of the two generations of a memory.
const maxPairsPerGeneration = 1 << 14

// objectHistory holds which objects this instance has sent to which targets lately, so
// that the work on an object that a target knows is told from that on another. The
// zero value is empty. It may be used from several goroutines at once.
type objectHistory struct {
	mu     sync.Mutex
	recent map[uint64]struct{}
	older  map[uint64]struct{}
}

// record takes in that the object was sent to the target whose slot has the serial,
// and reports whether it was before. A new incarnation has another slot.
func (h *objectHistory) record(serial, object uint64) (known bool) {
	pair := mixHashes(serial, object)
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known = h.recent[pair]; known {
		return true
	}
	_, known = h.older[pair]
	if h.recent == nil || len(h.recent) >= maxPairsPerGeneration {
		h.older, h.recent = h.recent, make(map[uint64]struct{})
	}
	h.recent[pair] = struct{}{}
	return known
}
