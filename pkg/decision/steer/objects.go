package steer

import (
	"slices"

	"github.com/jacinthramp/jacinthramp/pkg/decision/affinity"
	"github.com/jacinthramp/jacinthramp/pkg/decision/mechanism"
)

// largeBodyBytes is the mean body size from which a route's objects are kept in
// a zone rather than anywhere in the region: the traffic between zones then
// costs more than a better balance of targets is worth.
const largeBodyBytes = 8 << 10

// service is a service with its pools, one for each region.
type service struct {
	pools []*pool
	// placements maps a list of allowed regions (see regionsKey) to the
	// placement of objects.
	placements map[string]*rampedPlacement
	// room holds the requests that wait for room at the targets.
	room *room
}

// zoneSlots is a zone of a pool with the number of slots of its undrained
// targets.
type zoneSlots struct {
	name      string
	undrained float64
}

// addZoneSlots adds undrained slots to a zone and returns the zone's index.
func (p *pool) addZoneSlots(zone string, undrained float64) int {
	i := slices.IndexFunc(p.zoneSlots, func(z zoneSlots) bool { return z.name == zone })
	if i < 0 {
		i = len(p.zoneSlots)
		p.zoneSlots = append(p.zoneSlots, zoneSlots{name: zone})
	}
	p.zoneSlots[i].undrained += undrained
	return i
}

// slotWeights holds the relative probability, by pool and zone, that a slot is
// chosen for an object.
type slotWeights [][]float64

// placement holds the weights by which the objects of this instance's callers
// are distributed over the targets of a service.
type placement struct {
	// regionWeights prefers the instance's region.
	regionWeights slotWeights
	// zoneWeights prefers the instance's zone, and nextZoneWeights the zone
	// that follows it in its region. They are nil when there is no such zone
	// with undrained slots.
	zoneWeights     slotWeights
	nextZoneWeights slotWeights
}

// weightFunc returns the weight of a slot of each location for the objects of the
// location with index own, like affinity.Weights.
type weightFunc func(slots []float64, own int) []float64

// locationWeights returns the weightFunc that the policy selects.
func (c *Core) locationWeights() weightFunc {
	if c.without(mechanism.RegionBalance) {
		return affinity.LocalWeights
	}
	return affinity.Weights
}

// newPlacement returns the placement over the pools in the allowed regions that
// follows from the undrained slots.
func newPlacement(self Self, pools []*pool, allowed []string, weigh weightFunc) placement {
	own := slices.IndexFunc(pools, func(p *pool) bool { return p.row.Region == self.Region })
	placed := placement{regionWeights: weightsByRegion(pools, allowed, own, weigh)}
	if own < 0 || !allowsRegion(allowed, self.Region) {
		return placed
	}
	zones := pools[own].undrainedZones()
	if slices.Contains(zones, self.Zone) {
		placed.zoneWeights = weightsByZone(pools, allowed, self.Zone, weigh)
	}
	if next := nextCyclic(zones, self.Zone); next != "" {
		placed.nextZoneWeights = weightsByZone(pools, allowed, next, weigh)
	}
	return placed
}

// undrainedZones returns the sorted names of the zones with undrained slots.
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

// nextCyclic returns the name after name in the sorted names, or the first, or
// "" when there is no other.
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

// weightsByRegion returns the weights that prefer the region of the pool with
// the index own. A negative index means no region.
func weightsByRegion(pools []*pool, allowed []string, own int, weigh weightFunc) slotWeights {
	slots := make([]float64, len(pools))
	for i, p := range pools {
		if allowsRegion(allowed, p.row.Region) {
			slots[i] = p.undrainedSlots()
		}
	}
	weights := make(slotWeights, len(pools))
	for i, w := range weigh(slots, own) {
		weights[i] = slices.Repeat([]float64{w}, len(pools[i].zoneSlots))
	}
	return weights
}

// undrainedSlots returns the number of slots of the undrained targets.
func (p *pool) undrainedSlots() float64 {
	sum := 0.0
	for _, z := range p.zoneSlots {
		sum += z.undrained
	}
	return sum
}

// weightsByZone returns the weights that prefer a zone.
func weightsByZone(pools []*pool, allowed []string, zone string, weigh weightFunc) slotWeights {
	var slots []float64
	own := -1
	for _, p := range pools {
		for _, z := range p.zoneSlots {
			undrained := z.undrained
			if !allowsRegion(allowed, p.row.Region) {
				undrained = 0
			}
			if z.name == zone {
				own = len(slots)
			}
			slots = append(slots, undrained)
		}
	}
	all := weigh(slots, own)
	weights := make(slotWeights, len(pools))
	for i, p := range pools {
		weights[i], all = all[:len(p.zoneSlots)], all[len(p.zoneSlots):]
	}
	return weights
}

// placementOf returns the placement for the regions that r may use. If
// the service or the route's pools have been removed from the tables since an
// earlier attempt of r, the placement has no weights.
func (c *Core) placementOf(snap *snapshot, r *Request) placement {
	if rp := snap.rampedPlacementOf(r); rp != nil {
		return *rp.current.Load()
	}
	return placement{}
}

// recordPlacementUse records that r, if it is about an object, uses its placement.
func (c *Core) recordPlacementUse(snap *snapshot, r *Request, now int64) {
	if !r.usesAffinity() {
		return
	}
	if rp := snap.rampedPlacementOf(r); rp != nil {
		rp.activity.record(now, c.direct.policy.ShiftWindow)
	}
}

// rampedPlacementOf returns the placement for the regions that r may use, or nil without one.
func (snap *snapshot) rampedPlacementOf(r *Request) *rampedPlacement {
	regions, ok := snap.allowedRegions(r)
	if s := snap.services[r.service]; ok && s != nil {
		return s.placements[regions]
	}
	return nil
}

// poolsOf returns the pools of a service.
func (snap *snapshot) poolsOf(name string) []*pool {
	if s, ok := snap.services[name]; ok {
		return s.pools
	}
	return nil
}
