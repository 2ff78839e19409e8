package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
)

const (
	// feedReaders is the number of instances of a cell that read the feeds.
	feedReaders = 2
	// readerCheckInterval is the interval in which the others look whether they must.
	readerCheckInterval = 200 * time.Millisecond
	// readerTimeout is how long after the last word of an instance that reads
	// the feeds the others read them themselves.
	readerTimeout = 2500 * time.Millisecond
	// maxQueuedAnnouncements bounds the announcements that wait; what does not fit is
	// fetched after the next heartbeat.
	maxQueuedAnnouncements = 32
)

// shouldReadFeed reports whether this instance is to read the feed of t now: it has
// not read it whole yet, it is one of the cell's followers, or it hears none.
func (c *Cluster) shouldReadFeed(t catalog.Topic) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.discovery.synced[t] || c.isFeedReader(now) {
		c.startReading(now, t)
		return true
	}
	// What it missed while it did not read counts for nothing.
	c.discovery.failingSince[t], c.discovery.reading[t] = time.Time{}, false
	return false
}

// startReading takes in that this instance reads the feed of t. When it begins
// to because it has heard from no follower for long, the store may have been
// down since then. The caller holds mu.
func (c *Cluster) startReading(now time.Time, t catalog.Topic) {
	d := c.discovery
	if d.reading[t] {
		return
	}
	d.reading[t] = true
	if d.synced[t] && !d.readerSeenAt.IsZero() && now.Sub(d.readerSeenAt) > readerTimeout {
		d.failingSince[t] = d.readerSeenAt
		c.cfg.Log.Warn("feed lost", zap.Stringer("topic", t), zap.String("why", "no reader of the feed was heard from"),
			zap.Duration("silent_for", now.Sub(d.readerSeenAt)), zap.Uint64("position", d.catalog.Position()[t]))
	}
}

// isFeedReader reports whether it is this instance's part to read the feeds. The
// caller holds mu.
func (c *Cluster) isFeedReader(now time.Time) bool {
	tree := c.currentTree(now)
	silence := readerTimeout
	if tree.HasRelays() {
		silence += c.timing.Member.Relayed
	}
	return tree.Position(c.self.ID) < feedReaders || now.Sub(c.discovery.readerSeenAt) > silence
}

// feedsUpToDate reports whether this instance gets what is new from the store. The
// caller holds mu.
func (c *Cluster) feedsUpToDate() bool {
	d := c.discovery
	if d == nil {
		return false
	}
	for t := range d.failingSince {
		if !d.failingSince[t].IsZero() || !d.synced[t] {
			return false
		}
	}
	return c.isFeedReader(time.Now())
}

// feedFreshness reports whether this instance gets what is new from the store,
// or passes on what it hears from one that does, and how long ago it heard from
// that. The caller holds mu.
func (c *Cluster) feedFreshness(now time.Time) (bool, time.Duration) {
	if c.feedsUpToDate() {
		return true, 0
	}
	if c.discovery == nil || !c.currentTree(now).HasRelays() || c.discovery.readerSeenAt.IsZero() {
		return false, 0
	}
	return true, now.Sub(c.discovery.readerSeenAt)
}

// observeReader takes in that an instance that reads the feeds was heard at a
// time.
func (d *discovery) observeReader(at time.Time) {
	if at.After(d.readerSeenAt) {
		d.readerSeenAt = at
	}
}

// announceReadEntries has what was read told to the cell, by the first of its
// followers. The caller holds mu.
func (c *Cluster) announceReadEntries(now time.Time, base catalog.Position) {
	if c.currentTree(now).Position(c.self.ID) == 0 {
		c.announceEntries(now, base)
	}
}

// announceEntries has the entries above base told to the cell. The caller holds mu.
func (c *Cluster) announceEntries(now time.Time, base catalog.Position) {
	entries := c.discovery.catalog.Since(now, base)
	if len(entries) == 0 {
		return
	}
	c.discovery.enqueueAnnouncement(&instance.AnnounceRequest{From: c.view.Self(), Base: base, Catalog: c.discovery.catalog.Position(), Entries: instance.NewEntries(entries)})
}

// entriesAnnounceLoop sends the announcements in their order.
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

// sendAnnouncement tells those below this instance but the followers of the cell.
func (c *Cluster) sendAnnouncement(ctx context.Context, q *instance.AnnounceRequest) {
	tries := announceAttempts
	if q.Members != 0 {
		tries = 1
	}
	p := pool.New().WithMaxGoroutines(maxConcurrentAnnouncements)
	for _, m := range c.announceReceivers() {
		p.Go(func() { c.announceTo(ctx, m, q, tries) })
	}
	p.Wait()
}

// announceReceivers returns whom this instance tells what is new.
func (c *Cluster) announceReceivers() []member.Info {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	tree := c.currentTree(now)
	below := tree.Below(c.self.ID)
	var to []member.Info
	for _, m := range c.view.Cell(now, c.cell) {
		if c.view.Failing(m.ID) {
			continue // it would hold up the others, and asks itself once it hears
		}
		at := tree.Position(m.ID)
		unranked := at < 0 && !tree.HasRelays() && m.State != member.Suspect
		if unranked || at >= feedReaders && slices.Contains(below, m.ID) {
			to = append(to, m.Info)
		}
	}
	return to
}

// applyEntries takes in announced entries when nothing is missing before them;
// else they are fetched. A relay passes them on. The caller holds mu.
func (c *Cluster) applyEntries(now time.Time, q *instance.AnnounceRequest) {
	entries := q.Entries.List()
	if c.discovery == nil || len(entries) == 0 {
		return
	}
	base := c.discovery.catalog.Position()
	if base.Behind(q.Base) {
		c.fetchCatalogIfBehind(q.From, q.Catalog)
		return
	}
	c.discovery.catalog.MergeAll(now, entries, q.Catalog)
	c.assembleTables()
	c.forwardEntries(now, base)
}

// forwardEntries has the entries above base told to those who count on a relay. The
// caller holds mu.
func (c *Cluster) forwardEntries(now time.Time, base catalog.Position) {
	if c.currentTree(now).IsRelay(c.self.ID) {
		c.announceEntries(now, base)
	}
}
