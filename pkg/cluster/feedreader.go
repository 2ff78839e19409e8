package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
)

const (
	// feedReaders is the number of instances of a cell that read the feeds: the
	// first in rank order. They announce the entries to the other members.
	feedReaders = 2
	// readerCheckInterval is how often the other members check whether they
	// have to read the feeds.
	readerCheckInterval = 200 * time.Millisecond
	// readerTimeout is the time without a sign of an up-to-date feed reader
	// after which the other members read the feeds themselves.
	readerTimeout = 2500 * time.Millisecond
	// maxQueuedAnnouncements bounds the queue of announcements. The receivers
	// fetch entries of a dropped announcement after their next heartbeat.
	maxQueuedAnnouncements = 32
)

// shouldReadFeed reports whether this instance is to read the feed of t now: it
// has not read a snapshot yet, or isFeedReader.
func (c *Cluster) shouldReadFeed(t catalog.Topic) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.discovery.synced[t] || c.isFeedReader(now) {
		c.startReading(now, t)
		return true
	}
	// Failures before this instance stopped reading must not count as an outage
	// when it reads again.
	c.discovery.failingSince[t], c.discovery.reading[t] = time.Time{}, false
	c.discovery.confirmed[t] = false
	return false
}

// startReading records that this instance reads the feed of t from now on. If
// it does so because no feed reader was up to date for readerTimeout, the store
// may have been down since then, so an outage is assumed to have begun at that
// time. The caller holds mu.
func (c *Cluster) startReading(now time.Time, t catalog.Topic) {
	d := c.discovery
	if d.reading[t] {
		return
	}
	d.reading[t] = true
	if position := c.currentTree(now).Position(c.self.ID); d.synced[t] && position >= feedReaders {
		c.cfg.Log.Info("reading the feed in place of the feed readers", zap.Stringer("topic", t), zap.Int("rank", position), zap.Duration("silent_for", now.Sub(d.readerSeenAt)))
	}
	if d.synced[t] && !d.readerSeenAt.IsZero() && now.Sub(d.readerSeenAt) > readerTimeout {
		d.failingSince[t] = d.readerSeenAt
		c.cfg.Log.Warn("feed unavailable; retrying", zap.Stringer("topic", t), zap.String("why", "no message received from a feed reader"),
			zap.Duration("silent_for", now.Sub(d.readerSeenAt)), zap.Uint64("position", d.catalog.Position()[t]))
	}
}

// isFeedReader reports whether this instance has to read the feeds: it is one
// of the first feedReaders in rank order, or no feed reader was up to date for
// readerTimeout, or a longer time behind relays. The caller holds mu.
func (c *Cluster) isFeedReader(now time.Time) bool {
	tree := c.currentTree(now)
	timeout := readerTimeout
	if tree.HasRelays() {
		timeout += c.timing.Member.RelayAllowance
	}
	return tree.Position(c.self.ID) < feedReaders || now.Sub(c.discovery.readerSeenAt) > timeout
}

// feedsUpToDate reports whether this instance reads all feeds itself and the
// reads succeed, the first of them included. The caller holds mu.
func (c *Cluster) feedsUpToDate() bool {
	d := c.discovery
	if d == nil {
		return false
	}
	for t := range d.failingSince {
		if !d.failingSince[t].IsZero() || !d.synced[t] || !d.confirmed[t] {
			return false
		}
	}
	return c.isFeedReader(time.Now())
}

// feedFreshness reports whether this instance gets the entries of the feeds,
// from its own reads or, in a cell with relays, from a feed reader. It also
// returns the time since the reader was last known to be up to date. The caller
// holds mu.
func (c *Cluster) feedFreshness(now time.Time) (bool, time.Duration) {
	if c.feedsUpToDate() {
		return true, 0
	}
	if c.discovery == nil || !c.currentTree(now).HasRelays() || c.discovery.readerSeenAt.IsZero() {
		return false, 0
	}
	return true, now.Sub(c.discovery.readerSeenAt)
}

// observeReader records that a feed reader was up to date at a time.
func (d *discovery) observeReader(at time.Time) {
	if at.After(d.readerSeenAt) {
		d.readerSeenAt = at
	}
}

// announceReadEntries announces the entries after base if this instance is the
// first of the cell, so that only one feed reader announces what all have read.
// The caller holds mu.
func (c *Cluster) announceReadEntries(now time.Time, base catalog.Position) {
	if c.currentTree(now).Position(c.self.ID) == 0 {
		c.announceEntries(now, base)
	}
}

// announceEntries queues an announcement of the entries after base. The caller
// holds mu.
func (c *Cluster) announceEntries(now time.Time, base catalog.Position) {
	entries := c.discovery.catalog.EntriesAfter(now, base)
	if len(entries) == 0 {
		return
	}
	c.discovery.enqueueAnnouncement(&instance.AnnounceRequest{From: c.view.Self(), BasePosition: base, CatalogPosition: c.discovery.catalog.Position(), Entries: instance.NewEncodedEntries(entries)})
}

// entriesAnnounceLoop sends the queued announcements one after the other.
func (c *Cluster) entriesAnnounceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-c.discovery.announceQueue:
			c.sendAnnouncement(ctx, q)
		}
	}
}

// sendAnnouncement sends an announcement to all announceRecipients, in up to
// announceAttempts rounds. A round repeats the calls that failed in the one
// before, and includes the members downstream of relays that have begun to fail.
// The digest of the members is sent in one round.
func (c *Cluster) sendAnnouncement(ctx context.Context, q *instance.AnnounceRequest) {
	began := time.Now()
	rounds := announceAttempts
	if q.MembersDigest != 0 {
		rounds = 1
	}
	var unreached []member.Info
	tried := map[string]bool{}
	for range rounds {
		for _, m := range c.announceRecipients() {
			if !tried[m.ID] {
				tried[m.ID] = true
				unreached = append(unreached, m)
			}
		}
		unreached = c.announceToAll(ctx, unreached, q)
		if len(unreached) == 0 {
			return
		}
	}
	if ctx.Err() == nil {
		c.cfg.Log.Info("announcement not delivered to all members", zap.Int("unreached", len(unreached)), zap.Duration("took", time.Since(began)), zap.Int("queued", len(c.discovery.announceQueue)))
	}
}

// announceToAll sends an announcement to the members at once and returns those
// that were unavailable.
func (c *Cluster) announceToAll(ctx context.Context, members []member.Info, q *instance.AnnounceRequest) []member.Info {
	p := pool.NewWithResults[[]member.Info]().WithMaxGoroutines(maxConcurrentAnnouncements)
	for _, m := range members {
		p.Go(func() []member.Info {
			err := c.call(ctx, m, instance.MethodAnnounce, q, &instance.AnnounceReply{})
			if fault.KindOf(err) == fault.KindPeerUnavailable {
				return []member.Info{m}
			}
			return nil
		})
	}
	return slices.Concat(p.Wait()...)
}

// announceRecipients returns the members that this instance sends announcements
// to: those downstream in the tree, past failing relays, except the feed readers
// and failing members. Without relays, these include members that are not ranked,
// such as leaving ones.
func (c *Cluster) announceRecipients() []member.Info {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	tree := c.currentTree(now)
	// A timeout would delay the others; a failing member fetches the entries when
	// it is reachable again.
	recipients := tree.RecipientsBypassing(c.self.ID, c.view.Failing)
	var to []member.Info
	for _, m := range c.view.CellMembers(now, c.cell) {
		position := tree.Position(m.ID)
		unranked := position < 0 && !tree.HasRelays() && m.State != member.Suspect && !c.view.Failing(m.ID)
		if unranked || position >= feedReaders && slices.Contains(recipients, m.ID) {
			to = append(to, m.Info)
		}
	}
	return to
}

// applyEntries merges announced entries if this instance has all entries before
// them; else it arranges a fetch. A relay forwards them. The caller holds mu.
func (c *Cluster) applyEntries(now time.Time, q *instance.AnnounceRequest) {
	entries := q.Entries.List()
	if c.discovery == nil || len(entries) == 0 {
		return
	}
	base := c.discovery.catalog.Position()
	if base.Behind(q.BasePosition) {
		c.fetchCatalogIfBehind(q.From, q.CatalogPosition)
		return
	}
	c.discovery.catalog.MergeAll(now, entries, q.CatalogPosition)
	c.assembleTables(sourceAnnouncement)
	c.forwardEntries(now, base)
}

// forwardEntries announces the entries after base to the downstream members if
// this instance is a relay. The caller holds mu.
func (c *Cluster) forwardEntries(now time.Time, base catalog.Position) {
	if c.currentTree(now).IsRelay(c.self.ID) {
		c.announceEntries(now, base)
	}
}
