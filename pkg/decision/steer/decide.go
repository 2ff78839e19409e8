package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const (
	// maxPoolsTried bounds the pools that one decision considers.
	maxPoolsTried = 8
	// maxFullScan is the largest number of targets of which all are compared;
	// with more targets, two random ones are compared first.
	maxFullScan = 8
	// maxTargetsScanned bounds the search for a free target that follows the
	// random choice.
	maxTargetsScanned = 64
)

// Decide chooses what to do with r at now. Every Dispatch or Hop must be
// followed by a call of Done. Decide is called again for each further attempt
// that AllowRetry or AllowHedge permits.
func (c *Core) Decide(now time.Time, r *Request) Decision {
	if !now.Before(r.Deadline) {
		return refuse(fault.KindDeadlinePassed)
	}
	counted, ok := c.poison.Start(now, r.Fingerprint)
	if !ok {
		return refuse(fault.KindPoisonHeld)
	}
	d := c.decide(c.snapshot.Load(), now, r)
	d.fingerprint = r.Fingerprint
	switch d.Verdict {
	case Refuse, Wait:
		if counted {
			c.poison.Abandon(r.Fingerprint)
		}
	default:
		d.poisonCounted = counted
	}
	if r.Attempts == 0 && r.Pool == "" && d.Verdict != Refuse {
		c.retryBudget(r).First()
	}
	return d
}

// decide chooses a pool for r, and a target or zone of that pool.
func (c *Core) decide(snap *snapshot, now time.Time, r *Request) Decision {
	if r.Pool != "" {
		return c.decideForwarded(snap, now, r)
	}
	if c.direct != nil {
		return c.decideDirect(snap, now, r)
	}
	rt, ok := snap.routes[r.Route.Name]
	if !ok {
		return refuse(fault.KindNoTarget)
	}
	pl := rt.plan.Load()
	if len(pl.entries) == 0 {
		return refuse(fault.KindNoTarget)
	}
	s := poolSearch{core: c, snap: snap, now: now, nanos: c.nanos(now), r: r, plan: pl, arrivals: rt.arrivals.Add(1)}
	return s.run()
}

// decideForwarded dispatches, queues or refuses a request that another instance
// has forwarded; such a request is never forwarded again.
func (c *Core) decideForwarded(snap *snapshot, now time.Time, r *Request) Decision {
	p, ok := snap.pools[r.Pool]
	if !ok || p.row.Drain || len(p.targets) == 0 {
		return refuse(fault.KindNoTarget)
	}
	d := c.dispatch(snap, p, now, r)
	if d.Verdict == Dispatch || d.Kind == fault.KindShareLapsed || (d.Kind == fault.KindShiftCapped && p.summaryOverdue.Load()) {
		return d
	}
	if !p.hasEligibleTarget(c.nanos(now), r) {
		return refuse(fault.KindNoTarget)
	}
	return c.enqueue(snap, p, now, r)
}

// poolSearch is the search for a place for one request over the pools of a
// plan.
type poolSearch struct {
	core     *Core
	snap     *snapshot
	now      time.Time
	nanos    int64
	r        *Request
	plan     *plan
	arrivals int64

	// waitEntry is the first pool in whose queue r could wait, or nil. Its
	// meter counts r.
	waitEntry    *planEntry
	waitEstimate time.Duration
	refusal      fault.Kind
}

// run tries the planned pool and then the others. It prefers, in this order: a
// target or zone that can take r at once, the local queue, and a zone that may
// have no free slot.
func (s *poolSearch) run() Decision {
	tries := min(len(s.plan.entries), maxPoolsTried)
	first := s.plan.indexFor(s.arrivals)
	for i := range tries {
		entry := s.plan.entryAt(first, i, s.arrivals)
		if d := s.tryEntry(entry); d.Verdict != Refuse {
			return d
		}
	}
	if s.waitEntry != nil {
		// If enqueue refuses r for lack of capacity, r stays counted in the
		// meter, because it still was a request for this pool.
		return s.core.enqueue(s.snap, s.waitEntry.pool, s.now, s.r)
	}
	for i := range tries {
		entry := s.plan.entryAt(first, i, s.arrivals)
		if d := s.hopAtAnyCost(entry); d.Verdict != Refuse {
			return d
		}
	}
	if s.refusal == fault.KindNone {
		s.refusal = fault.KindNoTarget
	}
	return refuse(s.refusal)
}

// tryEntry dispatches r to a target of the pool or forwards it to another zone,
// unless waiting in the local queue costs less than forwarding. Otherwise it
// sets waitEntry to the first pool in whose queue r could wait.
func (s *poolSearch) tryEntry(entry *planEntry) Decision {
	p := entry.pool
	if !entry.meter.Take(s.nanos, s.arrivals) {
		s.recordRefusal(fault.KindShiftCapped)
		return Decision{}
	}
	spilling := p.aboveSpillThreshold(s.nanos)
	shiftCapped := false
	if len(p.targets) > 0 && !spilling {
		d := s.dispatchLocal(p)
		if d.Verdict == Dispatch {
			return s.commit(entry, d)
		}
		shiftCapped = d.Kind == fault.KindShiftCapped && p.summaryOverdue.Load()
	}
	wait := s.localWait(p)
	if s.waitEntry != nil {
		wait = min(wait, s.waitEstimate)
	}
	if z, cost := s.core.bestZone(p, s.r, s.nanos); z != nil && cost < wait && s.beforeDeadline(cost) {
		return s.commit(entry, z.hop(p.name))
	}
	if spilling {
		if d := s.dispatchLocal(p); d.Verdict == Dispatch {
			return s.commit(entry, d)
		}
	}
	if shiftCapped {
		entry.meter.Untake()
		return Decision{}
	}
	if wait := s.localWait(p); s.waitEntry == nil && wait < maxDuration {
		s.waitEntry, s.waitEstimate = entry, wait
		return Decision{}
	}
	entry.meter.Untake()
	return Decision{}
}

// beforeDeadline reports whether r's deadline is more than d away.
func (s *poolSearch) beforeDeadline(d time.Duration) bool { return d < s.r.Deadline.Sub(s.now) }

// commit returns d after it has undone the meter count of the pool in whose
// queue r would have waited, if that is another pool.
func (s *poolSearch) commit(entry *planEntry, d Decision) Decision {
	if s.waitEntry != nil && s.waitEntry != entry {
		s.waitEntry.meter.Untake()
	}
	return d
}

// dispatchLocal dispatches r to a target of this zone, and records the reason
// if that is refused.
func (s *poolSearch) dispatchLocal(p *pool) Decision {
	if len(p.targets) == 0 {
		return Decision{}
	}
	d := s.core.dispatch(s.snap, p, s.now, s.r)
	if d.Verdict == Refuse {
		s.recordRefusal(d.Kind)
	}
	return d
}

// localWait estimates how long r would wait for a target of this zone.
func (s *poolSearch) localWait(p *pool) time.Duration {
	if len(p.targets) == 0 || !s.now.Before(s.snap.expires) || !p.hasEligibleTarget(s.nanos, s.r) {
		return maxDuration
	}
	return p.expectedWait(int(p.queued.Load()))
}

// hopAtAnyCost forwards r to the zone of least cost, however high that cost is:
// the instances of that zone have more recent data on their free slots.
func (s *poolSearch) hopAtAnyCost(entry *planEntry) Decision {
	z, _ := s.core.bestZone(entry.pool, s.r, s.nanos)
	if z == nil {
		if len(entry.pool.zones) > 0 {
			s.recordRefusal(fault.KindOverloaded)
		}
		return Decision{}
	}
	if !entry.meter.Take(s.nanos, s.arrivals) {
		return Decision{}
	}
	return z.hop(entry.pool.name)
}

// recordRefusal keeps the refusal that is most useful to the caller: any reason
// replaces a missing target, and a shift cap replaces any other reason.
func (s *poolSearch) recordRefusal(k fault.Kind) {
	if s.refusal == fault.KindNone || s.refusal == fault.KindNoTarget || k == fault.KindShiftCapped {
		s.refusal = k
	}
}

// hop counts a hop to z and returns the decision.
func (z *zone) hop(poolName string) Decision {
	z.inFlight.Add(1)
	return Decision{Verdict: Hop, Pool: poolName, Zone: z.name, zoneStats: z.zoneStats}
}

// dispatch acquires a slot of a target of p in this zone. It refuses when no
// target has a free slot or other requests are queued for p.
func (c *Core) dispatch(snap *snapshot, p *pool, now time.Time, r *Request) Decision {
	if p.queued.Load() > 0 {
		return Decision{Kind: fault.KindOverloaded}
	}
	return c.dispatchNow(snap, p, now, r)
}

// dispatchNow is dispatch without the check for queued requests.
func (c *Core) dispatchNow(snap *snapshot, p *pool, now time.Time, r *Request) Decision {
	if !now.Before(snap.expires) {
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
	t := c.acquireTarget(p, r, ns)
	if t == nil {
		p.cancelAdmit()
		p.region.inFlight.Add(-1)
		if p.usableSlots.Load() == 0 {
			return refuse(fault.KindNoTarget)
		}
		return refuse(fault.KindOverloaded)
	}
	return Decision{
		Verdict: Dispatch, Pool: p.name, Target: t.row.Name, Address: t.row.Address, NotAfter: snap.expires,
		targetStats: t.targetStats, targetSlots: int64(t.row.Slots), region: p.region, poolStats: p.poolStats, dispatchedAt: ns, deadline: c.nanos(r.Deadline),
	}
}
