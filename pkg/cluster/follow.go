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
	// followers is the number of instances of a cell that read the feeds.
	followers = 2
	// followCheck is the interval in which the others look whether they must.
	followCheck = 200 * time.Millisecond
	// followerSilence is how long after the last word of an instance that reads
	// the feeds the others read them themselves.
	followerSilence = 2500 * time.Millisecond
	// maxSpreads bounds the announcements that wait; what does not fit is
	// fetched after the next heartbeat.
	maxSpreads = 32
)

// follows reports whether this instance is to read the feed of t now: it has
// not read it whole yet, it is one of the cell's followers, or it hears none.
func (c *Cluster) follows(t catalog.Topic) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.discovery.synced[t] || c.reads(now) {
		c.beginToRead(now, t)
		return true
	}
	// What it missed while it did not read counts for nothing.
	c.discovery.down[t], c.discovery.reading[t] = time.Time{}, false
	return false
}

// beginToRead takes in that this instance reads the feed of t. When it begins
// to because it has heard from no follower for long, the store may have been
// down since then. The caller holds mu.
func (c *Cluster) beginToRead(now time.Time, t catalog.Topic) {
	d := c.discovery
	if d.reading[t] {
		return
	}
	d.reading[t] = true
	if d.synced[t] && !d.followerHeard.IsZero() && now.Sub(d.followerHeard) > followerSilence {
		d.down[t] = d.followerHeard
		c.cfg.Log.Warn("feed lost", zap.Stringer("topic", t), zap.String("why", "no reader of the feed was heard from"),
			zap.Duration("silent_for", now.Sub(d.followerHeard)), zap.Uint64("position", d.catalog.Position()[t]))
	}
}

// reads reports whether it is this instance's part to read the feeds. The
// caller holds mu.
func (c *Cluster) reads(now time.Time) bool {
	tree := c.tree(now)
	silence := followerSilence
	if tree.HasRelays() {
		silence += c.timing.Member.Relayed
	}
	return tree.Position(c.self.ID) < followers || now.Sub(c.discovery.followerHeard) > silence
}

// following reports whether this instance gets what is new from the store. The
// caller holds mu.
func (c *Cluster) following() bool {
	d := c.discovery
	if d == nil {
		return false
	}
	for t := range d.down {
		if !d.down[t].IsZero() || !d.synced[t] {
			return false
		}
	}
	return c.reads(time.Now())
}

// hearsFollower reports whether this instance gets what is new from the store,
// or passes on what it hears from one that does, and how long ago it heard from
// that. The caller holds mu.
func (c *Cluster) hearsFollower(now time.Time) (bool, time.Duration) {
	if c.following() {
		return true, 0
	}
	if c.discovery == nil || !c.tree(now).HasRelays() || c.discovery.followerHeard.IsZero() {
		return false, 0
	}
	return true, now.Sub(c.discovery.followerHeard)
}

// hearFollower takes in that an instance that reads the feeds was heard at a
// time.
func (d *discovery) hearFollower(at time.Time) {
	if at.After(d.followerHeard) {
		d.followerHeard = at
	}
}

// spreadEntries has what was read told to the cell, by the first of its
// followers. The caller holds mu.
func (c *Cluster) spreadEntries(now time.Time, base catalog.Position) {
	if c.tree(now).Position(c.self.ID) == 0 {
		c.tell(now, base)
	}
}

// tell has the entries above base told to the cell. The caller holds mu.
func (c *Cluster) tell(now time.Time, base catalog.Position) {
	entries := c.discovery.catalog.EntriesAfter(now, base)
	if len(entries) == 0 {
		return
	}
	c.discovery.send(&instance.AnnounceRequest{From: c.view.Self(), Base: base, Catalog: c.discovery.catalog.Position(), Entries: instance.NewEntries(entries)})
}

// spreadLoop sends the announcements in their order.
func (c *Cluster) spreadLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-c.discovery.spreads:
			c.spreadOne(ctx, q)
		}
	}
}

// spreadOne tells those below this instance but the followers of the cell.
func (c *Cluster) spreadOne(ctx context.Context, q *instance.AnnounceRequest) {
	tries := announceTries
	if q.Members != 0 {
		tries = 1
	}
	p := pool.New().WithMaxGoroutines(announceWidth)
	for _, m := range c.listeners() {
		p.Go(func() { c.announceTo(ctx, m, q, tries) })
	}
	p.Wait()
}

// listeners returns whom this instance tells what is new.
func (c *Cluster) listeners() []member.Info {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	tree := c.tree(now)
	below := tree.Below(c.self.ID)
	var to []member.Info
	for _, m := range c.view.Cell(now, c.cell) {
		if c.view.Failing(m.ID) {
			continue // it would hold up the others, and asks itself once it hears
		}
		at := tree.Position(m.ID)
		unranked := at < 0 && !tree.HasRelays() && m.State != member.Suspect
		if unranked || at >= followers && slices.Contains(below, m.ID) {
			to = append(to, m.Info)
		}
	}
	return to
}

// takeEntries takes in announced entries when nothing is missing before them;
// else they are fetched. A relay passes them on. The caller holds mu.
func (c *Cluster) takeEntries(now time.Time, q *instance.AnnounceRequest) {
	entries := q.Entries.List()
	if c.discovery == nil || len(entries) == 0 {
		return
	}
	base := c.discovery.catalog.Position()
	if base.Behind(q.Base) {
		c.offerCatalog(q.From, q.Catalog)
		return
	}
	c.discovery.catalog.MergeAll(now, entries, q.Catalog)
	c.assemble()
	c.passOn(now, base)
}

// passOn has the entries above base told to those who count on a relay. The
// caller holds mu.
func (c *Cluster) passOn(now time.Time, base catalog.Position) {
	if c.tree(now).IsRelay(c.self.ID) {
		c.tell(now, base)
	}
}
