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
	slot   *targetStats
	region *region
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
func (l *orphanSet) add(now int64, d *Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := max(now, d.deadline) + orphanGracePeriod.Nanoseconds()
	l.items = append(l.items, orphan{slot: d.targetStats, region: d.region, abandonedAt: now, releaseAt: until})
	l.count.Store(int64(len(l.items)))
}

// releaseBefore gives back the slots of the attempts at s that were given up before
// at, a time after which s has taken in a request or a probe.
func (l *orphanSet) releaseBefore(s *targetStats, at int64) {
	l.releaseIf(func(it *orphan) bool { return it.slot == s && it.abandonedAt < at })
}

// releaseExpired gives back the slots of the attempts that have ended by now.
func (l *orphanSet) releaseExpired(now int64) {
	l.releaseIf(func(it *orphan) bool { return now >= it.releaseAt })
}

// releaseIf gives back the slots of the attempts that ended says so of.
func (l *orphanSet) releaseIf(ended func(*orphan) bool) {
	if l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.items[:0]
	for i := range l.items {
		it := &l.items[i]
		if !ended(it) {
			kept = append(kept, *it)
			continue
		}
		it.slot.inFlight.Add(-1)
		it.region.inFlight.Add(-1)
	}
	clear(l.items[len(kept):])
	l.items = kept
	l.count.Store(int64(len(kept)))
}
