// Package bench compares the steering decisions with simple baseline policies in
// a deterministic simulation that runs in virtual time. It contains only tests.
package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const instanceCount = 11

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
	timeout      time.Duration
	measured     measurements
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
