package cluster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
)

const (
	// restoreWritesPerSecond is the rate of the writes with which all instances together
	// register again after a restore of the platform's store. Operators and targets
	// write again at the same time.
	restoreWritesPerSecond = 250
	// minRestoreSpread is the shortest time over which the instances spread them.
	minRestoreSpread = 500 * time.Millisecond
)

// restoreSpread returns the time over which n instances register again.
func restoreSpread(n int) time.Duration {
	return max(minRestoreSpread, time.Duration(n)*time.Second/restoreWritesPerSecond)
}

// observeStoreGeneration checks whether the platform's store has been restored from an
// older copy: this instance has seen that itself, or has entries of the new generation from
// another instance. The registrations of instances may then be lost, so the members that
// the list lacks are kept until they have registered again. The caller holds mu.
func (c *Cluster) observeStoreGeneration(now time.Time) {
	generation := uint64(0)
	if c.cfg.StoreGeneration != nil {
		generation = c.cfg.StoreGeneration()
	}
	for _, version := range c.catalogPosition() {
		generation = max(generation, catalog.GenerationOf(version))
	}
	if generation == c.storeGeneration {
		return
	}
	old := c.storeGeneration
	c.storeGeneration = generation
	if c.listReadAt.IsZero() && c.tables.Load() == nil {
		// The first generation that this instance sees.
		return
	}
	c.cfg.Log.Warn("the platform's store was restored from an older copy", zap.Uint64("generation", generation), zap.Uint64("before", old))
	c.view.HoldUnlisted(now.Add(c.timing.Member.ForgetAfter))
	signal(c.registerDue)
}

// reregisterLoop registers this instance again after each restore of the platform's store.
func (c *Cluster) reregisterLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.registerDue:
		}
		members, _ := c.Members()
		delay := time.Duration(c.cfg.Rand() * float64(restoreSpread(len(members))))
		if !sleep(ctx, delay, nil) {
			return
		}
		for !c.registerAgain(ctx) {
			if !sleep(ctx, c.jitter(registerRetryInterval), nil) {
				return
			}
		}
	}
}

// registerAgain writes this instance's entry again. It reports false if that failed.
func (c *Cluster) registerAgain(ctx context.Context) bool {
	c.mu.Lock()
	self, skip := toInstance(c.view.Self()), c.leaving || !c.registered
	c.mu.Unlock()
	if skip {
		return true
	}
	err := c.listGuard.write(ctx, func(ctx context.Context) error { return c.cfg.Instances.Register(ctx, self) })
	c.cfg.Log.Info("registered again after a restore of the platform's store", zap.Bool("done", err == nil), zap.Error(err))
	return err == nil
}
