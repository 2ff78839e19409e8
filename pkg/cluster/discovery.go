package cluster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/decision/freshness"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
)

// catalogTickInterval is the interval between runs of the catalog's deferred work, see
// catalogLoop.
const catalogTickInterval = 200 * time.Millisecond

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
	// laterReaders holds when each reader after this instance in rank order has last
	// announced what it has read.
	laterReaders map[string]time.Time
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
	// refusedEntries are those that TakeRefusedEntries has not returned yet.
	refusedEntries int
	// interruptPoll ends the long poll of each topic that is in flight; nil without
	// one.
	interruptPoll [catalog.TopicCount]context.CancelCauseFunc
	// pullDue receives a value when a read for the whole cell has failed.
	pullDue chan struct{}
	// mayLackKeptEntries is set until this instance has had all entries of the operators from
	// another one; see havePosition.
	mayLackKeptEntries bool
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
	patchRefusals patchRefusals
	// needsWhole is set while this instance lacks a configuration that a patch it has
	// received is for.
	needsWhole bool
}

func newDiscovery() *discovery {
	return &discovery{
		mayLackKeptEntries: true,
		catalog:            catalog.New(), fetchQueue: make(chan member.Info, 1), pullDue: make(chan struct{}, 1),
		announceQueue: make(chan announcement, maxQueuedAnnouncements), deliveries: map[string]*delivery{},
		patchRefusals: patchRefusals{}, laterReaders: map[string]time.Time{},
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
	c.reportCatalog()
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

// reportCatalog logs what the catalog has kept and refused since the last call. The caller
// holds mu.
func (c *Cluster) reportCatalog() {
	d := c.discovery
	if kept, ok := d.catalog.TakeKept(); ok {
		c.cfg.Log.Info("kept what is newer than what the platform's store says after a restore",
			zap.Int("configs", kept.Configs), zap.Int("evacuations", kept.Evacuations), zap.Int("targets", kept.Targets))
	}
	if refused, ok := d.catalog.TakeRefused(); ok {
		c.cfg.Log.Warn("entries ignored that could not be read or make no sense", zap.Int("count", refused.Count), zap.Strings("keys", refused.Keys))
		d.refusedEntries += refused.Count
		signal(c.updates)
	}
}

// TakeRefusedEntries returns how many entries have been ignored since the last call because
// they could not be read or make no sense.
func (c *Cluster) TakeRefusedEntries() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discovery == nil {
		return 0
	}
	n := c.discovery.refusedEntries
	c.discovery.refusedEntries = 0
	return n
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
