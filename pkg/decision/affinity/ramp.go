package affinity

import "time"

// Ramp moves the shares that places have of a place's requests towards those that
// are wanted, no faster than a cap. It answers targets that come and go in numbers:
// the objects that have to move then do so one after the other, each of them once,
// at the same moment at all instances, which see the change at the same moment. The
// zero value takes the first shares that are wanted as they are.
type Ramp struct {
	shares map[string]float64
	// at is when the shares were moved last, unless they are settled: then the
	// time until others are wanted does not count.
	at      int64
	settled bool
}

// Clone returns a copy that moves on its own.
func (r Ramp) Clone() Ramp {
	shares := make(map[string]float64, len(r.shares))
	for place, s := range r.shares {
		shares[place] = s
	}
	return Ramp{shares: shares, at: r.at, settled: r.settled}
}

// Advance moves the shares on to now, in nanoseconds on any one monotonic scale, and
// returns them in the order of places. want has the shares that are wanted, which
// add up to 1; a place that may get nothing has 0 and loses its share at once, to
// the others as they are wanted. Within window the shares rise by rise in all.
// settled says that the wanted shares are reached.
func (r *Ramp) Advance(now int64, places []string, want []float64, rise float64, window time.Duration) (shares []float64, settled bool) {
	shares = r.held(places, want)
	missing := 0.0
	for i := range shares {
		missing += max(0, want[i]-shares[i])
	}
	if r.settled {
		r.at = now
	}
	allowed := rise * float64(max(0, now-r.at)) / float64(window)
	part := 1.0
	if len(r.shares) > 0 && rise > 0 && missing > allowed {
		part = allowed / missing
	}
	r.shares, r.at = make(map[string]float64, len(places)), now
	for i, place := range places {
		shares[i] += part * (want[i] - shares[i])
		r.shares[place] = shares[i]
	}
	r.settled = part == 1
	return shares, r.settled
}

// held returns the present shares of the places that may get something. What the
// others had is divided as it is wanted.
func (r *Ramp) held(places []string, want []float64) []float64 {
	shares, sum := make([]float64, len(places)), 0.0
	for i, place := range places {
		if want[i] > 0 {
			shares[i] = r.shares[place]
			sum += shares[i]
		}
	}
	for i := range shares {
		shares[i] += (1 - sum) * want[i]
	}
	return shares
}
