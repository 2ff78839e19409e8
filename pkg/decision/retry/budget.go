// Package retry limits additional attempts of requests. Retries and hedges withdraw
// from one budget, into which first attempts deposit.
package retry

import "sync/atomic"

const (
	// DefaultRatio is the number of additional attempts that each first attempt
	// allows, unless Configure sets another.
	DefaultRatio = 0.1

	// unitsPerAttempt is the number of budget units that one additional attempt
	// costs.
	unitsPerAttempt = 1000
	// initialUnits allows one additional attempt at once, so that an instance with
	// little traffic can retry at all.
	initialUnits = 1 * unitsPerAttempt
	// defaultMaxUnits limits what accumulates while there are few retries, unless
	// Configure sets another limit.
	defaultMaxUnits = 20 * unitsPerAttempt
)

// Budget is a token bucket for additional attempts. It is safe for concurrent use.
// Use NewBudget to create one; the zero value allows no additional attempts.
type Budget struct {
	// units is the balance.
	units           atomic.Int64
	unitsPerDeposit atomic.Int64
	// maxUnits is the balance at which first attempts stop depositing.
	maxUnits atomic.Int64
}

// NewBudget returns a budget that allows one additional attempt at once.
func NewBudget() *Budget {
	b := &Budget{}
	b.units.Store(initialUnits)
	b.unitsPerDeposit.Store(int64(DefaultRatio * unitsPerAttempt))
	b.maxUnits.Store(defaultMaxUnits)
	return b
}

// Configure sets ratio, the number of additional attempts that each first attempt
// allows, and maxSaved, the number of additional attempts that may accumulate, at
// least one.
func (b *Budget) Configure(ratio, maxSaved float64) {
	b.unitsPerDeposit.Store(int64(ratio * unitsPerAttempt))
	b.maxUnits.Store(max(unitsPerAttempt, int64(maxSaved*unitsPerAttempt)))
}

// Deposit records a first attempt.
func (b *Budget) Deposit() {
	if b.units.Load() < b.maxUnits.Load() {
		b.units.Add(b.unitsPerDeposit.Load())
	}
}

// TryWithdraw withdraws one additional attempt and reports whether the budget
// allowed it.
func (b *Budget) TryWithdraw() bool {
	for {
		available := b.units.Load()
		if available < unitsPerAttempt {
			return false
		}
		if b.units.CompareAndSwap(available, available-unitsPerAttempt) {
			return true
		}
	}
}
