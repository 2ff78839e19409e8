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
	// blocksTimeout bounds one read of a list of blocks, which may be large.
	blocksTimeout = 30 * time.Second
	// blocksRetry is the mean time before a list that can't be read is tried
	// again; it doubles up to blocksRetryMax. Tries are spread from half of it
	// to one and a half.
	blocksRetry    = 2 * time.Second
	blocksRetryMax = 5 * time.Minute
)

// blocks are the callers' blocks in use.
type blocks struct {
	object string
	table  *block.Table
}

// Blocks returns the callers' blocks in use, which may be those of an earlier
// version while the latest are read; nil means none.
func (c *Cluster) Blocks() *block.Table { return c.blocks.Load().table }

// blocksLoop reads the callers' blocks that the tables in force name. The last
// ones stay in use until then, also when a list can't be read.
func (c *Cluster) blocksLoop(ctx context.Context) {
	retry := blocksRetry
	for {
		wait := time.Duration(-1)
		if c.readBlocks(ctx) {
			retry = blocksRetry
		} else {
			wait = time.Duration((0.5 + c.cfg.Rand()) * float64(retry))
			retry = min(2*retry, blocksRetryMax)
		}
		if !sleepOrSignal(ctx, wait, c.blocksDue) {
			return
		}
	}
}

// sleepOrSignal waits for a signal, at most d unless it is negative. It
// reports false when ctx has ended.
func sleepOrSignal(ctx context.Context, d time.Duration, due <-chan struct{}) bool {
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

// readBlocks takes over the list that the tables in force name, and reports
// false when it must be tried again.
func (c *Cluster) readBlocks(ctx context.Context) bool {
	t := c.tables.Load()
	if t == nil {
		return true
	}
	if t.Blocks == nil {
		c.blocks.Store(&blocks{})
		return true
	}
	held := c.blocks.Load()
	if held.object == t.Blocks.Object {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, blocksTimeout)
	defer cancel()
	table, err := tablestore.UpdateBlocks(ctx, c.cfg.Objects, *t.Blocks, held.object, held.table)
	if err != nil {
		c.cfg.Log.Error("blocks not read, the last ones stay in use", zap.Uint64("version", t.Version), zap.Error(err))
		return false
	}
	c.blocks.Store(&blocks{object: t.Blocks.Object, table: table})
	if held.table == nil || t.Blocks.DeltaBase != held.object {
		// The content that was read is several times the table made of it.
		debug.FreeOSMemory()
	}
	return true
}
