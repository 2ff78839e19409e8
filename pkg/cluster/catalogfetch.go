package cluster

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
)

const (
	// maxFeedLag is how much later than another instance this one may receive a
	// change from its own read of a feed.
	maxFeedLag = 400 * time.Millisecond
	// pullInterval is the time between two requests to the other cells for what the
	// store has accepted, while this instance reads and the store does not answer it.
	pullInterval = 400 * time.Millisecond
)

// checkFeedLag requests the entries that another instance has had for
// maxFeedLag and this instance has not read: the connection to the platform may
// be dead without an error. The caller holds mu.
func (c *Cluster) checkFeedLag(now time.Time) {
	d := c.discovery
	switch {
	case d.aheadSince.IsZero():
	case !d.catalog.Position().Behind(d.aheadPosition):
		d.aheadSince = time.Time{}
	case now.Sub(d.aheadSince) >= maxFeedLag:
		d.aheadSince = time.Time{}
		d.requestFetch(d.aheadMember)
	}
}

// requestFetch queues a fetch of missing entries from an instance, unless one
// is already queued.
func (d *discovery) requestFetch(from member.Info) {
	select {
	case d.fetchQueue <- from:
	default:
	}
}

// canApply reports whether the patches among entries can be applied. If not, it queues a
// fetch of whole configurations from the instance that has sent them. The caller holds mu.
func (d *discovery) canApply(from member.Info, entries []catalog.Entry) bool {
	if d.catalog.CanApply(entries) {
		return true
	}
	d.needsWhole = true
	d.requestFetch(from)
	return false
}

// catalogPosition returns the position up to which this instance has all
// entries; zero without feeds. The caller holds mu.
func (c *Cluster) catalogPosition() catalog.Position {
	if c.discovery == nil {
		return catalog.Position{}
	}
	return c.discovery.catalog.Position()
}

// havePosition returns the position for a request of missing entries. An instance that has
// not asked another one yet, and has read the copy to which the store was restored, lacks
// what the others have kept against it under the same versions. The caller holds mu.
func (d *discovery) havePosition() catalog.Position {
	have := d.catalog.Position()
	if d.mayLackKeptEntries && catalog.GenerationOf(have[catalog.Operators]) > 0 {
		have[catalog.Operators] = 0
	}
	return have
}

// mayHaveKeptEntries reports whether an instance at the position knows of the last restore that
// this one knows of. Before that, what it has kept has versions that count as older than those
// of the copy. The caller holds mu.
func (d *discovery) mayHaveKeptEntries(position catalog.Position) bool {
	own := d.catalog.Position()
	return catalog.GenerationOf(position[catalog.Operators]) >= catalog.GenerationOf(own[catalog.Operators])
}

// fetchCatalogIfBehind arranges a fetch from an instance whose position is
// ahead of this one's: at once if this instance does not read the feeds itself,
// else only if its own reads have not caught up after maxFeedLag. The caller
// holds mu.
func (c *Cluster) fetchCatalogIfBehind(from member.Info, position catalog.Position) {
	d := c.discovery
	if d == nil {
		return
	}
	if d.mayLackKeptEntries && catalog.GenerationOf(position[catalog.Operators]) > 0 && d.mayHaveKeptEntries(position) {
		d.requestFetch(from)
		return
	}
	if !d.catalog.Position().Behind(position) {
		return
	}
	if !c.feedsUpToDate() {
		d.requestFetch(from)
		return
	}
	if d.aheadSince.IsZero() {
		d.aheadMember, d.aheadPosition, d.aheadSince = from, position, time.Now()
	}
}

// catalogFetchLoop fetches entries from the queued instances.
func (c *Cluster) catalogFetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-c.discovery.fetchQueue:
			c.fetchCatalog(ctx, from)
		}
	}
}

// fetchCatalog fetches the entries that from has and this instance lacks. As an acting
// feed reader or a relay, this instance announces them to the other members.
func (c *Cluster) fetchCatalog(ctx context.Context, from member.Info) {
	c.mu.Lock()
	q := &instance.CatalogRequest{HavePosition: c.discovery.havePosition(), AcceptsPatches: !c.discovery.needsWhole}
	c.mu.Unlock()
	sent, r := time.Now(), &instance.CatalogReply{}
	if err := c.call(ctx, from, instance.MethodCatalog, q, r); err != nil {
		c.cfg.Log.Warn("fetching catalog entries from another instance failed", zap.String("from", from.ID), zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	base := c.discovery.catalog.Position()
	if !c.discovery.canApply(from, r.Entries) {
		return
	}
	c.discovery.needsWhole = false
	if c.discovery.mayHaveKeptEntries(r.Position) {
		c.discovery.mayLackKeptEntries = false
	}
	c.discovery.catalog.MergeAll(now, r.Entries, r.Live, r.Position)
	c.observeFreshness(sent, r.FeedFreshness, r.Position, false)
	if c.actsAsReader(now) {
		// The other members rely on this instance, whether the store or another
		// instance tells it.
		c.announceRead(now, base)
	} else {
		c.forwardEntries(now, base)
	}
	if len(r.Entries) > 0 || !r.Live.IsZero() {
		c.cfg.Log.Info("fetched catalog entries from another instance", zap.String("from", from.ID), zap.Int("entries", len(r.Entries)),
			zap.Uint64s("after", base[:]), zap.Uint64s("position", r.Position[:]), zap.Bool("with_live_keys", !r.Live.IsZero()))
		c.assembleTables(sourceFetch)
	}
}

// Catalog handles a request for the entries after the client's position. Error:
// fault.KindNotReady when this instance reads no feeds.
func (c server) Catalog(_ context.Context, q *instance.CatalogRequest) (*instance.CatalogReply, error) {
	if c.discovery == nil {
		return nil, fault.New(fault.KindNotReady, "this instance has no feeds configured")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	entries := c.discovery.catalog.EntriesAfter(now, q.HavePosition)
	if patched, ok := c.discovery.catalog.Patched(entries, q.HavePosition); ok && q.AcceptsPatches {
		entries = patched
	}
	return &instance.CatalogReply{
		Entries: entries, Position: c.discovery.catalog.Position(), Live: c.discovery.catalog.LiveKeysFor(q.HavePosition),
		FeedFreshness: c.feedFreshness(now),
	}, nil
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
