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
	// maxOffers bounds the offers that wait to be followed.
	maxOffers = 16
	// announceWidth bounds the announcements under way at a time.
	announceWidth = 64
	// announceTries bounds the tries to reach one member.
	announceTries = 3
	// maxStep is the largest patch in bytes that an announcement carries.
	maxStep = 64 << 10
)

// tablesLoop reads the tables' head from the store: often as a watcher, else
// slowly.
func (c *Cluster) tablesLoop(ctx context.Context) {
	for {
		c.readHead(ctx)
		if !sleep(ctx, c.nextRead(), nil) {
			return
		}
	}
}

func (c *Cluster) nextRead() time.Duration {
	watcher := c.isWatcher()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timing.Spread.NextInterval(spread.ReadConditions{
		IsWatcher: watcher, HasTables: c.versions.InForce() > 0, SinceWatcherMessage: time.Since(c.heard),
	}, c.cfg.Rand())
}

// guardedTables is the platform's table service within the budget.
type guardedTables struct {
	platform.Tables
	guard *guard
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
	guard *guard
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
	head, etag, changed, err := tablestore.ReadHead(ctx, guardedTables{c.cfg.Tables, c.store}, c.headETag)
	if err != nil || !changed {
		return
	}
	err = c.load(head.Version, func() (*table.Tables, error) { return c.loader.Load(ctx, head) })
	if err == nil || fault.KindOf(err) == fault.KindInvalidTable {
		c.headETag = etag
	}
}

// load puts in force what f gets from the loader, when version is higher.
func (c *Cluster) load(version uint64, f func() (*table.Tables, error)) error {
	c.loading <- struct{}{}
	defer func() { <-c.loading }()
	if !c.wanted(version) {
		return nil
	}
	t, err := f()
	switch {
	case err == nil:
		c.accept(t)
	case fault.KindOf(err) == fault.KindInvalidTable:
		c.reject(version, err)
	}
	return err
}

// tryLoading takes the loader when nobody uses it, and reports whether it did.
func (c *Cluster) tryLoading() bool {
	select {
	case c.loading <- struct{}{}:
		return true
	default:
		return false
	}
}

// follow puts a step in force when it starts from the version in force. It
// does not wait for a version that is being loaded.
func (c *Cluster) follow(s *tablestore.Step) {
	if s == nil || !c.tryLoading() {
		return
	}
	defer func() { <-c.loading }()
	if !c.wanted(s.Head.Version) {
		return
	}
	if t, ok := c.loader.ApplyStep(*s); ok {
		c.accept(t)
	}
}

func (c *Cluster) wanted(version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions.ShouldFetch(version)
}

// reject reports a version that can't be read; the one in force stays.
func (c *Cluster) reject(version uint64, err error) {
	c.mu.Lock()
	c.versions.Reject(version)
	c.mu.Unlock()
	c.cfg.Log.Error("tables rejected", zap.Uint64("version", version), zap.Error(err))
	signal(c.updates)
}

// accept puts tables in force when their version is higher, and has them
// announced. The caller has the loader.
func (c *Cluster) accept(t *table.Tables) {
	c.mu.Lock()
	higher := c.versions.Accept(t.Version)
	if higher {
		c.tables.Store(t)
		c.step = nil
		if last := c.loader.LastStep(); len(last.Patch) > 0 && len(last.Patch) <= maxStep {
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
			c.announce(ctx)
		}
	}
}

func (c *Cluster) announce(ctx context.Context) {
	c.mu.Lock()
	q := &instance.AnnounceRequest{
		From: c.view.Self(), Version: c.versions.InForce(), Layout: c.ledger.Row().LayoutVersion, Step: c.step,
	}
	members := c.view.CellMembers(time.Now(), c.cell)
	c.mu.Unlock()
	p := pool.New().WithMaxGoroutines(announceWidth)
	for _, m := range members {
		if m.State != member.Suspect {
			p.Go(func() { c.announceTo(ctx, m.Info, q, announceTries) })
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

// offer queues a fetch when version is higher. The caller holds mu.
func (c *Cluster) offer(from member.Info, version uint64) {
	if c.discovery != nil || !c.versions.ShouldFetch(version) {
		return
	}
	select {
	case c.offers <- from:
	default:
	}
}

// offersLoop fetches the tables from the instances that offered them.
func (c *Cluster) offersLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-c.offers:
			c.fetch(ctx, from)
		}
	}
}

// fetch takes the tables of another instance when they are higher.
func (c *Cluster) fetch(ctx context.Context, from member.Info) {
	c.mu.Lock()
	have := c.versions.InForce()
	c.mu.Unlock()
	r := &instance.TablesReply{}
	err := c.call(ctx, from, instance.MethodTables, &instance.TablesRequest{Have: have}, r)
	if err != nil || len(r.Content) == 0 {
		return
	}
	_ = c.load(r.Head.Version, func() (*table.Tables, error) { return c.loader.LoadContent(r.Head, r.Content) })
}
