package upstream

import (
	"bytes"
	"sync/atomic"
)

const (
	// unreservedHeaderBytes is the memory, in bytes, that a header may take without being
	// counted against what all headers share.
	unreservedHeaderBytes = 8 << 10
	// headerLineOverhead is the memory, in bytes, that a line of a header takes beside
	// its text: an entry of a map and a list with one value.
	headerLineOverhead = 128
)

// headerMemory bounds the memory of the headers that are being read on all
// connections together, where servers send headers that don't end. It may be used
// from several goroutines at once.
type headerMemory struct {
	available atomic.Int64
}

func newHeaderMemory(limit int64) *headerMemory {
	m := &headerMemory{}
	m.available.Store(limit)
	return m
}

// headerUse is the memory that one header takes.
type headerUse struct {
	total int64
	// reserved is the part that is counted against the memory of all.
	reserved int64
}

// reserve counts part of a header as read. It is false when there is no memory left.
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

// release gives back what a header has taken.
func (m *headerMemory) release(u *headerUse) {
	m.available.Add(u.reserved)
	*u = headerUse{}
}
