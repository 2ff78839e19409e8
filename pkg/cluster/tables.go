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
	announceWidth = 32
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
	return c.timing.Spread.Next(spread.Situation{
		Watcher: watcher, HasTables: c.versions.InForce() > 0, SinceHeard: time.Since(c.heard),
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

// readHead reads the head and, when it names a higher version, its content.
func (c *Cluster) readHead(ctx context.Context) {
	head, etag, changed, err := tablestore.ReadHead(ctx, guardedTables{c.cfg.Tables, c.store}, c.headETag)
	if err != nil || !changed {
		return
	}
	if !c.wanted(head.Version) {
		c.headETag = etag
		return
	}
	var t *table.Tables
	err = c.store.read(ctx, func(ctx context.Context) error {
		t, err = tablestore.Load(ctx, c.cfg.Objects, head)
		return err
	})
	if fault.KindOf(err) == fault.KindInvalidTable {
		c.reject(head.Version, err)
		c.headETag = etag
		return
	}
	if err != nil {
		return
	}
	c.headETag = etag
	c.accept(t)
}

func (c *Cluster) wanted(version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions.Wanted(version)
}

// reject reports a version that can't be read; the one in force stays.
func (c *Cluster) reject(version uint64, err error) {
	c.mu.Lock()
	c.versions.Reject(version)
	c.mu.Unlock()
	c.cfg.Log.Error("tables rejected", zap.Uint64("version", version), zap.Error(err))
	signal(c.updates)
}

// accept puts tables in force when their version is higher, and announces them.
func (c *Cluster) accept(t *table.Tables) {
	c.mu.Lock()
	higher := c.versions.Accept(t.Version)
	if higher {
		c.tables.Store(t)
	}
	c.mu.Unlock()
	if !higher {
		return
	}
	signal(c.updates)
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
	q := &instance.AnnounceRequest{From: c.view.Self(), Version: c.versions.InForce(), Layout: c.ledger.Row().Layout}
	members := c.view.Zone(time.Now(), c.cfg.Self.Zone)
	c.mu.Unlock()
	p := pool.New().WithMaxGoroutines(announceWidth)
	for _, m := range members {
		if m.State != member.Suspect {
			p.Go(func() { _ = c.call(ctx, m.Info, instance.MethodAnnounce, q, &instance.AnnounceReply{}) })
		}
	}
	p.Wait()
}

// offer queues a fetch when version is higher. The caller holds mu.
func (c *Cluster) offer(from member.Info, version uint64) {
	if !c.versions.Wanted(version) {
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
	if err := c.call(ctx, from, instance.MethodTables, &instance.TablesRequest{Have: have}, r); err != nil || r.Tables == nil {
		return
	}
	if !c.wanted(r.Tables.Version) {
		return
	}
	if err := r.Tables.Validate(); err != nil {
		c.reject(r.Tables.Version, err)
		return
	}
	c.accept(r.Tables)
}
