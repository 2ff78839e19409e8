package cluster

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/decision/freshness"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
)

const (
	// feedReaders is the number of instances of a cell that read the feeds. It announces
	// the entries to the other members.
	feedReaders = 1
	// maxReaderCheckInterval is the longest time between two checks whether this
	// instance has to read the feeds: the rank order changes with the members.
	maxReaderCheckInterval = 500 * time.Millisecond
	// minReaderCheckInterval is the shortest one.
	minReaderCheckInterval = 20 * time.Millisecond
	// pullInterval is the time between two requests to the other cells for what the
	// store has accepted, while this instance reads and the store does not answer it.
	pullInterval = 400 * time.Millisecond
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
	// Failures before this instance stopped reading must not count when it reads
	// again.
	c.discovery.failingSince[t], c.discovery.reading[t] = time.Time{}, false
	c.discovery.confirmed[t], c.discovery.tookOver = false, false
	return false
}

// startReading records that this instance reads the feed of t from now on, and logs
// if it takes over from another instance. The caller holds mu.
func (c *Cluster) startReading(now time.Time, t catalog.Topic) {
	d := c.discovery
	if d.reading[t] {
		return
	}
	d.reading[t] = true
	position := c.currentTree(now).Position(c.self.ID)
	if d.synced[t] && d.fresh.HasPeer() && position != 0 {
		d.tookOver = true
		c.cfg.Log.Warn("reading the feed in place of the instances before this one, which are not up to date", zap.Stringer("topic", t),
			zap.Int("rank", position), zap.Duration("staleness", now.Sub(d.fresh.CompleteAt())), zap.Uint64("position", d.catalog.Position()[t]))
	}
}

// feedRole returns this instance's part in reading the feeds. The caller holds mu.
func (c *Cluster) feedRole(now time.Time) freshness.Role {
	tree := c.currentTree(now)
	role := freshness.Role{Position: tree.Position(c.self.ID), TookOver: c.discovery.tookOver}
	if tree.HasRelays() {
		role.Allowance = c.timing.Member.RelayAllowance
	}
	return role
}

// isFeedReader reports whether this instance has to read the feeds; see
// freshness.Tracker.ShouldRead. The caller holds mu.
func (c *Cluster) isFeedReader(now time.Time) bool {
	return c.discovery.fresh.ShouldRead(now, c.feedRole(now))
}

// actsAsReader reports whether the other members rely on this instance's reads: it is
// the first of the cell or reads in place of those before it. The caller holds mu.
func (c *Cluster) actsAsReader(now time.Time) bool {
	role := c.feedRole(now)
	return role.Position == 0 || c.discovery.fresh.HasPeer() && c.discovery.fresh.ShouldRead(now, role)
}

// readerCheckDelay returns the time until this instance checks again whether it has to
// read the feeds.
func (c *Cluster) readerCheckDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	next := c.discovery.fresh.NextCheck(now, c.feedRole(now))
	return min(max(next, minReaderCheckInterval), maxReaderCheckInterval)
}

// feedsUpToDate reports whether this instance reads all feeds itself and the
// reads succeed, the first of them included. The caller holds mu.
func (c *Cluster) feedsUpToDate() bool {
	return c.discovery != nil && c.discovery.readsSucceed() && c.isFeedReader(time.Now())
}

// readsSucceed reports whether the last read of each feed has succeeded since this
// instance began to read it.
func (d *discovery) readsSucceed() bool {
	for t := range d.failingSince {
		if !d.failingSince[t].IsZero() || !d.synced[t] || !d.confirmed[t] {
			return false
		}
	}
	return true
}

// feedFreshness returns how recent this instance's copy of the feeds is or, without
// feeds, its tables. The caller holds mu.
func (c *Cluster) feedFreshness(now time.Time) instance.FeedFreshness {
	at := c.headAt
	if c.discovery != nil {
		at = c.discovery.fresh.CompleteAt()
	}
	if at.IsZero() {
		return instance.FeedFreshness{}
	}
	return instance.FeedFreshness{HasFeedReader: true, FeedReaderAge: max(0, now.Sub(at))}
}

// observeFreshness records how recent the copy of another instance with the given
// position was at a time. It counts only if this instance has all entries of that
// copy. senior is set for a proof of a reader before this instance in rank order. The
// caller holds mu.
func (c *Cluster) observeFreshness(at time.Time, f instance.FeedFreshness, position catalog.Position, senior bool) {
	if c.discovery == nil || !f.HasFeedReader || c.discovery.catalog.Position().Behind(position) {
		return
	}
	if senior {
		c.discovery.fresh.RecordSenior(at.Add(-f.FeedReaderAge))
		return
	}
	c.discovery.fresh.RecordPeer(at.Add(-f.FeedReaderAge))
}

// isSenior reports whether an instance is before this one in the rank order of the
// cell. The caller holds mu.
func (c *Cluster) isSenior(now time.Time, id string) bool {
	tree := c.currentTree(now)
	position, own := tree.Position(id), tree.Position(c.self.ID)
	return position >= 0 && (own < 0 || position < own)
}

// recordProof records up to which time the reads have proven the copy complete. The
// reads of the targets come often; those of the operators' topic, which the store
// holds for longer, count as long as they do not fail.
func (d *discovery) recordProof() {
	if d.readsSucceed() {
		d.fresh.RecordRead(d.readAt[catalog.Targets])
	}
}

// pullLoop requests the entries of the other cells while this instance reads for its
// cell and the store does not answer it, because the store may answer them.
func (c *Cluster) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.discovery.pullDue:
		}
		for sources := c.pullSources(); len(sources) > 0; sources = c.pullSources() {
			c.pullCatalog(ctx, sources)
			if !sleep(ctx, pullInterval, nil) {
				return
			}
		}
	}
}

// pullSources returns an instance of each other cell if this instance reads for its
// cell and its reads fail.
func (c *Cluster) pullSources() []member.Info {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.discovery.readsFail() || !c.actsAsReader(now) {
		return nil
	}
	return c.pickCellContacts(now)
}

// readsFail reports whether the last read of any feed has failed.
func (d *discovery) readsFail() bool {
	for _, since := range d.failingSince {
		if !since.IsZero() {
			return true
		}
	}
	return false
}

// pullCatalog requests the entries that this instance lacks from several instances at
// once.
func (c *Cluster) pullCatalog(ctx context.Context, sources []member.Info) {
	p := pool.New().WithMaxGoroutines(maxConcurrentAnnouncements)
	for _, from := range sources {
		p.Go(func() { c.fetchCatalog(ctx, from) })
	}
	p.Wait()
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
	base, entries := c.discovery.catalog.Position(), q.Entries.List()
	if (len(entries) > 0 || q.HasFeedReader) && !base.Behind(q.BasePosition) {
		c.discovery.catalog.MergeAll(now, entries, q.CatalogPosition)
	}
	c.fetchCatalogIfBehind(q.From, q.CatalogPosition)
	c.observeFreshness(now, q.FeedFreshness, q.CatalogPosition, c.isSenior(now, q.From.ID))
	if len(entries) == 0 || c.discovery.catalog.Position() == base {
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
	a.to = c.announceRecipients(now)
	c.enqueueAnnouncement(a)
}
