// Package affinity distributes the objects that a location's callers request over
// the targets of all locations, so that most objects stay local. A location is a
// region or a zone. The model assumes that all locations have the same traffic but
// different numbers of targets: a location keeps the load that its targets carry at
// the mean utilisation, and the rest goes to locations with spare capacity, so that
// no target is loaded above the mean. The package performs no I/O.
package affinity

// remoteReserve is the fraction of a location's load that always comes from other
// locations, so that some of its targets have warm caches for their objects when
// those locations need more capacity.
const remoteReserve = 0.05

// Weights returns, for each location, the relative probability that an object of the
// location with index own is assigned to one of its slots. slots holds the number of
// slots of each location's undrained targets. An own of -1 means a location that is
// not in the list. All weights are equal when own is -1, when own has no slots, and
// when no other location has any.
func Weights(slots []float64, own int) []float64 {
	weights := make([]float64, len(slots))
	loads, locations := balancedLoads(slots)
	remoteCapacity, remoteLoad := 0.0, 0.0
	for i := range slots {
		if i != own {
			remoteCapacity += spareCapacity(loads[i])
			remoteLoad += loads[i]
		}
	}
	if own < 0 || slots[own] == 0 || remoteCapacity == 0 {
		for i := range weights {
			weights[i] = 1
		}
		return weights
	}
	local := min(loads[own], 1-remoteReserve*remoteLoad/locations)
	for i := range slots {
		switch {
		case slots[i] == 0:
		case i == own:
			weights[i] = local / slots[i]
		default:
			weights[i] = (1 - local) * spareCapacity(loads[i]) / remoteCapacity / slots[i]
		}
	}
	return weights
}

// remoteWeight is the weight of a slot of another location in LocalWeights. It only
// ranks those slots for the objects that have no local one.
const remoteWeight = 1e-6

// LocalWeights is an alternative to Weights that assigns the objects of the location
// with index own to its own slots, whatever their number. All weights are equal when
// own is -1 or has no slots.
func LocalWeights(slots []float64, own int) []float64 {
	weights := make([]float64, len(slots))
	for i := range slots {
		switch {
		case own < 0 || slots[own] == 0 || i == own:
			weights[i] = 1
		default:
			weights[i] = remoteWeight
		}
	}
	return weights
}

// balancedLoads returns the load that each location carries when all slots are used
// equally, as a multiple of one location's traffic, and the number of locations with
// slots.
func balancedLoads(slots []float64) (loads []float64, locations float64) {
	total := 0.0
	for _, s := range slots {
		total += s
		if s > 0 {
			locations++
		}
	}
	loads = make([]float64, len(slots))
	if total == 0 {
		return loads, locations
	}
	for i, s := range slots {
		loads[i] = s * locations / total
	}
	return loads, locations
}

// spareCapacity returns how much load from other locations a location with the given
// balanced load accepts.
func spareCapacity(load float64) float64 { return max(0, load-1) + remoteReserve*load }
