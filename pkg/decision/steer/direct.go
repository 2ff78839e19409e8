package steer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/retry"
	"github.com/jacinthramp/jacinthramp/pkg/decision/split"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// DirectPolicy is the policy of an instance that dispatches to the targets of all
// zones itself, where targets bound their own work and refuse what is too
// much. No shares are needed then: own work is counted, the work of other
// instances is estimated from what the targets report.
type DirectPolicy struct {
	// ShiftCap is the largest change of a region's share of the arrivals from
	// one ShiftWindow to the next.
	ShiftCap    float64
	ShiftWindow time.Duration
	// RetryRatio is the largest number of further attempts per request over all
	// instances, and RetryReserve the number that is allowed on top of it.
	RetryRatio   float64
	RetryReserve int
}

const (
	// priorWarmFraction and priorColdFraction are the parts of a route's target latency that a
	// target is taken to work on a request about an object that it has handled
	// lately, and about one that it has not, until both have been measured.
	priorWarmFraction = 0.4
	priorColdFraction = 1.3
	// coldPenaltyFraction is the part of the work on an unknown object that is added to
	// its cost for the room that it takes from others.
	coldPenaltyFraction = 0.5
	// failurePenaltyFactor is the part of the target latency that a target costs more when
	// all its attempts fail.
	failurePenaltyFactor = 2.0
	// maxWaitFraction is the part of the target latency that a request may be
	// expected to wait at a target.
	maxWaitFraction = 0.7
	// minRetryAfterFraction is the part of the target latency after which a caller that was
	// refused may come back at the earliest: the queue that it met must have
	// moved, or it is refused once more.
	minRetryAfterFraction = 0.8
	// regionPenalty is what a region's distance costs beyond its round trip.
	regionPenalty = 20 * time.Millisecond
)

// directState is what direct dispatch keeps beside the state of the tables.
type directState struct {
	policy  DirectPolicy
	history objectHistory
	// instances are the live instances, this one included.
	instances atomic.Pointer[[]string]

	// mu guards budgets, the retry budget of each service.
	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// EnableDirect makes the Core dispatch to the targets of all zones. Call it
// before SetTables.
func (c *Core) EnableDirect(p DirectPolicy) {
	c.direct = &directState{policy: p, budgets: make(map[string]*retry.Budget)}
	c.SetInstances([]string{c.self.Instance})
}

// SetInstances tells which instances are live, this one included: they share
// the retry budget and the rate of cold targets.
func (c *Core) SetInstances(ids []string) {
	if c.direct == nil {
		return
	}
	live := append([]string(nil), ids...)
	c.direct.instances.Store(&live)
	c.direct.mu.Lock()
	defer c.direct.mu.Unlock()
	for _, b := range c.direct.budgets {
		c.direct.configure(b)
	}
}

// configure gives b this instance's part of a service's retries.
func (d *directState) configure(b *retry.Budget) {
	n := max(1, len(*d.instances.Load()))
	b.Configure(d.policy.RetryRatio, float64(d.policy.RetryReserve)/float64(n))
}

// retryBudget returns the retry budget that r draws on.
func (c *Core) retryBudget(r *Request) *retry.Budget {
	if c.direct == nil {
		return c.budget
	}
	c.direct.mu.Lock()
	defer c.direct.mu.Unlock()
	b := c.direct.budgets[r.service]
	if b == nil {
		b = retry.NewBudget()
		c.direct.configure(b)
		c.direct.budgets[r.service] = b
	}
	return b
}

// candidate is one target that r may be sent to.
type candidate struct {
	target *target
	pool   *pool
	// cost ranks the candidates; wait and distance are parts of it.
	cost        time.Duration
	wait        time.Duration
	networkCost time.Duration
	// exceedsWait says that r would wait longer at m than it may.
	exceedsWait bool
}

// costInputs are what a candidate is offered on.
type costInputs struct {
	work          time.Duration
	penalty       time.Duration
	targetLatency time.Duration
	// maxWait is how long r may wait.
	maxWait time.Duration
}

// decideDirect sends r to the target with the least expected time to the
// answer, or refuses it when no target would answer in time.
func (c *Core) decideDirect(st *state, now time.Time, r *Request) Decision {
	rt, ok := st.routes[r.Route.Name]
	if !ok {
		return refuse(fault.KindNoTarget)
	}
	if r.service == "" {
		r.service = rt.pickService(st, r)
	}
	if r.Attempts == 0 && r.BodyBytes > 0 {
		rt.bodySize.Observe(r.BodyBytes)
	}
	ns := c.nanos(now)
	est := rt.estimate(r)
	est.maxWait = min(est.maxWait, r.Deadline.Sub(now))
	best := c.cheapestTarget(st, r, est, ns)
	if best.target == nil {
		return c.refuseNoTarget(r, ns)
	}
	t := best.target
	basis := t.diagnostics(ns, best.wait, est.maxWait)
	if best.exceedsWait {
		d := c.refuseOverloaded(max(best.wait-est.maxWait, time.Duration(minRetryAfterFraction*float64(est.targetLatency))))
		d.Diagnostics = basis
		return d
	}
	if !t.claimColdRequest(ns) {
		return refuse(fault.KindOverloaded)
	}
	t.inFlight.Add(1)
	best.pool.region.inFlight.Add(1)
	return Decision{
		Verdict: Dispatch, Pool: best.pool.name, Target: t.row.Name, Address: t.row.Address,
		targetStats: t.targetStats, targetSlots: int64(t.row.Slots), region: best.pool.region, poolStats: best.pool.poolStats, dispatchedAt: ns, deadline: c.nanos(r.Deadline),
		route: rt, warm: !r.usesAffinity() || c.direct.history.record(t.serial, r.ObjectKey), expectedWait: best.wait, networkCost: best.networkCost, Diagnostics: basis,
	}
}

// refuseNoTarget refuses r when no target may get it.
func (c *Core) refuseNoTarget(r *Request, ns int64) Decision {
	if wait, rest, _ := c.earliestBackoffEnd(r, ns); rest {
		return c.refuseFor(wait)
	}
	return refuse(fault.KindNoTarget)
}

// cheapestTarget returns the cheapest target of r's service in the regions that the
// route allows, if any may be used.
func (c *Core) cheapestTarget(st *state, r *Request, est estimate, ns int64) (best candidate) {
	best.cost = maxDuration
	var warm [targetsPerObject]rankedTarget
	for i, rt := range warm[:c.rankTargets(st, r, ns, warm[:])] {
		in := costInputs{work: est.warmWork, targetLatency: est.targetLatency, maxWait: est.maxWait}
		if i > 0 {
			// To be nearer is no reason: the ranks hold what each region carries.
			saved := c.networkCost(warm[0].pool, warm[0].target) - c.networkCost(rt.pool, rt.target)
			in.penalty = est.spreadPenalty + max(0, saved)
		}
		best.consider(c, rt.target, rt.pool, ns, in)
	}
	if best.target != nil {
		// Work on an object that a target does not know takes so much more room
		// that spreading it under load would keep all targets from learning.
		return best
	}
	coldInputs := costInputs{work: est.coldWork, penalty: est.coldPenalty, targetLatency: est.targetLatency, maxWait: est.maxWait}
	for _, p := range st.poolsOf(r.service) {
		if !allowsRegion(r.Route.Regions, p.row.Region) {
			continue
		}
		start := int(c.random() % uint64(max(1, len(p.targets))))
		for j := range p.targets {
			t := p.targets[(start+j)%len(p.targets)]
			if c.availableDirect(t, r, ns) {
				best.consider(c, t, p, ns, coldInputs)
			}
		}
	}
	return best
}

// consider keeps m when it costs less than the best so far. One where the request
// would wait too long is kept only for want of another.
func (b *candidate) consider(c *Core, t *target, p *pool, ns int64, in costInputs) {
	cost, wait := t.estimateCost(ns, in.work, in.targetLatency)
	networkCost := c.networkCost(p, t)
	cost += in.penalty + networkCost
	exceedsWait := wait > in.maxWait
	if b.target == nil || exceedsWait == b.exceedsWait && cost < b.cost || b.exceedsWait && !exceedsWait {
		*b = candidate{target: t, pool: p, cost: cost, wait: wait, networkCost: networkCost, exceedsWait: exceedsWait}
	}
}

// allowsRegion reports whether region is among regions; none means all.
func allowsRegion(regions []string, region string) bool {
	for _, r := range regions {
		if r == region {
			return true
		}
	}
	return len(regions) == 0
}

// networkCost is the round trip to m, with what its region costs beyond.
func (c *Core) networkCost(p *pool, t *target) time.Duration {
	switch {
	case t.row.Zone == c.self.Zone:
		return 0
	case p.row.Region == c.self.Region:
		return priorZoneRTT
	}
	return priorRegionRTT + regionPenalty
}

const (
	// priorZoneRTT and priorRegionRTT are the round trips that are assumed
	// between zones and between regions.
	priorZoneRTT   = 8 * time.Millisecond
	priorRegionRTT = 60 * time.Millisecond
)

// availableDirect reports whether r may be sent to m now.
func (c *Core) availableDirect(t *target, r *Request, ns int64) bool {
	if !t.available(ns, r) {
		return false
	}
	return !t.isCold(ns) || c.maySendToCold(t, ns)
}

// estimateCost estimates the time from the dispatch to the answer of m for a
// request that it works on for work when it is free, and the part of it that
// the request waits.
func (t *target) estimateCost(ns int64, work, targetLatency time.Duration) (cost, wait time.Duration) {
	slots := float64(max(1, t.row.Slots))
	load := float64(t.inFlight.Load()) + t.otherLoad.value(ns)
	w := float64(work) * t.slowness.factor(ns)
	if over := load + 1 - slots; over > 0 {
		wait = time.Duration(over / slots * w)
	}
	// A busy target is the more likely to get more from others.
	utilisation := math.Min(1, load/slots)
	return wait + time.Duration(w+utilisation*utilisation*busyPenaltyFraction*w+t.slowness.failureRate()*failurePenaltyFactor*float64(targetLatency)), wait
}

// busyPenaltyFraction is the part of a request's work that it costs more at a target all
// of whose slots are in use.
const busyPenaltyFraction = 0.5

// pickService returns the service that the route's weights give r to. The
// weights of a service's pools are equal.
func (rt *route) pickService(st *state, r *Request) string {
	var buf [inlineParts]split.Part
	parts := buf[:0]
	for _, w := range r.Route.Pools {
		s := st.serviceOf(w.Pool)
		if s != "" && (len(parts) == 0 || parts[len(parts)-1].Name != s) {
			parts = append(parts, split.Part{Name: s, Weight: w.Weight})
		}
	}
	if len(parts) == 1 {
		return parts[0].Name
	}
	point := uniformHash(hashName(r.Route.Name), r.ObjectKey)
	if !r.usesAffinity() {
		_, point = math.Modf(float64(rt.arrivals.Add(1)) * goldenRatio)
	}
	return rt.divider.Pick(parts, point)
}

// inlineParts is the number of a route's services that need no memory of their own.
const inlineParts = 4

// serviceOf returns the service of the named pool, or "".
func (st *state) serviceOf(name string) string {
	if p, ok := st.pools[name]; ok {
		return p.row.Service
	}
	return ""
}

// diagnostics returns what a decision on m rests on.
func (t *target) diagnostics(ns int64, wait, maxWait time.Duration) Diagnostics {
	return Diagnostics{
		Target: t.row.Name, ExpectedWait: wait, MaxWait: maxWait, InFlight: int(t.inFlight.Load()),
		OthersInFlight: t.otherLoad.value(ns), LoadAge: time.Duration(ns - t.otherLoad.at.Load()),
	}
}
