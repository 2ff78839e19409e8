package allowance

import "time"

// Timing holds the durations that all instances of a federation share.
type Timing struct {
	// Lease is how long shares may be used after sending a heartbeat that the
	// row records, or after requesting a promise that a witness grants.
	Lease time.Duration
	// LongLease limits how long shares may be used without a renewal in the
	// row when there are no witnesses, or when only some of them grant
	// promises.
	LongLease time.Duration
	// GracePeriod is how long a reclaimer waits after a lease has expired,
	// for the requests that were dispatched under it.
	GracePeriod time.Duration
	// TerminatedGracePeriod replaces Lease and GracePeriod when the holder's
	// process is known to have terminated. The wait is never shorter than
	// MaxLoan.
	TerminatedGracePeriod time.Duration
	// MaxLoan is the longest time for which a holder lends shares per
	// request.
	MaxLoan time.Duration
	// MaxClockDrift is the largest relative difference between the rates of
	// two clocks; 0.02 is 2%.
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

// extendForDrift returns a local duration during which at least d passes on
// any other clock.
func (t Timing) extendForDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*t.MaxClockDrift)
}

// shortenForDrift returns a local duration during which at most d passes on
// any other clock.
func (t Timing) shortenForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + t.MaxClockDrift))
}

// SafetyOverrides disables individual safety rules. The zero value enforces
// all of them. Tests disable one rule at a time to show that their properties
// detect the violation.
type SafetyOverrides struct {
	// StartLeaseAtReply starts a lease when the holder receives the renewal
	// instead of when it sent the heartbeat.
	StartLeaseAtReply bool
	// KeepLentShares lets the lender keep using the shares that it has lent.
	KeepLentShares bool
	// StartLoanAtReply starts a loan when the reply arrives instead of when
	// the request was sent.
	StartLoanAtReply bool
	// ApplyDuplicateLoans adds a loan again when its reply arrives twice.
	ApplyDuplicateLoans bool
	// IgnoreCommittedCaps lets a holder use grants that it has committed to
	// give up.
	IgnoreCommittedCaps bool
	// IgnoreLoansOfTerminated reclaims the shares of a terminated process
	// before its loans have ended.
	IgnoreLoansOfTerminated bool
	// TrustAnyTerminatedWitness counts a terminated witness as a promise even
	// if it may have consented to a reclaim.
	TrustAnyTerminatedWitness bool
	// ReclaimWithoutConsent reclaims after the lease and the grace period
	// without asking the witnesses.
	ReclaimWithoutConsent bool
}
