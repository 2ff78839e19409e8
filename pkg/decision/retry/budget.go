// Package retry bounds the attempts beyond the first: retries and hedges draw
// on one budget, which first attempts fill.
package retry

import "sync/atomic"

const (
	// DefaultRatio is the largest number of further attempts per first attempt,
	// unless Configure sets another.
	DefaultRatio = 0.1

	unitsPerAttempt = 1000
	// reserve lets an instance with little traffic retry at all.
	reserve = 1 * unitsPerAttempt
	// burst bounds what quiet times save up.
	burst = 20 * unitsPerAttempt
)

// Budget counts attempts. It may be used from several goroutines at once. The
// zero value is not usable; see NewBudget.
type Budget struct {
	units    atomic.Int64
	perFirst atomic.Int64
	burst    atomic.Int64
}

// NewBudget returns a budget that allows one further attempt at once.
func NewBudget() *Budget {
	b := &Budget{}
	b.units.Store(reserve)
	b.perFirst.Store(int64(DefaultRatio * unitsPerAttempt))
	b.burst.Store(burst)
	return b
}

// Configure sets the number of further attempts per first attempt, and how
// many quiet times may save up, at least one.
func (b *Budget) Configure(ratio, saved float64) {
	b.perFirst.Store(int64(ratio * unitsPerAttempt))
	b.burst.Store(max(unitsPerAttempt, int64(saved*unitsPerAttempt)))
}

// Deposit counts a first attempt.
func (b *Budget) Deposit() {
	if b.units.Load() < b.burst.Load() {
		b.units.Add(b.perFirst.Load())
	}
}

// TryWithdraw takes one further attempt, and reports whether the budget had one.
func (b *Budget) TryWithdraw() bool {
	for {
		have := b.units.Load()
		if have < unitsPerAttempt {
			return false
		}
		if b.units.CompareAndSwap(have, have-unitsPerAttempt) {
			return true
		}
	}
}
