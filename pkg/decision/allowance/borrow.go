package allowance

import (
	"sort"
	"time"
)

const (
	// idleReturnDelay is how long borrowed shares stay idle before they are
	// returned.
	idleReturnDelay = 1500 * time.Millisecond
	// maxNewLoans limits the loans that are requested at a time for one
	// shortfall.
	maxNewLoans = 4
)

// Shortfall is a number of missing shares that any of several limits could
// supply.
type Shortfall struct {
	// Count is the number of missing shares.
	Count int
	// Limits are the limits of which another share would help.
	Limits []Limit
}

// Borrower decides which loans to request from which holders. It is not safe
// for concurrent use.
type Borrower struct {
	timing     Timing
	randIntN   func(n int) int
	lastNeeded map[Limit]time.Time // when borrowed shares were last needed
}

// NewBorrower returns a borrower. randIntN returns a random number in [0, n).
func NewBorrower(timing Timing, randIntN func(n int) int) *Borrower {
	return &Borrower{timing: timing, randIntN: randIntN, lastNeeded: map[Limit]time.Time{}}
}

// LoanRequests returns the requests to send now: renewals of the loans that
// are in use, returns of those that have been idle, and new loans for
// shortfalls. A leaving holder returns idle loans at once, and a leaving lender
// gets back all that no request in flight needs.
func (b *Borrower) LoanRequests(now time.Time, ledger *Ledger, shortfalls []Shortfall) []LoanRequest {
	wanted := map[Limit]bool{}
	for _, s := range shortfalls {
		for _, l := range s.Limits {
			wanted[l] = wanted[l] || s.Count > 0
		}
	}
	reqs := b.existingLoanRequests(now, ledger, wanted)
	for _, s := range shortfalls {
		reqs = append(reqs, b.newLoanRequests(now, ledger, s)...)
	}
	return reqs
}

// existingLoanRequests returns the requests that renew or return current
// loans.
func (b *Borrower) existingLoanRequests(now time.Time, ledger *Ledger, wanted map[Limit]bool) []LoanRequest {
	var reqs []LoanRequest
	for _, lender := range ledger.lenders() {
		byLimit := ledger.borrowed[lender]
		for l, loan := range byLimit {
			if !now.Before(loan.until) || loan.count == 0 {
				continue
			}
			needed := wanted[l] || ledger.inUse[l] > ledger.usableGrants(now, l)
			if needed {
				b.lastNeeded[l] = now
			}
			count := loan.count
			switch {
			case ledger.isLeaving(lender):
				count = min(count, ledger.excessInUse(now, l))
			case now.Sub(b.lastNeeded[l]) > idleReturnDelay, ledger.leaving && !needed:
				count = 0
			}
			if count < loan.count || loan.until.Sub(now) < b.timing.MaxLoan*3/4 {
				reqs = append(reqs, ledger.RequestLoan(now, lender, l, count))
			}
		}
	}
	return reqs
}

// newLoanRequests requests a part of the shortfall from each of a few
// randomly chosen holders.
func (b *Borrower) newLoanRequests(now time.Time, ledger *Ledger, shortfall Shortfall) []LoanRequest {
	if shortfall.Count <= 0 || ledger.leaving {
		return nil
	}
	candidates := b.candidates(ledger, shortfall.Limits)
	count := min(maxNewLoans, len(candidates), shortfall.Count)
	var reqs []LoanRequest
	for i := range count {
		j := i + b.randIntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
		candidate := candidates[i]
		b.lastNeeded[candidate.limit] = now
		current := 0
		if loan := ledger.borrowed[candidate.lender][candidate.limit]; now.Before(loan.until) {
			current = loan.count
		}
		portion := (shortfall.Count + count - 1) / count
		reqs = append(reqs, ledger.RequestLoan(now, candidate.lender, candidate.limit, current+portion))
	}
	return reqs
}

type loanCandidate struct {
	lender HolderKey
	limit  Limit
}

// candidates returns the other holders with grants of the limits, without
// those that are leaving.
func (b *Borrower) candidates(ledger *Ledger, limits []Limit) []loanCandidate {
	var out []loanCandidate
	for i := range ledger.row.Holders {
		h := &ledger.row.Holders[i]
		if h.HolderKey == ledger.self || h.Leaving {
			continue
		}
		for _, l := range limits {
			if h.Grants[l] > 0 {
				out = append(out, loanCandidate{lender: h.HolderKey, limit: l})
			}
		}
	}
	return out
}

// lenders returns the holders that this holder has borrowed from, sorted by
// key.
func (g *Ledger) lenders() []HolderKey {
	keys := make([]HolderKey, 0, len(g.borrowed))
	for k := range g.borrowed {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].Less(keys[j]) })
	return keys
}
