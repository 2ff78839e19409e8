package choice

import (
	"sync/atomic"
	"time"
)

const (
	// failuresToEject is the number of consecutive failures after which a target is
	// ejected.
	failuresToEject = 3
	// The first ejection lasts minEjection. Each consecutive one lasts twice as long
	// as the one before, up to maxEjection. maxEjectionDoublings limits the shift that
	// computes the duration.
	minEjection          = 1 * time.Second
	maxEjection          = 30 * time.Second
	maxEjectionDoublings = 5

	// slowStartDuration is the time after which a new incarnation receives its full
	// share.
	slowStartDuration = 10 * time.Second
	// slowStartMinShare is the fraction of its share that a new incarnation receives
	// at first.
	slowStartMinShare = 0.25
)

// MaxEjectedTargets returns the maximum number of ejected targets in a pool of n. It
// is half of them, so that a fault shared by all targets cannot empty the pool.
func MaxEjectedTargets(n int) int { return n / 2 }

// Health tracks the results of requests to one target for outlier ejection and slow
// start. The zero value is a healthy target that is not in slow start. It is safe for
// concurrent use. All times are in nanoseconds of any one monotonic clock.
type Health struct {
	failures     atomic.Int64
	ejections    atomic.Int64
	ejectedUntil atomic.Int64
	startedAt    atomic.Int64
	inSlowStart  atomic.Bool
}

// RecordSuccess records a response of the target. It resets the counts of
// consecutive failures and ejections.
func (h *Health) RecordSuccess() {
	if h.failures.Load() != 0 {
		h.failures.Store(0)
		h.ejections.Store(0)
	}
}

// RecordFailure records a failed attempt and reports whether the target should be
// ejected.
func (h *Health) RecordFailure() bool { return h.failures.Add(1) >= failuresToEject }

// Eject ejects the target at now. Consecutive ejections last longer each time.
func (h *Health) Eject(now int64) {
	n := min(h.ejections.Add(1)-1, maxEjectionDoublings)
	h.ejectedUntil.Store(now + min(minEjection<<n, maxEjection).Nanoseconds())
}

// Ejected reports whether the target is ejected at now.
func (h *Health) Ejected(now int64) bool { return now < h.ejectedUntil.Load() }

// StartSlowStart resets the state and begins a slow start, for a target that runs as
// a new incarnation.
func (h *Health) StartSlowStart(now int64) {
	h.failures.Store(0)
	h.ejections.Store(0)
	h.ejectedUntil.Store(0)
	h.startedAt.Store(now)
	h.inSlowStart.Store(true)
}

// UsableShare returns how many of the slots in share may be used at now. After
// failuresToEject failures it is one, as a probe, until the target responds. During a
// slow start it is a growing fraction of share.
func (h *Health) UsableShare(now, share int64) int64 {
	if share <= 1 {
		return share
	}
	if h.failures.Load() >= failuresToEject {
		return 1
	}
	if !h.inSlowStart.Load() {
		return share
	}
	age := float64(now-h.startedAt.Load()) / float64(slowStartDuration)
	if age >= 1 {
		h.inSlowStart.Store(false)
		return share
	}
	fraction := slowStartMinShare + (1-slowStartMinShare)*max(0, age)
	return max(1, int64(fraction*float64(share)))
}
