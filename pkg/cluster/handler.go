package cluster

import (
	"context"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/departure"
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
	if q.From.EffectiveCell() != c.cell {
		return nil, fault.New(fault.KindBadRequest, "heartbeat from an instance of cell %q refused in cell %q", q.From.EffectiveCell(), c.cell)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.ObserveDownstreamHeartbeat(now, q.From)
	c.reclaimer.ObserveAlive(holderKeyOf(q.From))
	c.inbox.Add(now, q.Heartbeat)
	c.zoneReports.observeLocal(now, q.From.ID, q.Summaries)
	c.mergePoison(now, q.PoisonRecords)
	c.mergeLeaving(now, departure.Request, q.From.ID, q.LeavingTargets)
	c.mergeRateLimits(now, q.From.ID, q.RateLimits)
	c.signalRowWriter(&q.Heartbeat)
	c.fetchTablesIfBehind(q.From, q.TablesVersion)
	c.fetchCatalogIfBehind(q.From, q.CatalogPosition)
	r := c.heartbeatReply(now, q)
	r.WantDownstream = q.Downstream != nil && !c.view.ObserveRelayReports(now, q.From.ID, *q.Downstream)
	return r, nil
}

// signalRowWriter schedules an early write of the row if the sender of heartbeat
// waits for it: the row does not record it yet, it is leaving, it limits the use
// of its grants, or it has seen its new witnesses. The caller holds mu.
func (c *Cluster) signalRowWriter(heartbeat *allowance.Heartbeat) {
	h := c.ledger.Row().Holder(heartbeat.HolderKey)
	if h == nil && !heartbeat.Leaving || h != nil && (heartbeat.Leaving || len(heartbeat.CommittedCaps) > 0 || h.AckedLayout < h.WitnessLayout && heartbeat.SeenLayout >= h.WitnessLayout) {
		signal(c.rowDue)
	}
}

// heartbeatReply builds the reply to q. The caller holds mu.
func (c *Cluster) heartbeatReply(now time.Time, q *instance.HeartbeatRequest) *instance.HeartbeatReply {
	row := c.ledger.Row()
	r := &instance.HeartbeatReply{
		CatalogPosition: c.catalogPosition(), FeedFreshness: c.feedFreshness(now),
		TablesVersion: c.versions.InForce(), RowVersion: row.Version, RowLayout: row.LayoutVersion, PoisonRecords: c.changedPoison(now),
		LeavingTargets: c.leavingTargets(now, departure.Reply, q.LeavingTargets), RateLimits: c.rateLimits(now, q.RateLimits),
	}
	if self := c.view.Self(); q.ExpectedReceiver != c.self || self.Leaving {
		r.From = &self
	}
	if q.WantZones {
		r.ZoneReports = c.zoneReports.freshReports(now)
	}
	if h := row.Holder(q.Heartbeat.HolderKey); h != nil {
		r.Renewal = h.Renewal
	}
	if q.Heartbeat.SeenLayout < row.LayoutVersion {
		r.Row = row
	}
	members := c.view.Reports(now)
	if q.WantVerdict {
		members = c.view.Verdict(now)
	}
	// A sender that detects failures itself needs the age of each report as soon
	// as one of them is old.
	r.MembersAgree = members.Digest == q.MembersDigest && (q.WantVerdict || members.Age < c.timing.Member.SuspectAfter)
	r.MembersAge = members.Age
	if !r.MembersAgree {
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
	c.view.ObserveMessage(time.Now(), q.From)
	c.fetchTablesIfBehind(q.From, q.TablesVersion)
	c.applyEntries(time.Now(), q)
	differs := q.MembersDigest != 0 && q.MembersDigest != c.view.Digest(time.Now())
	if differs || q.RowLayout > c.ledger.Row().LayoutVersion {
		signal(c.heartbeatDue)
	}
	return &instance.AnnounceReply{TablesVersion: c.versions.InForce()}, nil
}

// Tables returns the content of the tables in force if their version is above
// that of the client. Error: fault.KindNotReady while a version is being loaded.
func (c server) Tables(_ context.Context, q *instance.TablesRequest) (*instance.TablesReply, error) {
	if t := c.tables.Load(); t == nil || t.Version <= q.HaveVersion {
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
func (c server) Promise(_ context.Context, q *instance.PromiseRequest) (*instance.WitnessReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &instance.WitnessReply{Agreed: c.witness.GrantPromise(time.Now(), c.ledger.Expires(), q.Promise)}, nil
}

// Consent handles a request that this instance, as a witness, no longer extend
// the lease of a holder.
func (c server) Consent(_ context.Context, q *instance.ConsentRequest) (*instance.WitnessReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &instance.WitnessReply{Agreed: c.witness.GrantConsent(time.Now(), q.Consent)}, nil
}

// Admit decides on a request of another instance, as the holder of its workspace in the region.
func (c server) Admit(_ context.Context, q *instance.AdmitRequest) (*instance.AdmitReply, error) {
	return &instance.AdmitReply{AdmissionReply: *c.quotas.admitFor(&q.Admission)}, nil
}

// Quota grants tokens of the workspaces that this instance owns.
func (c server) Quota(_ context.Context, q *instance.QuotaRequest) (*instance.QuotaReply, error) {
	return &instance.QuotaReply{Answer: *c.quotas.handle(&q.Ask)}, nil
}
