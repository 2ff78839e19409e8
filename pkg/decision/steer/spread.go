package steer

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/affinity"
)

// rampPart is the part of the cap on the shares of regions by which they are moved;
// the rest covers uneven arrivals.
const rampPart = 0.6

// spread is the placement of objects over a service, on its way to what the targets
// ask for while the cap on the shares of regions holds it back.
type spread struct {
	pools  []*pool
	wanted placement
	now    atomic.Pointer[placement]
	use    *use
	// The rest is guarded by the Core's write lock. ramps are those of the weights
	// for the region, the zone and the next zone.
	ramps   [3]affinity.Ramp
	settled bool
}

// use follows when requests are placed by a spread. An instance that has not placed
// any for a window of the cap, or has just begun, has no shares to keep: its view of
// the targets may just be filling, or be older than that of the others.
type use struct {
	// since is when the present series of requests began, and last its last one.
	since, last atomic.Int64
}

// note takes in a request at now.
func (u *use) note(now int64, window time.Duration) {
	if last := u.last.Swap(now); last == 0 || now-last > int64(window) {
		u.since.Store(now)
	}
}

// steady reports whether requests have come for more than a window.
func (u *use) steady(now int64, window time.Duration) bool {
	since, last := u.since.Load(), u.last.Load()
	return last != 0 && now-last <= int64(window) && now-since > int64(window)
}

// regionsKey names a list of allowed regions.
func regionsKey(regions []string) string { return strings.Join(regions, " ") }

// spreadFor adds the spread over s for routes that allow the regions, which goes on
// from that of the tables before.
func (c *Core) spreadFor(now int64, s, old *service, regions []string) {
	key := regionsKey(regions)
	if s.spreads[key] != nil {
		return
	}
	sp := &spread{pools: s.pools, wanted: newPlacement(c.self, s.pools, regions), use: &use{}}
	if old != nil && old.spreads[key] != nil {
		sp.use = old.spreads[key].use
		for i := range sp.ramps {
			sp.ramps[i] = old.spreads[key].ramps[i].Clone()
		}
	}
	sp.move(now, c.direct.policy)
	s.spreads[key] = sp
}

// move brings the spread on to now.
func (sp *spread) move(now int64, p Direct) {
	next := placement{}
	sp.settled = true
	if !sp.use.steady(now, p.ShiftWindow) {
		sp.ramps = [3]affinity.Ramp{}
	}
	for i, w := range []struct {
		wanted slotWeights
		to     *slotWeights
	}{{sp.wanted.region, &next.region}, {sp.wanted.zone, &next.zone}, {sp.wanted.next, &next.next}} {
		if w.wanted == nil {
			sp.ramps[i] = affinity.Ramp{}
			continue
		}
		*w.to = sp.ramped(w.wanted, &sp.ramps[i], now, p)
	}
	sp.now.Store(&next)
}

// ramped returns the weights scaled to the shares that the regions may have by now.
func (sp *spread) ramped(wanted slotWeights, r *affinity.Ramp, now int64, p Direct) slotWeights {
	regions, want, sum := make([]string, len(sp.pools)), make([]float64, len(sp.pools)), 0.0
	for i, pl := range sp.pools {
		regions[i] = pl.row.Region
		for z, w := range wanted[i] {
			want[i] += w * pl.zoneSlots[z].open
		}
		sum += want[i]
	}
	if sum == 0 {
		return wanted
	}
	for i := range want {
		want[i] /= sum
	}
	shares, settled := r.Toward(now, regions, want, rampPart*p.ShiftCap, p.ShiftWindow)
	if settled {
		return wanted
	}
	sp.settled = false
	scaled := make(slotWeights, len(wanted))
	for i, weights := range wanted {
		scaled[i] = slices.Clone(weights)
		for z := range weights {
			if want[i] > 0 {
				scaled[i][z] *= shares[i] / want[i]
			}
		}
	}
	return scaled
}

// moveSpreads brings the spreads that have not settled on to now. The caller holds
// the write lock.
func (c *Core) moveSpreads(now time.Time) {
	for _, s := range c.state.Load().services {
		for _, sp := range s.spreads {
			if !sp.settled {
				sp.move(c.nanos(now), c.direct.policy)
			}
		}
	}
}
