package steer

import (
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/choice"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// targetStats follows one target from this instance. It lives as long as the target
// has requests in flight, whatever tables come into force meanwhile.
type targetStats struct {
	name     string
	share    atomic.Int64
	inFlight atomic.Int64
	latency  choice.Latency
	health   choice.Health
	report   choice.Report
	// pausedUntil ends a short pause after the target refused a request.
	pausedUntil atomic.Int64
	backoff     backoff

	leaving     atomic.Bool
	leavingAt   atomic.Int64
	incarnation atomic.Pointer[string]

	// The rest serves direct dispatch. hash ranks the target, and serial tells the
	// slot from those of other targets and incarnations.
	hash      uint64
	serial    uint64
	otherLoad otherLoad
	slowness  slowness
	// unreachable is set from a refused connection until a probe is answered.
	unreachable atomic.Bool
	// coldUntil ends the time in which the target's caches are cold, and lastSentAt
	// is when this instance has last sent it a request.
	coldUntil  atomic.Int64
	lastSentAt atomic.Int64
}

// newTargetStats returns the slot of a target that nothing is known of.
func (c *Core) newTargetStats(name string) *targetStats {
	return &targetStats{name: name, hash: hashName(name), serial: c.lastSerial.Add(1)}
}

// target is a target's row in the tables in force.
type target struct {
	*targetStats
	row   table.Target
	pool  string
	drain bool
	// coldRate is the requests a second that the target tolerates while cold.
	coldRate float64
}

// region counts the requests in flight to one region from this instance.
type region struct {
	name     string
	share    atomic.Int64
	inFlight atomic.Int64
}

// acquire takes one request of limit unless it is used up.
func acquire(inFlight *atomic.Int64, limit int64) bool {
	for {
		n := inFlight.Load()
		if n >= limit {
			return false
		}
		if inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// eligible reports whether the target may be chosen at now when it has a free slot.
func (t *target) eligible(now int64) bool {
	return !t.drain && !t.leaving.Load() && !t.health.Ejected(now)
}

// usableSlots returns how many requests the target may have in flight at now.
func (t *target) usableSlots(now int64) int64 {
	if !t.eligible(now) || now < t.pausedUntil.Load() || !t.backoff.allows(now, t.inFlight.Load()) {
		return 0
	}
	return t.health.Usable(now, t.share.Load())
}

const (
	// shedPause keeps new work from a target that has just refused some.
	shedPause = 50 * time.Millisecond
	// leavingHold is how long a target that said it is leaving is believed
	// while its reports say the contrary under the same incarnation. Reports
	// without one can't contradict it.
	leavingHold = 60 * time.Second
)

// markLeaving stops new work for the target. It reports whether that is new.
func (s *targetStats) markLeaving(now int64) bool {
	if s.leaving.Swap(true) {
		return false
	}
	s.leavingAt.Store(now)
	return true
}

// mustRetain reports whether the slot must outlive its row in the tables: it
// has requests in flight, or would forget that the target is leaving.
func (s *targetStats) mustRetain(now int64) bool {
	return s.inFlight.Load() > 0 || (s.leaving.Load() && now-s.leavingAt.Load() <= leavingHold.Nanoseconds())
}

// applyReport takes in a report of the target about itself.
func (s *targetStats) applyReport(now, at int64, rep *LoadReport) {
	known := s.incarnation.Load()
	newIncarnation := rep.Incarnation != "" && (known == nil || *known != rep.Incarnation)
	if newIncarnation {
		inc := rep.Incarnation
		s.incarnation.Store(&inc)
	}
	if newIncarnation && known != nil {
		s.leaving.Store(false)
		s.health.Restarted(now)
	}
	switch {
	case rep.Leaving:
		s.markLeaving(now)
	case rep.Healthy && rep.Incarnation != "" && s.leaving.Load() && now-s.leavingAt.Load() > leavingHold.Nanoseconds():
		s.leaving.Store(false)
	}
	s.report.Observe(at, rep.InFlight, rep.Queued, int(s.inFlight.Load()), rep.Slots)
}
