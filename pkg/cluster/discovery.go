package cluster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/decision/freshness"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

const (
	// feedPollWait is how long the platform may hold a long poll of a feed that
	// has no changes.
	feedPollWait = 5 * time.Second
	// feedPollGrace is added to feedPollWait for the timeout of a poll.
	feedPollGrace = 1 * time.Second
	// feedReadSpacing is the pause after a read that returned changes, so that
	// the next read returns several changes at once.
	feedReadSpacing = 200 * time.Millisecond
	// maxFeedLag is how much later than another instance this one may receive a
	// change from its own read of a feed.
	maxFeedLag = 400 * time.Millisecond
	// feedProbeTimeout bounds a read of a feed while its reads fail.
	feedProbeTimeout = 800 * time.Millisecond
	// feedRetryMin and feedRetryMax bound the backoff after a failed read.
	feedRetryMin = 100 * time.Millisecond
	feedRetryMax = 800 * time.Millisecond
	// minExpiryOutage is the shortest outage of the store in which the entries of
	// live targets may expire because they could not be renewed.
	minExpiryOutage = time.Second
	// catalogTickInterval is the interval between runs of the catalog's
	// deferred work, see catalogLoop.
	catalogTickInterval = 200 * time.Millisecond
)

// discovery is the state of an instance whose tables are assembled from the
// platform's feeds.
type discovery struct {
	// catalog holds the entries. Like the other fields, it is guarded by the
	// Cluster's mu.
	catalog *catalog.Catalog
	// synced is set for each topic once a full snapshot of it has been read.
	// failingSince is when reads of the topic began to fail; zero while they
	// succeed.
	synced       [catalog.TopicCount]bool
	failingSince [catalog.TopicCount]time.Time
	// reading is set for each topic while this instance is to read its feed.
	reading [catalog.TopicCount]bool
	// confirmed is set for each topic once a read has succeeded since this
	// instance began to read its feed.
	confirmed [catalog.TopicCount]bool
	// tablesVersion counts the tables assembled by this instance.
	tablesVersion uint64
	// clocks relate the platform's clock, as the responses of each topic state it, to
	// the local one, and readAt is when the last one was formed.
	clocks [catalog.TopicCount]freshness.StoreClock
	readAt [catalog.TopicCount]time.Time
	// unappliedSince is a time at which the store held none of the changes in the tables
	// that TakeUnappliedSince has not reported yet; zero if there are none.
	unappliedSince time.Time
	// fetchQueue holds the instances to fetch missing entries from.
	fetchQueue chan member.Info
	// readerSeenAt is the last time at which a feed reader was known to be up to
	// date, from a heartbeat reply of the reader or of an instance that receives
	// its entries.
	readerSeenAt time.Time
	// aheadMember is an instance that has reported the position aheadPosition,
	// which this instance has not reached although it reads the feeds.
	// aheadSince is when it first reported that; zero when there is none.
	aheadMember   member.Info
	aheadPosition catalog.Position
	aheadSince    time.Time
	// knownWatchers are the cell's watchers as of the last check for changes.
	knownWatchers []string
	// announcedDigest is the digest of the members as last announced, at
	// digestAnnouncedAt.
	announcedDigest   uint64
	digestAnnouncedAt time.Time
	// announceQueue holds the announcements to be sent.
	announceQueue chan *instance.AnnounceRequest
}

func newDiscovery() *discovery {
	return &discovery{catalog: catalog.New(), fetchQueue: make(chan member.Info, 1), announceQueue: make(chan *instance.AnnounceRequest, maxQueuedAnnouncements)}
}

// discoveryLoops returns the loops that read the feeds and exchange entries
// with other instances.
func (c *Cluster) discoveryLoops() []func(context.Context) {
	loops := []func(context.Context){c.catalogLoop, c.catalogFetchLoop, c.entriesAnnounceLoop, c.retryLoop}
	for _, f := range c.cfg.Feeds {
		loops = append(loops, func(ctx context.Context) { c.feedLoop(ctx, f) })
	}
	return loops
}

// feedLoop reads one feed until ctx ends, while this instance is to read it.
func (c *Cluster) feedLoop(ctx context.Context, f platform.Feed) {
	retry := feedRetryMin
	for ctx.Err() == nil {
		if !c.shouldReadFeed(f.Topic()) {
			if !sleep(ctx, readerCheckInterval, nil) {
				return
			}
			continue
		}
		began := time.Now()
		changed, err := c.readFeed(ctx, f)
		if ctx.Err() != nil {
			return
		}
		c.recordFeedRead(f.Topic(), began, err)
		pause := time.Duration(0)
		if changed {
			pause = feedReadSpacing
		}
		if err != nil {
			pause = c.jitter(retry)
			retry = min(2*retry, feedRetryMax)
		} else {
			retry = feedRetryMin
		}
		if !sleep(ctx, pause, nil) {
			return
		}
	}
}

// readFeed reads f once: a snapshot at first and when the platform no longer
// has the history since the last read, else the changes. It reports whether it
// read any entries.
func (c *Cluster) readFeed(ctx context.Context, f platform.Feed) (changed bool, err error) {
	t := f.Topic()
	c.mu.Lock()
	synced, after := c.discovery.synced[t], c.discovery.catalog.Position()[t]
	failing, confirmed := !c.discovery.failingSince[t].IsZero(), c.discovery.confirmed[t]
	c.mu.Unlock()
	if !synced {
		return true, c.readSnapshot(ctx, f)
	}
	wait, limit := feedPollWait, feedPollWait+feedPollGrace
	switch {
	case failing:
		// An unresponsive store must not delay the next attempt.
		wait, limit = 0, feedProbeTimeout
	case !confirmed:
		// A new feed reader must know soon whether it is up to date.
		wait, limit = 0, feedPollGrace
	}
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := time.Now()
	read, err := f.Changes(callCtx, after, wait)
	if fault.KindOf(err) == fault.KindHistoryGone {
		c.mu.Lock()
		c.discovery.synced[t] = false
		c.mu.Unlock()
		return true, c.readSnapshot(ctx, f)
	}
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.recordOutageEnd(now, t)
	c.setAges(now, t, read.Entries)
	c.discovery.readAt[t] = c.discovery.clocks[t].Observe(sent, now, read.StoreTime)
	base := c.discovery.catalog.Position()
	c.discovery.catalog.Merge(now, t, read.Entries, read.Version)
	c.assembleTables(sourceRead)
	c.announceReadEntries(now, base)
	return len(read.Entries) > 0, nil
}

// readSnapshot reads all entries of f and replaces those in the catalog.
func (c *Cluster) readSnapshot(ctx context.Context, f platform.Feed) error {
	callCtx, cancel := context.WithTimeout(ctx, c.timing.StoreTimeout)
	defer cancel()
	sent := time.Now()
	read, err := f.Snapshot(callCtx)
	if err != nil {
		return err
	}
	t := f.Topic()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.recordOutageEnd(now, t)
	c.setAges(now, t, read.Entries)
	c.discovery.readAt[t] = c.discovery.clocks[t].Observe(sent, now, read.StoreTime)
	c.discovery.catalog.Replace(now, t, read.Entries, read.Version)
	c.discovery.synced[t] = true
	c.cfg.Log.Info("read a snapshot of the feed", zap.Stringer("topic", t), zap.Int("entries", len(read.Entries)), zap.Duration("took", now.Sub(sent)))
	c.assembleTables(sourceRead)
	return nil
}

// setAges sets the Age of entries read from t: the store held none of them when this
// instance, or one that it follows, last read the feed. The caller holds mu.
func (c *Cluster) setAges(now time.Time, t catalog.Topic, entries []catalog.Entry) {
	since := c.discovery.readAt[t]
	if c.discovery.readerSeenAt.After(since) {
		since = c.discovery.readerSeenAt
	}
	if since.IsZero() {
		return
	}
	for i := range entries {
		entries[i].Age = now.Sub(since)
	}
}

// recordOutageEnd notifies the catalog if a successful read ends an outage that
// was long enough for entries to expire. Call it before the entries of that
// read are merged. The caller holds mu.
func (c *Cluster) recordOutageEnd(now time.Time, t catalog.Topic) {
	if since := c.discovery.failingSince[t]; !since.IsZero() && now.Sub(since) >= minExpiryOutage {
		c.discovery.catalog.StoreRecovered(now, t)
	}
}

// recordFeedRead records the result of a read of a feed that began at began,
// and logs when reads begin to fail and when they succeed again. The start of
// an outage is the time at which the unanswered read should have returned, not
// the time at which it timed out.
func (c *Cluster) recordFeedRead(t catalog.Topic, began time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.discovery.failingSince[t]
	c.discovery.confirmed[t] = c.discovery.confirmed[t] || err == nil
	switch {
	case err != nil && since.IsZero():
		now, due := time.Now(), began.Add(feedPollWait)
		if due.After(now) {
			due = now
		}
		c.discovery.failingSince[t] = due
		c.cfg.Log.Warn("feed unavailable; retrying", zap.Stringer("topic", t), zap.Error(err), zap.Uint64("position", c.discovery.catalog.Position()[t]))
	case err == nil && !since.IsZero():
		c.discovery.failingSince[t] = time.Time{}
		c.cfg.Log.Info("feed available again", zap.Stringer("topic", t), zap.Duration("after", time.Since(since)), zap.Uint64("position", c.discovery.catalog.Position()[t]))
	}
}

// entrySource says how entries have reached this instance.
type entrySource string

// The sources of entries.
const (
	sourceRead         entrySource = "read"
	sourceAnnouncement entrySource = "announcement"
	sourceFetch        entrySource = "fetch"
	// sourceDeferred: entries that were known before and have come into force.
	sourceDeferred entrySource = "deferred"
)

// assembleTables puts the tables assembled from the catalog in force, if they
// have changed because of entries from source. Without the targets' snapshot, the
// first tables must contain a pool. The caller holds mu.
func (c *Cluster) assembleTables(source entrySource) {
	d := c.discovery
	c.observeStoreGeneration(time.Now())
	if kept, ok := d.catalog.TakeKept(); ok {
		c.cfg.Log.Info("kept what is newer than the restored copy of the platform's store",
			zap.Int("configs", kept.Configs), zap.Int("evacuations", kept.Evacuations), zap.Int("targets", kept.Targets))
	}
	t := d.catalog.Assemble()
	if t == nil || !d.synced[catalog.Targets] && d.tablesVersion == 0 && len(t.Pools) == 0 {
		return
	}
	d.tablesVersion++
	t.Version = d.tablesVersion
	c.versions.Accept(t.Version)
	c.tables.Store(t)
	c.cfg.Log.Info("assembled tables from the catalog", zap.String("source", string(source)), zap.Duration("change_age", d.noteChangeAge()),
		zap.Uint64("config", d.catalog.ConfigVersion()), zap.Uint64("version", t.Version),
		zap.Uint64("operators", d.catalog.Position()[catalog.Operators]), zap.Uint64("targets", d.catalog.Position()[catalog.Targets]),
		zap.Int("routes", len(t.Routes)), zap.Int("pools", len(t.Pools)))
	signal(c.updates)
}

// noteChangeAge returns the longest time for which the changes in the tables just
// assembled may have been in the store, or 0 if that is not known, and keeps it for
// TakeUnappliedSince.
func (d *discovery) noteChangeAge() time.Duration {
	at, ok := d.catalog.TakeOldestChange()
	if !ok {
		return 0
	}
	if d.unappliedSince.IsZero() || at.Before(d.unappliedSince) {
		d.unappliedSince = at
	}
	return time.Since(at)
}

// TakeUnappliedSince returns a time at which the store held none of the changes of the
// tables since the last call, and whether there are any for which one is known.
func (c *Cluster) TakeUnappliedSince() (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discovery == nil {
		return time.Time{}, false
	}
	at, c.discovery.unappliedSince = c.discovery.unappliedSince, time.Time{}
	return at, !at.IsZero()
}

// catalogLoop applies deferred removals that are due, fetches entries when a
// feed lags behind other instances, and announces changes of the members.
func (c *Cluster) catalogLoop(ctx context.Context) {
	for sleep(ctx, catalogTickInterval, nil) {
		c.mu.Lock()
		now := time.Now()
		c.discovery.catalog.ApplyDeferred(now)
		c.assembleTables(sourceDeferred)
		c.checkFeedLag(now)
		c.propagateMemberChanges(now)
		c.mu.Unlock()
	}
}

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

// enqueueAnnouncement queues an announcement, or drops it if the queue is full.
func (d *discovery) enqueueAnnouncement(q *instance.AnnounceRequest) {
	select {
	case d.announceQueue <- q:
	default:
	}
}

// catalogPosition returns the position up to which this instance has all
// entries; zero without feeds. The caller holds mu.
func (c *Cluster) catalogPosition() catalog.Position {
	if c.discovery == nil {
		return catalog.Position{}
	}
	return c.discovery.catalog.Position()
}

// fetchCatalogIfBehind arranges a fetch from an instance whose position is
// ahead of this one's: at once if this instance does not read the feeds itself,
// else only if its own reads have not caught up after maxFeedLag. The caller
// holds mu.
func (c *Cluster) fetchCatalogIfBehind(from member.Info, position catalog.Position) {
	d := c.discovery
	if d == nil || !d.catalog.Position().Behind(position) {
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

// fetchCatalog fetches the entries that from has and this instance lacks. As a
// feed reader or relay, this instance announces them to the other members.
func (c *Cluster) fetchCatalog(ctx context.Context, from member.Info) {
	c.mu.Lock()
	q := &instance.CatalogRequest{HavePosition: c.discovery.catalog.Position()}
	c.mu.Unlock()
	r := &instance.CatalogReply{}
	if err := c.call(ctx, from, instance.MethodCatalog, q, r); err != nil {
		c.cfg.Log.Warn("fetching catalog entries from another instance failed", zap.String("from", from.ID), zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	base := c.discovery.catalog.Position()
	c.discovery.catalog.MergeAll(now, r.Entries, r.Position)
	c.cfg.Log.Info("fetched catalog entries from another instance", zap.String("from", from.ID), zap.Int("entries", len(r.Entries)))
	c.assembleTables(sourceFetch)
	if c.feedsUpToDate() {
		// The other members rely on the announcements of the feed readers.
		c.announceEntries(now, base)
		return
	}
	c.forwardEntries(now, base)
}

// Catalog handles a request for the entries after the client's position. Error:
// fault.KindNotReady when this instance reads no feeds.
func (c server) Catalog(_ context.Context, q *instance.CatalogRequest) (*instance.CatalogReply, error) {
	if c.discovery == nil {
		return nil, fault.New(fault.KindNotReady, "this instance has no feeds configured")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := c.discovery.catalog.EntriesAfter(time.Now(), q.HavePosition)
	return &instance.CatalogReply{Entries: entries, Position: c.discovery.catalog.Position()}, nil
}

const (
	// startPollInterval is how often awaitTables checks for the first tables.
	// maxStartWait is how long it waits for them.
	startPollInterval = 20 * time.Millisecond
	maxStartWait      = 3 * time.Second
)

// awaitTables delays the registration and the heartbeats of an instance that
// can't serve yet: it waits until the first tables are assembled, at most
// maxStartWait. Without feeds it does not wait. It returns false if ctx has
// ended.
func (c *Cluster) awaitTables(ctx context.Context) bool {
	if c.discovery == nil {
		return true
	}
	for began := time.Now(); c.tables.Load() == nil && time.Since(began) < maxStartWait; {
		if !sleep(ctx, startPollInterval, nil) {
			return false
		}
	}
	return ctx.Err() == nil
}
