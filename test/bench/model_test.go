// Package bench compares the steering decisions with simple baseline policies in
// a deterministic simulation that runs in virtual time. It contains only tests.
package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// service describes a simulated service. slots is the number of requests that each
// target runs at once; the delays are one-way.
type service struct {
	name            string
	regions         []string
	targets         int
	slots           int
	meanServiceTime time.Duration
	zoneDelay       time.Duration
	regionDelay     time.Duration
	callerDelay     time.Duration
	priority        table.Priority
}

var (
	slovenia = []string{"osrednja", "stajerska", "primorska"}
	wales    = []string{"gogledd", "canolbarth", "de"}

	feedlog   = service{"feedlog", slovenia, 20, 4, 20 * time.Millisecond, 4 * time.Millisecond, 35 * time.Millisecond, 1 * time.Millisecond, table.PriorityNormal}
	certdesk  = service{"certdesk", slovenia, 12, 4, 10 * time.Millisecond, 4 * time.Millisecond, 35 * time.Millisecond, 1 * time.Millisecond, table.PriorityHigh}
	catalogue = service{"catalogue", wales, 24, 6, 15 * time.Millisecond, 3 * time.Millisecond, 20 * time.Millisecond, 3 * time.Millisecond, table.PriorityNormal}
	archive   = service{"archive", wales, 12, 5, 50 * time.Millisecond, 3 * time.Millisecond, 20 * time.Millisecond, 3 * time.Millisecond, table.PriorityLow}
)

const instanceCount = 11

// capacity returns the throughput of all targets in requests per second.
func (s service) capacity() float64 { return float64(s.targets*s.slots) / s.meanServiceTime.Seconds() }

func zoneOf(region string, i int) string { return fmt.Sprintf("%s-%d", region, i%2+1) }

// tables returns routing tables with one pool per region, whose targets are
// divided between the region's two zones.
func (s service) tables() *table.Tables {
	t := &table.Tables{Version: 1, AcceptedAt: epoch}
	rt := table.Route{Name: s.name, Priority: s.priority}
	for _, region := range s.regions {
		t.Pools = append(t.Pools, table.Pool{Name: s.name + "-" + region, Region: region, ShiftCap: 0.1, ShiftWindow: table.Duration(10 * time.Second)})
		t.Regions = append(t.Regions, table.Region{Name: region})
		rt.Pools = append(rt.Pools, table.PoolWeight{Pool: s.name + "-" + region, Weight: 1})
	}
	for i := range s.targets {
		p := &t.Pools[i%len(s.regions)]
		p.Targets = append(p.Targets, table.Target{
			Name: fmt.Sprintf("%s-%02d", s.name, i), Address: fmt.Sprintf("10.0.0.%d:80", i),
			Zone: zoneOf(p.Region, i/len(s.regions)), Slots: s.slots,
		})
		t.Regions[i%len(s.regions)].Limit += s.slots
	}
	t.Routes = []table.Route{rt}
	return t
}

// event is a function that runs at a point in virtual time. seq orders events at
// the same time by when they were scheduled.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a min-heap of events (container/heap).
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// target simulates a target with a fixed number of slots and a FIFO queue, in which
// requests fail after their deadline.
type target struct {
	config   table.Target
	pool     string
	region   string
	running  int
	waiting  []*call
	down     bool
	leaving  bool
	slowdown float64
	// lastSent is when an instance last sent the target a request, drainedAt when
	// a leaving target finished its last one.
	lastSent  time.Duration
	drainedAt time.Duration
}

// call is one request of a caller and its state in the simulation.
type call struct {
	req    steer.Request
	region string
	member int
	sent   time.Duration
	ended  bool
	// poison is set for a request that crashes each target that runs it. resend, if
	// not nil, sends the request again after a failure.
	poison  bool
	resend  func()
	respond func(fault.Kind)
}

// simulation is the state of one simulation run.
type simulation struct {
	svc         service
	tables      *table.Tables
	rng         *rand.Rand
	now         time.Duration
	seq         int
	queue       eventQueue
	targets     map[string]*target
	targetNames []string
	nodes       []*node
	policy      policy
	// reportedLoad is the load of each target that the instances received last.
	reportedLoad map[string]int
	// reportDelay is the additional delay of load reports and zone summaries.
	reportDelay  time.Duration
	memberShares []float64
	// firstRegionBias is the fraction of requests that callers in the first region
	// send in addition to their random share.
	firstRegionBias float64
	timeout         time.Duration
	measured        measurements
	// evenArrivals distributes requests over regions and instances in turn
	// instead of at random.
	evenArrivals bool
	// singleEntry sends all requests of a region to one instance.
	singleEntry  bool
	requestCount int
}

// policy decides how an instance serves a request. start is called once per
// simulation, restart when an instance starts again.
type policy interface {
	serve(n *node, c *call)
	start(sim *simulation)
	restart(n *node)
}

// node is a simulated instance. waiting maps the ticket of each queued request
// to the function that resumes it.
type node struct {
	sim        *simulation
	self       steer.Self
	down       bool
	nextTarget int
	core       *steer.Core
	shares     *shareLedger
	waiting    map[uint64]func(steer.Decision)
}

func newSimulation(svc service, policy policy, seed uint64) *simulation {
	sim := &simulation{
		svc: svc, tables: svc.tables(), rng: rand.New(rand.NewPCG(seed, 7)), policy: policy,
		targets: map[string]*target{}, reportedLoad: map[string]int{}, memberShares: []float64{1}, timeout: time.Second,
	}
	for i := range sim.tables.Pools {
		p := &sim.tables.Pools[i]
		for _, tg := range p.Targets {
			sim.targets[tg.Name] = &target{config: tg, pool: p.Name, region: p.Region, slowdown: 1}
			sim.targetNames = append(sim.targetNames, tg.Name)
		}
	}
	for i := range instanceCount {
		region := svc.regions[i%len(svc.regions)]
		self := steer.Self{Instance: fmt.Sprintf("i%d", i), Region: region, Zone: zoneOf(region, i/len(svc.regions))}
		sim.nodes = append(sim.nodes, &node{sim: sim, self: self, nextTarget: i * 7, waiting: map[uint64]func(steer.Decision){}})
	}
	sim.measured.init(sim)
	return sim
}

func (sim *simulation) clock() time.Time { return epoch.Add(sim.now) }

// after schedules run in d from now.
func (sim *simulation) after(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now + d, sim.seq, run})
}

// every schedules run repeatedly at intervals of d.
func (sim *simulation) every(d time.Duration, run func()) {
	var repeat func()
	repeat = func() { run(); sim.after(d, repeat) }
	sim.after(d, repeat)
}

// run simulates until end. load returns the offered load at a given time as a
// fraction of the capacity.
func (sim *simulation) run(end time.Duration, load func(time.Duration) float64) {
	sim.policy.start(sim)
	sim.every(200*time.Millisecond, sim.reportLoads)
	sim.scheduleArrivals(load)
	for sim.now <= end {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
}

// reportLoads publishes the targets' current loads to all instances after the
// report delay.
func (sim *simulation) reportLoads() {
	for _, name := range sim.targetNames {
		load := sim.targets[name].running + len(sim.targets[name].waiting)
		sim.after(sim.reportDelay+6*time.Millisecond, func() { sim.reportedLoad[name] = load })
	}
}

// scheduleArrivals sends requests at random intervals, as a Poisson process.
func (sim *simulation) scheduleArrivals(load func(time.Duration) float64) {
	rate := load(sim.now) * sim.svc.capacity()
	gap := time.Duration(sim.rng.ExpFloat64() / max(rate, 1) * float64(time.Second))
	sim.after(gap, func() {
		sim.sendRequest()
		sim.scheduleArrivals(load)
	})
}

// sendRequest sends an ordinary request from a caller in a random region.
func (sim *simulation) sendRequest() { sim.sendWithFingerprint(0) }

// sendWithFingerprint sends a request to an instance of the caller's region. With
// a fingerprint other than 0 it is a poison request, which the caller sends again
// 300 ms after each failure.
func (sim *simulation) sendWithFingerprint(fingerprint uint64) {
	region := sim.svc.regions[sim.rng.IntN(len(sim.svc.regions))]
	if sim.firstRegionBias > 0 && sim.rng.Float64() < sim.firstRegionBias {
		region = sim.svc.regions[0]
	}
	sim.requestCount++
	if sim.evenArrivals {
		region = sim.svc.regions[sim.requestCount%len(sim.svc.regions)]
	}
	c := &call{region: region, member: sim.pickMember(), sent: sim.now}
	n := sim.pickEntry(region)
	c.req = steer.Request{
		Route: &sim.tables.Routes[0], Member: fmt.Sprintf("m%d", c.member), Idempotent: true, BodyBytes: -1,
		Arrived: sim.clock(), Deadline: sim.clock().Add(sim.timeout), Fingerprint: sim.rng.Uint64() | 1,
	}
	if fingerprint != 0 {
		c.poison, c.req.Fingerprint = true, fingerprint
		c.resend = func() { sim.after(300*time.Millisecond, func() { sim.sendWithFingerprint(fingerprint) }) }
	}
	sim.measured.recordSent(sim, c)
	finish := func(k fault.Kind) {
		if !c.ended {
			c.ended = true
			sim.measured.recordEnd(sim, c, k)
			if c.resend != nil && k != fault.KindNone {
				c.resend()
			}
		}
	}
	c.respond = func(k fault.Kind) { sim.after(sim.svc.callerDelay, func() { finish(k) }) }
	sim.after(sim.timeout, func() { finish(fault.KindTargetTimeout) })
	sim.after(sim.svc.callerDelay, func() { sim.policy.serve(n, c) })
}

// pickMember returns a random member, weighted by memberShares.
func (sim *simulation) pickMember() int {
	x := sim.rng.Float64()
	sum := 0.0
	for i, share := range sim.memberShares {
		if sum += share; x < sum {
			return i
		}
	}
	return len(sim.memberShares) - 1
}

// pickEntry returns a running instance of the region, or of any region if the region
// has none.
func (sim *simulation) pickEntry(region string) *node {
	var inRegion, all []*node
	for _, n := range sim.nodes {
		if n.down {
			continue
		}
		all = append(all, n)
		if n.self.Region == region {
			inRegion = append(inRegion, n)
		}
	}
	if len(inRegion) == 0 {
		inRegion = all
	}
	if sim.singleEntry {
		return inRegion[0]
	}
	if sim.evenArrivals {
		return inRegion[sim.requestCount/len(sim.svc.regions)%len(inRegion)]
	}
	return inRegion[sim.rng.IntN(len(inRegion))]
}

// delay returns the one-way delay between two zones.
func (sim *simulation) delay(zoneA, regionA, zoneB, regionB string) time.Duration {
	switch {
	case zoneA == zoneB:
		return 100 * time.Microsecond
	case regionA == regionB:
		return sim.svc.zoneDelay
	default:
		return sim.svc.regionDelay
	}
}

// dispatch sends c from n to the named target and calls done with the result when it
// arrives at n.
func (sim *simulation) dispatch(n *node, name string, c *call, done func(fault.Kind)) {
	t := sim.targets[name]
	d := sim.delay(n.self.Zone, n.self.Region, t.config.Zone, t.region)
	sim.measured.recordDispatch(sim, t, c)
	t.lastSent = sim.now
	respond := func(k fault.Kind) {
		sim.measured.recordReturn(sim, t)
		sim.after(d, func() { done(k) })
	}
	sim.after(d, func() { t.accept(sim, c, respond) })
}

// accept starts c, or queues it if no slot is free.
func (t *target) accept(sim *simulation, c *call, respond func(fault.Kind)) {
	if t.down {
		respond(fault.KindTargetRefused)
		return
	}
	attempt := *c
	attempt.respond = respond
	if t.running >= t.config.Slots {
		t.waiting = append(t.waiting, &attempt)
		return
	}
	t.start(sim, &attempt)
}

// start runs c in a slot. When c ends, queued requests start in the free slots;
// those past their deadline fail.
func (t *target) start(sim *simulation, c *call) {
	t.running++
	if c.poison {
		t.down = true
		sim.measured.poisonedTargets++
	}
	serviceTime := time.Duration(sim.rng.ExpFloat64() * float64(sim.svc.meanServiceTime) * t.slowdown)
	sim.after(serviceTime, func() {
		t.running--
		if t.leaving && t.running == 0 && len(t.waiting) == 0 {
			t.drainedAt = sim.now
		}
		switch {
		case t.down:
			c.respond(fault.KindTargetLost)
		default:
			c.respond(fault.KindNone)
		}
		for len(t.waiting) > 0 && t.running < t.config.Slots {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			if sim.clock().Before(next.req.Deadline) && !t.down {
				t.start(sim, next)
			} else {
				next.respond(fault.KindTargetTimeout)
			}
		}
	})
}

// setZoneDown stops the instances and targets of a zone without a drain, or restarts
// them.
func (sim *simulation) setZoneDown(zone string, down bool) {
	for _, name := range sim.targetNames {
		if t := sim.targets[name]; t.config.Zone == zone {
			t.down = down
		}
	}
	for _, n := range sim.nodes {
		if n.self.Zone == zone {
			n.down = down
			if !down {
				sim.policy.restart(n)
			}
		}
	}
}

// setRegionDown calls setZoneDown for both zones of a region.
func (sim *simulation) setRegionDown(region string, down bool) {
	sim.setZoneDown(zoneOf(region, 0), down)
	sim.setZoneDown(zoneOf(region, 1), down)
}
