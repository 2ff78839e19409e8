// Package affinity decides how the objects of a place's callers are spread over the
// targets of all places, so that most of them stay near. It answers a load in
// which each place has the same traffic but not the same number of targets: a
// place keeps what its targets carry at the mean load of all, and the rest goes
// to the places that have room, so that no targets are loaded above the mean.
// The package is pure.
package affinity

// spare is the part of what a place carries that it takes from others in any
// case, so that some of its targets are found warm when those need them.
const spare = 0.05

// Weights returns, for each place, how likely one of its slots is to get an
// object of the place with the index own; only the ratios count. slots has the
// open slots of the targets of each place. An own of -1 means no place of the
// list: then every slot is alike.
func Weights(slots []float64, own int) []float64 {
	weights := make([]float64, len(slots))
	fair, places := fairLoads(slots)
	elsewhere, carried := 0.0, 0.0
	for i := range slots {
		if i != own {
			elsewhere += room(fair[i])
			carried += fair[i]
		}
	}
	if own < 0 || slots[own] == 0 || elsewhere == 0 {
		for i := range weights {
			weights[i] = 1
		}
		return weights
	}
	keep := min(fair[own], 1-spare*carried/places)
	for i := range slots {
		switch {
		case slots[i] == 0:
		case i == own:
			weights[i] = keep / slots[i]
		default:
			weights[i] = (1 - keep) * room(fair[i]) / elsewhere / slots[i]
		}
	}
	return weights
}

// fairLoads returns what each place carries at the mean load of all, as a
// multiple of one place's traffic, and the number of places with targets.
func fairLoads(slots []float64) (fair []float64, places float64) {
	all := 0.0
	for _, s := range slots {
		all += s
		if s > 0 {
			places++
		}
	}
	fair = make([]float64, len(slots))
	if all == 0 {
		return fair, places
	}
	for i, s := range slots {
		fair[i] = s * places / all
	}
	return fair, places
}

// room returns how much of other places' traffic a place takes.
func room(fair float64) float64 { return max(0, fair-1) + spare*fair }
