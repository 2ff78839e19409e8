package cluster

import (
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/decision/freshness"
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
	complete := at.Add(-max(0, f.FeedReaderAge))
	if senior {
		c.discovery.fresh.RecordSenior(complete)
		return
	}
	c.discovery.fresh.RecordPeer(complete)
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
