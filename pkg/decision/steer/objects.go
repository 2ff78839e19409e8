package steer

import (
	"slices"

	"github.com/jacinthramp/jacinthramp/pkg/decision/affinity"
)

// largeBodyBytes is the mean size of a route's bodies, in bytes, from which on its
// objects are kept in a zone rather than anywhere in the region: the links
// between zones then carry more than a better balance of targets is worth.
const largeBodyBytes = 8 << 10

// service is a service with its pools, one for each region.
type service struct {
	pools []*pool
	// placements says how the objects of routes are spread, by the regions that the
	// routes allow (see regionsKey).
	placements map[string]*rampedPlacement
}

// zoneSlots is a zone of a pool with the slots of its targets that are not
// drained.
type zoneSlots struct {
	name      string
	undrained float64
}

// addZoneSlots notes a target of a zone and returns the zone's index.
func (p *pool) addZoneSlots(zone string, open float64) int {
	i := slices.IndexFunc(p.zoneSlots, func(z zoneSlots) bool { return z.name == zone })
	if i < 0 {
		i = len(p.zoneSlots)
		p.zoneSlots = append(p.zoneSlots, zoneSlots{name: zone})
	}
	p.zoneSlots[i].undrained += open
	return i
}

// slotWeights says how likely a slot is to get an object, by pool and zone.
type slotWeights [][]float64

// placement says how the objects of this instance's callers are spread over the
// targets of a service.
type placement struct {
	// regionWeights keeps them in the instance's region.
	regionWeights slotWeights
	// zoneWeights keeps them in the instance's zone, and next in the zone that follows
	// it in its region. They are nil when there is no such zone with open slots.
	zoneWeights     slotWeights
	nextZoneWeights slotWeights
}

// newPlacement returns the placement over pools in the allowed regions that their
// targets ask for.
func newPlacement(self Self, pools []*pool, allowed []string) placement {
	home := slices.IndexFunc(pools, func(p *pool) bool { return p.row.Region == self.Region })
	placed := placement{regionWeights: weightsByRegion(pools, allowed, home)}
	if home < 0 || !allowsRegion(allowed, self.Region) {
		return placed
	}
	zones := pools[home].undrainedZones()
	if slices.Contains(zones, self.Zone) {
		placed.zoneWeights = weightsByZone(pools, allowed, self.Zone)
	}
	if next := nextCyclic(zones, self.Zone); next != "" {
		placed.nextZoneWeights = weightsByZone(pools, allowed, next)
	}
	return placed
}

// undrainedZones returns the sorted names of the zones with open slots.
func (p *pool) undrainedZones() []string {
	var names []string
	for _, z := range p.zoneSlots {
		if z.undrained > 0 {
			names = append(names, z.name)
		}
	}
	slices.Sort(names)
	return names
}

// nextCyclic returns the one of sorted names that comes after name, or the
// first, or "" when there is no other.
func nextCyclic(names []string, name string) string {
	next, found := slices.BinarySearch(names, name)
	if found {
		next++
	}
	if next >= len(names) {
		next = 0
	}
	if next >= len(names) || names[next] == name {
		return ""
	}
	return names[next]
}

// weightsByRegion returns the weights that keep objects in the region of the pool with
// the index own.
func weightsByRegion(pools []*pool, allowed []string, home int) slotWeights {
	slots := make([]float64, len(pools))
	for i, p := range pools {
		if allowsRegion(allowed, p.row.Region) {
			slots[i] = p.undrainedSlots()
		}
	}
	weights := make(slotWeights, len(pools))
	for i, w := range affinity.Weights(slots, home) {
		weights[i] = slices.Repeat([]float64{w}, len(pools[i].zoneSlots))
	}
	return weights
}

// undrainedSlots returns the slots of the targets that are not drained.
func (p *pool) undrainedSlots() float64 {
	sum := 0.0
	for _, z := range p.zoneSlots {
		sum += z.undrained
	}
	return sum
}

// weightsByZone returns the weights that keep objects in a zone.
func weightsByZone(pools []*pool, allowed []string, zone string) slotWeights {
	var slots []float64
	home := -1
	for _, p := range pools {
		for _, z := range p.zoneSlots {
			open := z.undrained
			if !allowsRegion(allowed, p.row.Region) {
				open = 0
			}
			if z.name == zone {
				home = len(slots)
			}
			slots = append(slots, open)
		}
	}
	all := affinity.Weights(slots, home)
	weights := make(slotWeights, len(pools))
	for i, p := range pools {
		weights[i], all = all[:len(p.zoneSlots)], all[len(p.zoneSlots):]
	}
	return weights
}

// placementOf returns how the objects of r's route are spread. The service, or the
// route's way to it, may have gone from the tables since an earlier attempt of r;
// then there are no weights.
func (c *Core) placementOf(st *state, r *Request, ns int64) placement {
	if s, ok := st.services[r.service]; ok {
		if rp, ok := s.placements[regionsKey(r.Route.Regions)]; ok {
			rp.activity.record(ns, c.direct.policy.ShiftWindow)
			return *rp.current.Load()
		}
	}
	return placement{}
}

// poolsOf returns the pools of a service.
func (st *state) poolsOf(name string) []*pool {
	if s, ok := st.services[name]; ok {
		return s.pools
	}
	return nil
}
