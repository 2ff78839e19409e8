package choice

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// reportLifetime is the age at which a report no longer has an effect. Its
	// weight decreases linearly until then.
	reportLifetime = 2 * time.Second
	// reportWeight limits the effect of a report, which may be wrong: it at most
	// doubles a score.
	reportWeight = 1.0
)

// ReportedLoad is the load in the last report of a target. The zero value means that
// there is none. It is safe for concurrent use.
type ReportedLoad struct {
	load       atomic.Uint64
	reportedAt atomic.Int64
}

// Observe records a report that the target made at at, in nanoseconds of any one
// monotonic clock. The load is the number of requests in flight and queued at the
// target, excluding the own requests of this instance, as a fraction of its slots, at
// most 1. Reports older than the last one are ignored.
func (r *ReportedLoad) Observe(at int64, inFlight, queued, own, slots int) {
	if at < r.reportedAt.Load() || slots <= 0 {
		return
	}
	others := max(0, inFlight-own) + max(0, queued)
	r.load.Store(math.Float64bits(min(1, float64(others)/float64(slots))))
	r.reportedAt.Store(at)
}

// Penalty returns the factor, from 1 to 2, by which the report multiplies the
// target's score at now.
func (r *ReportedLoad) Penalty(now int64) float64 {
	load := math.Float64frombits(r.load.Load())
	if load == 0 {
		return 1
	}
	age := float64(max(0, now-r.reportedAt.Load())) / float64(reportLifetime)
	return 1 + reportWeight*load*max(0, 1-age)
}

// Score returns the score of a target with inFlight requests in its usable slots.
// The target with the lowest score is preferred.
func Score(inFlight, usable int64, latency time.Duration, penalty float64) float64 {
	return float64(inFlight+1) / float64(usable) * float64(max(latency, time.Microsecond)) * penalty
}
