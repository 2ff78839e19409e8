package affinity

import "time"

// Ramp moves the current shares of a location's requests, by the location that
// serves them, towards desired shares at a limited rate. When many targets are added
// or removed at once, the objects that must move then do so one after the other and
// each only once, and at the same time on all instances that observe the change at
// the same time. The zero value adopts the first desired shares without a limit.
type Ramp struct {
	shares map[string]float64
	// advancedAt is when Advance was last called. Once the shares have settled, the
	// time until the next change of the desired shares does not count towards the
	// limit.
	advancedAt int64
	settled    bool
}

// Clone returns an independent copy.
func (r Ramp) Clone() Ramp {
	shares := make(map[string]float64, len(r.shares))
	for location, s := range r.shares {
		shares[location] = s
	}
	return Ramp{shares: shares, advancedAt: r.advancedAt, settled: r.settled}
}

// Advance moves the shares to their values at now, in nanoseconds of any one
// monotonic clock, and returns them in the order of locations. The desired shares must
// add up to 1. A location with a desired share of 0 loses its share immediately; it is
// distributed in proportion to desired. Apart from that, the increases of all shares
// add up to at most maxRise per window, or are unlimited when maxRise is 0. settled
// reports whether the desired shares have been reached.
func (r *Ramp) Advance(now int64, locations []string, desired []float64, maxRise float64, window time.Duration) (shares []float64, settled bool) {
	shares = r.currentShares(locations, desired)
	gap := 0.0
	for i := range shares {
		gap += max(0, desired[i]-shares[i])
	}
	if r.settled {
		r.advancedAt = now
	}
	maxMove := maxRise * float64(max(0, now-r.advancedAt)) / float64(window)
	fraction := 1.0
	if len(r.shares) > 0 && maxRise > 0 && gap > maxMove {
		fraction = maxMove / gap
	}
	r.shares, r.advancedAt = make(map[string]float64, len(locations)), now
	for i, location := range locations {
		shares[i] += fraction * (desired[i] - shares[i])
		r.shares[location] = shares[i]
	}
	r.settled = fraction == 1
	return shares, r.settled
}

// currentShares returns the current shares of the locations with a desired share above
// 0. The shares of the others are distributed in proportion to desired.
func (r *Ramp) currentShares(locations []string, desired []float64) []float64 {
	shares, sum := make([]float64, len(locations)), 0.0
	for i, location := range locations {
		if desired[i] > 0 {
			shares[i] = r.shares[location]
			sum += shares[i]
		}
	}
	for i := range shares {
		shares[i] += (1 - sum) * desired[i]
	}
	return shares
}
