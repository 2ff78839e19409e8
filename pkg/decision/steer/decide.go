package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const (
	// poolTries bounds the pools that one decision looks at.
	poolTries = 8
	// scanTargets is the number of targets up to which all are compared.
	scanTargets = 8
	// probeTargets bounds the search for a free target after the random choice.
	probeTargets = 64
)

// Decide chooses what happens to r at now. A Dispatch or Hop must be followed
// by Done. Call it again for each further attempt that AllowRetry allows.
func (c *Core) Decide(now time.Time, r *Request) Decision {
	if !now.Before(r.Deadline) {
		return refuse(fault.KindDeadlinePassed)
	}
	counted, ok := c.poison.Start(now, r.Fingerprint)
	if !ok {
		return refuse(fault.KindPoisonHeld)
	}
	d := c.place(c.state.Load(), now, r)
	d.fingerprint = r.Fingerprint
	switch d.Verdict {
	case Refuse, Wait:
		if counted {
			c.poison.Abandon(r.Fingerprint)
		}
	default:
		d.counted = counted
	}
	if r.Attempts == 0 && r.Pool == "" && d.Verdict != Refuse {
		c.budgetOf(r).First()
	}
	return d
}

// place chooses a pool and a place in it.
func (c *Core) place(st *state, now time.Time, r *Request) Decision {
	if r.Pool != "" {
		return c.placeHere(st, now, r)
	}
	if c.direct != nil {
		return c.placeDirect(st, now, r)
	}
	rt, ok := st.routes[r.Route.Name]
	if !ok {
		return refuse(fault.KindNoTarget)
	}
	pl := rt.plan.Load()
	if len(pl.picks) == 0 {
		return refuse(fault.KindNoTarget)
	}
	s := search{core: c, st: st, now: now, nanos: c.nanos(now), r: r, plan: pl, arrivals: rt.arrivals.Add(1)}
	return s.run()
}

// placeHere serves a request that another instance has passed on.
func (c *Core) placeHere(st *state, now time.Time, r *Request) Decision {
	p, ok := st.pools[r.Pool]
	if !ok || p.row.Drain || len(p.local) == 0 {
		return refuse(fault.KindNoTarget)
	}
	d := c.dispatch(st, p, now, r)
	if d.Verdict == Dispatch || d.Kind == fault.KindShareLapsed || (d.Kind == fault.KindShiftCapped && p.suspect.Load()) {
		return d
	}
	if !p.hasCandidate(c.nanos(now), r) {
		return refuse(fault.KindNoTarget)
	}
	return c.enqueue(st, p, now, r)
}

// search is one decision over the pools of a plan.
type search struct {
	core     *Core
	st       *state
	now      time.Time
	nanos    int64
	r        *Request
	plan     *plan
	arrivals int64

	// waitAt is the first pool that r could wait for, with its meter taken.
	waitAt   *pick
	waitTime time.Duration
	refusal  fault.Kind
}

// run tries the planned pool, then the others: first what can be had at once,
// then waiting here, then a zone that may have no room.
func (s *search) run() Decision {
	tries := min(len(s.plan.picks), poolTries)
	first := s.plan.first(s.arrivals)
	for i := range tries {
		pk := s.plan.nth(first, i, s.arrivals)
		if d := s.try(pk); d.Verdict != Refuse {
			return d
		}
	}
	if s.waitAt != nil {
		// A refusal for lack of capacity stays counted: the pool's share of
		// what was asked for has not changed.
		return s.core.enqueue(s.st, s.waitAt.pool, s.now, s.r)
	}
	for i := range tries {
		pk := s.plan.nth(first, i, s.arrivals)
		if d := s.hopAnyway(pk); d.Verdict != Refuse {
			return d
		}
	}
	if s.refusal == fault.KindNone {
		s.refusal = fault.KindNoTarget
	}
	return refuse(s.refusal)
}

// try places r in the pool at once when that costs less than waiting.
func (s *search) try(pk *pick) Decision {
	p := pk.pool
	if !pk.meter.Take(s.nanos, s.arrivals) {
		s.note(fault.KindShiftCapped)
		return Decision{}
	}
	spilling := p.past(s.nanos)
	capped := false
	if len(p.local) > 0 && !spilling {
		d := s.here(p)
		if d.Verdict == Dispatch {
			return s.chosen(pk, d)
		}
		capped = d.Kind == fault.KindShiftCapped && p.suspect.Load()
	}
	wait := s.localWait(p)
	if s.waitAt != nil {
		wait = min(wait, s.waitTime)
	}
	if z, cost := s.core.bestZone(p, s.r, s.nanos); z != nil && cost < wait && s.inTime(cost) {
		return s.chosen(pk, z.hop(p.name))
	}
	if spilling {
		if d := s.here(p); d.Verdict == Dispatch {
			return s.chosen(pk, d)
		}
	}
	if capped {
		pk.meter.Untake()
		return Decision{}
	}
	if own := s.localWait(p); s.waitAt == nil && own < waitForever {
		s.waitAt, s.waitTime = pk, own
		return Decision{}
	}
	pk.meter.Untake()
	return Decision{}
}

// inTime reports whether r can still be served after d.
func (s *search) inTime(d time.Duration) bool { return d < s.r.Deadline.Sub(s.now) }

// chosen gives back the meter of the pool that r would have waited for.
func (s *search) chosen(pk *pick, d Decision) Decision {
	if s.waitAt != nil && s.waitAt != pk {
		s.waitAt.meter.Untake()
	}
	return d
}

// here dispatches to a target of this zone, and notes why it can't.
func (s *search) here(p *pool) Decision {
	if len(p.local) == 0 {
		return Decision{}
	}
	d := s.core.dispatch(s.st, p, s.now, s.r)
	if d.Verdict == Refuse {
		s.note(d.Kind)
	}
	return d
}

// localWait estimates how long r would wait for a target of this zone.
func (s *search) localWait(p *pool) time.Duration {
	if len(p.local) == 0 || !s.now.Before(s.st.expires) || !p.hasCandidate(s.nanos, s.r) {
		return waitForever
	}
	return p.expectedWait(int(p.queued.Load()))
}

// hopAnyway passes r to the zone of least cost, be that high: the instances
// there know better.
func (s *search) hopAnyway(pk *pick) Decision {
	z, _ := s.core.bestZone(pk.pool, s.r, s.nanos)
	if z == nil {
		if len(pk.pool.zones) > 0 {
			s.note(fault.KindOverloaded)
		}
		return Decision{}
	}
	if !pk.meter.Take(s.nanos, s.arrivals) {
		return Decision{}
	}
	return z.hop(pk.pool.name)
}

// note keeps the reason that says most to the caller.
func (s *search) note(k fault.Kind) {
	if s.refusal == fault.KindNone || s.refusal == fault.KindNoTarget || k == fault.KindShiftCapped {
		s.refusal = k
	}
}

// hop counts a hop to z and returns its decision.
func (z *zone) hop(poolName string) Decision {
	z.inFlight.Add(1)
	return Decision{Verdict: Hop, Pool: poolName, Zone: z.name, zone: z.zoneStats}
}

// dispatch takes a slot of a target of p in this zone. It refuses with the
// reason when there is none or others wait already.
func (c *Core) dispatch(st *state, p *pool, now time.Time, r *Request) Decision {
	if p.queued.Load() > 0 {
		return Decision{Kind: fault.KindOverloaded}
	}
	return c.take(st, p, now, r)
}

// take is dispatch without regard to those who wait.
func (c *Core) take(st *state, p *pool, now time.Time, r *Request) Decision {
	if !now.Before(st.expires) {
		return refuse(fault.KindShareLapsed)
	}
	if !acquire(&p.region.inFlight, p.region.share.Load()) {
		return refuse(fault.KindRegionFull)
	}
	ns := c.nanos(now)
	if !p.admit(ns) {
		p.region.inFlight.Add(-1)
		return refuse(fault.KindShiftCapped)
	}
	m := c.choose(p, r, ns)
	if m == nil {
		p.unadmit()
		p.region.inFlight.Add(-1)
		if p.slots.Load() == 0 {
			return refuse(fault.KindNoTarget)
		}
		return refuse(fault.KindOverloaded)
	}
	return Decision{
		Verdict: Dispatch, Pool: p.name, Target: m.target.Name, Address: m.target.Address, NotAfter: st.expires,
		slot: m.slot, slots: int64(m.target.Slots), region: p.region, stats: p.poolStats, at: ns, deadline: c.nanos(r.Deadline),
	}
}
