package cluster

import (
	"context"
	"errors"
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
	// feedPollWait is how long the platform may hold a long poll of the operators'
	// feed that has no changes. The targets' feed is held for
	// freshness.ConfirmInterval.
	feedPollWait = 5 * time.Second
	// feedPollGrace is added to the wait of a poll for its timeout.
	feedPollGrace = 700 * time.Millisecond
	// feedReadSpacing is the pause after a read that returned changes, so that
	// the next read returns several changes at once.
	feedReadSpacing = 200 * time.Millisecond
	// feedStartPause is the pause after the first read of an instance. Within it, most
	// instances hear from the cell's feed reader and need no further read.
	feedStartPause = 500 * time.Millisecond
	// maxFeedLag is how much later than another instance this one may receive a
	// change from its own read of a feed.
	maxFeedLag = 400 * time.Millisecond
	// feedProbeTimeout bounds the first read of a new feed reader, and the reads of
	// a feed while they fail.
	feedProbeTimeout = 800 * time.Millisecond
	// feedRetryMin and feedRetryMax bound the backoff after a failed read of an instance
	// that others rely on. The store answers one of them first, so that the others'
	// reads, whose backoff is longer by feedRetryFactor, would only be a load on it.
	feedRetryMin    = 100 * time.Millisecond
	feedRetryMax    = 800 * time.Millisecond
	feedRetryFactor = 5
	// minExpiryOutage is the shortest time without an answer of the store in which
	// the entries of live targets may expire: shorter than that, no target misses
	// two of its reports.
	minExpiryOutage = 1500 * time.Millisecond
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
	// tookOver is set while this instance reads in place of those before it in rank
	// order.
	tookOver bool
	// confirmed is set for each topic once a read has succeeded since this
	// instance began to read its feed.
	confirmed [catalog.TopicCount]bool
	// tablesVersion counts the tables assembled by this instance.
	tablesVersion uint64
	// fetchQueue holds the instances to fetch missing entries from.
	fetchQueue chan member.Info
	// fresh is how recent the catalog is, and clocks relate the platform's clock, as
	// the responses of each topic state it, to the local one. readAt is when the last
	// response was formed.
	fresh  freshness.Tracker
	clocks [catalog.TopicCount]freshness.StoreClock
	readAt [catalog.TopicCount]time.Time
	// unappliedSince is a time at which the store held none of the changes in the tables
	// that TakeUnappliedSince has not reported yet; zero if there are none.
	unappliedSince time.Time
	// interruptPoll ends the long poll of each topic that is in flight; nil without
	// one.
	interruptPoll [catalog.TopicCount]context.CancelCauseFunc
	// pullDue receives a value when a read for the whole cell has failed.
	pullDue chan struct{}
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
	// announceQueue holds the announcements to be sent, and deliveries the members to
	// which entries are being sent, by id.
	announceQueue chan announcement
	deliveries    map[string]*delivery
}

func newDiscovery() *discovery {
	return &discovery{
		catalog: catalog.New(), fetchQueue: make(chan member.Info, 1), pullDue: make(chan struct{}, 1),
		announceQueue: make(chan announcement, maxQueuedAnnouncements), deliveries: map[string]*delivery{},
	}
}

// discoveryLoops returns the loops that read the feeds and exchange entries
// with other instances.
func (c *Cluster) discoveryLoops() []func(context.Context) {
	loops := []func(context.Context){c.catalogLoop, c.catalogFetchLoop, c.pullLoop, c.announceEntriesLoop, c.retryLoop}
	for _, f := range c.cfg.Feeds {
		loops = append(loops, func(ctx context.Context) { c.feedLoop(ctx, f) })
	}
	return loops
}

// feedLoop reads one feed until ctx ends, while this instance is to read it.
func (c *Cluster) feedLoop(ctx context.Context, f platform.Feed) {
	retry, started := feedRetryMin, false
	for ctx.Err() == nil {
		if !c.shouldReadFeed(f.Topic()) {
			if !sleep(ctx, c.readerCheckDelay(), nil) {
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
		switch {
		case err == nil && !started:
			started, pause = true, c.jitter(feedStartPause)
		case err == nil:
			retry = feedRetryMin
		case !errors.Is(err, errPollInterrupted):
			pause = c.retryPause(retry)
			retry = min(2*retry, feedRetryMax)
		}
		if !sleep(ctx, pause, nil) {
			return
		}
	}
}

// retryPause returns the pause after a failed read, given that of an instance that others
// rely on or that has heard from none.
func (c *Cluster) retryPause(retry time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discovery.fresh.HasPeer() && !c.feedRole(time.Now()).IsCandidate() {
		retry *= feedRetryFactor
	}
	return c.jitter(retry)
}

// errPollInterrupted is the error of a long poll that was ended because a read of
// another feed was left unanswered: its connection may be dead too.
var errPollInterrupted = errors.New("long poll interrupted, another read of the store was left unanswered")

// readFeed reads f once: a snapshot at first and when the platform no longer
// has the history since the last read, else the changes. It reports whether it
// read any entries.
func (c *Cluster) readFeed(ctx context.Context, f platform.Feed) (changed bool, err error) {
	t := f.Topic()
	c.mu.Lock()
	synced, after := c.discovery.synced[t], c.discovery.catalog.Position()[t]
	c.mu.Unlock()
	if !synced {
		return true, c.readSnapshot(ctx, f)
	}
	sent := time.Now()
	read, err := c.pollChanges(ctx, f, after)
	if fault.KindOf(err) == fault.KindHistoryGone {
		c.mu.Lock()
		c.discovery.synced[t] = false
		c.mu.Unlock()
		return true, c.readSnapshot(ctx, f)
	}
	if err != nil {
		return false, err
	}
	c.applyRead(t, sent, &read, func(now time.Time) { c.discovery.catalog.Merge(now, t, read.Entries, read.Version) })
	return len(read.Entries) > 0, nil
}

// pollChanges reads the changes of f after a version. The platform may hold the read
// while there are none, unless this instance has just begun to read or its reads fail.
func (c *Cluster) pollChanges(ctx context.Context, f platform.Feed, after uint64) (platform.FeedRead, error) {
	t := f.Topic()
	c.mu.Lock()
	wait, limit := c.discovery.pollTimes(t)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ctx, interrupt := context.WithCancelCause(ctx)
	defer interrupt(nil)
	if wait > 0 {
		c.discovery.interruptPoll[t] = interrupt
	}
	c.mu.Unlock()
	read, err := f.Changes(ctx, after, wait)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discovery.interruptPoll[t] = nil
	if err != nil && errors.Is(context.Cause(ctx), errPollInterrupted) {
		err = errPollInterrupted
	}
	return read, err
}

// pollTimes returns how long the platform may hold the next read of t, and the timeout
// of that read.
func (d *discovery) pollTimes(t catalog.Topic) (wait, limit time.Duration) {
	switch {
	case !d.failingSince[t].IsZero() || !d.confirmed[t]:
		// An unresponsive store must not delay the next attempt, and a new feed
		// reader must know soon whether it is up to date.
		return 0, feedProbeTimeout
	case t == catalog.Targets:
		return freshness.ConfirmInterval, freshness.ConfirmInterval + feedPollGrace
	}
	return feedPollWait, feedPollWait + feedPollGrace
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
	c.applyRead(t, sent, &read, func(now time.Time) {
		c.discovery.catalog.Replace(now, t, read.Entries, read.Version)
		c.discovery.synced[t] = true
	})
	c.cfg.Log.Info("read a snapshot of the feed", zap.Stringer("topic", t), zap.Int("entries", len(read.Entries)), zap.Duration("took", time.Since(sent)))
	return nil
}

// applyRead applies a read of t that was sent at a time, by calling apply with mu held,
// and announces what is new to the other members.
func (c *Cluster) applyRead(t catalog.Topic, sent time.Time, read *platform.FeedRead, apply func(now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	d := c.discovery
	d.readAt[t] = d.clocks[t].Observe(sent, now, read.StoreTime)
	c.recordOutageEnd(now, t)
	d.setAges(now, read.Entries)
	base := d.catalog.Position()
	apply(now)
	c.recordReadSuccess(t)
	d.recordProof()
	if base[t] > 0 {
		// The members of a cell that has just started read a snapshot themselves.
		c.announceRead(now, base)
	}
	c.assembleTables(sourceRead)
}

// setAges sets the Age of entries that were read: the store held none of them when this
// instance last had all entries.
func (d *discovery) setAges(now time.Time, entries []catalog.Entry) {
	since := d.fresh.CompleteAt()
	if since.IsZero() {
		return
	}
	for i := range entries {
		entries[i].Age = now.Sub(since)
	}
}

// announceRead announces the entries after base if the other members rely on this
// instance's reads, or that there are none. The caller holds mu.
func (c *Cluster) announceRead(now time.Time, base catalog.Position) {
	if c.actsAsReader(now) && !c.announceEntries(now, base) {
		c.announceProof(now, base)
	}
}

// recordOutageEnd notifies the catalog if a successful read of t ends an outage that was
// long enough for entries to expire: neither this instance nor another one that it has
// heard has had an answer of the store for that long. Call it before the entries of that
// read are merged. The caller holds mu.
func (c *Cluster) recordOutageEnd(now time.Time, t catalog.Topic) {
	d := c.discovery
	resumed := !d.failingSince[t].IsZero() || !d.confirmed[t]
	complete := d.fresh.CompleteAt()
	if outage := d.readAt[t].Sub(complete); t == catalog.Targets && resumed && !complete.IsZero() && outage >= minExpiryOutage {
		d.catalog.StoreRecovered(now, t)
		c.cfg.Log.Warn("no answer of the store for a time in which entries expire; removed targets are kept for a while", zap.Duration("silent_for", outage))
	}
}

// recordFeedRead records the result of a read of a feed that began at began,
// and logs when reads begin to fail. A read that was left unanswered has the long
// polls of the other feeds repeated, and the other cells asked.
func (c *Cluster) recordFeedRead(t catalog.Topic, began time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.discovery
	switch {
	case err == nil:
		c.recordReadSuccess(t)
		return
	case errors.Is(err, errPollInterrupted):
		d.confirmed[t] = false
		return
	case d.failingSince[t].IsZero():
		d.failingSince[t] = time.Now()
		c.cfg.Log.Warn("feed unavailable; retrying", zap.Stringer("topic", t), zap.Error(err), zap.Uint64("position", d.catalog.Position()[t]))
	}
	signal(d.pullDue)
	if time.Since(began) < feedProbeTimeout {
		return
	}
	for other, interrupt := range d.interruptPoll {
		if interrupt != nil && catalog.Topic(other) != t {
			interrupt(errPollInterrupted)
		}
	}
}

// recordReadSuccess records that a read of t has succeeded, and logs if those before
// failed. The caller holds mu.
func (c *Cluster) recordReadSuccess(t catalog.Topic) {
	d := c.discovery
	d.confirmed[t] = true
	if since := d.failingSince[t]; !since.IsZero() {
		d.failingSince[t] = time.Time{}
		c.cfg.Log.Info("feed available again", zap.Stringer("topic", t), zap.Duration("after", time.Since(since)), zap.Uint64("position", d.catalog.Position()[t]))
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

// fetchCatalog fetches the entries that from has and this instance lacks. As an acting
// feed reader or a relay, this instance announces them to the other members.
func (c *Cluster) fetchCatalog(ctx context.Context, from member.Info) {
	c.mu.Lock()
	q := &instance.CatalogRequest{HavePosition: c.discovery.catalog.Position()}
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
	c.discovery.catalog.MergeAll(now, r.Entries, r.Position)
	c.observeFreshness(sent, r.FeedFreshness, r.Position, false)
	if c.actsAsReader(now) {
		// The other members rely on this instance, whether the store or another
		// instance tells it.
		c.announceRead(now, base)
	} else {
		c.forwardEntries(now, base)
	}
	if len(r.Entries) > 0 {
		c.cfg.Log.Info("fetched catalog entries from another instance", zap.String("from", from.ID), zap.Int("entries", len(r.Entries)))
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
	return &instance.CatalogReply{Entries: entries, Position: c.discovery.catalog.Position(), FeedFreshness: c.feedFreshness(now)}, nil
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
