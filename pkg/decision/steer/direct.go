package steer

import (
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/mechanism"
	"github.com/jacinthramp/jacinthramp/pkg/decision/popularity"
	"github.com/jacinthramp/jacinthramp/pkg/decision/retry"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// DirectPolicy configures direct dispatch, in which an instance dispatches to
// the targets of all zones itself, and targets refuse requests beyond their
// capacity. It needs no shares: an instance counts its own requests, and
// estimates those of others from the load that targets report.
type DirectPolicy struct {
	// ShiftCap is the largest change of a region's share of the arrivals from
	// one ShiftWindow to the next.
	ShiftCap    float64
	ShiftWindow time.Duration
	// RetryRatio is the largest number of retries per request over all
	// instances, and RetryReserve the number allowed beyond it.
	RetryRatio   float64
	RetryReserve int
	// Without holds the mechanisms that are switched off.
	Without mechanism.Set
}

const (
	// priorWarmFraction and priorColdFraction are the service times, as
	// fractions of the target latency, that are assumed for a warm and a cold
	// target until they have been measured.
	priorWarmFraction = 0.4
	priorColdFraction = 1.3
	// coldPenaltyFraction is the fraction of a cold request's service time that
	// is added to its cost, for the capacity that it takes from others.
	coldPenaltyFraction = 0.5
	// failurePenaltyFactor times the target latency is added to the cost of a
	// target whose attempts all fail.
	failurePenaltyFactor = 2.0
	// maxWaitFraction is the fraction of the target latency that a request may
	// be expected to wait at a target.
	maxWaitFraction = 0.7
	// minRetryAfterFraction is the minimum retry-after time as a fraction of
	// the target latency. A caller that retries before the queue has moved is
	// refused again.
	minRetryAfterFraction = 0.8
	// regionPenalty is the cost of a target in another region beyond the round
	// trip.
	regionPenalty = 20 * time.Millisecond
)

// directState is the state of direct dispatch that is independent of the
// tables.
type directState struct {
	policy  DirectPolicy
	history objectHistory

	// mu guards budgets, which holds the retry budget of each service.
	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// EnableDirect switches to direct dispatch, in which the Core dispatches to the
// targets of all zones. Call it before SetTables.
func (c *Core) EnableDirect(p DirectPolicy) {
	c.direct = &directState{policy: p, budgets: make(map[string]*retry.Budget)}
}

// configureBudget gives b this instance's part of a service's retries.
func (c *Core) configureBudget(b *retry.Budget) {
	p := c.direct.policy
	b.Configure(p.RetryRatio, float64(p.RetryReserve)/float64(c.members.Load().Count()))
}

// without reports whether m is switched off. Without direct dispatch, no
// mechanism is.
func (c *Core) without(m mechanism.Mechanism) bool {
	return c.direct != nil && c.direct.policy.Without.Has(m)
}

// retryBudget returns the retry budget of r's service, or of the Core without
// direct dispatch.
func (c *Core) retryBudget(r *Request) *retry.Budget {
	if c.direct == nil {
		return c.budget
	}
	c.direct.mu.Lock()
	defer c.direct.mu.Unlock()
	b := c.direct.budgets[r.service]
	if b == nil {
		b = retry.NewBudget()
		c.configureBudget(b)
		c.direct.budgets[r.service] = b
	}
	return b
}

// candidate is a target that a request may be sent to, with its estimated cost.
type candidate struct {
	target *target
	pool   *pool
	// cost ranks the candidates and includes wait and networkCost.
	cost        time.Duration
	wait        time.Duration
	networkCost time.Duration
	// exceedsWait is set when the request would wait at the target for longer
	// than it may.
	exceedsWait bool
}

// decideDirect sends r to the target with the least expected time to the
// response, or refuses it when no target would respond in time.
func (c *Core) decideDirect(snap *snapshot, now time.Time, r *Request) Decision {
	rt, ok := snap.routes[r.Route.Name]
	if !ok {
		return refuse(fault.KindNoTarget)
	}
	if c.without(mechanism.ObjectAffinity) {
		r.ObjectKey = 0
	}
	if r.service == "" {
		r.service = rt.pickService(snap, r)
	}
	if r.Attempts == 0 && r.BodyBytes > 0 {
		rt.bodySize.Observe(r.BodyBytes)
	}
	if r.Attempts == 0 && c.countsObject(r) {
		// What is decided now rests on the requests before.
		defer rt.objects.observe(c.nanos(now), r)
	}
	if room := snap.roomOf(r.service); room != nil {
		return c.decideInRoom(snap, room, now, r)
	}
	d, _ := c.place(snap, now, r, c.estimateFor(rt, now, r))
	return d
}

// estimateFor returns the expected costs of r, a request on rt.
func (c *Core) estimateFor(rt *route, now time.Time, r *Request) estimate {
	est := rt.estimate(r.Route, r.usesAffinity())
	if c.without(mechanism.Admission) {
		est.maxWait = maxDuration
	}
	est.maxWait = min(est.maxWait, r.Deadline.Sub(now))
	return est
}

// place sends r to the target with the least expected time to the response, or refuses it.
// full is set if r was refused because it would wait for too long, or because all targets
// have just refused others.
func (c *Core) place(snap *snapshot, now time.Time, r *Request, est estimate) (d Decision, full bool) {
	ns := c.nanos(now)
	best, claimed := c.claimCheapestTarget(snap, r, est, ns)
	if d, full, declined := c.decline(snap, r, best, est, ns); declined {
		return d, full
	}
	if !claimed {
		return refuse(fault.KindOverloaded), true
	}
	t := best.target
	diagnostics := t.diagnostics(ns, best.wait, est.maxWait)
	t.inFlight.Add(1)
	best.pool.region.inFlight.Add(1)
	return Decision{
		Verdict: Dispatch, Pool: best.pool.name, Target: t.row.Name, Address: t.row.Address,
		targetStats: t.targetStats, targetSlots: int64(t.row.Slots), region: best.pool.region, poolStats: best.pool.poolStats, dispatchedAt: ns, deadline: c.nanos(r.Deadline),
		route: snap.routes[r.Route.Name], warm: !r.usesAffinity() || c.direct.history.record(t.serial, r.ObjectKey), expectedWait: best.wait, networkCost: best.networkCost, workFactor: t.reportedFactor(ns, c.direct.policy.Without), Diagnostics: diagnostics,
	}, false
}

// decline refuses r if best, its candidate of least cost, is none or one where r would wait for
// too long. full is as in place. It changes no state but the random numbers of c.
func (c *Core) decline(snap *snapshot, r *Request, best candidate, est estimate, now int64) (d Decision, full, declined bool) {
	switch {
	case best.target == nil:
		return c.refuseNoTarget(r, now), snap.pausedOnly(r, now), true
	case best.exceedsWait:
		d = c.refuseOverloaded(max(best.wait-est.maxWait, time.Duration(minRetryAfterFraction*float64(est.targetLatency))))
		d.Diagnostics = best.target.diagnostics(now, best.wait, est.maxWait)
		return d, true, true
	}
	return Decision{}, false, false
}

// pausedOnly reports whether a target is unavailable for r only because of the short pause
// after it has refused a request.
func (snap *snapshot) pausedOnly(r *Request, now int64) bool {
	for _, p := range snap.poolsOf(r.service) {
		if !r.mayUseRegion(p.row.Region) {
			continue
		}
		for _, t := range p.targets {
			if now < t.pausedUntil.Load() && t.eligible(now) && !t.unreachable.Load() && !r.Excluded(t.name) {
				return true
			}
		}
	}
	return false
}

// maxClaimTries bounds the targets that a decision tries to claim. A claim fails when
// another request has taken this instance's share since the target was chosen.
const maxClaimTries = 3

// claimCheapestTarget returns the candidate of least cost and reports whether r may be
// sent to it: the wait there is short enough, and it is claimed for r.
func (c *Core) claimCheapestTarget(snap *snapshot, r *Request, est estimate, now int64) (best candidate, claimed bool) {
	c.recordPlacementUse(snap, r, now)
	for range maxClaimTries {
		best = c.cheapestTarget(snap, r, est, now)
		if best.target == nil || best.exceedsWait {
			return best, false
		}
		if best.target.claimColdRequest(now) && best.target.limiter.Claim(now) {
			return best, true
		}
	}
	return best, false
}

// refuseNoTarget refuses r when no target is available. The retry-after time
// covers the first backoff to end, or the time until a limited target takes a request.
func (c *Core) refuseNoTarget(r *Request, now int64) Decision {
	if wait, inBackoff, _ := c.earliestBackoffEnd(r, now); inBackoff {
		return c.refuseFor(wait)
	}
	return refuse(fault.KindNoTarget)
}

// cheapestTarget returns the candidate of least cost in the regions that the
// route allows. Its target is nil if none is available. It changes no state but the random
// numbers of c.
func (c *Core) cheapestTarget(snap *snapshot, r *Request, est estimate, now int64) (best candidate) {
	best.cost = maxDuration
	without := c.direct.policy.Without
	warmInputs, coldInputs := est.costInputs(without)
	var warm [popularity.MaxTargets]rankedTarget
	shared := c.targetCount(snap, r, est)
	ranked := warm[:c.rankTargets(snap, r, now, warm[:max(shared, maxTargetsPerObject(without))])]
	c.rotate(ranked[:min(shared, len(ranked))])
	for i, rt := range ranked {
		best.consider(c, rt.target, rt.pool, now, warmInputs)
		if i+1 >= shared && !best.exceedsWait && !best.target.shouldCompare(now, without) {
			// A request to a further target would warm that one up for an object
			// whose targets have room.
			return best
		}
	}
	if best.target != nil {
		// A cold request occupies a slot for so much longer that spreading such
		// requests under load would keep all targets from becoming warm.
		return best
	}
	for _, p := range snap.poolsOf(r.service) {
		if !r.mayUseRegion(p.row.Region) {
			continue
		}
		start := int(c.random() % uint64(max(1, len(p.targets))))
		for j := range p.targets {
			t := p.targets[(start+j)%len(p.targets)]
			if c.availableDirect(t, r, now) {
				best.consider(c, t, p, now, coldInputs)
			}
		}
	}
	return best
}

// crowdedRatio times its slots is the number of other instances' requests from which a target is
// crowded.
const crowdedRatio = 1.5

// isCrowded reports whether t usually has so many requests of other instances that some of
// its objects' requests are better sent to a further target.
func (t *target) isCrowded(now int64) bool {
	return t.otherLoad.usual(now) >= crowdedRatio*float64(max(1, t.row.Slots))
}

// consider replaces b by t if t costs less. A target with too long a wait is
// kept only while there is no other.
func (b *candidate) consider(c *Core, t *target, p *pool, now int64, in costInputs) {
	cost, wait := t.estimateCost(now, in)
	networkCost := c.networkCost(p, t)
	cost += in.penalty + networkCost
	exceedsWait := wait > in.maxWait
	if b.target == nil || exceedsWait == b.exceedsWait && cost < b.cost || b.exceedsWait && !exceedsWait {
		*b = candidate{target: t, pool: p, cost: cost, wait: wait, networkCost: networkCost, exceedsWait: exceedsWait}
	}
}

// allowsRegion reports whether regions contains region; an empty list allows
// all.
func allowsRegion(regions []string, region string) bool {
	for _, r := range regions {
		if r == region {
			return true
		}
	}
	return len(regions) == 0
}

// availableDirect reports whether r may be sent to t now.
func (c *Core) availableDirect(t *target, r *Request, now int64) bool {
	if !t.available(now, r) {
		return false
	}
	return !t.isCold(now) || c.maySendToCold(t, now)
}

// diagnostics returns what a decision for t was based on.
func (t *target) diagnostics(now int64, wait, maxWait time.Duration) Diagnostics {
	rateLimit, rateLimited := t.limiter.PerSecond()
	factor, factorAge, reported := t.workFactor.last(now)
	return Diagnostics{
		Target: t.row.Name, ExpectedWait: wait, MaxWait: maxWait, InFlight: int(t.inFlight.Load()),
		OthersInFlight: t.otherLoad.value(now), LoadAge: time.Duration(now - t.otherLoad.at.Load()), RateLimit: rateLimit, RateLimited: rateLimited,
		WorkFactor: factor, WorkFactorAge: factorAge, WorkReported: reported,
	}
}
