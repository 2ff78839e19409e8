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
	if q.From.EffectiveCell() != c.cell {
		return nil, fault.New(fault.KindBadRequest, "heartbeat from zone %q in zone %q", q.From.EffectiveCell(), c.cell)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.ObserveDownstreamHeartbeat(now, q.From)
	c.reclaimer.ObserveAlive(keyOf(q.From))
	c.inbox.Add(now, q.Beat)
	c.zones.observeOwn(now, q.From.ID, q.Summaries)
	c.takePoison(now, q.Poison)
	c.wakeWriter(&q.Beat)
	c.offer(q.From, q.Tables)
	c.offerCatalog(q.From, q.Catalog)
	r := c.heartbeatReply(now, q)
	r.WantBelow = q.Below != nil && !c.view.ObserveRelayReports(now, q.From.ID, *q.Below)
	return r, nil
}

// wakeWriter makes the row be written early when a holder waits for it.
func (c *Cluster) wakeWriter(b *allowance.Heartbeat) {
	h := c.ledger.Row().Holder(b.HolderKey)
	if h == nil && !b.Leaving || h != nil && (b.Leaving || len(b.CommittedCaps) > 0 || h.AckedLayout < h.WitnessLayout && b.SeenLayout >= h.WitnessLayout) {
		signal(c.rowDue)
	}
}

func (c *Cluster) heartbeatReply(now time.Time, q *instance.HeartbeatRequest) *instance.HeartbeatReply {
	row := c.ledger.Row()
	following, age := c.hearsFollower(now)
	r := &instance.HeartbeatReply{
		Catalog: c.catalogPosition(), Following: following, FollowingAge: age,
		Tables: c.versions.InForce(), RowVersion: row.Version, RowLayout: row.LayoutVersion, Poison: c.pushPoison(now),
	}
	if self := c.view.Self(); q.To != c.self || self.Leaving {
		r.From = &self
	}
	if q.WantZones {
		r.Zones = c.zones.others(now)
	}
	if h := row.Holder(q.Beat.HolderKey); h != nil {
		r.Recorded = h.Renewal
	}
	if q.Beat.SeenLayout < row.LayoutVersion {
		r.Row = row
	}
	heard := c.view.Reports(now)
	if q.WantVerdict {
		heard = c.view.Verdict(now)
	}
	// Who decides itself needs the age of each member once one is old.
	r.Agree = heard.Digest == q.Members && (q.WantVerdict || heard.Age < c.timing.Member.SuspectAfter)
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
	c.follow(q.Step)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.ObserveMessage(time.Now(), q.From)
	c.offer(q.From, q.Version)
	c.takeEntries(time.Now(), q)
	differs := q.Members != 0 && q.Members != c.view.Digest(time.Now())
	if differs || q.Layout > c.ledger.Row().LayoutVersion {
		signal(c.beatDue)
	}
	return &instance.AnnounceReply{Version: c.versions.InForce()}, nil
}

// Tables returns the content in force when it is above what the caller has.
func (c server) Tables(_ context.Context, q *instance.TablesRequest) (*instance.TablesReply, error) {
	if t := c.tables.Load(); t == nil || t.Version <= q.Have {
		return &instance.TablesReply{}, nil
	}
	if !c.tryLoading() {
		return nil, fault.New(fault.KindNotReady, "a version is being loaded")
	}
	defer func() { <-c.loading }()
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
	return &instance.AgreeReply{Agreed: c.witness.GrantPromise(time.Now(), c.ledger.Expires(), q.Promise)}, nil
}

// Consent agrees to extend the lease of a holder no more.
func (c server) Consent(_ context.Context, q *instance.ConsentRequest) (*instance.AgreeReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &instance.AgreeReply{Agreed: c.witness.GrantConsent(time.Now(), q.Consent)}, nil
}
