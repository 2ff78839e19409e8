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
	// warmPart and coldPart are the parts of a route's target latency that a
	// target is taken to work on a request about an object that it has handled
	// lately, and about one that it has not, until both have been measured.
	warmPart = 0.4
	coldPart = 1.3
	// coldExtra is the part of the work on an unknown object that is added to
	// its cost for the room that it takes from others.
	coldExtra = 0.5
	// faultPart is the part of the target latency that a target costs more when
	// all its attempts fail.
	faultPart = 2.0
	// admitPart is the part of the target latency that a request may be
	// expected to wait at a target.
	admitPart = 0.7
	// returnPart is the part of the target latency after which a caller that was
	// refused may come back at the earliest: the queue that it met must have
	// moved, or it is refused once more.
	returnPart = 0.8
	// remoteCost is what a region's distance costs beyond its round trip.
	remoteCost = 20 * time.Millisecond
)

// directState is what direct dispatch keeps beside the state of the tables.
type directState struct {
	policy DirectPolicy
	memory memory
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
	own := append([]string(nil), ids...)
	c.direct.instances.Store(&own)
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

// budgetOf returns the retry budget that r draws on.
func (c *Core) budgetOf(r *Request) *retry.Budget {
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
	m *member
	p *pool
	// cost ranks the candidates; wait and distance are parts of it.
	cost     time.Duration
	wait     time.Duration
	distance time.Duration
	// late says that r would wait longer at m than it may.
	late bool
}

// terms are what a candidate is offered on.
type terms struct {
	work  time.Duration
	extra time.Duration
	aim   time.Duration
	// limit is how long r may wait.
	limit time.Duration
}

// placeDirect sends r to the target with the least expected time to the
// answer, or refuses it when no target would answer in time.
func (c *Core) placeDirect(st *state, now time.Time, r *Request) Decision {
	rt, ok := st.routes[r.Route.Name]
	if !ok {
		return refuse(fault.KindNoTarget)
	}
	if r.service == "" {
		r.service = rt.pickService(st, r)
	}
	if r.Attempts == 0 && r.BodyBytes > 0 {
		rt.bodies.Observe(r.BodyBytes)
	}
	ns := c.nanos(now)
	est := rt.estimate(r)
	est.limit = min(est.limit, r.Deadline.Sub(now))
	best := c.bestDirect(st, r, est, ns)
	if best.m == nil {
		return c.noneOpen(r, ns)
	}
	m := best.m
	basis := m.basis(ns, best.wait, est.limit)
	if best.late {
		d := c.overloaded(max(best.wait-est.limit, time.Duration(returnPart*float64(est.aim))))
		d.Diagnostics = basis
		return d
	}
	if !m.takeCold(ns) {
		return refuse(fault.KindOverloaded)
	}
	m.inFlight.Add(1)
	best.p.region.inFlight.Add(1)
	return Decision{
		Verdict: Dispatch, Pool: best.p.name, Target: m.target.Name, Address: m.target.Address,
		slot: m.slot, slots: int64(m.target.Slots), region: best.p.region, stats: best.p.poolStats, at: ns, deadline: c.nanos(r.Deadline),
		route: rt, known: !r.hasObject() || c.direct.memory.note(m.serial, r.ObjectKey), wait: best.wait, distance: best.distance, Diagnostics: basis,
	}
}

// noneOpen refuses r when no target may get it.
func (c *Core) noneOpen(r *Request, ns int64) Decision {
	if wait, rest, _ := c.firstReturn(r, ns); rest {
		return c.refusedFor(wait)
	}
	return refuse(fault.KindNoTarget)
}

// bestDirect returns the cheapest target of r's service in the regions that the
// route allows, if any may be used.
func (c *Core) bestDirect(st *state, r *Request, est estimate, ns int64) (best candidate) {
	best.cost = waitForever
	var set [maxKnowing]ranked
	for i, k := range set[:c.rank(st, r, ns, set[:])] {
		t := terms{work: est.warm, aim: est.aim, limit: est.limit}
		if i > 0 {
			// To be nearer is no reason: the ranks hold what each region carries.
			nearer := c.distance(set[0].p, set[0].m) - c.distance(k.p, k.m)
			t.extra = est.step + max(0, nearer)
		}
		best.offer(c, k.m, k.p, ns, t)
	}
	if best.m != nil {
		// Work on an object that a target does not know takes so much more room
		// that spreading it under load would keep all targets from learning.
		return best
	}
	other := terms{work: est.cold, extra: est.penalty, aim: est.aim, limit: est.limit}
	for _, p := range st.poolsOf(r.service) {
		if !allowsRegion(r.Route.Regions, p.row.Region) {
			continue
		}
		start := int(c.random() % uint64(max(1, len(p.local))))
		for j := range p.local {
			m := p.local[(start+j)%len(p.local)]
			if c.directOpen(m, r, ns) {
				best.offer(c, m, p, ns, other)
			}
		}
	}
	return best
}

// offer keeps m when it costs less than the best so far. One where the request
// would wait too long is kept only for want of another.
func (b *candidate) offer(c *Core, m *member, p *pool, ns int64, t terms) {
	cost, wait := m.directCost(ns, t.work, t.aim)
	distance := c.distance(p, m)
	cost += t.extra + distance
	late := wait > t.limit
	if b.m == nil || late == b.late && cost < b.cost || b.late && !late {
		*b = candidate{m: m, p: p, cost: cost, wait: wait, distance: distance, late: late}
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

// distance is the round trip to m, with what its region costs beyond.
func (c *Core) distance(p *pool, m *member) time.Duration {
	switch {
	case m.target.Zone == c.self.Zone:
		return 0
	case p.row.Region == c.self.Region:
		return priorZoneTrip
	}
	return priorRegionTrip + remoteCost
}

const (
	// priorZoneTrip and priorRegionTrip are the round trips that are assumed
	// between zones and between regions.
	priorZoneTrip   = 8 * time.Millisecond
	priorRegionTrip = 60 * time.Millisecond
)

// directOpen reports whether r may be sent to m now.
func (c *Core) directOpen(m *member, r *Request, ns int64) bool {
	if !m.reachable(ns, r) {
		return false
	}
	return !m.cold(ns) || c.mayWarm(m, ns)
}

// directCost estimates the time from the dispatch to the answer of m for a
// request that it works on for work when it is free, and the part of it that
// the request waits.
func (m *member) directCost(ns int64, work, aim time.Duration) (cost, wait time.Duration) {
	slots := float64(max(1, m.target.Slots))
	load := float64(m.inFlight.Load()) + m.load.others(ns)
	w := float64(work) * m.pace.factor(ns)
	if over := load + 1 - slots; over > 0 {
		wait = time.Duration(over / slots * w)
	}
	// A busy target is the more likely to get more from others.
	busy := math.Min(1, load/slots)
	return wait + time.Duration(w+busy*busy*busyPart*w+m.pace.faults()*faultPart*float64(aim)), wait
}

// busyPart is the part of a request's work that it costs more at a target all
// of whose slots are in use.
const busyPart = 0.5

// pickService returns the service that the route's weights give r to. The
// weights of a service's pools are equal.
func (rt *route) pickService(st *state, r *Request) string {
	var room [maxParts]split.Part
	parts := room[:0]
	for _, w := range r.Route.Pools {
		s := st.serviceOf(w.Pool)
		if s != "" && (len(parts) == 0 || parts[len(parts)-1].Name != s) {
			parts = append(parts, split.Part{Name: s, Weight: w.Weight})
		}
	}
	if len(parts) == 1 {
		return parts[0].Name
	}
	point := drawOf(hashOf(r.Route.Name), r.ObjectKey)
	if !r.hasObject() {
		_, point = math.Modf(float64(rt.arrivals.Add(1)) * goldenRatio)
	}
	return rt.divider.Pick(parts, point)
}

// maxParts is the number of a route's services that need no memory of their own.
const maxParts = 4

// serviceOf returns the service of the named pool, or "".
func (st *state) serviceOf(name string) string {
	if p, ok := st.pools[name]; ok {
		return p.row.Service
	}
	return ""
}

// basis returns what a decision on m rests on.
func (m *member) basis(ns int64, wait, allowed time.Duration) Diagnostics {
	return Diagnostics{
		Target: m.target.Name, ExpectedWait: wait, MaxWait: allowed, InFlight: int(m.inFlight.Load()),
		OthersInFlight: m.load.others(ns), LoadAge: time.Duration(ns - m.load.at.Load()),
	}
}
