package allowance

import (
	"sort"
	"time"
)

const (
	// returnAfter is how long borrowed shares stay idle before they go back.
	returnAfter = 1500 * time.Millisecond
	// maxAsks bounds the new loans asked for at a time.
	maxAsks = 4
)

// Shortfall is a want of shares that any one of several limits could meet.
type Shortfall struct {
	// Count is the number of shares that are missing.
	Count int
	// Limits are the limits of which a share would help.
	Limits []Limit
}

// Borrower decides what to ask of whom. It is not safe for concurrent use.
type Borrower struct {
	timing Timing
	rand   func(n int) int
	needed map[Limit]time.Time // when borrowed shares were last of use
}

// NewBorrower returns a borrower. rand returns a number from 0 to n-1.
func NewBorrower(timing Timing, rand func(n int) int) *Borrower {
	return &Borrower{timing: timing, rand: rand, needed: map[Limit]time.Time{}}
}

// LoanRequests returns the requests to send now: renewals of the loans that are in
// use, returns of those that have been idle, and new loans for needs.
func (b *Borrower) LoanRequests(now time.Time, g *Ledger, needs []Shortfall) []LoanRequest {
	wanted := map[Limit]bool{}
	for _, n := range needs {
		for _, l := range n.Limits {
			wanted[l] = wanted[l] || n.Count > 0
		}
	}
	asks := b.renewals(now, g, wanted)
	for _, n := range needs {
		asks = append(asks, b.newLoans(now, g, n)...)
	}
	return asks
}

// renewals handles the loans that this holder has.
func (b *Borrower) renewals(now time.Time, g *Ledger, wanted map[Limit]bool) []LoanRequest {
	var asks []LoanRequest
	for _, giver := range g.givers() {
		by := g.borrowed[giver]
		for l, loan := range by {
			if !now.Before(loan.until) || loan.count == 0 {
				continue
			}
			if wanted[l] || g.inUse[l] > g.usableOwn(now, l) {
				b.needed[l] = now
			}
			switch {
			case now.Sub(b.needed[l]) > returnAfter:
				asks = append(asks, g.RequestLoan(now, giver, l, 0))
			case loan.until.Sub(now) < b.timing.MaxLoan*3/4:
				asks = append(asks, g.RequestLoan(now, giver, l, loan.count))
			}
		}
	}
	return asks
}

// newLoans asks a few holders for a part of the need each.
func (b *Borrower) newLoans(now time.Time, g *Ledger, n Shortfall) []LoanRequest {
	if n.Count <= 0 || g.leaving {
		return nil
	}
	offers := b.lenders(g, n.Limits)
	count := min(maxAsks, len(offers), n.Count)
	var asks []LoanRequest
	for i := range count {
		j := i + b.rand(len(offers)-i)
		offers[i], offers[j] = offers[j], offers[i]
		o := offers[i]
		b.needed[o.limit] = now
		have := 0
		if loan := g.borrowed[o.giver][o.limit]; now.Before(loan.until) {
			have = loan.count
		}
		part := (n.Count + count - 1) / count
		asks = append(asks, g.RequestLoan(now, o.giver, o.limit, have+part))
	}
	return asks
}

type lender struct {
	giver HolderKey
	limit Limit
}

// lenders returns the other holders with grants of the limits.
func (b *Borrower) lenders(g *Ledger, limits []Limit) []lender {
	var out []lender
	for i := range g.row.Holders {
		h := &g.row.Holders[i]
		if h.HolderKey == g.self || h.Leaving {
			continue
		}
		for _, l := range limits {
			if h.Grants[l] > 0 {
				out = append(out, lender{giver: h.HolderKey, limit: l})
			}
		}
	}
	return out
}

// givers returns those that this holder has borrowed from, by key.
func (g *Ledger) givers() []HolderKey {
	keys := make([]HolderKey, 0, len(g.borrowed))
	for k := range g.borrowed {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].Less(keys[j]) })
	return keys
}
