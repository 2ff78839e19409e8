package choice

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// reportDecay is the age at which a report has lost most of its weight.
	reportDecay = 2 * time.Second
	// reportWeight bounds what a report can do: it at most doubles a score.
	reportWeight = 1.0
)

// ReportedLoad is the last load report of a target. The zero value is none. It may
// be used from several goroutines at once.
type ReportedLoad struct {
	load atomic.Uint64
	at   atomic.Int64
}

// Observe takes in a report made at at: the requests that run and wait at the
// target beyond those of this instance, as a part of its slots. Older reports
// than the last are ignored.
func (r *ReportedLoad) Observe(at int64, inFlight, queued, own, slots int) {
	if at < r.at.Load() || slots <= 0 {
		return
	}
	others := max(0, inFlight-own) + max(0, queued)
	r.load.Store(math.Float64bits(min(1, float64(others)/float64(slots))))
	r.at.Store(at)
}

// Penalty returns the factor, from 1 to 2, by which the report raises the
// target's score at now.
func (r *ReportedLoad) Penalty(now int64) float64 {
	load := math.Float64frombits(r.load.Load())
	if load == 0 {
		return 1
	}
	age := float64(max(0, now-r.at.Load())) / float64(reportDecay)
	return 1 + reportWeight*load*max(0, 1-age)
}

// Score rates a target with inFlight of usable slots in use; lower is better.
func Score(inFlight, usable int64, latency time.Duration, penalty float64) float64 {
	return float64(inFlight+1) / float64(usable) * float64(max(latency, time.Microsecond)) * penalty
}
