// Package spill weighs zones against each other: what waiting for a busy zone
// costs against what a farther one costs, with headroom reports that are late.
package spill

import (
	"math"
	"time"
)

// Prior round trips between instances, until hops have been measured.
const (
	PriorZoneRTT   = 8 * time.Millisecond
	PriorRegionRTT = 70 * time.Millisecond
)

const (
	// maxUtilisation keeps the wait finite.
	maxUtilisation = 0.999
	// Hysteresis is how far utilisation must fall below the threshold before
	// traffic returns.
	Hysteresis = 0.1
	// reportLife is the age at which a zone's summary tells nothing any more.
	reportLife = 5 * time.Second
)

// MeanWait estimates the mean queueing time with servers slots at the given
// utilisation and mean service time (Sakasegawa's formula for M/M/c).
func MeanWait(utilisation float64, servers int, service time.Duration) time.Duration {
	if servers <= 0 {
		return math.MaxInt64
	}
	u := min(max(0, utilisation), maxUtilisation)
	c := float64(servers)
	w := math.Pow(u, math.Sqrt(2*(c+1))-1) / (c * (1 - u))
	return time.Duration(w * float64(service))
}

// Threshold returns the utilisation at which one more request here costs as
// much as extra, the added cost of the best other place. The marginal cost of
// a request is its own wait and what it adds to the wait of the others.
func Threshold(servers int, service, extra time.Duration) float64 {
	low, high := 0.0, 1.0
	for range 16 {
		mid := (low + high) / 2
		if marginal(mid, servers, service) <= extra {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// marginal is the derivative of u*Wait(u): the wait of one more request and
// what it adds for those already there.
func marginal(u float64, servers int, service time.Duration) time.Duration {
	const step = 1e-4
	wait := MeanWait(u, servers, service)
	slope := float64(MeanWait(min(u+step, maxUtilisation), servers, service)-wait) / step
	return wait + time.Duration(u*slope)
}

// Freshness returns the weight of a report of the given age, from 1 to 0.
func Freshness(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return max(0, 1-float64(age)/float64(reportLife))
}
