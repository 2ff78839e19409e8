package steer

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// targetsPerObject is the number of targets that are taken to know an object.
const targetsPerObject = 2

// hashName returns the hash by which names are ranked.
func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// mixHashes combines two hashes into the rank of one for the other (SplitMix64).
func mixHashes(a, b uint64) uint64 {
	z := a ^ (b + 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// rankedTarget is a target with its rank for an object; the highest comes first.
type rankedTarget struct {
	target *target
	pool   *pool
	rank   float64
}

// rankInput is what ranks one target of a pool. Those of a pool lie side by side,
// since a request looks at all of them.
type rankInput struct {
	hash  uint64
	slots float64
	// zone is the index of the target's zone in the pool.
	zone int
}

// addRankInputs notes what ranks the pool's targets.
func (p *pool) addRankInputs() {
	p.rankInputs = make([]rankInput, len(p.targets))
	for i, t := range p.targets {
		slots := float64(t.row.Slots)
		open := slots
		if t.drain {
			open = 0
		}
		p.rankInputs[i] = rankInput{hash: t.hash, slots: slots, zone: p.addZoneSlots(t.row.Zone, open)}
	}
}

// uniformHash returns the draw of a target for an object, between 0 and 1.
func uniformHash(target, object uint64) float64 {
	const mantissa = 53
	return (float64(mixHashes(target, object)>>(64-mantissa)) + 0.5) / (1 << mantissa)
}

// rendezvousRank returns the rank of a target with the given weight for an object, by
// weighted rendezvous hash: the chance to be first is in proportion to it.
func rendezvousRank(draw, weight float64) float64 { return weight / -math.Log(draw) }

// ranksBelow reports whether the rank of a draw is certainly below least. It costs
// no logarithm, as -log(u) is at least 1-u.
func ranksBelow(draw, weight, least float64) bool { return weight < least*(1-draw) }

// rankTargets fills set with the open targets that know the object of r best, and returns
// their number. All instances of a region choose the same ones without talking, and
// few objects move when targets come or go.
// The objects of a route with large bodies have a target for each of two zones,
// so that bodies stay in the zone they come in at while its target has room, and
// the other one is found warm when it has not.
func (c *Core) rankTargets(st *state, r *Request, ns int64, set []rankedTarget) int {
	if !r.usesAffinity() {
		return 0
	}
	pools, placed := st.poolsOf(r.service), c.placementOf(st, r, ns)
	if placed.regionWeights == nil {
		return 0
	}
	rt := st.routes[r.Route.Name]
	if rt.bodySize.Value() < largeBodyBytes || placed.zoneWeights == nil {
		return rankByWeights(pools, placed.regionWeights, r, ns, set)
	}
	if placed.nextZoneWeights == nil {
		return rankByWeights(pools, placed.zoneWeights, r, ns, set)
	}
	n := rankByWeights(pools, placed.zoneWeights, r, ns, set[:1])
	var others [targetsPerObject]rankedTarget
	for _, candidate := range others[:rankByWeights(pools, placed.nextZoneWeights, r, ns, others[:])] {
		if n > 0 && n < len(set) && candidate.target != set[0].target {
			set[n] = candidate
			n++
		}
	}
	return n
}

// rankByWeights fills set with the open targets that rank highest for the object of r
// under the weights, and returns their number.
func rankByWeights(pools []*pool, weights slotWeights, r *Request, ns int64, set []rankedTarget) int {
	n := 0
	least := 0.0
	for i, p := range pools {
		if !allowsRegion(r.Route.Regions, p.row.Region) {
			continue
		}
		for j := range p.rankInputs {
			in := &p.rankInputs[j]
			draw, weight := uniformHash(in.hash, r.ObjectKey), weights[i][in.zone]*in.slots
			if ranksBelow(draw, weight, least) {
				continue
			}
			t := p.targets[j]
			if !t.availableWarm(r, ns) {
				continue
			}
			n = insertRanked(set, n, rankedTarget{target: t, pool: p, rank: rendezvousRank(draw, weight)})
			if n == len(set) {
				least = set[n-1].rank
			}
		}
	}
	return n
}

// availableWarm reports whether r may be sent to m as one that knows its object.
func (t *target) availableWarm(r *Request, ns int64) bool { return t.available(ns, r) && !t.isCold(ns) }

// available reports whether nothing but its caches speaks against sending r to m.
func (t *target) available(ns int64, r *Request) bool {
	return t.eligible(ns) && !t.unreachable.Load() && ns >= t.pausedUntil.Load() && t.backoff.allows(ns, t.inFlight.Load()) && !r.Excluded(t.name)
}

// insertRanked adds k to the n highest ranks of set and returns their new number.
func insertRanked(set []rankedTarget, n int, rt rankedTarget) int {
	at := n
	for at > 0 && set[at-1].rank < rt.rank {
		at--
	}
	if at >= len(set) {
		return n
	}
	n = min(n+1, len(set))
	copy(set[at+1:n], set[at:n-1])
	set[at] = rt
	return n
}

// usesAffinity reports whether it matters which target r goes to.
func (r *Request) usesAffinity() bool { return r.ObjectKey != 0 && r.Route.Affinity }
