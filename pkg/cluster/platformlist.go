package cluster

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

// registerRetryInterval is the interval until the platform has taken the entry.
const registerRetryInterval = time.Second

// registerLoop announces this instance to the platform.
func (c *Cluster) registerLoop(ctx context.Context) {
	if !c.awaitTables(ctx) {
		return
	}
	for {
		c.mu.Lock()
		in := toInstance(c.view.Self())
		c.mu.Unlock()
		err := c.listGuard.write(ctx, func(ctx context.Context) error { return c.cfg.Instances.Register(ctx, in) })
		c.mu.Lock()
		c.registered = c.registered || err == nil
		c.mu.Unlock()
		if err == nil || !sleep(ctx, c.jitter(registerRetryInterval), nil) {
			return
		}
	}
}

// listLoop reads the platform's list of instances.
func (c *Cluster) listLoop(ctx context.Context) {
	for {
		ok := c.readList(ctx)
		d := c.timing.ListInterval
		switch {
		case c.isWatcher():
			d = c.timing.WatcherListInterval
		case !ok:
			d = registerRetryInterval
		}
		if !sleep(ctx, c.jitter(d), nil) {
			return
		}
	}
}

// readList takes in the list and reports whether it could be read.
func (c *Cluster) readList(ctx context.Context) bool {
	c.mu.Lock()
	listed := c.registered
	c.mu.Unlock()
	var list []platform.Instance
	err := c.listGuard.read(ctx, func(ctx context.Context) (err error) {
		list, err = c.cfg.Instances.ListInstances(ctx)
		return err
	})
	if err != nil {
		return false
	}
	infos := make([]member.Info, len(list))
	for i, in := range list {
		infos[i] = toInfo(in)
	}
	c.mu.Lock()
	c.view.ObserveList(time.Now(), infos)
	c.mu.Unlock()
	c.refreshViews()
	c.removeStaleEntries(ctx)
	if listed {
		c.reregister(ctx, list)
	}
	return true
}

const (
	// staleEntryAge is the silence after which an instance's entry in the list is
	// removed. It is long, since an instance that is cut off may come back.
	staleEntryAge = time.Minute
	// maxRemovalsPerRead bounds the entries that are removed after one read.
	maxRemovalsPerRead = 4
)

// removeStaleEntries removes the entries of instances of the cell that ended without a
// word, as the first of the cell.
func (c *Cluster) removeStaleEntries(ctx context.Context) {
	for _, in := range c.staleEntries() {
		err := c.listGuard.write(ctx, func(ctx context.Context) error {
			return c.cfg.Instances.Deregister(ctx, in.ID, in.Incarnation)
		})
		if err != nil {
			c.cfg.Log.Warn("ended instance not taken out of the list", zap.String("ended", in.ID), zap.Error(err))
			continue
		}
		c.cfg.Log.Info("ended instance taken out of the list", zap.String("ended", in.ID), zap.String("incarnation", in.Incarnation))
	}
}

// staleEntries returns the instances whose entries this one is to remove now.
func (c *Cluster) staleEntries() []member.Info {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	ranked := c.rankCell(now)
	if spread.Position(ranked, c.self.ID) != 0 || c.countSuspects(now) > len(ranked) {
		// Who hears few of its cell is more likely cut off itself.
		return nil
	}
	ended := c.view.Ended(now, c.cell, staleEntryAge)
	return ended[:min(maxRemovalsPerRead, len(ended))]
}

// reregister registers this instance again when another has removed its entry
// from list.
func (c *Cluster) reregister(ctx context.Context, list []platform.Instance) {
	c.mu.Lock()
	self, leaving := toInstance(c.view.Self()), c.leaving
	c.mu.Unlock()
	if leaving || slices.ContainsFunc(list, func(in platform.Instance) bool { return in.ID == self.ID }) {
		return
	}
	err := c.listGuard.write(ctx, func(ctx context.Context) error { return c.cfg.Instances.Register(ctx, self) })
	c.cfg.Log.Warn("own entry was missing in the list", zap.Bool("put_back", err == nil), zap.Error(err))
}

// countSuspects returns the number of members of the cell that are not heard from. The
// caller holds mu.
func (c *Cluster) countSuspects(now time.Time) int {
	n := 0
	for _, m := range c.view.Cell(now, c.cell) {
		if m.State == member.Suspect {
			n++
		}
	}
	return n
}
