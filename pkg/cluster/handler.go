package cluster

import (
	"context"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
)

// server answers the calls of other instances.
type server struct{ *Cluster }

// Handler returns what answers the calls of other instances.
func (c *Cluster) Handler() instance.Handler { return server{c} }

// Heartbeat takes in a heartbeat and answers with what the sender lacks.
func (c server) Heartbeat(_ context.Context, q *instance.HeartbeatRequest) (*instance.HeartbeatReply, error) {
	if q.From.Group() != c.cell {
		return nil, fault.New(fault.KindBadRequest, "heartbeat from zone %q in zone %q", q.From.Group(), c.cell)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.ObserveBelow(now, q.From)
	c.reclaimer.ObserveAlive(keyOf(q.From))
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

// signalRowWriter makes the row be written early when a holder waits for it.
func (c *Cluster) signalRowWriter(b *allowance.Heartbeat) {
	h := c.ledger.Row().Holder(b.Key)
	if h == nil && !b.Leaving || h != nil && (b.Leaving || len(b.Ceilings) > 0 || h.Acked < h.WitnessLayout && b.Layout >= h.WitnessLayout) {
		signal(c.rowDue)
	}
}

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
	heard := c.view.Reports(now)
	if q.WantVerdict {
		heard = c.view.Verdict(now)
	}
	// Who decides itself needs the age of each member once one is old.
	r.Agree = heard.Digest == q.Members && (q.WantVerdict || heard.Age < c.timing.Member.Suspect)
	r.AgreeAge = heard.Age
	if !r.Agree {
		r.Members = heard.Reports
	}
	return r
}

// Announce takes in what is new at the sender: higher tables by the step that
// came along, or else they are fetched; a new layout of the row comes with the
// answer to the next heartbeat.
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

// Tables returns the content in force when it is above what the caller has.
func (c server) Tables(_ context.Context, q *instance.TablesRequest) (*instance.TablesReply, error) {
	if t := c.tables.Load(); t == nil || t.Version <= q.Have {
		return &instance.TablesReply{}, nil
	}
	if !c.tryAcquireLoader() {
		return nil, fault.New(fault.KindNotReady, "a version is being loaded")
	}
	defer func() { <-c.loaderSem }()
	head, content, err := c.loader.Content()
	return &instance.TablesReply{Head: head, Content: content}, err
}

// Lend answers a request for shares.
func (c server) Lend(_ context.Context, q *instance.LendRequest) (*instance.LendReply, error) {
	return &instance.LendReply{Loan: c.lend(time.Now(), q.Loan)}, nil
}

// Promise extends the lease of a holder of the zone.
func (c server) Promise(_ context.Context, q *instance.PromiseRequest) (*instance.AgreeReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &instance.AgreeReply{Agreed: c.witness.Promise(time.Now(), c.ledger.Expires(), q.Promise)}, nil
}

// Consent agrees to extend the lease of a holder no more.
func (c server) Consent(_ context.Context, q *instance.ConsentRequest) (*instance.AgreeReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &instance.AgreeReply{Agreed: c.witness.Consent(time.Now(), q.Consent)}, nil
}
