package steer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// orphanGracePeriod is how long after a request's deadline a target that
// gives no sign of life is taken to have ended it.
const orphanGracePeriod = time.Second

// orphan is an attempt that this end gave up: it was cancelled, or its
// deadline passed. The target may still run it, so it keeps its slot until
// the target has shown that it took in something sent later.
type orphan struct {
	targetStats *targetStats
	region      *region
	// abandonedAt is when the attempt was given up, and until when it ends at the latest.
	abandonedAt int64
	releaseAt   int64
}

// orphanSet holds the attempts of one Core that were given up.
type orphanSet struct {
	count atomic.Int64

	mu    sync.Mutex
	items []orphan
}

// leavesOrphan reports whether an attempt that ended with k was given up by this
// end. After a loss the target's end is closed as well, or the target is gone.
func leavesOrphan(k fault.Kind) bool {
	switch k {
	case fault.KindCallerGone, fault.KindTargetTimeout, fault.KindTargetGarbage, fault.KindBodyMismatch:
		return true
	default:
		return false
	}
}

// add keeps what d has taken.
func (o *orphanSet) add(now int64, d *Decision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	releaseAt := max(now, d.deadline) + orphanGracePeriod.Nanoseconds()
	o.items = append(o.items, orphan{targetStats: d.targetStats, region: d.region, abandonedAt: now, releaseAt: releaseAt})
	o.count.Store(int64(len(o.items)))
}

// releaseBefore gives back the slots of the attempts at s that were given up before
// at, a time after which s has taken in a request or a probe.
func (o *orphanSet) releaseBefore(s *targetStats, at int64) {
	o.releaseIf(func(item *orphan) bool { return item.targetStats == s && item.abandonedAt < at })
}

// releaseExpired gives back the slots of the attempts that have ended by now.
func (o *orphanSet) releaseExpired(now int64) {
	o.releaseIf(func(item *orphan) bool { return now >= item.releaseAt })
}

// releaseIf gives back the slots of the attempts that ended says so of.
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
