package steer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// PoolView is this instance's present view of one pool.
type PoolView struct {
	Pool   string
	Region string
	// Share is the pool's planned fraction of a route's traffic. Only Explain
	// sets it.
	Share float64
	// InFlight and Queued count this instance's requests to targets of this
	// zone. Slots is the number of requests that it may have in flight there.
	InFlight int
	Queued   int
	Slots    int
	// Excluded is the reason why no requests go to the pool, or empty.
	Excluded string
	// Targets are the pool's targets in this zone. Zones are the other zones
	// with targets of the pool.
	Targets []TargetView
	Zones   []ZoneView
}

// TargetView is this instance's present view of one target of its zone.
type TargetView struct {
	Target   string
	InFlight int
	Share    int
	// Leaving is set when the target is drained or leaving.
	Leaving bool
	// RateLimit is the rate limit that the target has announced, in requests per
	// second, valid if RateLimited is set.
	RateLimit   float64
	RateLimited bool
	// WorkFactor, WorkFactorAge and WorkReported are as in Diagnostics.
	WorkFactor    float64
	WorkFactorAge time.Duration
	WorkReported  bool
	// Excluded is the reason why no requests go to the target, or empty.
	Excluded string
}

// ZoneView is this instance's present view of a pool in another zone.
type ZoneView struct {
	Zone string
	// Cost is the estimated cost of a hop beyond that of a free slot here.
	Cost time.Duration
	// Excluded is the reason why no requests go to the zone, or empty.
	Excluded string
}

// Explanation describes where a request of a route would go now, and why.
type Explanation struct {
	Verdict Verdict
	Pool    string
	Target  string
	Zone    string
	// Kind is set with Refuse.
	Kind fault.Kind
	// Pools is in the order in which the pools are considered, by descending
	// share.
	Pools []PoolView
}

// PoolViews returns this instance's view of the pools, ordered by name. It
// changes no state.
func (c *Core) PoolViews(now time.Time) []PoolView {
	snap := c.snapshot.Load()
	views := make([]PoolView, 0, len(snap.pools))
	for _, p := range snap.pools {
		views = append(views, c.viewOf(snap, p, now))
	}
	slices.SortFunc(views, func(a, b PoolView) int { return cmp.Compare(a.Pool, b.Pool) })
	return views
}

// Explain returns where a request of the named route would go now if the plan
// assigned it to the pool with the largest share. ok is false when there is no
// such route. It changes no state.
func (c *Core) Explain(now time.Time, routeName string) (e Explanation, ok bool) {
	snap := c.snapshot.Load()
	rt, ok := snap.routes[routeName]
	if !ok {
		return Explanation{}, false
	}
	planned := map[string]float64{}
	for _, entry := range rt.plan.Load().entries {
		planned[entry.pool.name] = entry.plannedShare
	}
	for _, w := range snap.tables.Route(routeName).Pools {
		v := c.viewOf(snap, snap.pools[w.Pool], now)
		v.Share = planned[w.Pool]
		if v.Excluded == "" && v.Share == 0 {
			v.Excluded = "its planned share of the route is zero"
		}
		e.Pools = append(e.Pools, v)
	}
	slices.SortStableFunc(e.Pools, func(a, b PoolView) int { return cmp.Compare(b.Share, a.Share) })
	e.setVerdict(now.Before(snap.expires))
	return e, true
}

// setVerdict sets the verdict according to the views of the pools.
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

// leastLoaded returns the eligible target with the smallest fraction of its
// share in use, or nil.
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

// cheapest returns the eligible zone of least cost, or nil.
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
func (c *Core) viewOf(snap *snapshot, p *pool, now time.Time) PoolView {
	ns := c.nanos(now)
	v := PoolView{Pool: p.row.Name, Region: p.row.Region, Queued: int(p.queued.Load())}
	leased := now.Before(snap.expires)
	regionFull := p.region.inFlight.Load() >= p.region.share.Load()
	for _, t := range p.targets {
		tv := t.view(ns)
		switch {
		case tv.Excluded != "":
		case !leased:
			tv.Excluded = "the lease of this instance's shares has expired"
		case regionFull:
			tv.Excluded = "this instance's share of the region's limit is used up"
		}
		v.InFlight += tv.InFlight
		if leased {
			v.Slots += int(t.usableSlots(ns))
		}
		v.Targets = append(v.Targets, tv)
	}
	localServiceTime := p.serviceTime.Value(priorServiceTime)
	for _, z := range p.zones {
		zv := ZoneView{Zone: z.name, Cost: z.cost(ns, localServiceTime)}
		switch {
		case z.health.Ejected(ns):
			zv.Excluded = "ejected after failed hops"
		case !z.eligible(ns):
			zv.Excluded = "paused after it refused a hop"
		}
		v.Zones = append(v.Zones, zv)
	}
	switch {
	case p.row.Drain:
		v.Excluded = "the pool is drained"
	case v.leastLoaded() == nil && v.cheapest() == nil && v.Slots == 0:
		v.Excluded = "no target in this zone and no other zone accepts requests"
	}
	return v
}

// view returns the view of one target of this zone.
func (t *target) view(now int64) TargetView {
	v := TargetView{Target: t.row.Name, InFlight: int(t.inFlight.Load()), Share: int(t.share.Load())}
	v.RateLimit, v.RateLimited = t.limiter.PerSecond()
	v.WorkFactor, v.WorkFactorAge, v.WorkReported = t.workFactor.last(now)
	report := t.peerReport.Load()
	v.Leaving = t.drain || t.leaving.Load() || report != nil
	v.Excluded = t.exclusion(now)
	switch {
	case v.Excluded != "":
	case v.Share == 0:
		v.Excluded = "this instance has no share of its slots"
	case int64(v.InFlight) >= t.usableSlots(now):
		v.Excluded = "this instance's share of its slots is used up"
	}
	return v
}

// exclusion returns why no instance's share would let a request go to t now, or "".
func (t *target) exclusion(now int64) string {
	report := t.peerReport.Load()
	perSecond, _ := t.limiter.PerSecond()
	switch {
	case t.drain:
		return "drained"
	case t.leaving.Load():
		return fmt.Sprintf("leaving, as the target reported %v ago", time.Duration(now-t.leavingAt.Load()).Round(time.Millisecond))
	case report != nil:
		return fmt.Sprintf("leaving, as the target announced %v ago to another instance (reported by %s)", time.Duration(now-report.noticeAt).Round(time.Millisecond), report.reportedBy)
	case t.health.Ejected(now):
		return "ejected after failures"
	case t.backoff.active(now):
		return fmt.Sprintf("in backoff: the target has asked for no requests for another %v", time.Duration(t.backoff.until.Load()-now).Round(time.Millisecond))
	case !t.limiter.Allows(now):
		return fmt.Sprintf("rate limit: the target accepts %v requests per second from all instances together, the next one in %v", perSecond, t.limiter.Wait(now).Round(time.Millisecond))
	case now < t.pausedUntil.Load():
		return "paused after it refused a request"
	}
	return ""
}
