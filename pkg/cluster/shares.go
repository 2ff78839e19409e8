package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
)

// sharesLoop updates the shares, requests loans, and requests promises of the
// witnesses while the lease is not renewed in the row. It waits for the requests
// in flight before it returns.
func (c *Cluster) sharesLoop(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		c.sendShareRequests(ctx, &wg)
		if !sleep(ctx, c.jitter(c.timing.SharesInterval), nil) {
			return
		}
	}
}

// shareRequest is one call of the shares loop to another instance.
type shareRequest struct {
	to   member.Info
	send func(ctx context.Context)
}

// sendShareRequests sends the requests that are due without waiting for the
// replies.
func (c *Cluster) sendShareRequests(ctx context.Context, wg *conc.WaitGroup) {
	now := time.Now()
	c.mu.Lock()
	var requests []shareRequest
	for _, q := range c.loanRequests(now) {
		if to, ok := c.findMember(q.Lender); ok {
			requests = append(requests, shareRequest{to: to, send: func(ctx context.Context) { c.requestLoan(ctx, to, q) }})
		}
	}
	if now.Sub(c.promisesRequestedAt) >= c.timing.Allowance.Lease/promisesPerLease {
		c.promisesRequestedAt = now
		for _, p := range c.ledger.PromiseRequests(now) {
			if to, ok := c.findMember(p.Witness); ok {
				requests = append(requests, shareRequest{to: to, send: func(ctx context.Context) { c.requestPromise(ctx, to, p) }})
			}
		}
	}
	c.mu.Unlock()
	for _, request := range requests {
		wg.Go(func() { request.send(ctx) })
	}
}

// loanRequests returns the loan requests to send now. Borrowed shares must be out of
// use before their return is sent to the lender: loanRequests puts the lower shares in
// force, and withholds a return if a request has started to use the shares in the
// meantime. The caller holds mu.
func (c *Cluster) loanRequests(now time.Time) []allowance.LoanRequest {
	d := c.recordUse(now)
	requests := c.borrower.LoanRequests(now, c.ledger, missingShares(&d))
	c.applyShares(now)
	if !slices.ContainsFunc(requests, c.ledger.ReturnsShares) {
		return requests
	}
	c.recordUse(now)
	kept := slices.DeleteFunc(requests, func(q allowance.LoanRequest) bool { return c.ledger.WithholdReturn(now, q) })
	c.applyShares(now)
	return kept
}

// promisesPerLease is how often promises are requested during one lease.
const promisesPerLease = 8

// requestLoan requests one loan and applies the reply.
func (c *Cluster) requestLoan(ctx context.Context, to member.Info, q allowance.LoanRequest) {
	sentAt := time.Now()
	r := &instance.LendReply{}
	if err := c.call(ctx, to, instance.MethodLend, &instance.LendRequest{Loan: q}, r); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.ledger.RecordLoan(now, sentAt, q, r.Loan)
	c.applyShares(now)
}

// requestPromise requests that one witness extend the lease, and records the
// promise, or that the witness has terminated if it refuses connections.
func (c *Cluster) requestPromise(ctx context.Context, to member.Info, p allowance.PromiseRequest) {
	sentAt := time.Now()
	r := &instance.WitnessReply{}
	err := c.call(ctx, to, instance.MethodPromise, &instance.PromiseRequest{Promise: p}, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case instance.IsRefused(err):
		c.ledger.ObserveWitnessTermination(now, p.Witness)
	case err == nil && r.Agreed:
		c.ledger.RecordPromise(sentAt, p)
	}
	c.applyShares(now)
}

// recordUse passes the shares in use to the ledger and returns the demand. The
// caller holds mu.
func (c *Cluster) recordUse(now time.Time) steer.Demand {
	if c.core == nil || c.discovery != nil {
		return steer.Demand{}
	}
	d := c.core.Demand()
	c.ledger.SetInUse(now, sharesInUse(&d))
	return d
}

// applyShares puts the shares that the ledger allows now in force. The caller
// holds mu.
func (c *Cluster) applyShares(now time.Time) {
	if c.discovery != nil {
		return
	}
	shares := toSteerShares(c.ledger.Shares(now))
	c.shares.Store(&shares)
	if c.core != nil {
		c.core.SetShares(now, shares)
	}
	if c.leaseCoversTables(now, shares.Expires) {
		c.heldLease.Store(true)
	}
}

// leaseCoversTables reports whether the lease that ends at expires is valid and
// its grants were made under the tables in force here, or later ones. The caller
// holds mu.
func (c *Cluster) leaseCoversTables(now, expires time.Time) bool {
	t := c.tables.Load()
	return t != nil && now.Before(expires) && c.ledger.Row().TablesVersion >= t.Version
}

// localSummaries returns this instance's contribution to the zone's headroom. The
// caller holds mu.
func (c *Cluster) localSummaries(now time.Time) []instance.Summary {
	if c.core == nil || c.discovery != nil {
		return nil
	}
	var out []instance.Summary
	for _, s := range c.core.Summaries(now) {
		out = append(out, instance.Summary{ZoneSummary: s})
	}
	return out
}

// lend grants or refuses a loan. It subtracts the loan, puts the lower shares in
// force, and retracts the shares that the loan adds if a request has started to use
// them in the meantime.
func (c *Cluster) lend(now time.Time, q allowance.LoanRequest) allowance.Loan {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordUse(now)
	loan := c.ledger.Lend(now, q)
	c.applyShares(now)
	if loan.Count == 0 || c.core == nil {
		return loan
	}
	d := c.core.Demand()
	if sharesInUse(&d)[q.Limit] > c.ledger.Shares(now).Counts[q.Limit] {
		loan = c.ledger.CancelLoan(q, loan)
		c.applyShares(now)
	}
	return loan
}
