package cluster

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/departure"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
)

// heartbeatLoop sends heartbeats to the watchers of the cell or to a relay.
func (c *Cluster) heartbeatLoop(ctx context.Context) {
	if !c.awaitTables(ctx) {
		return
	}
	for {
		began := time.Now()
		c.sendHeartbeat(ctx)
		d := c.timing.HeartbeatInterval
		if !c.joined() {
			d = c.timing.JoinInterval
		}
		if !sleep(ctx, c.jitter(d)-time.Since(began), c.heartbeatDue) {
			return
		}
	}
}

// joined reports whether the zone's row records this instance or, with feeds,
// whether it has received a reply or has waited one heartbeat interval for it.
func (c *Cluster) joined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discovery != nil {
		return !c.lastReplyAt.IsZero() || time.Since(c.startedAt) > c.timing.HeartbeatInterval
	}
	return c.ledger.Row().Holder(c.self) != nil || c.leaving
}

// receivedReply is the reply to a heartbeat and the instance that sent it.
type receivedReply struct {
	from  member.Info
	reply *instance.HeartbeatReply
}

// sendHeartbeat sends one heartbeat to its receivers and waits for the replies,
// except those to probes.
func (c *Cluster) sendHeartbeat(ctx context.Context) {
	q, to := c.buildHeartbeat(time.Now())
	if len(to.probe) > 0 {
		select {
		case c.probes <- probe{q, to.probe}:
		default:
		}
	}
	replies := append(c.sendHeartbeatToAll(ctx, q, to.all), c.sendHeartbeatToFirst(ctx, q, to.firstOf))
	if q.WantVerdict {
		c.applyVerdict(replies)
	}
	c.refreshViews()
}

// probe is a heartbeat to members that may not reply.
type probe struct {
	q  *instance.HeartbeatRequest
	to []member.Info
}

// probeLoop sends the probes, so that no other heartbeat waits for a member
// that may not reply.
func (c *Cluster) probeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-c.probes:
			var wg conc.WaitGroup
			for _, m := range p.to {
				wg.Go(func() { c.sendHeartbeatTo(ctx, p.q, m, false) })
			}
			wg.Wait()
		}
	}
}

// retryInterval is the pause between two rounds of retryLoop.
const retryInterval = 400 * time.Millisecond

// retryLoop repeats the last heartbeat to the members that must reply and have not. A
// member is suspected after three intervals without a reply, in which two lost messages
// leave no time for a third one.
func (c *Cluster) retryLoop(ctx context.Context) {
	for sleep(ctx, retryInterval, nil) {
		c.mu.Lock()
		q, to := c.lastHeartbeat, c.view.ExpectedFailing()
		c.mu.Unlock()
		var wg conc.WaitGroup
		for _, m := range to {
			wg.Go(func() {
				callCtx, cancel := context.WithTimeout(ctx, c.timing.CallTimeout/2)
				defer cancel()
				c.sendHeartbeatTo(callCtx, q, m, false)
			})
		}
		wg.Wait()
	}
}

// sendHeartbeatToAll sends q to all members at once and returns their
// replies in the same order, nil where there was none. A verdict that a watcher
// has made itself is applied at once, without waiting for members that may have
// terminated.
func (c *Cluster) sendHeartbeatToAll(ctx context.Context, q *instance.HeartbeatRequest, members []member.Info) []*receivedReply {
	replies := make([]*receivedReply, len(members))
	var wg conc.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			received := c.sendHeartbeatTo(ctx, q, m, i == 0)
			if received != nil && q.WantVerdict && received.reply.MembersAge == 0 {
				c.applyVerdict([]*receivedReply{received})
			}
			replies[i] = received
		})
	}
	wg.Wait()
	return replies
}

// sendHeartbeatToFirst sends q to the members one after the other until a reply shows
// recent data of the watchers and the feeds, and returns the last reply, or nil.
// The timeout of each call is half of CallTimeout.
func (c *Cluster) sendHeartbeatToFirst(ctx context.Context, q *instance.HeartbeatRequest, members []member.Info) *receivedReply {
	var last *receivedReply
	for _, m := range members {
		ctx, cancel := context.WithTimeout(ctx, c.timing.CallTimeout/2)
		received := c.sendHeartbeatTo(ctx, q, m, true)
		cancel()
		if received == nil {
			continue
		}
		last = received
		if c.hasRecentWatcherData(received.reply) {
			break
		}
	}
	return last
}

// hasRecentWatcherData reports whether the sender of r has recent data both of
// the feeds and of a watcher.
func (c *Cluster) hasRecentWatcherData(r *instance.HeartbeatReply) bool {
	maxAge := c.maxReportAge(relayHops)
	return r.HasFeedReader && r.FeedReaderAge <= maxAge && r.MembersAge <= maxAge
}

// sendHeartbeatTo sends q to one member and applies the reply. It returns the reply, or
// nil if there was no valid one.
func (c *Cluster) sendHeartbeatTo(ctx context.Context, q *instance.HeartbeatRequest, to member.Info, wantZones bool) *receivedReply {
	request := *q
	request.ExpectedReceiver, request.WantZones = holderKeyOf(to), wantZones
	sent, r := time.Now(), &instance.HeartbeatReply{}
	if err := c.call(ctx, to, instance.MethodHeartbeat, &request, r); err != nil || departure.Validate(r.LeavingTargets) != nil || ratelimit.Validate(r.RateLimits) != nil {
		return nil
	}
	if r.From != nil {
		to = *r.From
	}
	c.applyHeartbeatReply(to, sent, r, !q.WantVerdict)
	return &receivedReply{from: to, reply: r}
}

// buildHeartbeat returns the next heartbeat and its receivers.
func (c *Cluster) buildHeartbeat(now time.Time) (*instance.HeartbeatRequest, receivers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tree := c.currentTree(now)
	c.updateRelayUse(now, tree)
	c.recordUse(now)
	c.applyShares(now)
	heartbeat := c.ledger.Heartbeat(now)
	c.inbox.Add(now, heartbeat)
	c.signalRowWriter(&heartbeat)
	q := &instance.HeartbeatRequest{
		From: c.view.Self(), Heartbeat: heartbeat, TablesVersion: c.versions.InForce(), RejectedVersion: c.versions.Rejected(),
		CatalogPosition: c.catalogPosition(), WantVerdict: c.wantsVerdict(now, tree),
		MembersDigest: c.view.Digest(now), Downstream: c.relayReport(now, tree), Summaries: c.localSummaries(now), PoisonRecords: c.changedPoison(now),
		LeavingTargets: c.leavingTargets(now, departure.Request, nil), RateLimits: c.rateLimits(now, nil),
	}
	c.zoneReports.observeLocal(now, c.self.ID, q.Summaries)
	c.lastHeartbeat = q
	return q, c.receivers(now, tree)
}

// applyHeartbeatReply applies the reply of another instance to a heartbeat that was sent
// at a time. hasReports is set if the reply reports when the members were last seen;
// otherwise it holds a verdict.
func (c *Cluster) applyHeartbeatReply(from member.Info, sent time.Time, r *instance.HeartbeatReply, hasReports bool) {
	now := time.Now()
	c.mu.Lock()
	c.view.ObserveMessage(now, from)
	c.lastReplyAt = now
	if r.Row != nil {
		c.observeRow(now, r.Row)
	}
	c.ledger.ObserveRenewal(now, r.RowVersion, r.RowLayout, r.Renewal)
	if hasReports {
		c.applyReports(now, r)
	}
	for _, z := range r.ZoneReports {
		c.observeZoneReport(now, z)
	}
	c.mergePoison(now, r.PoisonRecords)
	c.mergeLeaving(now, departure.Reply, from.ID, r.LeavingTargets)
	c.mergeRateLimits(now, from.ID, r.RateLimits)
	c.applyShares(now)
	c.fetchTablesIfBehind(from, r.TablesVersion)
	c.fullReportDue = c.fullReportDue || r.WantDownstream
	c.fetchCatalogIfBehind(from, r.CatalogPosition)
	c.observeFreshness(sent, r.FeedFreshness, r.CatalogPosition, false)
	c.observeHead(sent, r.FeedFreshness, r.TablesVersion)
	c.mu.Unlock()
}

// detectsFailures reports whether this instance decides itself which members are
// suspected: it is a watcher, or the cell has no relays. The caller holds mu.
func (c *Cluster) detectsFailures(tree spread.Tree) bool {
	return !tree.HasRelays() || tree.IsWatcher(c.self.ID)
}

// wantsVerdict reports whether this instance requests the watchers' verdict on
// which members are alive: it does not detect failures itself, or has become a
// watcher so recently that it still relies on the others. The caller holds mu.
func (c *Cluster) wantsVerdict(now time.Time, tree spread.Tree) bool {
	return !c.detectsFailures(tree) || c.view.TakingOver(now)
}

// applyReports records when another instance has last seen the members of the
// cell. The caller holds mu.
func (c *Cluster) applyReports(now time.Time, r *instance.HeartbeatReply) {
	for _, m := range r.Members {
		c.view.ObserveReport(now, m)
	}
	if r.MembersAgree {
		c.view.ObserveAgreement(now, r.MembersAge)
	}
}

// applyVerdict applies the newest verdict on the cell's members, the first among
// equally old ones, if this instance still wants one. An instance that has just
// become a watcher also records from it when the members were last seen.
func (c *Cluster) applyVerdict(replies []*receivedReply) {
	var newest *receivedReply
	for _, received := range replies {
		if received != nil && (newest == nil || received.reply.MembersAge < newest.reply.MembersAge) {
			newest = received
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if newest == nil || newest.reply.MembersAge >= c.timing.Member.SuspectAfter || !c.wantsVerdict(now, c.currentTree(now)) {
		return
	}
	if c.view.TakingOver(now) {
		for _, m := range newest.reply.Members {
			c.view.ObserveReport(now, m)
		}
	}
	at := now.Add(-max(0, newest.reply.MembersAge))
	if newest.reply.MembersAgree {
		c.view.ObserveSameVerdict(now, at)
	} else {
		c.view.ObserveVerdict(now, at, newest.from, newest.reply.Members)
	}
}

// observeRow passes a row of the zone to the ledger, the reclaimer and the
// witness. An invalid row is ignored. The caller holds mu.
func (c *Cluster) observeRow(now time.Time, row *allowance.Row) {
	if row.Validate() != nil {
		return
	}
	c.ledger.ObserveRow(now, row)
	if c.ledger.CapRequested() {
		signal(c.heartbeatDue)
	}
	c.reclaimer.ObserveRow(now, row)
	c.witness.Prune(now, row)
}
