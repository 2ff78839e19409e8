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
	// GracePeriod is how long a reclaimer waits after a lease has lapsed for the
	// requests that were dispatched under it.
	GracePeriod time.Duration
	// TerminatedGracePeriod replaces the lease and Settle when the holder's process is
	// known to have ended. It is never shorter than Loan.
	TerminatedGracePeriod time.Duration
	// MaxLoan is the longest time for which one holder lends shares to another
	// without being asked again.
	MaxLoan time.Duration
	// MaxClockDrift is the largest fraction by which the rates of two clocks differ.
	MaxClockDrift float64
}

// DefaultTiming returns the durations for normal use.
func DefaultTiming() Timing {
	return Timing{
		Lease:                 10 * time.Second,
		LongLease:             10 * time.Minute,
		GracePeriod:           10 * time.Second,
		TerminatedGracePeriod: 2 * time.Second,
		MaxLoan:               3 * time.Second,
		MaxClockDrift:         0.02,
	}
}

// extendForDrift returns the time after which d has surely passed on another clock.
func (t Timing) extendForDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*t.MaxClockDrift)
}

// shortenForDrift returns the time within which d has surely not passed on another clock.
func (t Timing) shortenForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + t.MaxClockDrift))
}

// SafetyOverrides switch single safety rules off. The zero value is correct; the tests
// set one at a time to show that their properties can fail.
type SafetyOverrides struct {
	// StartLeaseAtReply counts a lease from when the renewal was learnt.
	StartLeaseAtReply bool
	// KeepLentShares leaves the giver its lent shares.
	KeepLentShares bool
	// StartLoanAtReply counts a loan from when the answer arrived.
	StartLoanAtReply bool
	// ApplyDuplicateLoans adds a loan again when its answer arrives twice.
	ApplyDuplicateLoans bool
	// IgnoreCommittedCaps uses grants that a heartbeat has promised to give up.
	IgnoreCommittedCaps bool
	// IgnoreLoansOfTerminated reclaims from an ended process before its loans end.
	IgnoreLoansOfTerminated bool
	// TrustAnyTerminatedWitness relies on an ended witness that may have consented.
	TrustAnyTerminatedWitness bool
	// ReclaimWithoutConsent reclaims after the lease alone.
	ReclaimWithoutConsent bool
}
