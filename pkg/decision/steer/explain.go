package steer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// PoolView is how this instance sees one pool now.
type PoolView struct {
	Pool   string
	Region string
	// Share is the pool's planned fraction of a route's traffic; it is only
	// set by Explain.
	Share float64
	// InFlight and Queued count this instance's requests to targets of this
	// zone; Slots is what it may have in flight there.
	InFlight int
	Queued   int
	Slots    int
	// Excluded says why nothing goes to the pool; empty when it may be chosen.
	Excluded string
	// Targets are those of this zone; Zones are the others with targets.
	Targets []TargetView
	Zones   []ZoneView
}

// TargetView is how this instance sees one target of its zone.
type TargetView struct {
	Target   string
	InFlight int
	Share    int
	// Leaving is set when the target gets no new work for good.
	Leaving bool
	// Excluded says why nothing goes to the target; empty when it may be chosen.
	Excluded string
}

// ZoneView is how this instance sees a pool in another zone.
type ZoneView struct {
	Zone string
	// Cost is what a hop is estimated to take beyond a free slot here.
	Cost time.Duration
	// Excluded says why nothing goes to the zone; empty when it may be chosen.
	Excluded string
}

// Explanation says where a request of a route would go now, and why.
type Explanation struct {
	Verdict Verdict
	Pool    string
	Target  string
	Zone    string
	// Kind is set with Refuse.
	Kind fault.Kind
	// Pools are in the order in which they are weighed.
	Pools []PoolView
}

// PoolViews returns this instance's view of the pools, ordered by name. It counts
// nothing and changes nothing.
func (c *Core) PoolViews(now time.Time) []PoolView {
	st := c.state.Load()
	views := make([]PoolView, 0, len(st.pools))
	for _, p := range st.pools {
		views = append(views, c.viewOf(st, p, now))
	}
	slices.SortFunc(views, func(a, b PoolView) int { return cmp.Compare(a.Pool, b.Pool) })
	return views
}

// Explain says where a request of the named route would go now, if the plan
// gave it to the pool with the largest share. ok is false when there is no
// such route. It counts nothing and changes nothing.
func (c *Core) Explain(now time.Time, routeName string) (e Explanation, ok bool) {
	st := c.state.Load()
	rt, ok := st.routes[routeName]
	if !ok {
		return Explanation{}, false
	}
	planned := map[string]float64{}
	for _, entry := range rt.plan.Load().entries {
		planned[entry.pool.name] = entry.plannedShare
	}
	for _, w := range st.tables.Route(routeName).Pools {
		v := c.viewOf(st, st.pools[w.Pool], now)
		v.Share = planned[w.Pool]
		if v.Excluded == "" && v.Share == 0 {
			v.Excluded = "its planned share of the route is nothing now"
		}
		e.Pools = append(e.Pools, v)
	}
	slices.SortStableFunc(e.Pools, func(a, b PoolView) int { return cmp.Compare(b.Share, a.Share) })
	e.setVerdict(now.Before(st.expires))
	return e, true
}

// setVerdict fills in the verdict from the views of the pools.
func (e *Explanation) setVerdict(leased bool) {
	e.Kind = fault.KindNoTarget
	if !leased {
		e.Kind = fault.KindShareLapsed
	}
	for _, p := range e.Pools {
		if p.Excluded != "" {
			continue
		}
		if t := p.leastLoaded(); t != nil && p.Queued == 0 {
			*e = Explanation{Verdict: Dispatch, Pool: p.Pool, Target: t.Target, Pools: e.Pools}
			return
		}
		if z := p.cheapest(); z != nil {
			*e = Explanation{Verdict: Hop, Pool: p.Pool, Zone: z.Zone, Pools: e.Pools}
			return
		}
		if p.Slots > 0 {
			*e = Explanation{Verdict: Wait, Pool: p.Pool, Pools: e.Pools}
			return
		}
	}
}

// leastLoaded returns the target with the smallest part of its share in use.
func (v PoolView) leastLoaded() *TargetView {
	var best *TargetView
	for i := range v.Targets {
		t := &v.Targets[i]
		if t.Excluded == "" && (best == nil || t.InFlight*best.Share < best.InFlight*t.Share) {
			best = t
		}
	}
	return best
}

// cheapest returns the zone of least cost.
func (v PoolView) cheapest() *ZoneView {
	var best *ZoneView
	for i := range v.Zones {
		z := &v.Zones[i]
		if z.Excluded == "" && (best == nil || z.Cost < best.Cost) {
			best = z
		}
	}
	return best
}

// viewOf returns the view of one pool.
func (c *Core) viewOf(st *state, p *pool, now time.Time) PoolView {
	ns := c.nanos(now)
	v := PoolView{Pool: p.row.Name, Region: p.row.Region, Queued: int(p.queued.Load())}
	leased := now.Before(st.expires)
	regionFull := p.region.inFlight.Load() >= p.region.share.Load()
	for _, t := range p.targets {
		tv := t.view(ns)
		switch {
		case tv.Excluded != "":
		case !leased:
			tv.Excluded = "this instance's shares have lapsed"
		case regionFull:
			tv.Excluded = "this instance's share of the region's limit is used up"
		}
		v.InFlight += tv.InFlight
		if leased {
			v.Slots += int(t.usableSlots(ns))
		}
		v.Targets = append(v.Targets, tv)
	}
	local := p.serviceTime.Value(priorServiceTime)
	for _, z := range p.zones {
		zv := ZoneView{Zone: z.name, Cost: z.cost(ns, local)}
		switch {
		case z.health.Ejected(ns):
			zv.Excluded = "hops to it have failed"
		case !z.eligible(ns):
			zv.Excluded = "it has just refused a hop"
		}
		v.Zones = append(v.Zones, zv)
	}
	switch {
	case p.row.Drain:
		v.Excluded = "the pool is drained"
	case v.leastLoaded() == nil && v.cheapest() == nil && v.Slots == 0:
		v.Excluded = "no target here and no other zone can take work"
	}
	return v
}

// view returns the view of one target of this zone.
func (t *target) view(now int64) TargetView {
	v := TargetView{Target: t.row.Name, InFlight: int(t.inFlight.Load()), Share: int(t.share.Load())}
	v.Leaving = t.drain || t.leaving.Load()
	switch {
	case t.drain:
		v.Excluded = "drained"
	case t.leaving.Load():
		v.Excluded = fmt.Sprintf("leaving, as it has said itself %v ago", time.Duration(now-t.leavingAt.Load()).Round(time.Millisecond))
	case t.health.Ejected(now):
		v.Excluded = "ejected after failures"
	case t.backoff.active(now):
		v.Excluded = fmt.Sprintf("it has asked for no requests for another %v", time.Duration(t.backoff.until.Load()-now).Round(time.Millisecond))
	case now < t.pausedUntil.Load():
		v.Excluded = "it has just refused work"
	case v.Share == 0:
		v.Excluded = "this instance has no share of its slots"
	case int64(v.InFlight) >= t.usableSlots(now):
		v.Excluded = "this instance's share of its slots is used up"
	}
	return v
}
