package cluster

import (
	"context"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
)

// server handles the calls of other instances. It implements instance.Handler.
type server struct{ *Cluster }

// Handler returns the handler of calls of other instances.
func (c *Cluster) Handler() instance.Handler { return server{c} }

// Heartbeat records a heartbeat and replies with what the sender has not
// received yet. Error: fault.KindBadRequest for a sender of another cell.
func (c server) Heartbeat(_ context.Context, q *instance.HeartbeatRequest) (*instance.HeartbeatReply, error) {
	if q.From.Group() != c.cell {
		return nil, fault.New(fault.KindBadRequest, "heartbeat from an instance of cell %q refused in cell %q", q.From.Group(), c.cell)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.ObserveBelow(now, q.From)
	c.reclaimer.ObserveAlive(holderKeyOf(q.From))
	c.inbox.Observe(now, q.Beat)
	c.zoneReports.observeLocal(now, q.From.ID, q.Summaries)
	c.mergePoison(now, q.Poison)
	c.signalRowWriter(&q.Beat)
	c.fetchTablesIfBehind(q.From, q.Tables)
	c.fetchCatalogIfBehind(q.From, q.Catalog)
	r := c.heartbeatReply(now, q)
	r.WantBelow = q.Below != nil && !c.view.ObserveRelay(now, q.From.ID, *q.Below)
	return r, nil
}

// signalRowWriter schedules an early write of the row if the sender of b waits
// for it: the row does not record it yet, it is leaving, it limits the use of
// its grants, or it has seen its new witnesses. The caller holds mu.
func (c *Cluster) signalRowWriter(b *allowance.Heartbeat) {
	h := c.ledger.Row().Holder(b.Key)
	if h == nil && !b.Leaving || h != nil && (b.Leaving || len(b.Ceilings) > 0 || h.Acked < h.WitnessLayout && b.Layout >= h.WitnessLayout) {
		signal(c.rowDue)
	}
}

// heartbeatReply builds the reply to q. The caller holds mu.
func (c *Cluster) heartbeatReply(now time.Time, q *instance.HeartbeatRequest) *instance.HeartbeatReply {
	row := c.ledger.Row()
	following, age := c.feedFreshness(now)
	r := &instance.HeartbeatReply{
		Catalog: c.catalogPosition(), Following: following, FollowingAge: age,
		Tables: c.versions.InForce(), RowVersion: row.Version, RowLayout: row.Layout, Poison: c.changedPoison(now),
	}
	if self := c.view.Self(); q.To != c.self || self.Leaving {
		r.From = &self
	}
	if q.WantZones {
		r.Zones = c.zoneReports.freshReports(now)
	}
	if h := row.Holder(q.Beat.Key); h != nil {
		r.Recorded = h.Renewal
	}
	if q.Beat.Layout < row.Layout {
		r.Row = row
	}
	members := c.view.Reports(now)
	if q.WantVerdict {
		members = c.view.Verdict(now)
	}
	// A sender that detects failures itself needs the age of each report as soon
	// as one of them is old.
	r.Agree = members.Digest == q.Members && (q.WantVerdict || members.Age < c.timing.Member.Suspect)
	r.AgreeAge = members.Age
	if !r.Agree {
		r.Members = members.Reports
	}
	return r
}

// Announce applies what is new at the sender. Tables of a higher version are
// patched with the step of the announcement, or else fetched. Announced entries
// are merged or fetched. For a new layout of the row, or if the members differ,
// a heartbeat is sent at once, whose reply has them.
func (c server) Announce(_ context.Context, q *instance.AnnounceRequest) (*instance.AnnounceReply, error) {
	c.applyStep(q.Step)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.ObserveHeartbeat(time.Now(), q.From)
	c.fetchTablesIfBehind(q.From, q.Version)
	c.applyEntries(time.Now(), q)
	differs := q.Members != 0 && q.Members != c.view.Digest(time.Now())
	if differs || q.Layout > c.ledger.Row().Layout {
		signal(c.heartbeatDue)
	}
	return &instance.AnnounceReply{Version: c.versions.InForce()}, nil
}

// Tables returns the content of the tables in force if their version is above
// that of the caller. Error: fault.KindNotReady while a version is being loaded.
func (c server) Tables(_ context.Context, q *instance.TablesRequest) (*instance.TablesReply, error) {
	if t := c.tables.Load(); t == nil || t.Version <= q.Have {
		return &instance.TablesReply{}, nil
	}
	if !c.tryAcquireLoader() {
		return nil, fault.New(fault.KindNotReady, "a version of the tables is being loaded")
	}
	defer func() { <-c.loaderSem }()
	head, content, err := c.loader.Content()
	return &instance.TablesReply{Head: head, Content: content}, err
}

// Lend handles a request for a loan of shares.
func (c server) Lend(_ context.Context, q *instance.LendRequest) (*instance.LendReply, error) {
	return &instance.LendReply{Loan: c.lend(time.Now(), q.Loan)}, nil
}

// Promise handles a holder's request that this instance, as its witness,
// extend the lease.
func (c server) Promise(_ context.Context, q *instance.PromiseRequest) (*instance.AgreeReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &instance.AgreeReply{Agreed: c.witness.Promise(time.Now(), c.ledger.Expires(), q.Promise)}, nil
}

// Consent handles a request that this instance, as a witness, no longer extend
// the lease of a holder.
func (c server) Consent(_ context.Context, q *instance.ConsentRequest) (*instance.AgreeReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &instance.AgreeReply{Agreed: c.witness.Consent(time.Now(), q.Consent)}, nil
}
