package steer

import (
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/choice"
	"github.com/jacinthramp/jacinthramp/pkg/decision/hashing"
	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// targetStats holds this instance's counters and estimates for one target. It
// is kept while the target has requests in flight, even if the tables change.
type targetStats struct {
	name     string
	share    atomic.Int64
	inFlight atomic.Int64
	latency  choice.Latency
	health   choice.Health
	report   choice.ReportedLoad
	// pausedUntil is the end of a short pause after the target refused a
	// request.
	pausedUntil atomic.Int64
	backoff     backoff
	limiter     ratelimit.Limiter

	// leaving is set by a notice or a load report that the target has sent to this
	// instance. peerReport is set while a peer's report of a notice excludes the target.
	leaving     atomic.Bool
	leavingAt   atomic.Int64
	peerReport  atomic.Pointer[peerReport]
	incarnation atomic.Pointer[string]

	// The fields below are for direct dispatch. hash ranks the target. serial
	// distinguishes targets and incarnations.
	hash      uint64
	serial    uint64
	otherLoad otherLoad
	slowness  slowness
	// workFactor is what the target reports about how long work takes there.
	workFactor workFactor
	// probedAt is when a request last had the target probed.
	probedAt atomic.Int64
	// unreachable is set from a refused connection until a probe or a request
	// succeeds.
	unreachable atomic.Bool
	// coldUntil is when the target's caches cease to be cold. lastSentAt is
	// when this instance last sent it a request.
	coldUntil  atomic.Int64
	lastSentAt atomic.Int64
}

// newTargetStats returns the statistics of a target without any observations.
func (c *Core) newTargetStats(name string) *targetStats {
	return &targetStats{name: name, hash: hashing.Name(name), serial: c.lastSerial.Add(1)}
}

// target is a target's row of the tables in force, with its statistics.
type target struct {
	*targetStats
	row   table.Target
	pool  string
	drain bool
	// coldRate is the number of requests per second that the target tolerates
	// while cold. Zero means no limit.
	coldRate float64
}

// region counts this instance's requests in flight to one region.
type region struct {
	name     string
	share    atomic.Int64
	inFlight atomic.Int64
}

// acquire increments inFlight unless it has reached limit, which was derived from
// share. It undoes that if share has been lowered below inFlight since. SetShares
// lowers share before Demand reads inFlight, so that either this check sees the
// lower share or Demand sees the request.
func acquire(inFlight *atomic.Int64, limit int64, share *atomic.Int64) bool {
	for {
		n := inFlight.Load()
		if n >= limit {
			return false
		}
		if inFlight.CompareAndSwap(n, n+1) {
			break
		}
	}
	if inFlight.Load() <= share.Load() {
		return true
	}
	inFlight.Add(-1)
	return false
}

// eligible reports whether the target may be chosen at now if it has a free
// slot.
func (t *target) eligible(now int64) bool {
	return !t.drain && !t.leaving.Load() && t.peerReport.Load() == nil && !t.health.Ejected(now)
}

// usableSlots returns how many requests this instance may have in flight at the
// target at now.
func (t *target) usableSlots(now int64) int64 {
	if !t.eligible(now) || now < t.pausedUntil.Load() || !t.backoff.allows(now, t.inFlight.Load()) || !t.limiter.Allows(now) {
		return 0
	}
	return t.health.UsableShare(now, t.share.Load())
}

const (
	// shedPause is how long no new requests are sent to a target after it
	// refused one.
	shedPause = 50 * time.Millisecond
	// leavingHold is how long a leaving notice holds against later reports of
	// the same incarnation. Reports without an incarnation cannot end it.
	leavingHold = 60 * time.Second
)

// markLeaving stops new requests to the target. It reports whether the target
// was not leaving before.
func (s *targetStats) markLeaving(now int64) bool {
	if s.leaving.Swap(true) {
		return false
	}
	s.leavingAt.Store(now)
	return true
}

// mustRetain reports whether the statistics must outlive the target's row in
// the tables, because it has requests in flight, is in backoff or was recently
// marked as leaving.
func (s *targetStats) mustRetain(now int64) bool {
	return s.inFlight.Load() > 0 || s.backoff.active(now) || (s.leaving.Load() && now-s.leavingAt.Load() <= leavingHold.Nanoseconds())
}

// applyReport records a target's report about itself.
func (s *targetStats) applyReport(now, at int64, rep *LoadReport) {
	known := s.incarnation.Load()
	newIncarnation := rep.Incarnation != "" && (known == nil || *known != rep.Incarnation)
	if newIncarnation {
		inc := rep.Incarnation
		s.incarnation.Store(&inc)
	}
	if newIncarnation && known != nil {
		s.leaving.Store(false)
		s.health.StartSlowStart(now)
	}
	switch {
	case rep.Leaving:
		s.markLeaving(now)
	case rep.Healthy && rep.Incarnation != "" && s.leaving.Load() && now-s.leavingAt.Load() > leavingHold.Nanoseconds():
		s.leaving.Store(false)
	}
	s.report.Observe(at, rep.InFlight, rep.Queued, int(s.inFlight.Load()), rep.Slots)
}
