package cluster

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/decision/freshness"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
)

// maxQueuedAnnouncements bounds the queue of announcements. The receivers fetch
// entries of a dropped announcement after their next heartbeat.
const maxQueuedAnnouncements = 32

// announcement is a message to the members that this instance announces to.
type announcement struct {
	request *instance.AnnounceRequest
	// madeAt is when request was made: the ages in it hold for that time.
	madeAt time.Time
	// patched are the entries of request with patches; nil if there are none to make.
	patched *instance.EncodedEntries
	to      []member.Info
	// recipients is the number of members to which the announcement is sent at once.
	recipients int
}

// ordered reports whether the receivers need all announcements of this kind in their
// order: those of entries.
func (a *announcement) ordered() bool { return a.request.Entries != nil }

// delivery is the announcement of entries to one member. Each member has its own, so
// that one that does not answer delays no other.
type delivery struct {
	// pending is set when entries after base are to be sent once the call in flight
	// has ended.
	pending bool
	base    catalog.Position
}

// newAnnouncement returns an announcement by this instance that its copy of the feeds has
// no changes after base, to which the changes can be added. The caller holds mu.
func (c *Cluster) newAnnouncement(now time.Time, base catalog.Position) announcement {
	q := &instance.AnnounceRequest{
		From: c.view.Self(), BasePosition: base, CatalogPosition: c.catalogPosition(), FeedFreshness: c.feedFreshness(now),
		Live: c.discovery.catalog.LiveKeysFor(base),
	}
	return announcement{request: q, madeAt: now}
}

// announceEntries queues an announcement of the entries after base and reports whether
// there are any. The caller holds mu.
func (c *Cluster) announceEntries(now time.Time, base catalog.Position) bool {
	a, ok := c.entriesAfter(now, base)
	if ok {
		a.to = c.announceRecipients(now)
		c.enqueueAnnouncement(a)
	}
	return ok
}

// entriesAfter returns an announcement of the entries after base, or false if there are
// none. The caller holds mu.
func (c *Cluster) entriesAfter(now time.Time, base catalog.Position) (announcement, bool) {
	entries := c.discovery.catalog.EntriesAfter(now, base)
	a := c.newAnnouncement(now, base)
	a.request.Entries = instance.NewEncodedEntries(entries)
	if patched, ok := c.discovery.catalog.Patched(entries, base); ok {
		a.patched = instance.NewEncodedEntries(patched)
	}
	return a, len(entries) > 0
}

// announceProof queues the proof of a reader that its copy of the feeds is complete and has
// no entries after base, for the candidates that read if they get none. The caller holds mu.
func (c *Cluster) announceProof(now time.Time, base catalog.Position) {
	a := c.newAnnouncement(now, base)
	a.to = c.proofRecipients(now)
	c.enqueueAnnouncement(a)
}

// announceDigest queues an announcement of the members' digest. The caller holds mu.
func (c *Cluster) announceDigest(now time.Time, digest uint64) {
	a := c.newAnnouncement(now, c.catalogPosition())
	a.request.MembersDigest = digest
	a.to = c.announceRecipients(now)
	c.enqueueAnnouncement(a)
}

// enqueueAnnouncement queues an announcement, or drops it if the queue is full. Members
// with a call in flight get its entries afterwards. The caller holds mu.
func (c *Cluster) enqueueAnnouncement(a announcement) {
	a.to = slices.DeleteFunc(a.to, func(m member.Info) bool { return !c.discovery.beginDelivery(m.ID, &a) })
	if len(a.to) == 0 {
		return
	}
	select {
	case c.discovery.announceQueue <- a:
	default:
		c.cfg.Log.Warn("announcement dropped, the members will fetch what it holds", zap.Int("members", len(a.to)))
		c.discovery.cancelDelivery(&a)
	}
}

// cancelDelivery undoes beginDelivery for the recipients of a. The caller holds mu.
func (d *discovery) cancelDelivery(a *announcement) {
	if !a.ordered() {
		return
	}
	for _, m := range a.to {
		delete(d.deliveries, m.ID)
	}
}

// beginDelivery reports whether a is to be sent to the member now. If a call with
// entries is in flight to it, the entries of a follow that call; a proof is left out,
// since the call holds one. The caller holds mu.
func (d *discovery) beginDelivery(id string, a *announcement) bool {
	current := d.deliveries[id]
	switch {
	case current == nil && a.ordered():
		d.deliveries[id] = &delivery{}
		return true
	case current == nil || a.request.MembersDigest != 0:
		return true
	case a.ordered():
		current.postpone(a.request.BasePosition)
	}
	return false
}

// postpone records that the entries after base are to be sent too.
func (d *delivery) postpone(base catalog.Position) {
	if !d.pending {
		d.pending, d.base = true, base
		return
	}
	for t := range base {
		d.base[t] = min(d.base[t], base[t])
	}
}

// isUnavailable reports whether err says that another instance could not be reached or
// did not answer.
func isUnavailable(err error) bool { return fault.KindOf(err) == fault.KindPeerUnavailable }

// nextDelivery returns the announcement that is to follow the one just sent to the
// member, or false if there is none.
func (c *Cluster) nextDelivery(id string) (announcement, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.discovery.deliveries[id]
	if d == nil || !d.pending || c.view.Failing(id) {
		// A failing member fetches the entries when it is reachable again.
		delete(c.discovery.deliveries, id)
		return announcement{}, false
	}
	d.pending = false
	a, ok := c.entriesAfter(time.Now(), d.base)
	a.recipients = len(c.discovery.deliveries)
	if !ok {
		delete(c.discovery.deliveries, id)
	}
	return a, ok
}

// announceEntriesLoop sends the queued announcements.
func (c *Cluster) announceEntriesLoop(ctx context.Context) {
	var calls conc.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-c.discovery.announceQueue:
			c.sendAnnouncement(ctx, &calls, a)
		}
	}
}

// sendAnnouncement sends an announcement to all its recipients at once, by goroutines of
// calls.
func (c *Cluster) sendAnnouncement(ctx context.Context, calls *conc.WaitGroup, a announcement) {
	a.recipients = len(a.to)
	for _, m := range a.to {
		calls.Go(func() { c.deliver(ctx, calls, m, a) })
	}
}

// deliver sends an announcement to one member, and what has to follow it.
func (c *Cluster) deliver(ctx context.Context, calls *conc.WaitGroup, m member.Info, a announcement) {
	c.announceInAttempts(ctx, calls, m, a)
	if !a.ordered() {
		return
	}
	for next, ok := c.nextDelivery(m.ID); ok; next, ok = c.nextDelivery(m.ID) {
		c.announceInAttempts(ctx, calls, m, next)
	}
}

// announceInAttempts sends an announcement to one member, in up to announceAttempts
// calls if it has entries. After the first call that a relay does not answer, the
// entries are sent to the members downstream of it.
func (c *Cluster) announceInAttempts(ctx context.Context, calls *conc.WaitGroup, m member.Info, a announcement) {
	began := time.Now()
	for attempt := range announceAttempts {
		err := c.sendTo(ctx, m, &a)
		if !isUnavailable(err) || !a.ordered() {
			return
		}
		if attempt == 0 {
			c.sendAnnouncement(ctx, calls, c.bypass(m, a))
		}
		if instance.IsRefused(err) {
			break
		}
	}
	if ctx.Err() == nil {
		c.cfg.Log.Info("announcement not delivered", zap.String("to", m.ID), zap.Duration("tried_for", time.Since(began)))
	}
}

// bypass returns the announcement for the members downstream of a relay that does not
// answer; nobody for another member.
func (c *Cluster) bypass(relay member.Info, a announcement) announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	tree := c.currentTree(now)
	a.to = nil
	if tree.IsRelay(relay.ID) {
		downstream := c.reachableMembers(now, tree.Recipients(relay.ID))
		a.to = slices.DeleteFunc(downstream, func(m member.Info) bool { return !c.discovery.beginDelivery(m.ID, &a) })
	}
	return a
}

// announceRecipients returns the members that this instance sends announcements to:
// as an acting reader all watchers and relays, and otherwise those downstream in the
// tree, past failing relays, except failing members. Without relays, these include
// members that are not ranked, such as leaving ones. The caller holds mu.
func (c *Cluster) announceRecipients(now time.Time) []member.Info {
	tree := c.currentTree(now)
	recipients := tree.Recipients
	if c.actsAsReader(now) {
		recipients = tree.ReaderRecipients
	}
	ids := tree.Bypassing(recipients(c.self.ID), c.view.Failing)
	to := c.reachableMembers(now, ids)
	if tree.HasRelays() {
		return to
	}
	for _, m := range c.view.CellMembers(now, c.cell) {
		if tree.Position(m.ID) < 0 && m.State != member.Suspect && !c.view.Failing(m.ID) {
			to = append(to, m.Info)
		}
	}
	return to
}

// proofRecipients returns the members that take over if this instance, a reader, falls
// silent, and those that read although it does. The caller holds mu.
func (c *Cluster) proofRecipients(now time.Time) []member.Info {
	ids := slices.Clone(c.currentTree(now).First(freshness.Candidates))
	return c.reachableMembers(now, append(ids, c.discovery.laterReadersAt(now)...))
}

// laterReaderAge is the age of the last announcement of a reader from which it counts as
// one that has stopped. One lost announcement does not reach it.
const laterReaderAge = 3 * freshness.ConfirmInterval

// laterReadersAt returns the ids of the readers that come after this instance in rank order.
// The caller holds mu.
func (d *discovery) laterReadersAt(now time.Time) []string {
	d.forgetLaterReaders(now)
	return slices.Collect(maps.Keys(d.laterReaders))
}

// forgetLaterReaders drops the readers that have stopped. The caller holds mu.
func (d *discovery) forgetLaterReaders(now time.Time) {
	maps.DeleteFunc(d.laterReaders, func(_ string, last time.Time) bool { return now.Sub(last) > laterReaderAge })
}

// recordAnnouncer records that the sender of q reads the feeds after this instance in rank
// order, and reports whether q is a proof of a reader before it. The caller holds mu.
func (c *Cluster) recordAnnouncer(now time.Time, q *instance.AnnounceRequest) (senior bool) {
	direct := len(q.Entries.List()) == 0 && q.MembersDigest == 0
	if c.isSenior(now, q.From.ID) {
		// A relay passes on entries of any reader, this instance included.
		return direct || !c.currentTree(now).HasRelays() || c.feedRole(now).IsCandidate()
	}
	if q.HasFeedReader && q.MembersDigest == 0 {
		c.discovery.forgetLaterReaders(now)
		c.discovery.laterReaders[q.From.ID] = now
	}
	return false
}

// reachableMembers returns the members of the cell with the given ids, without this
// instance and those whose last call failed: a timeout for each announcement would
// serve nobody. The caller holds mu.
func (c *Cluster) reachableMembers(now time.Time, ids []string) []member.Info {
	var to []member.Info
	for _, m := range c.view.CellMembers(now, c.cell) {
		if slices.Contains(ids, m.ID) && !c.view.Failing(m.ID) {
			to = append(to, m.Info)
		}
	}
	return to
}

// applyEntries merges announced entries if this instance has all entries before
// them; else it arranges a fetch. A relay forwards them first: the members downstream
// must not wait until it has assembled its tables. An announcement that does not state
// how recent its sender's copy is has no entries, and does not say that there are none.
// The caller holds mu.
func (c *Cluster) applyEntries(now time.Time, q *instance.AnnounceRequest) {
	if c.discovery == nil {
		return
	}
	base, entries, senior := c.discovery.catalog.Position(), q.Entries.List(), c.recordAnnouncer(now, q)
	if !c.discovery.canApply(q.From, entries) {
		rest := *q
		usable, upTo := c.discovery.catalog.WithoutOperators(entries, q.CatalogPosition)
		rest.CatalogPosition, rest.Entries = upTo, instance.NewEncodedEntries(usable)
		rest.Live[catalog.Operators] = nil
		q, entries = &rest, usable
	}
	if (len(entries) > 0 || q.HasFeedReader) && !base.Behind(q.BasePosition) {
		c.discovery.catalog.MergeAll(now, entries, q.Live, q.CatalogPosition)
	}
	c.fetchCatalogIfBehind(q.From, q.CatalogPosition)
	c.observeFreshness(now, q.FeedFreshness, q.CatalogPosition, senior)
	if len(entries) == 0 && q.Live.IsZero() || c.discovery.catalog.Position() == base {
		return
	}
	if base == q.BasePosition {
		c.forwardAnnouncement(now, q)
	} else {
		c.forwardEntries(now, base)
	}
	c.assembleTables(sourceAnnouncement)
}

// forwardEntries announces the entries after base to the downstream members if
// this instance is a relay. The caller holds mu.
func (c *Cluster) forwardEntries(now time.Time, base catalog.Position) {
	if c.currentTree(now).IsRelay(c.self.ID) {
		c.announceEntries(now, base)
	}
}

// forwardAnnouncement is forwardEntries for the entries of an announcement, which are not
// encoded again. The caller holds mu.
func (c *Cluster) forwardAnnouncement(now time.Time, q *instance.AnnounceRequest) {
	if !c.currentTree(now).IsRelay(c.self.ID) {
		return
	}
	a := c.newAnnouncement(now, q.BasePosition)
	a.request.Entries = q.Entries
	if q.Entries.HasPatch() {
		a.request.Entries = instance.NewEncodedEntries(c.discovery.catalog.EntriesAfter(now, q.BasePosition))
		a.patched = q.Entries
	}
	a.to = c.announceRecipients(now)
	c.enqueueAnnouncement(a)
}
