package cluster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

const (
	// feedPollWait is how long the platform may hold a read of a feed.
	feedPollWait = 5 * time.Second
	// feedPollGrace is how long after that an answer is awaited.
	feedPollGrace = 1 * time.Second
	// feedReadSpacing is the time from a read that told of changes to the next, in
	// which further changes gather.
	feedReadSpacing = 200 * time.Millisecond
	// maxFeedLag is how long after another instance a read may bring a change.
	maxFeedLag = 400 * time.Millisecond
	// feedProbeTimeout bounds a read while the store does not answer.
	feedProbeTimeout = 800 * time.Millisecond
	// feedRetryMin and feedRetryMax bound the time to the next read after a
	// failed one.
	feedRetryMin = 100 * time.Millisecond
	feedRetryMax = 800 * time.Millisecond
	// minLapseOutage is the length of an outage in which entries may lapse.
	minLapseOutage = time.Second
	// catalogTickInterval is the interval of looking for removals that are due.
	catalogTickInterval = 200 * time.Millisecond
)

// discovery is what an instance keeps of the platform's feeds.
type discovery struct {
	// catalog is guarded by the Cluster's mu, like the rest.
	catalog *catalog.Catalog
	// synced is set for each topic once it has been read whole, and down is
	// when reads of it began to fail; zero while they work.
	synced       [catalog.TopicCount]bool
	failingSince [catalog.TopicCount]time.Time
	// reading is set for each topic while it is this instance's part to read it.
	reading [catalog.TopicCount]bool
	// tablesVersion numbers the assembled tables.
	tablesVersion uint64
	// fetchQueue are the instances that are ahead of this one.
	fetchQueue chan member.Info
	// readerSeenAt is when an instance that reads the feeds last answered.
	readerSeenAt time.Time
	// aheadMember is an instance that has told of entries which this one, though it
	// reads the feeds, has not got; aheadSince is when it told of them first.
	aheadMember   member.Info
	aheadPosition catalog.Position
	aheadSince    time.Time
	// knownWatchers are those of the cell when it was last looked.
	knownWatchers []string
	// announcedDigest digests the members that were last pushed, at digestAnnouncedAt.
	announcedDigest   uint64
	digestAnnouncedAt time.Time
	// announceQueue are the announcements that wait to be sent.
	announceQueue chan *instance.AnnounceRequest
}

func newDiscovery() *discovery {
	return &discovery{catalog: catalog.New(), fetchQueue: make(chan member.Info, 1), announceQueue: make(chan *instance.AnnounceRequest, maxQueuedAnnouncements)}
}

// discoveryLoops returns the loops that follow the feeds.
func (c *Cluster) discoveryLoops() []func(context.Context) {
	loops := []func(context.Context){c.catalogLoop, c.catalogFetchLoop, c.entriesAnnounceLoop}
	for _, f := range c.cfg.Feeds {
		loops = append(loops, func(ctx context.Context) { c.feedLoop(ctx, f) })
	}
	return loops
}

// feedLoop follows one feed until ctx ends.
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

// readFeed makes one read of f, of everything at first, and after the history
// has been dropped, else of what has changed. It reports whether it brought any
// entries.
func (c *Cluster) readFeed(ctx context.Context, f platform.Feed) (changed bool, err error) {
	t := f.Topic()
	c.mu.Lock()
	synced, after := c.discovery.synced[t], c.discovery.catalog.Position()[t]
	down := !c.discovery.failingSince[t].IsZero()
	c.mu.Unlock()
	if !synced {
		return true, c.readSnapshot(ctx, f)
	}
	wait, limit := feedPollWait, feedPollWait+feedPollGrace
	if down {
		// A store that does not answer must not hold the next try up.
		wait, limit = 0, feedProbeTimeout
	}
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	entries, version, err := f.Changes(call, after, wait)
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
	c.noteOutageEnd(now, t)
	base := c.discovery.catalog.Position()
	c.discovery.catalog.Merge(now, t, entries, version)
	c.assembleTables()
	c.announceReadEntries(now, base)
	return len(entries) > 0, nil
}

// readSnapshot reads the whole of f.
func (c *Cluster) readSnapshot(ctx context.Context, f platform.Feed) error {
	call, cancel := context.WithTimeout(ctx, c.timing.StoreTimeout)
	defer cancel()
	entries, version, err := f.Snapshot(call)
	if err != nil {
		return err
	}
	t := f.Topic()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.noteOutageEnd(now, t)
	c.discovery.catalog.Replace(now, t, entries, version)
	c.discovery.synced[t] = true
	c.assembleTables()
	return nil
}

// noteOutageEnd tells the catalog of the end of an outage before what was read
// after it is taken in. The caller holds mu.
func (c *Cluster) noteOutageEnd(now time.Time, t catalog.Topic) {
	if since := c.discovery.failingSince[t]; !since.IsZero() && now.Sub(since) >= minLapseOutage {
		c.discovery.catalog.Recovered(now, t)
	}
}

// recordFeedRead takes in how a read of a feed ended that began at a time, and logs
// when a feed is lost and when it is back. A read without an answer shows that
// the store has been silent since it was due.
func (c *Cluster) recordFeedRead(t catalog.Topic, began time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.discovery.failingSince[t]
	switch {
	case err != nil && since.IsZero():
		now, due := time.Now(), began.Add(feedPollWait)
		if due.After(now) {
			due = now
		}
		c.discovery.failingSince[t] = due
		c.cfg.Log.Warn("feed lost", zap.Stringer("topic", t), zap.Error(err), zap.Uint64("position", c.discovery.catalog.Position()[t]))
	case err == nil && !since.IsZero():
		c.discovery.failingSince[t] = time.Time{}
		c.cfg.Log.Info("feed regained", zap.Stringer("topic", t), zap.Duration("after", time.Since(since)), zap.Uint64("position", c.discovery.catalog.Position()[t]))
	}
}

// assembleTables puts the tables that follow from the catalog in force. The caller
// holds mu.
func (c *Cluster) assembleTables() {
	d := c.discovery
	t := d.catalog.Assemble()
	if t == nil || !d.synced[catalog.Targets] && d.tablesVersion == 0 && len(t.Pools) == 0 {
		return
	}
	d.tablesVersion++
	t.Version = d.tablesVersion
	c.versions.Accept(t.Version)
	c.tables.Store(t)
	c.cfg.Log.Info("tables assembled",
		zap.Uint64("config", d.catalog.ConfigVersion()), zap.Uint64("version", t.Version),
		zap.Uint64("operators", d.catalog.Position()[catalog.Operators]), zap.Uint64("targets", d.catalog.Position()[catalog.Targets]),
		zap.Int("routes", len(t.Routes)), zap.Int("pools", len(t.Pools)))
	signal(c.updates)
}

// catalogLoop applies the removals that were held back, and looks whether a
// feed lags behind.
func (c *Cluster) catalogLoop(ctx context.Context) {
	for sleep(ctx, catalogTickInterval, nil) {
		c.mu.Lock()
		now := time.Now()
		c.discovery.catalog.Tick(now)
		c.assembleTables()
		c.checkFeedLag(now)
		c.propagateMemberChanges(now)
		c.mu.Unlock()
	}
}

// checkFeedLag has the entries fetched that an own read should have brought long
// ago: its connection may be dead without a sign. The caller holds mu.
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

// requestFetch asks for the entries of from soon.
func (d *discovery) requestFetch(from member.Info) {
	select {
	case d.fetchQueue <- from:
	default:
	}
}

// enqueueAnnouncement has an announcement sent, unless many wait.
func (d *discovery) enqueueAnnouncement(q *instance.AnnounceRequest) {
	select {
	case d.announceQueue <- q:
	default:
	}
}

// catalogPosition returns how far discovery has come. The caller holds mu.
func (c *Cluster) catalogPosition() catalog.Position {
	if c.discovery == nil {
		return catalog.Position{}
	}
	return c.discovery.catalog.Position()
}

// fetchCatalogIfBehind has the entries of from fetched when this instance lacks some:
// at once when it does not get them from the store, else when its own reads
// don't bring them soon. The caller holds mu.
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

// catalogFetchLoop takes entries from the instances that are ahead.
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

// fetchCatalog takes the entries that from has and this instance lacks.
func (c *Cluster) fetchCatalog(ctx context.Context, from member.Info) {
	c.mu.Lock()
	q := &instance.CatalogRequest{Have: c.discovery.catalog.Position()}
	c.mu.Unlock()
	r := &instance.CatalogReply{}
	if err := c.call(ctx, from, instance.MethodCatalog, q, r); err != nil {
		c.cfg.Log.Warn("entries not fetched", zap.String("from", from.ID), zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	base := c.discovery.catalog.Position()
	c.discovery.catalog.MergeAll(now, r.Entries, r.Position)
	c.cfg.Log.Info("entries fetched", zap.String("from", from.ID), zap.Int("entries", len(r.Entries)))
	c.assembleTables()
	if c.feedsUpToDate() {
		// The others count on this instance to tell them.
		c.announceEntries(now, base)
		return
	}
	c.forwardEntries(now, base)
}

// Catalog returns the entries that the caller lacks.
func (c server) Catalog(_ context.Context, q *instance.CatalogRequest) (*instance.CatalogReply, error) {
	if c.discovery == nil {
		return nil, fault.New(fault.KindNotReady, "this instance follows no feeds")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := c.discovery.catalog.Since(time.Now(), q.Have)
	return &instance.CatalogReply{Entries: entries, Position: c.discovery.catalog.Position()}, nil
}

const (
	// startPollInterval is the interval of looking for the first tables, and maxStartWait
	// is how long an instance without tables keeps out of the list.
	startPollInterval = 20 * time.Millisecond
	maxStartWait      = 3 * time.Second
)

// awaitTables keeps an instance that could not serve yet out of the list and
// out of the heartbeats. It reports false when ctx has ended.
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
