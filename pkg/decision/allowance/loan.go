package allowance

import "time"

// loanSafetyMargin is how long before its end a loan is no longer counted, so
// that the end of one loan does not interrupt the use of the other shares.
const loanSafetyMargin = 500 * time.Millisecond

// reserveAfterUse is how long after its last use of a limit a holder keeps
// half of the unused shares for itself.
const reserveAfterUse = 2 * time.Second

// lentShares are the shares of one limit that this holder has lent to one
// borrower.
type lentShares struct {
	count         int
	until         time.Time
	requestNumber uint64 // newest request handled
	previousCount int    // count before that request
}

// borrowedShares are the shares of one limit that this holder has borrowed
// from one lender.
type borrowedShares struct {
	count       int
	until       time.Time
	ignoreUpTo  uint64 // replies to requests up to this number are ignored
	requestedAt time.Time
	// previousCount is the count before the newest request.
	previousCount int
}

// LoanRequest asks a holder to lend Count shares of Limit in total, including
// those that it already lends to the borrower.
type LoanRequest struct {
	Borrower HolderKey `json:"taker"`
	Lender   HolderKey `json:"giver"`
	Limit    Limit     `json:"limit"`
	Count    int       `json:"count"`
	// Number increases with every request of the borrower's incarnation.
	Number uint64 `json:"number"`
}

// Loan is the lender's reply: Count shares for Duration after the request was
// sent.
type Loan struct {
	Number   uint64        `json:"number"`
	Count    int           `json:"count"`
	Duration time.Duration `json:"duration"`
}

// RequestLoan returns a request to lender for count shares of l in total.
// Zero returns all borrowed shares. From now on, shares above count are not
// used and replies to earlier requests are ignored.
func (g *Ledger) RequestLoan(now time.Time, lender HolderKey, l Limit, count int) LoanRequest {
	g.loanNumber++
	if g.borrowed[lender] == nil {
		g.borrowed[lender] = map[Limit]borrowedShares{}
	}
	b := g.borrowed[lender][l]
	if !now.Before(b.until) {
		b.count = 0
	}
	b.previousCount = b.count
	b.count = min(b.count, count)
	b.ignoreUpTo = g.loanNumber - 1
	b.requestedAt = now
	g.borrowed[lender][l] = b
	return LoanRequest{Borrower: g.self, Lender: lender, Limit: l, Count: count, Number: g.loanNumber}
}

// ReturnsShares reports whether the new request req returns borrowed shares.
func (g *Ledger) ReturnsShares(req LoanRequest) bool {
	return req.Count < g.borrowed[req.Lender][req.Limit].previousCount
}

// WithholdReturn undoes the return of shares by the new request req if more shares
// are in use than remain, and reports whether it has. The caller must not send req
// then.
func (g *Ledger) WithholdReturn(now time.Time, req LoanRequest) bool {
	if !g.ReturnsShares(req) || g.inUse[req.Limit] <= g.usableGrants(now, req.Limit)+g.borrowedCount(now, req.Limit) {
		return false
	}
	b := g.borrowed[req.Lender][req.Limit]
	b.count = b.previousCount
	g.borrowed[req.Lender][req.Limit] = b
	return true
}

// Lend handles a loan request. It subtracts the lent shares before it
// returns; the caller must enforce the reduced shares before it sends the
// reply. Repeated and outdated requests are refused. A leaving lender lends
// nothing more, but renews its loans until the borrower returns them: the
// borrower may still have requests in flight under them.
func (g *Ledger) Lend(now time.Time, req LoanRequest) Loan {
	refused := Loan{Number: req.Number}
	old := g.lent[req.Borrower][req.Limit]
	remaining := g.Expires().Sub(now)
	if req.Lender != g.self || req.Number <= old.requestNumber || remaining <= loanSafetyMargin {
		return refused
	}
	if !now.Before(old.until) {
		old.count = 0
	}
	count := min(req.Count, old.count+g.lendable(now, req.Limit))
	duration := min(remaining, g.timing.MaxLoan)
	g.setLentShares(req, lentShares{count: count, until: later(now.Add(duration), old.until), requestNumber: req.Number, previousCount: min(old.count, req.Count)})
	if count <= 0 {
		return refused
	}
	return Loan{Number: req.Number, Count: count, Duration: g.timing.shortenForDrift(duration)}
}

// CancelLoan takes back the shares that Lend has just added for req, and returns
// the reply to send in place of loan, the reply of Lend. It renews the shares that
// were lent before.
func (g *Ledger) CancelLoan(req LoanRequest, loan Loan) Loan {
	lent := g.lent[req.Borrower][req.Limit]
	if lent.requestNumber != req.Number {
		return Loan{Number: req.Number}
	}
	lent.count = lent.previousCount
	g.setLentShares(req, lent)
	loan.Count = lent.count
	return loan
}

func (g *Ledger) setLentShares(req LoanRequest, lent lentShares) {
	if g.lent[req.Borrower] == nil {
		g.lent[req.Borrower] = map[Limit]lentShares{}
	}
	g.lent[req.Borrower][req.Limit] = lent
}

// pruneLoans drops loans that ended more than a lease ago. Borrowed shares
// are also kept for a lease after the last request, since their record
// decides which replies are ignored.
func (g *Ledger) pruneLoans(now time.Time) {
	for lender, byLimit := range g.borrowed {
		for l, b := range byLimit {
			if now.Sub(b.until) > g.timing.Lease && now.Sub(b.requestedAt) > g.timing.Lease {
				delete(byLimit, l)
			}
		}
		if len(byLimit) == 0 {
			delete(g.borrowed, lender)
		}
	}
	for borrower, byLimit := range g.lent {
		for l, lent := range byLimit {
			if now.Sub(lent.until) > g.timing.Lease {
				delete(byLimit, l)
			}
		}
		if len(byLimit) == 0 {
			delete(g.lent, borrower)
		}
	}
}

// RecordLoan records the reply to req, which was sent at requestedAt.
func (g *Ledger) RecordLoan(now, requestedAt time.Time, req LoanRequest, loan Loan) {
	if loan.Number != req.Number || loan.Count <= 0 || loan.Count > req.Count {
		return
	}
	if g.overrides.StartLoanAtReply {
		requestedAt = now
	}
	if g.borrowed[req.Lender] == nil {
		g.borrowed[req.Lender] = map[Limit]borrowedShares{}
	}
	old := g.borrowed[req.Lender][req.Limit]
	if g.overrides.ApplyDuplicateLoans {
		g.borrowed[req.Lender][req.Limit] = borrowedShares{count: old.count + loan.Count, until: requestedAt.Add(loan.Duration), ignoreUpTo: loan.Number}
		return
	}
	if loan.Number <= old.ignoreUpTo {
		return
	}
	g.borrowed[req.Lender][req.Limit] = borrowedShares{count: loan.Count, until: requestedAt.Add(loan.Duration), ignoreUpTo: loan.Number, requestedAt: old.requestedAt}
}

// borrowedCount returns the number of shares of l that are borrowed and
// usable at now.
func (g *Ledger) borrowedCount(now time.Time, l Limit) int {
	sum := 0
	for _, byLimit := range g.borrowed {
		if b := byLimit[l]; now.Before(b.until) {
			sum += b.count
		}
	}
	return sum
}

// borrowsAny reports whether any borrowed shares are usable at now.
func (g *Ledger) borrowsAny(now time.Time) bool {
	for _, byLimit := range g.borrowed {
		for _, b := range byLimit {
			if b.count > 0 && now.Before(b.until) {
				return true
			}
		}
	}
	return false
}

// usableLoan reports whether new requests may use the loan b of lender. The loan
// of a leaving lender is kept for the requests in flight only.
func (g *Ledger) usableLoan(now time.Time, lender HolderKey, b borrowedShares) bool {
	return b.until.Sub(now) > loanSafetyMargin && !g.isLeaving(lender)
}

// isLeaving reports whether the row shows that k is leaving.
func (g *Ledger) isLeaving(k HolderKey) bool {
	h := g.row.Holder(k)
	return h != nil && h.Leaving
}

// excessInUse returns how many of the shares of l in use exceed those that new
// requests may use.
func (g *Ledger) excessInUse(now time.Time, l Limit) int {
	usable := g.usableGrants(now, l)
	for lender, byLimit := range g.borrowed {
		if b := byLimit[l]; g.usableLoan(now, lender, b) {
			usable += b.count
		}
	}
	return max(g.inUse[l]-usable, 0)
}

// lentCount returns the number of shares of l that are lent at now.
func (g *Ledger) lentCount(now time.Time, l Limit) int {
	sum := 0
	for _, byLimit := range g.lent {
		if lent := byLimit[l]; now.Before(lent.until) {
			sum += lent.count
		}
	}
	return sum
}

// usableGrants returns the number of granted shares of l that this holder may
// use: not above the caps, and without those that it has lent.
func (g *Ledger) usableGrants(now time.Time, l Limit) int {
	if g.ownRecord == nil {
		return 0
	}
	n := g.ownRecord.Grants[l]
	if c, ok := g.cap(l); ok {
		n = min(n, c)
	}
	if !g.overrides.IgnoreCommittedCaps {
		for _, s := range g.unrecorded {
			if c, ok := s.committedCaps[l]; ok {
				n = min(n, c)
			}
		}
	}
	if !g.overrides.KeepLentShares {
		n -= g.lentCount(now, l)
	}
	return max(n, 0)
}

// unusedGrants returns the number of granted shares of l that this holder
// does not use itself. Borrowed shares count as used first.
func (g *Ledger) unusedGrants(now time.Time, l Limit) int {
	ownUse := max(g.inUse[l]-g.borrowedCount(now, l), 0)
	return g.usableGrants(now, l) - ownUse
}

// lendable returns the number of unused shares of l to lend: all, or half of
// them when this holder has used the limit within reserveAfterUse. A leaving
// holder lends none.
func (g *Ledger) lendable(now time.Time, l Limit) int {
	if g.leaving {
		return 0
	}
	unused := max(g.unusedGrants(now, l), 0)
	if now.Sub(g.lastUsedAt[l]) < reserveAfterUse {
		return unused / 2
	}
	return unused
}

// Shares is what a holder may use until Expires.
type Shares struct {
	Expires time.Time
	Counts  Counts
}

// Shares returns what this holder may use from now on. Loans near their end and
// loans of leaving lenders are left out. The caller must call Shares again before
// Expires.
func (g *Ledger) Shares(now time.Time) Shares {
	shares := Shares{Counts: Counts{}}
	if leaseEnd := g.Expires(); now.Before(leaseEnd) {
		shares.Expires = leaseEnd
		for l := range g.ownRecord.Grants {
			if n := g.usableGrants(now, l); n > 0 {
				shares.Counts[l] += n
			}
		}
	}
	for lender, byLimit := range g.borrowed {
		for l, b := range byLimit {
			if b.count == 0 || !g.usableLoan(now, lender, b) {
				continue
			}
			shares.Counts[l] += b.count
			if shares.Expires.IsZero() || b.until.Before(shares.Expires) {
				shares.Expires = b.until
			}
		}
	}
	return shares
}
