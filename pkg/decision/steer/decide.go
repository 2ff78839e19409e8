package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const (
	// maxPoolsTried bounds the pools that one decision considers.
	maxPoolsTried = 8
	// maxFullScan is the number of targets up to which all are compared.
	maxFullScan = 8
	// maxTargetsScanned bounds the search for a free target after the random
	// choice.
	maxTargetsScanned = 64
)

// Decide chooses what happens to r at now. A Dispatch or Hop must be followed
// by Done. Call Decide again for each further attempt that AllowRetry or
// AllowHedge permits.
func (c *Core) Decide(now time.Time, r *Request) Decision {
	if !now.Before(r.Deadline) {
		return refuse(fault.KindDeadlinePassed)
	}
	snap := c.snapshot.Load()
	if kind := c.bind(snap, r); kind != fault.KindNone {
		return refuse(kind)
	}
	counted, ok := c.poison.Start(now, r.Fingerprint)
	if !ok {
		return refuse(fault.KindPoisonHeld)
	}
	d := c.decide(snap, now, r)
	if d.Verdict != Wait {
		// The wake-up of a queued request may be deciding on it already.
		d.setRequest(snap, r)
	}
	if c.stopAt.Load() != nil {
		d = c.refuseIfOutlastsStop(now, d)
	}
	switch d.Verdict {
	case Refuse, Wait:
		if counted {
			c.poison.Abandon(r.Fingerprint)
		}
	default:
		d.poisonCounted = counted
	}
	if d.Verdict != Refuse && d.Verdict != Wait {
		c.depositFor(r)
	}
	return d
}

// depositFor counts r, which is about to be sent or to wait, for the retry budget.
func (c *Core) depositFor(r *Request) {
	if r.Attempts == 0 && r.Pool == "" && !r.deposited {
		r.deposited = true
		c.retryBudget(r).Deposit()
	}
}

// setRequest records in d what the later steps of the attempt need of r, which decisions
// on further attempts may change at the same time.
func (d *Decision) setRequest(snap *snapshot, r *Request) {
	d.fingerprint = r.Fingerprint
	d.row, d.TablesVersion = r.Route, r.TablesVersion
	d.Caller = r.caller(snap)
	d.affinity = r.usesAffinity()
	d.attempt, d.repeat = uint8(r.Attempts-r.withdrawn+1), r.mayHaveRun || r.hedged
}

// decide chooses a pool for r, and a target or zone of the pool.
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

// decideForwarded decides on a request that another instance has forwarded. It
// never returns Hop.
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

// poolSearch is one decision over the pools of a plan.
type poolSearch struct {
	core     *Core
	snap     *snapshot
	now      time.Time
	nanos    int64
	r        *Request
	plan     *plan
	arrivals int64

	// waitEntry is the first pool in whose queue r could wait. Its meter counts
	// r.
	waitEntry    *planEntry
	waitEstimate time.Duration
	refusal      fault.Kind
}

// run tries the planned pool, then the others: first targets and zones that can
// take r at once, then the local queue, then zones that may have no free slot.
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
		// A refusal for lack of capacity stays counted in the meter: the
		// request still was one for this pool.
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

// tryEntry dispatches or forwards r, unless waiting in the local queue costs
// less. It sets waitEntry if r has to wait.
func (s *poolSearch) tryEntry(entry *planEntry) Decision {
	p := entry.pool
	if !entry.meter.Admit(s.nanos, s.arrivals) {
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
		entry.meter.CancelAdmit()
		return Decision{}
	}
	if wait := s.localWait(p); s.waitEntry == nil && wait < maxDuration {
		s.waitEntry, s.waitEstimate = entry, wait
		return Decision{}
	}
	entry.meter.CancelAdmit()
	return Decision{}
}

// beforeDeadline reports whether r's deadline is more than d away.
func (s *poolSearch) beforeDeadline(d time.Duration) bool { return d < s.r.Deadline.Sub(s.now) }

// commit returns d and undoes the meter count of the pool that r would have
// waited for.
func (s *poolSearch) commit(entry *planEntry, d Decision) Decision {
	if s.waitEntry != nil && s.waitEntry != entry {
		s.waitEntry.meter.CancelAdmit()
	}
	return d
}

// dispatchLocal dispatches r to a target of this zone or records why it cannot.
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

// hopAtAnyCost forwards r to the zone of least cost, however high: that zone's
// instances have more recent data.
func (s *poolSearch) hopAtAnyCost(entry *planEntry) Decision {
	z, _ := s.core.bestZone(entry.pool, s.r, s.nanos)
	if z == nil {
		if len(entry.pool.zones) > 0 {
			s.recordRefusal(fault.KindOverloaded)
		}
		return Decision{}
	}
	if !entry.meter.Admit(s.nanos, s.arrivals) {
		return Decision{}
	}
	return z.hop(entry.pool.name)
}

// recordRefusal keeps the refusal that is most useful to the caller.
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

// dispatch acquires a slot of a target of p. It refuses when none is free or
// requests are queued for p.
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
	if !acquire(&p.region.inFlight, p.region.share.Load(), &p.region.share) {
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
