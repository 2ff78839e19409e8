package steer

import (
	"math"

	"github.com/jacinthramp/jacinthramp/pkg/decision/hashing"
	"github.com/jacinthramp/jacinthramp/pkg/decision/mechanism"
	"github.com/jacinthramp/jacinthramp/pkg/decision/popularity"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// targetsPerObject is the number of targets considered warm for an object.
const targetsPerObject = 2

// maxTargetsPerObject returns the number of targets that are considered warm for
// an object when some mechanisms are switched off.
func maxTargetsPerObject(without mechanism.Set) int {
	if without.Has(mechanism.FurtherTargets) {
		return 1
	}
	return targetsPerObject
}

// rankedTarget is a target with its rank for an object; the highest comes
// first.
type rankedTarget struct {
	target *target
	pool   *pool
	rank   float64
}

// rankInput is what the rank of one target depends on. Those of a pool are
// contiguous, since a request scans all of them.
type rankInput struct {
	hash  uint64
	slots float64
	// zone is the index of the target's zone in the pool's zoneSlots.
	zone int
}

// addRankInputs fills rankInputs and zoneSlots from the pool's targets.
func (p *pool) addRankInputs() {
	p.rankInputs = make([]rankInput, len(p.targets))
	for i, t := range p.targets {
		slots := float64(t.row.Slots)
		undrained := slots
		if t.drain {
			undrained = 0
		}
		p.rankInputs[i] = rankInput{hash: t.hash, slots: slots, zone: p.addZoneSlots(t.row.Zone, undrained)}
	}
}

// rendezvousRank returns a target's rank by weighted rendezvous hashing: its
// probability to be first is proportional to its weight.
func rendezvousRank(draw, weight float64) float64 { return weight / -math.Log(draw) }

// ranksBelow reports whether rendezvousRank is certainly below least. It needs
// no logarithm, as -log(u) is at least 1-u.
func ranksBelow(draw, weight, least float64) bool { return weight < least*(1-draw) }

// rankTargets fills set with the available targets that rank highest for the
// object of r, and returns their number. All instances of a region choose the
// same ones without coordination, and few objects move when targets come or go.
//
// With large bodies, an object has a target in each of two zones: bodies stay
// in the zone in which they arrive while its target has capacity, and the other
// target is warm when it has not.
func (c *Core) rankTargets(snap *snapshot, r *Request, now int64, set []rankedTarget) int {
	if !r.usesAffinity() {
		return 0
	}
	pools, placed := snap.poolsOf(r.service), c.placementOf(snap, r)
	if placed.regionWeights == nil {
		return 0
	}
	rt := snap.routes[r.Route.Name]
	if rt.bodySize.Value() < largeBodyBytes || placed.zoneWeights == nil || c.without(mechanism.ZoneBodies) {
		return rankByWeights(pools, placed.regionWeights, r, now, set)
	}
	if placed.nextZoneWeights == nil {
		return rankByWeights(pools, placed.zoneWeights, r, now, set)
	}
	n := rankByWeights(pools, placed.zoneWeights, r, now, set[:1])
	var others [popularity.MaxTargets]rankedTarget
	for _, ranked := range others[:rankByWeights(pools, placed.nextZoneWeights, r, now, others[:])] {
		if n > 0 && n < len(set) && ranked.target != set[0].target {
			set[n] = ranked
			n++
		}
	}
	return n
}

// rankByWeights fills set with the available targets that rank highest for the
// object of r under the weights, and returns their number.
func rankByWeights(pools []*pool, weights slotWeights, r *Request, now int64, set []rankedTarget) int {
	n := 0
	least := 0.0
	for i, p := range pools {
		if !r.mayUseRegion(p.row.Region) {
			continue
		}
		for j := range p.rankInputs {
			in := &p.rankInputs[j]
			draw, weight := hashing.Uniform(in.hash, r.ObjectKey), weights[i][in.zone]*in.slots
			if ranksBelow(draw, weight, least) {
				continue
			}
			t := p.targets[j]
			if !t.availableWarm(r, now) {
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

// availableWarm reports whether r may be sent to t as a target that is warm for
// its object.
func (t *target) availableWarm(r *Request, now int64) bool {
	return t.available(now, r) && !t.isCold(now)
}

// available reports whether r may be sent to t, regardless of cold caches.
func (t *target) available(now int64, r *Request) bool {
	return t.eligible(now) && !t.unreachable.Load() && now >= t.pausedUntil.Load() && t.backoff.allows(now, t.inFlight.Load()) && t.limiter.Allows(now) && !r.Excluded(t.name)
}

// insertRanked inserts rt into the n highest ranks of set and returns their new
// number.
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

// usesAffinity reports whether it matters which target r is sent to.
func (r *Request) usesAffinity() bool { return usesAffinity(r.Route, r.ObjectKey) }

func usesAffinity(row *table.Route, objectKey uint64) bool { return objectKey != 0 && row.Affinity }
