package steer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// orphanGracePeriod is how long after a request's deadline an orphan is assumed
// to have ended if the target shows no activity.
const orphanGracePeriod = time.Second

// orphan is an attempt that this instance gave up, for example because the caller
// closed the connection or the deadline passed. The target may still run it, so
// the orphan keeps its slot until the target has handled something that was sent
// later.
type orphan struct {
	targetStats *targetStats
	region      *region
	// abandonedAt is when the attempt was given up. releaseAt is when its slot
	// is freed at the latest.
	abandonedAt int64
	releaseAt   int64
}

// orphanSet holds the orphans of one Core.
type orphanSet struct {
	count atomic.Int64

	mu    sync.Mutex
	items []orphan
}

// leavesOrphan reports whether an attempt that ended with k was given up by
// this instance. After a lost connection there is no orphan: the target has
// detected the loss as well, or no longer runs.
func leavesOrphan(k fault.Kind) bool {
	switch k {
	case fault.KindCallerGone, fault.KindTargetTimeout, fault.KindTargetGarbage, fault.KindBodyMismatch:
		return true
	default:
		return false
	}
}

// add makes the attempt of d an orphan.
func (o *orphanSet) add(now int64, d *Decision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	releaseAt := max(now, d.deadline) + orphanGracePeriod.Nanoseconds()
	o.items = append(o.items, orphan{targetStats: d.targetStats, region: d.region, abandonedAt: now, releaseAt: releaseAt})
	o.count.Store(int64(len(o.items)))
}

// releaseBefore frees what the orphans of s hold that were given up before at,
// the send time of a request or probe that the target has handled.
func (o *orphanSet) releaseBefore(s *targetStats, at int64) {
	o.releaseIf(func(item *orphan) bool { return item.targetStats == s && item.abandonedAt < at })
}

// releaseExpired frees what the orphans past their releaseAt hold.
func (o *orphanSet) releaseExpired(now int64) {
	o.releaseIf(func(item *orphan) bool { return now >= item.releaseAt })
}

// releaseIf frees what the matching orphans hold and removes them from the set.
func (o *orphanSet) releaseIf(match func(*orphan) bool) {
	if o.count.Load() == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	kept := o.items[:0]
	for i := range o.items {
		item := &o.items[i]
		if !match(item) {
			kept = append(kept, *item)
			continue
		}
		item.targetStats.inFlight.Add(-1)
		item.region.inFlight.Add(-1)
	}
	clear(o.items[len(kept):])
	o.items = kept
	o.count.Store(int64(len(kept)))
}
