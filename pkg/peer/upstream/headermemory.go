package upstream

import (
	"bytes"
	"sync/atomic"
)

const (
	// unreservedHeaderBytes is how many bytes each header may take without a
	// reservation in the shared memory.
	unreservedHeaderBytes = 8 << 10
	// headerLineOverhead is the memory, in bytes, that a header line takes in
	// addition to its text: a map entry and a slice with one value.
	headerLineOverhead = 128
)

// headerMemory limits the total memory of the headers being read on all
// connections, in case servers send unbounded headers. It is safe for concurrent
// use.
type headerMemory struct {
	available atomic.Int64
}

func newHeaderMemory(limit int64) *headerMemory {
	m := &headerMemory{}
	m.available.Store(limit)
	return m
}

// headerUse is the memory, in bytes, that one header takes.
type headerUse struct {
	total int64
	// reserved is the part that is reserved in the shared headerMemory.
	reserved int64
}

// reserve accounts for a part of a header that has been read. It returns false if
// the shared memory is exhausted.
func (m *headerMemory) reserve(u *headerUse, part []byte) bool {
	u.total += int64(len(part)) + headerLineOverhead*int64(bytes.Count(part, []byte{'\n'}))
	extra := max(0, u.total-unreservedHeaderBytes) - u.reserved
	if extra <= 0 {
		return true
	}
	if m.available.Add(-extra) < 0 {
		m.available.Add(extra)
		return false
	}
	u.reserved += extra
	return true
}

// release returns the memory that a header has reserved.
func (m *headerMemory) release(u *headerUse) {
	m.available.Add(u.reserved)
	*u = headerUse{}
}
