package cluster

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
)

// sharesLoop keeps the shares up to date, asks for loans, and asks witnesses
// for promises while the row can't be renewed.
func (c *Cluster) sharesLoop(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		c.sendShareRequests(ctx, &wg)
		if !sleep(ctx, c.jitter(c.timing.PublishInterval), nil) {
			return
		}
	}
}

// shareRequest is one call of the shares loop, ready to be sent.
type shareRequest struct {
	to   member.Info
	send func(ctx context.Context)
}

// sendShareRequests sends what is due without waiting for the answers.
func (c *Cluster) sendShareRequests(ctx context.Context, wg *conc.WaitGroup) {
	now := time.Now()
	c.mu.Lock()
	d := c.recordUse(now)
	var asks []shareRequest
	for _, q := range c.borrower.Asks(now, c.ledger, missingShares(&d)) {
		if to, ok := c.findMember(q.Giver); ok {
			asks = append(asks, shareRequest{to: to, send: func(ctx context.Context) { c.requestLoan(ctx, to, q) }})
		}
	}
	if now.Sub(c.promisesRequestedAt) >= c.timing.Allowance.Lease/promisesPerLease {
		c.promisesRequestedAt = now
		for _, p := range c.ledger.Promises(now) {
			if to, ok := c.findMember(p.Witness); ok {
				asks = append(asks, shareRequest{to: to, send: func(ctx context.Context) { c.requestPromise(ctx, to, p) }})
			}
		}
	}
	// Shares that are given back must be out of use before the giver knows.
	c.applyShares(now)
	c.mu.Unlock()
	for _, a := range asks {
		wg.Go(func() { a.send(ctx) })
	}
}

// promisesPerLease is how often promises are asked for in the time of a lease.
const promisesPerLease = 8

// requestLoan asks for one loan.
func (c *Cluster) requestLoan(ctx context.Context, to member.Info, q allowance.LoanRequest) {
	asked := time.Now()
	r := &instance.LendReply{}
	if err := c.call(ctx, to, instance.MethodLend, &instance.LendRequest{Loan: q}, r); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.ledger.Borrowed(now, asked, q, r.Loan)
	c.applyShares(now)
}

// requestPromise asks one witness to extend the lease.
func (c *Cluster) requestPromise(ctx context.Context, to member.Info, p allowance.Promise) {
	asked := time.Now()
	r := &instance.AgreeReply{}
	err := c.call(ctx, to, instance.MethodPromise, &instance.PromiseRequest{Promise: p}, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case instance.IsRefused(err):
		c.ledger.WitnessEnded(now, p.Witness)
	case err == nil && r.Agreed:
		c.ledger.Promised(asked, p)
	}
	c.applyShares(now)
}

// recordUse tells the ledger what is in use. The caller holds mu.
func (c *Cluster) recordUse(now time.Time) steer.Demand {
	if c.core == nil || c.discovery != nil {
		return steer.Demand{}
	}
	d := c.core.Demand()
	c.ledger.SetInUse(now, sharesInUse(&d))
	return d
}

// applyShares puts the present shares in force. The caller holds mu.
func (c *Cluster) applyShares(now time.Time) {
	if c.discovery != nil {
		return
	}
	sh := toSteerShares(c.ledger.Shares(now))
	c.shares.Store(&sh)
	if c.core != nil {
		c.core.SetShares(now, sh)
	}
	if c.leaseCoversTables(now, sh.Expires) {
		c.heldLease.Store(true)
	}
}

// leaseCoversTables reports whether the lease that ends at expires is on grants that
// follow the tables in force here. The caller holds mu.
func (c *Cluster) leaseCoversTables(now, expires time.Time) bool {
	t := c.tables.Load()
	return t != nil && now.Before(expires) && c.ledger.Row().Tables >= t.Version
}

// localSummaries returns this instance's part of the zone's headroom.
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

// lend answers a loan request: it subtracts, puts the lower shares in force,
// and takes the loan back when a request had used the share meanwhile.
func (c *Cluster) lend(now time.Time, q allowance.LoanRequest) allowance.Loan {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordUse(now)
	ln := c.ledger.Lend(now, q)
	c.applyShares(now)
	if ln.Count == 0 || c.core == nil {
		return ln
	}
	d := c.core.Demand()
	if sharesInUse(&d)[q.Limit] > c.ledger.Shares(now).Counts[q.Limit] {
		c.ledger.Retract(q)
		c.applyShares(now)
		return allowance.Loan{Number: q.Number}
	}
	return ln
}
