package allowance

import "time"

// Timing holds the durations that all instances of a federation share.
type Timing struct {
	// Lease is how long shares may be used after a heartbeat was sent that the
	// row records, or after a promise was asked for that a witness gave.
	Lease time.Duration
	// LongLease bounds the use of shares without a renewal in the row when
	// there is no witness, or when only some witnesses promise.
	LongLease time.Duration
	// Settle is how long a reclaimer waits after a lease has lapsed for the
	// requests that were dispatched under it.
	Settle time.Duration
	// DeadSettle replaces the lease and Settle when the holder's process is
	// known to have ended. It is never shorter than Loan.
	DeadSettle time.Duration
	// Loan is the longest time for which one holder lends shares to another
	// without being asked again.
	Loan time.Duration
	// ClockMargin is the largest fraction by which the rates of two clocks differ.
	ClockMargin float64
}

// DefaultTiming returns the durations for normal use.
func DefaultTiming() Timing {
	return Timing{
		Lease:       10 * time.Second,
		LongLease:   10 * time.Minute,
		Settle:      10 * time.Second,
		DeadSettle:  2 * time.Second,
		Loan:        3 * time.Second,
		ClockMargin: 0.02,
	}
}

// stretched returns the time after which d has surely passed on another clock.
func (t Timing) stretched(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*t.ClockMargin)
}

// shrunk returns the time within which d has surely not passed on another clock.
func (t Timing) shrunk(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + t.ClockMargin))
}

// Rules switch single safety rules off. The zero value is correct; the tests
// set one at a time to show that their properties can fail.
type Rules struct {
	// LeaseFromReply counts a lease from when the renewal was learnt.
	LeaseFromReply bool
	// LendWithoutSubtracting leaves the giver its lent shares.
	LendWithoutSubtracting bool
	// LoanFromReply counts a loan from when the answer arrived.
	LoanFromReply bool
	// RepeatLoans adds a loan again when its answer arrives twice.
	RepeatLoans bool
	// IgnoreCeilings uses grants that a heartbeat has promised to give up.
	IgnoreCeilings bool
	// ForgetLoansOfTheDead reclaims from an ended process before its loans end.
	ForgetLoansOfTheDead bool
	// TrustAnyEndedWitness relies on an ended witness that may have consented.
	TrustAnyEndedWitness bool
	// ReclaimWithoutConsent reclaims after the lease alone.
	ReclaimWithoutConsent bool
}
