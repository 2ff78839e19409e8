// Package memory bounds the bytes that are kept in memory for many connections together.
package memory

import "sync/atomic"

// Budget bounds the total of the bytes that are reserved at one time. A nil Budget has no
// bound. It is safe for concurrent use.
type Budget struct {
	available atomic.Int64
	refused   atomic.Int64
}

// NewBudget returns a Budget of limit bytes.
func NewBudget(limit int64) *Budget {
	b := &Budget{}
	b.available.Store(limit)
	return b
}

// TryReserve reserves n bytes until Release. It returns false, and counts a refusal, if
// fewer are available.
func (b *Budget) TryReserve(n int64) bool {
	if b == nil || b.available.Add(-n) >= 0 {
		return true
	}
	b.available.Add(n)
	b.refused.Add(1)
	return false
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.available.Add(n)
	}
}

// Refused returns how many reservations have been refused so far.
func (b *Budget) Refused() int64 {
	if b == nil {
		return 0
	}
	return b.refused.Load()
}
