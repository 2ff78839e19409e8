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

// registerRetryInterval is the time after a failed registration, or a failed
// read of the list, until the next attempt.
const registerRetryInterval = time.Second

// registerLoop registers this instance in the platform's list and returns once
// that has succeeded.
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

// listLoop reads the platform's list of instances, more often as a watcher.
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
		d = c.jitter(d)
		if settles := c.listSettlesIn(time.Now()); settles > 0 {
			d = min(d, settles)
		}
		if !sleep(ctx, d, nil) {
			return
		}
	}
}

// readList reads the list into the view, removes stale entries, and registers
// this instance again if its entry is missing. It reports whether the list could
// be read.
func (c *Cluster) readList(ctx context.Context) bool {
	c.mu.Lock()
	wasRegistered := c.registered
	c.mu.Unlock()
	sent, list := time.Now(), []platform.Instance(nil)
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
	c.observeStoreGeneration(time.Now())
	c.view.ObserveList(time.Now(), infos)
	c.listReadAt = time.Now()
	c.settling.observeRead(sent)
	c.mu.Unlock()
	c.refreshViews()
	c.removeStaleEntries(ctx)
	if wasRegistered {
		c.reregister(ctx, list)
	}
	return true
}

const (
	// staleEntryAge is the time without a message from an instance after which
	// its entry is removed from the list. It is long because an instance may
	// return after a network partition.
	staleEntryAge = time.Minute
	// maxRemovalsPerRead limits the entries that are removed after one read of
	// the list.
	maxRemovalsPerRead = 4
)

// removeStaleEntries removes from the platform's list the entries of instances
// of the cell that terminated without deregistering.
func (c *Cluster) removeStaleEntries(ctx context.Context) {
	for _, in := range c.staleEntries() {
		err := c.listGuard.write(ctx, func(ctx context.Context) error {
			return c.cfg.Instances.Deregister(ctx, in.ID, in.Incarnation)
		})
		if err != nil {
			c.cfg.Log.Warn("removing the entry of a terminated instance from the platform's list failed", zap.String("ended", in.ID), zap.Error(err))
			continue
		}
		c.cfg.Log.Info("removed the entry of a terminated instance from the platform's list", zap.String("ended", in.ID), zap.String("incarnation", in.Incarnation))
	}
}

// staleEntries returns the instances whose entries this one is to remove now.
// Only the first instance of the cell removes entries.
func (c *Cluster) staleEntries() []member.Info {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	ranked := c.rankCell(now)
	if spread.Position(ranked, c.self.ID) != 0 || c.countSuspects(now) > len(ranked) {
		// An instance that suspects most of its cell is more likely to be
		// partitioned from it.
		return nil
	}
	stale := append(c.view.Reappeared(c.cell), c.view.StaleListings(now, c.cell, staleEntryAge)...)
	return stale[:min(maxRemovalsPerRead, len(stale))]
}

// reregister registers this instance again if its entry is missing in list
// because another instance has removed it.
func (c *Cluster) reregister(ctx context.Context, list []platform.Instance) {
	c.mu.Lock()
	self, leaving := toInstance(c.view.Self()), c.leaving
	c.mu.Unlock()
	if leaving || slices.ContainsFunc(list, func(in platform.Instance) bool { return in.ID == self.ID }) {
		return
	}
	err := c.listGuard.write(ctx, func(ctx context.Context) error { return c.cfg.Instances.Register(ctx, self) })
	c.cfg.Log.Warn("entry of this instance was missing from the platform's list; tried to register it again", zap.Bool("put_back", err == nil), zap.Error(err))
}

// countSuspects returns the number of suspected members of the cell. The caller
// holds mu.
func (c *Cluster) countSuspects(now time.Time) int {
	n := 0
	for _, m := range c.view.CellMembers(now, c.cell) {
		if m.State == member.Suspect {
			n++
		}
	}
	return n
}
