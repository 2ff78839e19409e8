// Package spill decides when requests spill to another zone. It compares the cost
// of waiting in a busy zone with the cost of a more distant one, and discounts
// headroom reports by their age.
package spill

import (
	"math"
	"time"
)

// Round-trip times between instances that are assumed until hops have been
// measured.
const (
	PriorZoneRTT   = 8 * time.Millisecond
	PriorRegionRTT = 70 * time.Millisecond
)

const (
	// maxUtilisation keeps the estimated wait finite.
	maxUtilisation = 0.999
	// Hysteresis is how far utilisation must fall below the threshold before
	// spilling ends.
	Hysteresis = 0.1
	// maxSummaryAge is the age from which a zone's summary is ignored.
	maxSummaryAge = 5 * time.Second
)

// MeanWait estimates the mean queueing time for the given number of servers
// (slots), utilisation and mean service time, by Sakasegawa's approximation for
// M/M/c queues.
func MeanWait(utilisation float64, servers int, service time.Duration) time.Duration {
	if servers <= 0 {
		return math.MaxInt64
	}
	u := min(max(0, utilisation), maxUtilisation)
	c := float64(servers)
	w := math.Pow(u, math.Sqrt(2*(c+1))-1) / (c * (1 - u))
	return time.Duration(w * float64(service))
}

// Threshold returns the utilisation at which the marginal cost of a local request
// reaches extra, the additional cost of the best other zone. The marginal cost is
// the request's own wait plus what it adds to the waits of other requests.
func Threshold(servers int, service, extra time.Duration) float64 {
	low, high := 0.0, 1.0
	for range 16 {
		mid := (low + high) / 2
		if marginalCost(mid, servers, service) <= extra {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// marginalCost returns the derivative of u*MeanWait(u): the wait of one more
// request plus what it adds to the waits of other requests.
func marginalCost(u float64, servers int, service time.Duration) time.Duration {
	const step = 1e-4
	wait := MeanWait(u, servers, service)
	slope := float64(MeanWait(min(u+step, maxUtilisation), servers, service)-wait) / step
	return wait + time.Duration(u*slope)
}

// Freshness returns the weight of a zone's summary of the given age: 1 for a new
// one, falling linearly to 0 at maxSummaryAge.
func Freshness(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return max(0, 1-float64(age)/float64(maxSummaryAge))
}
