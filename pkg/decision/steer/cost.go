package steer

import (
	"math"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/mechanism"
)

// costInputs are the inputs to a candidate's cost besides the target's state.
type costInputs struct {
	work          time.Duration
	penalty       time.Duration
	targetLatency time.Duration
	// maxWait is how long the request may wait at a target.
	maxWait time.Duration
	// usualLoad is set to compare targets by what they usually report.
	usualLoad bool
	without   mechanism.Set
}

// costInputs returns the inputs to the cost of a target that is warm for the object, and of a
// cold one.
func (est estimate) costInputs(without mechanism.Set) (warm, cold costInputs) {
	warm = costInputs{work: est.warmWork, targetLatency: est.targetLatency, maxWait: est.maxWait, usualLoad: !without.Has(mechanism.UsualLoad), without: without}
	cold = costInputs{work: est.coldWork, penalty: est.coldPenalty, targetLatency: est.targetLatency, maxWait: est.maxWait, without: without}
	return warm, cold
}

// estimateCost estimates the time from the dispatch to the response of t for a
// request that takes in.work at an idle target, and the part of it spent waiting.
func (t *target) estimateCost(now int64, in costInputs) (cost, wait time.Duration) {
	slots := float64(max(1, t.row.Slots))
	load := float64(t.inFlight.Load()) + t.otherLoad.value(now)
	work := float64(in.work)
	work *= t.reportedFactor(now, in.without)
	if !in.without.Has(mechanism.Slowness) {
		work *= t.slowness.factor(now)
	}
	wait = queueTime(load, slots, work)
	expected := wait
	if in.usualLoad {
		load = float64(t.inFlight.Load()) + t.otherLoad.usual(now)
		expected = queueTime(load, slots, work)
	}
	penalty := 0.0
	if !in.without.Has(mechanism.BusyPenalty) {
		// A busy target is more likely to receive further requests from other
		// instances.
		utilisation := math.Min(1, load/slots)
		penalty += utilisation * utilisation * busyPenaltyFraction * work
	}
	if !in.without.Has(mechanism.FailurePenalty) {
		penalty += t.slowness.failureRate() * failurePenaltyFactor * float64(in.targetLatency)
	}
	return expected + time.Duration(work+penalty), wait
}

// busyPenaltyFraction is the fraction of a request's service time that is added
// to its cost when all slots are in use.
const busyPenaltyFraction = 0.5

// queueTime returns how long a request waits at a target with load requests, each of
// which takes work nanoseconds.
func queueTime(load, slots, work float64) time.Duration {
	return time.Duration(max(0, load+1-slots) / slots * work)
}

// networkCost returns the assumed round trip to t, plus regionPenalty for a
// target in another region.
func (c *Core) networkCost(p *pool, t *target) time.Duration {
	switch {
	case t.row.Zone == c.self.Zone:
		return 0
	case p.row.Region == c.self.Region:
		return priorZoneRTT
	}
	return priorRegionRTT + regionPenalty
}

const (
	// priorZoneRTT and priorRegionRTT are the assumed round trips between zones
	// and between regions.
	priorZoneRTT   = 8 * time.Millisecond
	priorRegionRTT = 60 * time.Millisecond
)
