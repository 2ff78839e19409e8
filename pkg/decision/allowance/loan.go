package allowance

import "time"

// loanGuard is how long before its end a loan stops to be counted, so that
// the end of one loan does not interrupt the use of the other shares.
const loanGuard = 500 * time.Millisecond

// keepAfterUse is how long after its last use a holder keeps back half of
// what is free.
const keepAfterUse = 2 * time.Second

// lending is what this holder has lent to one other.
type lending struct {
	count int
	until time.Time
	loan  uint64 // the newest request seen
	prior int    // count before that request
}

// borrowing is what this holder has borrowed from one other.
type borrowing struct {
	count int
	until time.Time
	loan  uint64 // answers up to this request are ignored
	asked time.Time
}

// LoanRequest asks a holder to lend Count shares of Limit in all, those that
// it lends already included.
type LoanRequest struct {
	Borrower HolderKey `json:"taker"`
	Lender   HolderKey `json:"giver"`
	Limit    Limit     `json:"limit"`
	Count    int       `json:"count"`
	// Number rises with every request of the taker's incarnation.
	Number uint64 `json:"number"`
}

// Loan is the giver's answer: Count shares for Duration after the request
// was sent.
type Loan struct {
	Number   uint64        `json:"number"`
	Count    int           `json:"count"`
	Duration time.Duration `json:"duration"`
}

// RequestLoan returns a request for count shares of l from giver in all. Zero
// gives back what is borrowed. Shares above count are not used from now on,
// and answers to earlier requests are ignored.
func (g *Ledger) RequestLoan(now time.Time, giver HolderKey, l Limit, count int) LoanRequest {
	g.nextLoan++
	if g.borrowed[giver] == nil {
		g.borrowed[giver] = map[Limit]borrowing{}
	}
	b := g.borrowed[giver][l]
	b.count = min(b.count, count)
	b.loan = g.nextLoan - 1
	b.asked = now
	g.borrowed[giver][l] = b
	return LoanRequest{Borrower: g.self, Lender: giver, Limit: l, Count: count, Number: g.nextLoan}
}

// Lend answers a request. The lent shares are subtracted before it returns;
// the caller must put the lower shares in force before it sends the answer.
// A repeated or late request is refused.
func (g *Ledger) Lend(now time.Time, q LoanRequest) Loan {
	refused := Loan{Number: q.Number}
	old := g.lent[q.Borrower][q.Limit]
	left := g.Expires().Sub(now)
	if q.Lender != g.self || q.Number <= old.loan || g.leaving || left <= loanGuard {
		return refused
	}
	if !now.Before(old.until) {
		old.count = 0
	}
	count := min(q.Count, old.count+g.spare(now, q.Limit))
	d := min(left, g.timing.MaxLoan)
	g.setLending(q, lending{count: count, until: later(now.Add(d), old.until), loan: q.Number, prior: min(old.count, q.Count)})
	if count <= 0 {
		return refused
	}
	return Loan{Number: q.Number, Count: count, Duration: g.timing.shrunk(d)}
}

// CancelLoan takes back what Lend has just added for q, instead of sending the
// answer.
func (g *Ledger) CancelLoan(q LoanRequest) {
	ln := g.lent[q.Borrower][q.Limit]
	if ln.loan == q.Number {
		ln.count = ln.prior
		g.setLending(q, ln)
	}
}

func (g *Ledger) setLending(q LoanRequest, ln lending) {
	if g.lent[q.Borrower] == nil {
		g.lent[q.Borrower] = map[Limit]lending{}
	}
	g.lent[q.Borrower][q.Limit] = ln
}

// pruneLoans drops loans that ended.
func (g *Ledger) pruneLoans(now time.Time) {
	for giver, by := range g.borrowed {
		for l, b := range by {
			if now.Sub(b.until) > g.timing.Lease && now.Sub(b.asked) > g.timing.Lease {
				delete(by, l)
			}
		}
		if len(by) == 0 {
			delete(g.borrowed, giver)
		}
	}
	for taker, by := range g.lent {
		for l, ln := range by {
			if now.Sub(ln.until) > g.timing.Lease {
				delete(by, l)
			}
		}
		if len(by) == 0 {
			delete(g.lent, taker)
		}
	}
}

// RecordLoan takes in the answer to q, which was sent at asked.
func (g *Ledger) RecordLoan(now, asked time.Time, q LoanRequest, ln Loan) {
	if ln.Number != q.Number || ln.Count <= 0 || ln.Count > q.Count {
		return
	}
	if g.rules.StartLoanAtReply {
		asked = now
	}
	if g.borrowed[q.Lender] == nil {
		g.borrowed[q.Lender] = map[Limit]borrowing{}
	}
	old := g.borrowed[q.Lender][q.Limit]
	if g.rules.ApplyDuplicateLoans {
		g.borrowed[q.Lender][q.Limit] = borrowing{count: old.count + ln.Count, until: asked.Add(ln.Duration), loan: ln.Number}
		return
	}
	if ln.Number <= old.loan {
		return
	}
	g.borrowed[q.Lender][q.Limit] = borrowing{count: ln.Count, until: asked.Add(ln.Duration), loan: ln.Number, asked: old.asked}
}

// borrowedOf returns the shares of l that are borrowed and usable at now.
func (g *Ledger) borrowedOf(now time.Time, l Limit) int {
	sum := 0
	for _, by := range g.borrowed {
		if b := by[l]; now.Before(b.until) {
			sum += b.count
		}
	}
	return sum
}

// lentOf returns the shares of l that are lent out at now.
func (g *Ledger) lentOf(now time.Time, l Limit) int {
	sum := 0
	for _, by := range g.lent {
		if ln := by[l]; now.Before(ln.until) {
			sum += ln.count
		}
	}
	return sum
}

// usableOwn returns the shares of l that this holder may use of its grants.
func (g *Ledger) usableOwn(now time.Time, l Limit) int {
	if g.own == nil {
		return 0
	}
	n := g.own.Grants[l]
	if c, ok := g.cap(l); ok {
		n = min(n, c)
	}
	if !g.rules.IgnoreCommittedCaps {
		for _, s := range g.sent {
			if c, ok := s.ceilings[l]; ok {
				n = min(n, c)
			}
		}
	}
	if !g.rules.KeepLentShares {
		n -= g.lentOf(now, l)
	}
	return max(n, 0)
}

// free returns the shares of l that this holder does not use itself.
func (g *Ledger) free(now time.Time, l Limit) int {
	own := max(g.inUse[l]-g.borrowedOf(now, l), 0)
	return g.usableOwn(now, l) - own
}

// spare returns the shares of l to lend: all that are free, but half of them
// when this holder has used some lately.
func (g *Ledger) spare(now time.Time, l Limit) int {
	free := max(g.free(now, l), 0)
	if now.Sub(g.usedAt[l]) < keepAfterUse {
		return free / 2
	}
	return free
}

// Shares is what a holder may use until Expires.
type Shares struct {
	Expires time.Time
	Counts  Counts
}

// Shares returns what this holder may use from now on. Loans near their end
// are left out; the caller asks again before Expires.
func (g *Ledger) Shares(now time.Time) Shares {
	sh := Shares{Counts: Counts{}}
	if own := g.Expires(); now.Before(own) {
		sh.Expires = own
		for l := range g.own.Grants {
			if n := g.usableOwn(now, l); n > 0 {
				sh.Counts[l] += n
			}
		}
	}
	for _, by := range g.borrowed {
		for l, b := range by {
			if b.count == 0 || b.until.Sub(now) <= loanGuard {
				continue
			}
			sh.Counts[l] += b.count
			if sh.Expires.IsZero() || b.until.Before(sh.Expires) {
				sh.Expires = b.until
			}
		}
	}
	return sh
}
