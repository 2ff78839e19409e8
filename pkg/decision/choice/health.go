package choice

import (
	"sync/atomic"
	"time"
)

const (
	// failuresToEject is the number of failures in a row that eject a target.
	failuresToEject = 3
	ejectionBase    = 1 * time.Second
	ejectionMax     = 30 * time.Second
	maxDoublings    = 5

	// slowStart is the time over which a new incarnation gets its whole share.
	slowStart = 10 * time.Second
	// slowStartFloor is the part of its share that a new incarnation starts with.
	slowStartFloor = 0.25
)

// MaxEjectedTargets is the largest number of ejected targets in a pool of n: at most
// half, so that a fault shared by all of them can't empty the pool.
func MaxEjectedTargets(n int) int { return n / 2 }

// Health follows the attempts at one target. The zero value is a healthy
// target that has run for long. It may be used from several goroutines at once.
type Health struct {
	failures   atomic.Int64
	ejections  atomic.Int64
	ejectedTo  atomic.Int64
	startedAt  atomic.Int64
	restarting atomic.Bool
}

// RecordSuccess takes in an answer from the target.
func (h *Health) RecordSuccess() {
	if h.failures.Load() != 0 {
		h.failures.Store(0)
		h.ejections.Store(0)
	}
}

// RecordFailure takes in a failed attempt and reports whether the target should be
// ejected.
func (h *Health) RecordFailure() bool { return h.failures.Add(1) >= failuresToEject }

// Eject keeps the target out from now on, longer each time in a row.
func (h *Health) Eject(now int64) {
	n := min(h.ejections.Add(1)-1, maxDoublings)
	h.ejectedTo.Store(now + min(ejectionBase<<n, ejectionMax).Nanoseconds())
}

// Ejected reports whether the target is kept out at now.
func (h *Health) Ejected(now int64) bool { return now < h.ejectedTo.Load() }

// StartSlowStart begins a slow start: the target runs as a new incarnation.
func (h *Health) StartSlowStart(now int64) {
	h.failures.Store(0)
	h.ejections.Store(0)
	h.ejectedTo.Store(0)
	h.startedAt.Store(now)
	h.restarting.Store(true)
}

// UsableShare returns how much of share the target may be given at now: one after
// failures until it answers, part of it during a slow start.
func (h *Health) UsableShare(now, share int64) int64 {
	if share <= 1 {
		return share
	}
	if h.failures.Load() >= failuresToEject {
		return 1
	}
	if !h.restarting.Load() {
		return share
	}
	age := float64(now-h.startedAt.Load()) / float64(slowStart)
	if age >= 1 {
		h.restarting.Store(false)
		return share
	}
	part := slowStartFloor + (1-slowStartFloor)*max(0, age)
	return max(1, int64(part*float64(share)))
}
