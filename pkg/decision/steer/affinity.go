package steer

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// maxKnowing is the number of targets that are taken to know an object.
const maxKnowing = 2

// hashOf returns the hash by which names are ranked.
func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

// mix combines two hashes into the rank of one for the other (SplitMix64).
func mix(a, b uint64) uint64 {
	z := a ^ (b + 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// ranked is a target with its rank for an object; the highest comes first.
type ranked struct {
	m    *member
	p    *pool
	rank float64
}

// rankable is what ranks one target of a pool. Those of a pool lie side by side,
// since a request looks at all of them.
type rankable struct {
	hash  uint64
	slots float64
	// zone is the index of the target's zone in the pool.
	zone int
}

// addRankables notes what ranks the pool's targets.
func (p *pool) addRankables() {
	p.rankables = make([]rankable, len(p.local))
	for i, m := range p.local {
		slots := float64(m.target.Slots)
		open := slots
		if m.drain {
			open = 0
		}
		p.rankables[i] = rankable{hash: m.hash, slots: slots, zone: p.addTarget(m.target.Zone, open)}
	}
}

// drawOf returns the draw of a target for an object, between 0 and 1.
func drawOf(target, object uint64) float64 {
	const mantissa = 53
	return (float64(mix(target, object)>>(64-mantissa)) + 0.5) / (1 << mantissa)
}

// rankOf returns the rank of a target with the given weight for an object, by
// weighted rendezvous hash: the chance to be first is in proportion to it.
func rankOf(draw, weight float64) float64 { return weight / -math.Log(draw) }

// below reports whether the rank of a draw is certainly below least. It costs
// no logarithm, as -log(u) is at least 1-u.
func below(draw, weight, least float64) bool { return weight < least*(1-draw) }

// rank fills set with the open targets that know the object of r best, and returns
// their number. All instances of a region choose the same ones without talking, and
// few objects move when targets come or go.
// The objects of a route with large bodies have a target for each of two zones,
// so that bodies stay in the zone they come in at while its target has room, and
// the other one is found warm when it has not.
func (c *Core) rank(st *state, r *Request, ns int64, set []ranked) int {
	if !r.hasObject() {
		return 0
	}
	pools, objects := st.poolsOf(r.service), c.placementOf(st, r, ns)
	if objects.region == nil {
		return 0
	}
	rt := st.routes[r.Route.Name]
	if rt.bodies.Value() < heavyBody || objects.zone == nil {
		return rankAt(pools, objects.region, r, ns, set)
	}
	if objects.next == nil {
		return rankAt(pools, objects.zone, r, ns, set)
	}
	n := rankAt(pools, objects.zone, r, ns, set[:1])
	var others [maxKnowing]ranked
	for _, k := range others[:rankAt(pools, objects.next, r, ns, others[:])] {
		if n > 0 && n < len(set) && k.m != set[0].m {
			set[n] = k
			n++
		}
	}
	return n
}

// rankAt fills set with the open targets that rank highest for the object of r
// under the weights, and returns their number.
func rankAt(pools []*pool, weights slotWeights, r *Request, ns int64, set []ranked) int {
	n := 0
	least := 0.0
	for i, p := range pools {
		if !allowsRegion(r.Route.Regions, p.row.Region) {
			continue
		}
		for j := range p.rankables {
			t := &p.rankables[j]
			draw, weight := drawOf(t.hash, r.ObjectKey), weights[i][t.zone]*t.slots
			if below(draw, weight, least) {
				continue
			}
			m := p.local[j]
			if !m.mayKnow(r, ns) {
				continue
			}
			n = insert(set, n, ranked{m: m, p: p, rank: rankOf(draw, weight)})
			if n == len(set) {
				least = set[n-1].rank
			}
		}
	}
	return n
}

// mayKnow reports whether r may be sent to m as one that knows its object.
func (m *member) mayKnow(r *Request, ns int64) bool { return m.reachable(ns, r) && !m.cold(ns) }

// reachable reports whether nothing but its caches speaks against sending r to m.
func (m *member) reachable(ns int64, r *Request) bool {
	return m.open(ns) && !m.down.Load() && ns >= m.pausedTo.Load() && m.rest.allows(ns, m.inFlight.Load()) && !r.Excluded(m.name)
}

// insert adds k to the n highest ranks of set and returns their new number.
func insert(set []ranked, n int, k ranked) int {
	at := n
	for at > 0 && set[at-1].rank < k.rank {
		at--
	}
	if at >= len(set) {
		return n
	}
	n = min(n+1, len(set))
	copy(set[at+1:n], set[at:n-1])
	set[at] = k
	return n
}

// hasObject reports whether it matters which target r goes to.
func (r *Request) hasObject() bool { return r.ObjectKey != 0 && r.Route.Affinity }
