package cluster

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
)

// heartbeatLoop sends heartbeats to the watchers of the zone, or to a relay.
func (c *Cluster) heartbeatLoop(ctx context.Context) {
	if !c.awaitTables(ctx) {
		return
	}
	for {
		began := time.Now()
		c.beat(ctx)
		d := c.timing.HeartbeatInterval
		if !c.joined() {
			d = c.timing.JoinInterval
		}
		if !sleep(ctx, c.jitter(d)-time.Since(began), c.beatDue) {
			return
		}
	}
}

// joined reports whether the zone's row holds this instance.
func (c *Cluster) joined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discovery != nil {
		return !c.heard.IsZero() || time.Since(c.started) > c.timing.HeartbeatInterval
	}
	return c.ledger.Row().Holder(c.self) != nil || c.leaving
}

// answer is what one instance has answered to a heartbeat.
type answer struct {
	from  member.Info
	reply *instance.HeartbeatReply
}

// beat sends one heartbeat to whom it is due and waits for the answers.
func (c *Cluster) beat(ctx context.Context) {
	q, to := c.heartbeat(time.Now())
	if len(to.probe) > 0 {
		select {
		case c.probes <- probe{q, to.probe}:
		default:
		}
	}
	answers := append(c.beatToEach(ctx, q, to.each), c.beatToOne(ctx, q, to.oneOf))
	if q.WantVerdict {
		c.takeVerdict(answers)
	}
	c.changed()
}

// probe is a heartbeat to members that may not answer.
type probe struct {
	q  *instance.HeartbeatRequest
	to []member.Info
}

// probeLoop sends heartbeats to those that may not answer, so that nothing else
// waits for these.
func (c *Cluster) probeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-c.probes:
			var wg conc.WaitGroup
			for _, w := range p.to {
				wg.Go(func() { c.beatTo(ctx, p.q, w, false) })
			}
			wg.Wait()
		}
	}
}

// beatToEach sends q to all of to and returns their answers, nil for who has
// not answered. A watcher's own verdict is taken over without waiting for those
// that may have ended.
func (c *Cluster) beatToEach(ctx context.Context, q *instance.HeartbeatRequest, to []member.Info) []*answer {
	answers := make([]*answer, len(to))
	var wg conc.WaitGroup
	for i, w := range to {
		wg.Go(func() {
			a := c.beatTo(ctx, q, w, i == 0)
			if a != nil && q.WantVerdict && a.reply.AgreeAge == 0 {
				c.takeVerdict([]*answer{a})
			}
			answers[i] = a
		})
	}
	wg.Wait()
	return answers
}

// beatToOne sends q to one after the other until one answers that hears from
// the watchers, and returns the last answer. Each gets half of the usual time.
func (c *Cluster) beatToOne(ctx context.Context, q *instance.HeartbeatRequest, to []member.Info) *answer {
	var last *answer
	for _, w := range to {
		ctx, cancel := context.WithTimeout(ctx, c.timing.CallTimeout/2)
		a := c.beatTo(ctx, q, w, true)
		cancel()
		if a == nil {
			continue
		}
		last = a
		if c.hearsWatchers(a.reply) {
			break
		}
	}
	return last
}

// hearsWatchers reports whether who answered r has lately heard of the feeds and
// from a watcher.
func (c *Cluster) hearsWatchers(r *instance.HeartbeatReply) bool {
	lately := c.silence(relayDepth)
	return r.Following && r.FollowingAge <= lately && r.AgreeAge <= lately
}

// beatTo sends q to w and takes in the answer, which it returns, or nil.
func (c *Cluster) beatTo(ctx context.Context, q *instance.HeartbeatRequest, w member.Info, wantZones bool) *answer {
	own := *q
	own.To, own.WantZones = keyOf(w), wantZones
	r := &instance.HeartbeatReply{}
	if err := c.call(ctx, w, instance.MethodHeartbeat, &own, r); err != nil {
		return nil
	}
	if r.From != nil {
		w = *r.From
	}
	c.heartbeatAnswered(w, r, !q.WantVerdict)
	return &answer{from: w, reply: r}
}

// heartbeat makes the message and chooses whom to send it to.
func (c *Cluster) heartbeat(now time.Time) (*instance.HeartbeatRequest, receivers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tree := c.tree(now)
	c.useRelays(now, tree)
	c.measureUse(now)
	c.publish(now)
	beat := c.ledger.Heartbeat(now)
	c.inbox.Observe(now, beat)
	c.wakeWriter(&beat)
	q := &instance.HeartbeatRequest{
		From: c.view.Self(), Beat: beat, Tables: c.versions.InForce(), Rejected: c.versions.Rejected(),
		Catalog: c.catalogPosition(), WantVerdict: c.wantsVerdict(now, tree),
		Members: c.view.Digest(now), Below: c.belowReport(now, tree), Summaries: c.ownSummaries(now), Poison: c.pushPoison(now),
	}
	c.zones.observeOwn(now, c.self.ID, q.Summaries)
	return q, c.receivers(now, tree)
}

// heartbeatAnswered takes in the answer of another instance; heard says that it
// tells when the members were heard from.
func (c *Cluster) heartbeatAnswered(from member.Info, r *instance.HeartbeatReply, heard bool) {
	now := time.Now()
	c.mu.Lock()
	c.view.ObserveHeartbeat(now, from)
	c.heard = now
	if r.Row != nil {
		c.observeRow(now, r.Row)
	}
	c.ledger.ObserveRenewal(now, r.RowVersion, r.RowLayout, r.Recorded)
	if heard {
		c.takeMembers(now, r)
	}
	for _, z := range r.Zones {
		c.observeZone(now, z)
	}
	c.takePoison(now, r.Poison)
	c.publish(now)
	c.offer(from, r.Tables)
	if c.discovery != nil && r.Following {
		c.discovery.hearFollower(now.Add(-r.FollowingAge))
	}
	c.belowWanted = c.belowWanted || r.WantBelow
	c.offerCatalog(from, r.Catalog)
	c.mu.Unlock()
}

// decides reports whether this instance decides itself who is silent: it is a
// watcher, or there are no relays. The caller holds mu.
func (c *Cluster) decides(tree spread.Tree) bool {
	return !tree.HasRelays() || tree.IsWatcher(c.self.ID)
}

// wantsVerdict reports whether this instance asks others who is silent: it does
// not decide, or has become a watcher only now. The caller holds mu.
func (c *Cluster) wantsVerdict(now time.Time, tree spread.Tree) bool {
	return !c.decides(tree) || c.view.TakesOver(now)
}

// takeMembers takes in what another instance has heard of the cell. The caller
// holds mu.
func (c *Cluster) takeMembers(now time.Time, r *instance.HeartbeatReply) {
	for _, m := range r.Members {
		c.view.ObserveReport(now, m)
	}
	if r.Agree {
		c.view.ObserveAgreement(now, r.AgreeAge)
	}
}

// takeVerdict takes over the newest verdict on the cell's members, the first of
// answers among equals, unless this instance decides itself. One that has become
// a watcher only now learns from it when the members were heard from, too.
func (c *Cluster) takeVerdict(answers []*answer) {
	var newest *answer
	for _, a := range answers {
		if a != nil && (newest == nil || a.reply.AgreeAge < newest.reply.AgreeAge) {
			newest = a
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if newest == nil || newest.reply.AgreeAge >= c.timing.Member.Suspect || !c.wantsVerdict(now, c.tree(now)) {
		return
	}
	if c.view.TakesOver(now) {
		for _, m := range newest.reply.Members {
			c.view.ObserveReport(now, m)
		}
	}
	at := now.Add(-newest.reply.AgreeAge)
	if newest.reply.Agree {
		c.view.ObserveSameVerdict(now, at)
	} else {
		c.view.ObserveVerdict(now, at, newest.from, newest.reply.Members)
	}
}

// observeRow takes a row into all decisions that follow it.
func (c *Cluster) observeRow(now time.Time, row *allowance.Row) {
	if row.Validate() != nil {
		return
	}
	c.ledger.ObserveRow(now, row)
	if c.ledger.Capped() {
		signal(c.beatDue)
	}
	c.reclaimer.ObserveRow(now, row)
	c.witness.Forget(now, row)
}
