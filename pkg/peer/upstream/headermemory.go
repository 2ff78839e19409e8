package upstream

import (
	"bytes"
	"sync/atomic"
)

const (
	// usualHeader is the memory, in bytes, that a header may take without being
	// counted against what all headers share.
	usualHeader = 8 << 10
	// lineOverhead is the memory, in bytes, that a line of a header takes beside
	// its text: an entry of a map and a list with one value.
	lineOverhead = 128
)

// headerMemory bounds the memory of the headers that are being read on all
// connections together, where servers send headers that don't end. It may be used
// from several goroutines at once.
type headerMemory struct {
	left atomic.Int64
}

func newHeaderMemory(limit int64) *headerMemory {
	m := &headerMemory{}
	m.left.Store(limit)
	return m
}

// headerUse is the memory that one header takes.
type headerUse struct {
	total int64
	// shared is the part that is counted against the memory of all.
	shared int64
}

// take counts part of a header as read. It is false when there is no memory left.
func (m *headerMemory) take(u *headerUse, part []byte) bool {
	u.total += int64(len(part)) + lineOverhead*int64(bytes.Count(part, []byte{'\n'}))
	need := max(0, u.total-usualHeader) - u.shared
	if need <= 0 {
		return true
	}
	if m.left.Add(-need) < 0 {
		m.left.Add(need)
		return false
	}
	u.shared += need
	return true
}

// release gives back what a header has taken.
func (m *headerMemory) release(u *headerUse) {
	m.left.Add(u.shared)
	*u = headerUse{}
}
