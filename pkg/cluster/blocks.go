package cluster

import (
	"context"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/decision/block"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

const (
	// blocksReadTimeout bounds one read of a block list, which may be large.
	blocksReadTimeout = 30 * time.Second
	// blocksRetryMin is the mean backoff after a failed read of a block list.
	// It doubles up to blocksRetryMax. Each backoff is drawn at random between
	// 0.5 and 1.5 times the mean.
	blocksRetryMin = 2 * time.Second
	blocksRetryMax = 5 * time.Minute
)

// loadedBlocks is the block list in use.
type loadedBlocks struct {
	object string // name in the object store
	table  *block.Table
}

// Blocks returns the callers' address blocks in use, or nil if there are none.
// They may belong to an earlier version of the tables while the list of the
// latest is being read.
func (c *Cluster) Blocks() *block.Table { return c.blocks.Load().table }

// blocksLoop loads the block list that the tables in force name. The previous
// list stays in use until the new one is loaded, also while reads fail.
func (c *Cluster) blocksLoop(ctx context.Context) {
	retry := blocksRetryMin
	for {
		wait := time.Duration(-1)
		if c.readBlocks(ctx) {
			retry = blocksRetryMin
		} else {
			wait = time.Duration((0.5 + c.cfg.Rand()) * float64(retry))
			retry = min(2*retry, blocksRetryMax)
		}
		if !waitForSignal(ctx, wait, c.blocksDue) {
			return
		}
	}
}

// waitForSignal waits until due receives a value, for at most d; a negative d
// means no limit. It returns false if ctx ends first.
func waitForSignal(ctx context.Context, d time.Duration, due <-chan struct{}) bool {
	var after <-chan time.Time
	if d >= 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		after = t.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-due:
	case <-after:
	}
	return true
}

// readBlocks loads the block list that the tables in force name. It returns
// false if the read failed and must be retried.
func (c *Cluster) readBlocks(ctx context.Context) bool {
	t := c.tables.Load()
	if t == nil {
		return true
	}
	if t.Blocks == nil {
		c.blocks.Store(&loadedBlocks{})
		return true
	}
	current := c.blocks.Load()
	if current.object == t.Blocks.Object {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, blocksReadTimeout)
	defer cancel()
	table, err := tablestore.UpdateBlocks(ctx, c.cfg.Objects, *t.Blocks, current.object, current.table)
	if err != nil {
		c.cfg.Log.Error("reading the block list failed; the previous one stays in use", zap.Uint64("version", t.Version), zap.Error(err))
		return false
	}
	c.blocks.Store(&loadedBlocks{object: t.Blocks.Object, table: table})
	if current.table == nil || t.Blocks.DeltaBase != current.object {
		// The content that was read is several times as large as the table built
		// from it, so its memory is returned to the system at once.
		debug.FreeOSMemory()
	}
	return true
}
