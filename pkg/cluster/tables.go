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
	// maxTableFetches bounds the offers that wait to be followed.
	maxTableFetches = 16
	// maxConcurrentAnnouncements bounds the announcements under way at a time.
	maxConcurrentAnnouncements = 64
	// announceAttempts bounds the tries to reach one member.
	announceAttempts = 3
	// maxAnnouncedPatch is the largest patch in bytes that an announcement carries.
	maxAnnouncedPatch = 64 << 10
)

// tablesLoop reads the tables' head from the store: often as a watcher, else
// slowly.
func (c *Cluster) tablesLoop(ctx context.Context) {
	for {
		c.readHead(ctx)
		if !sleep(ctx, c.headReadInterval(), nil) {
			return
		}
	}
}

func (c *Cluster) headReadInterval() time.Duration {
	watcher := c.isWatcher()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timing.Spread.Next(spread.Situation{
		Watcher: watcher, HasTables: c.versions.InForce() > 0, SinceHeard: time.Since(c.lastReplyAt),
	}, c.cfg.Rand())
}

// guardedTables is the platform's table service within the budget.
type guardedTables struct {
	platform.Tables
	guard *platformGuard
}

// Get reads a row within the budget.
func (g guardedTables) Get(ctx context.Context, key, ifNoneMatch string) (row platform.Row, changed bool, err error) {
	err = g.guard.read(ctx, func(ctx context.Context) error {
		row, changed, err = g.Tables.Get(ctx, key, ifNoneMatch)
		return err
	})
	return row, changed, err
}

// guardedObjects is the platform's object store within the budget.
type guardedObjects struct {
	platform.Objects
	guard *platformGuard
}

// GetObject reads an object within the budget.
func (g guardedObjects) GetObject(ctx context.Context, name string) (data []byte, found bool, err error) {
	err = g.guard.read(ctx, func(ctx context.Context) error {
		data, found, err = g.Objects.GetObject(ctx, name)
		return err
	})
	return data, found, err
}

// readHead reads the head and, when it names a higher version, its content.
func (c *Cluster) readHead(ctx context.Context) {
	head, etag, changed, err := tablestore.ReadHead(ctx, guardedTables{c.cfg.Tables, c.storeGuard}, c.headETag)
	if err != nil || !changed {
		return
	}
	err = c.loadVersion(head.Version, func() (*table.Tables, error) { return c.loader.Load(ctx, head) })
	if err == nil || fault.KindOf(err) == fault.KindInvalidTable {
		c.headETag = etag
	}
}

// loadVersion puts in force what f gets from the loader, when version is higher.
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

// tryAcquireLoader takes the loader when nobody uses it, and reports whether it did.
func (c *Cluster) tryAcquireLoader() bool {
	select {
	case c.loaderSem <- struct{}{}:
		return true
	default:
		return false
	}
}

// applyStep puts a step in force when it starts from the version in force. It
// does not wait for a version that is being loaded.
func (c *Cluster) applyStep(s *tablestore.Step) {
	if s == nil || !c.tryAcquireLoader() {
		return
	}
	defer func() { <-c.loaderSem }()
	if !c.wantsVersion(s.Head.Version) {
		return
	}
	if t, ok := c.loader.Follow(*s); ok {
		c.acceptTables(t)
	}
}

func (c *Cluster) wantsVersion(version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions.Wanted(version)
}

// rejectVersion reports a version that can't be read; the one in force stays.
func (c *Cluster) rejectVersion(version uint64, err error) {
	c.mu.Lock()
	c.versions.Reject(version)
	c.mu.Unlock()
	c.cfg.Log.Error("tables rejected", zap.Uint64("version", version), zap.Error(err))
	signal(c.updates)
}

// acceptTables puts tables in force when their version is higher, and has them
// announced. The caller has the loader.
func (c *Cluster) acceptTables(t *table.Tables) {
	c.mu.Lock()
	higher := c.versions.Accept(t.Version)
	if higher {
		c.tables.Store(t)
		c.step = nil
		if last := c.loader.Last(); len(last.Patch) > 0 && len(last.Patch) <= maxAnnouncedPatch {
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

// announceLoop tells the live members of the zone what is new here.
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

func (c *Cluster) announceTables(ctx context.Context) {
	c.mu.Lock()
	q := &instance.AnnounceRequest{
		From: c.view.Self(), Version: c.versions.InForce(), Layout: c.ledger.Row().Layout, Step: c.step,
	}
	members := c.view.Cell(time.Now(), c.cell)
	c.mu.Unlock()
	p := pool.New().WithMaxGoroutines(maxConcurrentAnnouncements)
	for _, m := range members {
		if m.State != member.Suspect {
			p.Go(func() { c.announceTo(ctx, m.Info, q, announceAttempts) })
		}
	}
	p.Wait()
}

// announceTo tries a number of times to reach one member.
func (c *Cluster) announceTo(ctx context.Context, to member.Info, q *instance.AnnounceRequest, tries int) {
	for range tries {
		err := c.call(ctx, to, instance.MethodAnnounce, q, &instance.AnnounceReply{})
		if fault.KindOf(err) != fault.KindPeerUnavailable || instance.IsRefused(err) {
			return
		}
	}
}

// fetchTablesIfBehind queues a fetch when version is higher. The caller holds mu.
func (c *Cluster) fetchTablesIfBehind(from member.Info, version uint64) {
	if c.discovery != nil || !c.versions.Wanted(version) {
		return
	}
	select {
	case c.tableFetches <- from:
	default:
	}
}

// tablesFetchLoop fetches the tables from the instances that offered them.
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

// fetchTables takes the tables of another instance when they are higher.
func (c *Cluster) fetchTables(ctx context.Context, from member.Info) {
	c.mu.Lock()
	have := c.versions.InForce()
	c.mu.Unlock()
	r := &instance.TablesReply{}
	err := c.call(ctx, from, instance.MethodTables, &instance.TablesRequest{Have: have}, r)
	if err != nil || len(r.Content) == 0 {
		return
	}
	_ = c.loadVersion(r.Head.Version, func() (*table.Tables, error) { return c.loader.Take(r.Head, r.Content) })
}
