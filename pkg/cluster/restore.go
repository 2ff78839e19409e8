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
	// listSettleTime is how long after a restore the list may lack members: they learn
	// of the restore first, and their first writes may be refused.
	listSettleTime = 10 * time.Second
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
	c.settling.observeRestore(now)
	if c.listReadAt.IsZero() && c.tables.Load() == nil {
		// The first generation that this instance sees.
		return
	}
	c.cfg.Log.Warn("the platform's store was restored from an older copy", zap.Uint64("generation", generation), zap.Uint64("before", old))
	c.view.HoldUnlisted(now.Add(c.timing.Member.ForgetAfter))
	signal(c.registerDue)
}

// listSettling tells whether the lists of instances that this instance has read can be
// complete. A list that is short because of a restore is no evidence that there are no other
// members. An instance keeps the members that it knows, so only the lists of one that has just
// started are in question.
type listSettling struct {
	// at is the time from which a list that is read lacks nobody: listSettleTime after the
	// first read, or after the last restore known here before that.
	at time.Time
	// settled is set once a list has been read then, and restored if there was a restore
	// before.
	settled  bool
	restored bool
}

// complete reports whether the lists that have been read can be complete.
func (s *listSettling) complete() bool { return s.settled || !s.restored }

// observeRestore records that a restore has become known. An instance that starts can't tell
// how long ago it was.
func (s *listSettling) observeRestore(now time.Time) {
	s.at, s.restored = now.Add(listSettleTime), true
}

// observeRead records a read of the list that was sent at a time.
func (s *listSettling) observeRead(sent time.Time) {
	if s.at.IsZero() {
		s.at = sent.Add(listSettleTime)
	}
	s.settled = s.settled || !sent.Before(s.at)
}

// until returns the time until the list is to be read for this, or 0.
func (s *listSettling) until(now time.Time) time.Duration {
	if s.settled || s.at.IsZero() {
		return 0
	}
	return max(0, s.at.Sub(now))
}

// listSettlesIn is settling.until for callers without mu.
func (c *Cluster) listSettlesIn(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settling.until(now)
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
