package steer

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/affinity"
)

// rampCapFraction is the fraction of the cap on the regions' shares that is
// used to move them. The rest is left for uneven arrivals.
const rampCapFraction = 0.6

// rampedPlacement is the placement of objects over a service while the cap on
// the regions' shares delays the desired placement.
type rampedPlacement struct {
	pools    []*pool
	desired  placement
	current  atomic.Pointer[placement]
	activity *activity
	// The fields below are guarded by the Core's write lock. ramps are those of
	// the region, zone and next-zone weights. settled is set once current
	// equals desired.
	ramps   [3]affinity.Ramp
	settled bool
}

// activity tracks when requests use a placement. An instance that has just
// started, or has placed none for a window, has no shares to preserve: its view
// of the targets may be incomplete or outdated.
type activity struct {
	// startedAt and lastAt are the times of the first and the last request of
	// the present series.
	startedAt, lastAt atomic.Int64
}

// record records a request at now.
func (a *activity) record(now int64, window time.Duration) {
	if last := a.lastAt.Swap(now); last == 0 || now-last > int64(window) {
		a.startedAt.Store(now)
	}
}

// sustained reports whether requests have arrived for more than a window.
func (a *activity) sustained(now int64, window time.Duration) bool {
	since, last := a.startedAt.Load(), a.lastAt.Load()
	return last != 0 && now-last <= int64(window) && now-since > int64(window)
}

// regionsKey returns the map key for a list of allowed regions.
func regionsKey(regions []string) string { return strings.Join(regions, " ") }

// newRampedPlacement returns the placement over s for routes that allow the
// regions. It continues the one over old, the service in the previous tables,
// if any.
func (c *Core) newRampedPlacement(now int64, s, old *service, regions []string) *rampedPlacement {
	key := regionsKey(regions)
	rp := &rampedPlacement{pools: s.pools, desired: newPlacement(c.self, s.pools, regions, c.locationWeights()), activity: &activity{}}
	if old != nil && old.placements[key] != nil {
		rp.activity = old.placements[key].activity
		for i := range rp.ramps {
			rp.ramps[i] = old.placements[key].ramps[i].Clone()
		}
	}
	rp.advance(now, c.direct.policy)
	return rp
}

// advance updates the placement to now.
func (rp *rampedPlacement) advance(now int64, policy DirectPolicy) {
	next := placement{}
	rp.settled = true
	if !rp.activity.sustained(now, policy.ShiftWindow) {
		rp.ramps = [3]affinity.Ramp{}
	}
	for i, ramped := range []struct {
		desired slotWeights
		to      *slotWeights
	}{{rp.desired.regionWeights, &next.regionWeights}, {rp.desired.zoneWeights, &next.zoneWeights}, {rp.desired.nextZoneWeights, &next.nextZoneWeights}} {
		if ramped.desired == nil {
			rp.ramps[i] = affinity.Ramp{}
			continue
		}
		*ramped.to = rp.rampWeights(ramped.desired, &rp.ramps[i], now, policy)
	}
	rp.current.Store(&next)
}

// rampWeights returns the desired weights, scaled to the shares that the
// regions may have at now.
func (rp *rampedPlacement) rampWeights(desired slotWeights, r *affinity.Ramp, now int64, policy DirectPolicy) slotWeights {
	regions, desiredShares, sum := make([]string, len(rp.pools)), make([]float64, len(rp.pools)), 0.0
	for i, p := range rp.pools {
		regions[i] = p.row.Region
		for z, w := range desired[i] {
			desiredShares[i] += w * p.zoneSlots[z].undrained
		}
		sum += desiredShares[i]
	}
	if sum == 0 {
		return desired
	}
	for i := range desiredShares {
		desiredShares[i] /= sum
	}
	shares, settled := r.Advance(now, regions, desiredShares, rampCapFraction*policy.ShiftCap, policy.ShiftWindow)
	if settled {
		return desired
	}
	rp.settled = false
	scaled := make(slotWeights, len(desired))
	for i, weights := range desired {
		scaled[i] = slices.Clone(weights)
		for z := range weights {
			if desiredShares[i] > 0 {
				scaled[i][z] *= shares[i] / desiredShares[i]
			}
		}
	}
	return scaled
}

// advancePlacements advances the placements that have not settled. The caller
// holds the write lock.
func (c *Core) advancePlacements(now time.Time) {
	for _, s := range c.snapshot.Load().services {
		for _, rp := range s.placements {
			if !rp.settled {
				rp.advance(c.nanos(now), c.direct.policy)
			}
		}
	}
}
