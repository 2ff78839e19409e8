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
		c.askAll(ctx, &wg)
		if !sleep(ctx, c.jitter(c.timing.PublishInterval), nil) {
			return
		}
	}
}

// ask is one call of the shares loop, ready to be sent.
type ask struct {
	to   member.Info
	send func(ctx context.Context)
}

// askAll sends what is due without waiting for the answers.
func (c *Cluster) askAll(ctx context.Context, wg *conc.WaitGroup) {
	now := time.Now()
	c.mu.Lock()
	d := c.measureUse(now)
	var asks []ask
	for _, q := range c.borrower.Asks(now, c.ledger, needs(&d)) {
		if to, ok := c.find(q.Giver); ok {
			asks = append(asks, ask{to: to, send: func(ctx context.Context) { c.borrow(ctx, to, q) }})
		}
	}
	if now.Sub(c.promisedAt) >= c.timing.Allowance.Lease/promisesPerLease {
		c.promisedAt = now
		for _, p := range c.ledger.Promises(now) {
			if to, ok := c.find(p.Witness); ok {
				asks = append(asks, ask{to: to, send: func(ctx context.Context) { c.askPromise(ctx, to, p) }})
			}
		}
	}
	// Shares that are given back must be out of use before the giver knows.
	c.publish(now)
	c.mu.Unlock()
	for _, a := range asks {
		wg.Go(func() { a.send(ctx) })
	}
}

// promisesPerLease is how often promises are asked for in the time of a lease.
const promisesPerLease = 8

// borrow asks for one loan.
func (c *Cluster) borrow(ctx context.Context, to member.Info, q allowance.LoanRequest) {
	asked := time.Now()
	r := &instance.LendReply{}
	if err := c.call(ctx, to, instance.MethodLend, &instance.LendRequest{Loan: q}, r); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.ledger.Borrowed(now, asked, q, r.Loan)
	c.publish(now)
}

// askPromise asks one witness to extend the lease.
func (c *Cluster) askPromise(ctx context.Context, to member.Info, p allowance.Promise) {
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
	c.publish(now)
}

// measureUse tells the ledger what is in use. The caller holds mu.
func (c *Cluster) measureUse(now time.Time) steer.Demand {
	if c.core == nil || c.discovery != nil {
		return steer.Demand{}
	}
	d := c.core.Demand()
	c.ledger.SetInUse(now, inUse(&d))
	return d
}

// publish puts the present shares in force. The caller holds mu.
func (c *Cluster) publish(now time.Time) {
	if c.discovery != nil {
		return
	}
	sh := toSteer(c.ledger.Shares(now))
	c.shares.Store(&sh)
	if c.core != nil {
		c.core.SetShares(now, sh)
	}
	if c.countedIn(now, sh.Expires) {
		c.heldLease.Store(true)
	}
}

// countedIn reports whether the lease that ends at expires is on grants that
// follow the tables in force here. The caller holds mu.
func (c *Cluster) countedIn(now, expires time.Time) bool {
	t := c.tables.Load()
	return t != nil && now.Before(expires) && c.ledger.Row().Tables >= t.Version
}

// ownSummaries returns this instance's part of the zone's headroom.
func (c *Cluster) ownSummaries(now time.Time) []instance.Summary {
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
	c.measureUse(now)
	ln := c.ledger.Lend(now, q)
	c.publish(now)
	if ln.Count == 0 || c.core == nil {
		return ln
	}
	d := c.core.Demand()
	if inUse(&d)[q.Limit] > c.ledger.Shares(now).Counts[q.Limit] {
		c.ledger.Retract(q)
		c.publish(now)
		return allowance.Loan{Number: q.Number}
	}
	return ln
}
