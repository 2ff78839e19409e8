package memory

import "bytes"

const (
	// unreservedHeadBytes is how many bytes each head may take without a reservation.
	unreservedHeadBytes = 8 << 10
	// lineOverhead is the memory, in bytes, that a header line takes in addition to its
	// text: a map entry and a slice with one value.
	lineOverhead = 128
)

// Head is the memory that the head of one message takes: its start line and its header.
// The part beyond unreservedHeadBytes is reserved in a Budget. The zero value is an empty
// head.
type Head struct {
	total    int64
	reserved int64
}

// Add accounts for a part of the head that has been read. It returns false if b is used
// up.
func (h *Head) Add(b *Budget, part []byte) bool {
	h.total += int64(len(part)) + lineOverhead*int64(bytes.Count(part, []byte{'\n'}))
	extra := max(0, h.total-unreservedHeadBytes) - h.reserved
	if extra <= 0 {
		return true
	}
	if !b.TryReserve(extra) {
		return false
	}
	h.reserved += extra
	return true
}

// Release returns to b what the head has reserved, and empties the head.
func (h *Head) Release(b *Budget) {
	b.Release(h.reserved)
	*h = Head{}
}
