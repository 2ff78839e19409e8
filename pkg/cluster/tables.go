package cluster

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

const (
	// maxTableFetches bounds the queue of instances to fetch tables from.
	maxTableFetches = 16
	// maxConcurrentAnnouncements bounds the calls in flight of one announcement
	// or of one exchange with the other cells.
	maxConcurrentAnnouncements = 64
	// announceAttempts bounds the attempts to send an announcement to one member.
	announceAttempts = 3
	// maxAnnouncedPatch is the size in bytes of the largest patch that is sent
	// with an announcement.
	maxAnnouncedPatch = 64 << 10
)

// headCheckInterval is the time between two checks whether the tables' head has to be
// read earlier than planned.
const headCheckInterval = time.Second

// tablesLoop reads the tables' head from the store at the interval of
// headReadInterval.
func (c *Cluster) tablesLoop(ctx context.Context) {
	for {
		c.readHead(ctx)
		due := time.Now().Add(c.headReadInterval())
		for left := time.Until(due); left > 0; left = time.Until(due) {
			if !sleep(ctx, min(left, headCheckInterval), nil) {
				return
			}
			if earlier := time.Now().Add(c.headReadInterval()); c.headUnconfirmed() && earlier.Before(due) {
				due = earlier
			}
		}
	}
}

// headUnconfirmed reports whether nothing has shown for a while that the tables in force
// are the newest.
func (c *Cluster) headUnconfirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.headAt) > c.timing.Spread.WatcherTimeout
}

// headReadInterval returns the time until the next read of the tables' head. It
// is shortest for a watcher and while no tables are in force, and longest while
// other instances that can read the head reply to heartbeats.
func (c *Cluster) headReadInterval() time.Duration {
	watcher := c.isWatcher()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timing.Spread.NextInterval(spread.ReadConditions{
		IsWatcher: watcher, HasTables: c.versions.InForce() > 0, SinceConfirmed: time.Since(c.headAt),
	}, c.cfg.Rand())
}

// guardedTables is the platform's table service with reads limited by guard.
type guardedTables struct {
	platform.TableService
	guard *platformGuard
}

// Get reads a row. Errors: as platformGuard.read.
func (g guardedTables) Get(ctx context.Context, key, ifNoneMatch string) (row platform.Row, changed bool, err error) {
	err = g.guard.read(ctx, func(ctx context.Context) error {
		row, changed, err = g.TableService.Get(ctx, key, ifNoneMatch)
		return err
	})
	return row, changed, err
}

// guardedObjects is the platform's object store with reads limited by guard.
type guardedObjects struct {
	platform.ObjectStore
	guard *platformGuard
}

// GetObject reads an object. Errors: as platformGuard.read.
func (g guardedObjects) GetObject(ctx context.Context, name string) (data []byte, found bool, err error) {
	err = g.guard.read(ctx, func(ctx context.Context) error {
		data, found, err = g.ObjectStore.GetObject(ctx, name)
		return err
	})
	return data, found, err
}

// readHead reads the tables' head if it has changed and, if it names a higher
// version, loads that version. A head whose version can't be loaded for another
// reason than an invalid table is read again the next time.
func (c *Cluster) readHead(ctx context.Context) {
	sent := time.Now()
	head, etag, changed, err := tablestore.ReadHead(ctx, guardedTables{c.cfg.Tables, c.storeGuard}, c.headETag)
	if err != nil {
		return
	}
	if changed {
		err = c.loadVersion(head.Version, func() (*table.Tables, error) { return c.loader.Load(ctx, head) })
		if err != nil && fault.KindOf(err) != fault.KindInvalidTable {
			return
		}
		c.headETag = etag
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordHead(sent)
}

// recordHead records that the tables in force are the newest as of a time. The caller
// holds mu.
func (c *Cluster) recordHead(at time.Time) {
	if at.After(c.headAt) {
		c.headAt = at
	}
}

// observeHead records how recently another instance, whose tables have the given version,
// has known the head of the tables, as of a time. The caller holds mu.
func (c *Cluster) observeHead(at time.Time, f instance.FeedFreshness, version uint64) {
	if c.discovery == nil && f.HasFeedReader && !c.versions.ShouldFetch(version) {
		c.recordHead(at.Add(-max(0, f.FeedReaderAge)))
	}
}

// loadVersion calls f, which uses the loader, if version is above the one in
// force, and puts the result in force. It waits until the loader is free. An
// invalid table is rejected. Errors: those of f.
func (c *Cluster) loadVersion(version uint64, f func() (*table.Tables, error)) error {
	c.loaderSem <- struct{}{}
	defer func() { <-c.loaderSem }()
	if !c.wantsVersion(version) {
		return nil
	}
	t, err := f()
	switch {
	case err == nil:
		c.acceptTables(t)
	case fault.KindOf(err) == fault.KindInvalidTable:
		c.rejectVersion(version, err)
	}
	return err
}

// tryAcquireLoader acquires loaderSem if it is free and reports whether it did.
func (c *Cluster) tryAcquireLoader() bool {
	select {
	case c.loaderSem <- struct{}{}:
		return true
	default:
		return false
	}
}

// applyStep puts the result of a step in force if the step starts from the
// version in force. It does nothing while a version is being loaded.
func (c *Cluster) applyStep(s *tablestore.Step) {
	if s == nil || !c.tryAcquireLoader() {
		return
	}
	defer func() { <-c.loaderSem }()
	if !c.wantsVersion(s.Head.Version) {
		return
	}
	if t, ok := c.loader.ApplyStep(*s); ok {
		c.acceptTables(t)
	}
}

// wantsVersion reports whether version is above the one in force.
func (c *Cluster) wantsVersion(version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions.ShouldFetch(version)
}

// rejectVersion records and logs a version that can't be read. The one in force
// stays.
func (c *Cluster) rejectVersion(version uint64, err error) {
	c.mu.Lock()
	c.versions.Reject(version)
	c.mu.Unlock()
	c.cfg.Log.Error("version of the tables rejected; the tables in force stay", zap.Uint64("version", version), zap.Error(err))
	signal(c.updates)
}

// acceptTables puts tables in force if their version is higher, and triggers
// what depends on them: the block list, the row and, at a watcher, the
// announcement. The caller holds loaderSem.
func (c *Cluster) acceptTables(t *table.Tables) {
	c.mu.Lock()
	higher := c.versions.Accept(t.Version)
	if higher {
		c.tables.Store(t)
		c.step = nil
		if last := c.loader.LastStep(); len(last.Patch) > 0 && len(last.Patch) <= maxAnnouncedPatch {
			c.step = &last
		}
	}
	c.mu.Unlock()
	if !higher {
		return
	}
	signal(c.updates)
	signal(c.blocksDue)
	signal(c.rowDue)
	if c.isWatcher() {
		signal(c.announceDue)
	}
}

// announceLoop announces new tables and new layouts of the row to the members of
// the cell.
func (c *Cluster) announceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.announceDue:
			c.announceTables(ctx)
		}
	}
}

// announceTables sends the versions of the tables and of the row's layout to all
// members that are not suspected, with the step to the tables in force if there
// is one.
func (c *Cluster) announceTables(ctx context.Context) {
	c.mu.Lock()
	q := &instance.AnnounceRequest{
		From: c.view.Self(), TablesVersion: c.versions.InForce(), RowLayout: c.ledger.Row().LayoutVersion, Step: c.step,
	}
	members := c.view.CellMembers(time.Now(), c.cell)
	c.mu.Unlock()
	p := pool.New().WithMaxGoroutines(maxConcurrentAnnouncements)
	for _, m := range members {
		if m.State != member.Suspect {
			p.Go(func() { c.announceTo(ctx, m.Info, q, announceAttempts) })
		}
	}
	p.Wait()
}

// announceTo sends an announcement to one member. It makes up to the given number
// of attempts while the member is unavailable, but only one if the connection is
// refused.
func (c *Cluster) announceTo(ctx context.Context, to member.Info, q *instance.AnnounceRequest, attempts int) {
	for range attempts {
		err := c.call(ctx, to, instance.MethodAnnounce, q, &instance.AnnounceReply{})
		if fault.KindOf(err) != fault.KindPeerUnavailable || instance.IsRefused(err) {
			return
		}
	}
}

// fetchTablesIfBehind queues a fetch of the tables of from if version is above
// the one in force. The caller holds mu.
func (c *Cluster) fetchTablesIfBehind(from member.Info, version uint64) {
	if c.discovery != nil || !c.versions.ShouldFetch(version) {
		return
	}
	select {
	case c.tableFetches <- from:
	default:
	}
}

// tablesFetchLoop fetches the tables from the queued instances.
func (c *Cluster) tablesFetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-c.tableFetches:
			c.fetchTables(ctx, from)
		}
	}
}

// fetchTables fetches the tables of another instance and puts them in force if
// their version is higher.
func (c *Cluster) fetchTables(ctx context.Context, from member.Info) {
	c.mu.Lock()
	have := c.versions.InForce()
	c.mu.Unlock()
	r := &instance.TablesReply{}
	err := c.call(ctx, from, instance.MethodTables, &instance.TablesRequest{HaveVersion: have}, r)
	if err != nil || len(r.Content) == 0 {
		return
	}
	_ = c.loadVersion(r.Head.Version, func() (*table.Tables, error) { return c.loader.LoadContent(r.Head, r.Content) })
}
