package steer

import (
	"sync"

	"github.com/jacinthramp/jacinthramp/pkg/decision/hashing"
)

// maxPairsPerGeneration bounds the size of each of the two generations of an
// objectHistory.
const maxPairsPerGeneration = 1 << 14

// objectHistory records which objects this instance has recently sent to which
// targets, to distinguish the service time of warm requests from that of cold
// ones. The zero value is empty. It may be used from several goroutines at
// once.
type objectHistory struct {
	mu     sync.Mutex
	recent map[uint64]struct{}
	older  map[uint64]struct{}
}

// record records that the object was sent to the target with the serial number,
// and reports whether it already had been. Another incarnation of a target has
// another serial number.
func (h *objectHistory) record(serial, object uint64) (known bool) {
	pair := hashing.Mix(serial, object)
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

// knows reports whether record would report true. It records nothing.
func (h *objectHistory) knows(serial, object uint64) bool {
	pair := hashing.Mix(serial, object)
	h.mu.Lock()
	defer h.mu.Unlock()
	_, recent := h.recent[pair]
	_, older := h.older[pair]
	return recent || older
}
