package cluster

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/decision/freshness"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
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
	// feedProbeTimeout bounds the first read of a new feed reader, and the reads of
	// a feed while they fail.
	feedProbeTimeout = 800 * time.Millisecond
	// feedStallTimeout bounds the time between two parts of a response of the store, and
	// feedTransferTimeout the time for all of it: a large configuration takes a small
	// instance longer to receive than it may wait for a response to begin.
	feedStallTimeout    = 800 * time.Millisecond
	feedTransferTimeout = 5 * time.Second
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
)

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
	ctx, cancel := platform.WithProgressLimits(ctx, transferLimits(limit))
	defer cancel()
	ctx, interrupt := context.WithCancelCause(ctx)
	defer interrupt(nil)
	if wait > 0 {
		c.discovery.interruptPoll[t] = func(cause error) {
			if !platform.HasProgress(ctx) {
				interrupt(cause)
			}
		}
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

// transferLimits returns the limits of a read whose response must begin within first.
func transferLimits(first time.Duration) platform.ProgressLimits {
	return platform.ProgressLimits{First: first, Next: feedStallTimeout, Transfer: feedTransferTimeout}
}

// pollTimes returns how long the platform may hold the next read of t, and the time
// within which its response must begin.
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
	limits := transferLimits(c.timing.StoreTimeout)
	limits.Next = c.timing.StoreTimeout // a table may have several pages
	callCtx, cancel := platform.WithProgressLimits(ctx, limits)
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
	c.cfg.Log.Info("read a snapshot of the feed", zap.Stringer("topic", t), zap.Int("entries", len(read.Entries)), zap.Duration("took", time.Since(sent)),
		zap.Uint64("version", read.Version), zap.Uint64("newest_entry", newestVersion(read.Entries)), zap.Uint64("position", c.positionOf(t)))
	return nil
}

// newestVersion returns the highest version of entries, or 0 without any.
func newestVersion(entries []catalog.Entry) (newest uint64) {
	for i := range entries {
		newest = max(newest, entries[i].Version)
	}
	return newest
}

// positionOf returns the version up to which this instance has all entries of t.
func (c *Cluster) positionOf(t catalog.Topic) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.discovery.catalog.Position()[t]
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
