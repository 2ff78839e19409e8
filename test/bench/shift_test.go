package bench

import (
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/shift"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// The share of a pool is measured over parts of the shift window. Both lengths are in
// seconds.
const (
	windowSeconds = 10
	partSeconds   = 2
)

// largestRise returns the largest rise of any pool's share of the traffic within a
// shift window, and the second at which the last part of that window starts.
func largestRise(sim *simulation) (float64, int) {
	largest, endSecond := 0.0, 0
	for i := range sim.tables.Pools {
		name := sim.tables.Pools[i].Name
		for to := 2 + partSeconds; to < len(sim.measured.attemptsByPool)-partSeconds; to++ {
			for from := max(2, to-windowSeconds+partSeconds); from < to; from++ {
				if rise := sim.measured.rise(name, from, to); rise > largest {
					largest, endSecond = rise, to
				}
			}
		}
	}
	return largest, endSecond
}

// rise returns the increase of the pool's share of the traffic between the parts that
// start at the seconds from and to. It computes the share both of the arrivals and of
// the attempts at all pools, and returns the smaller increase: when another pool
// fails, an unchanged pool gets a larger share of the attempts, and a pool that
// recovers from an overload gets a larger share of the arrivals, although no traffic
// has moved.
func (m *measurements) rise(pool string, from, to int) float64 {
	before, after := m.trafficFrom(pool, from), m.trafficFrom(pool, to)
	return min(after.toPool/after.arrived-before.toPool/before.arrived, after.toPool/after.toAllPools-before.toPool/before.toAllPools)
}

// windowPart holds the number of requests that arrived in a part of the window, and
// the numbers of their attempts at one pool and at all pools.
type windowPart struct{ toPool, toAllPools, arrived float64 }

// trafficFrom returns the counts of the part that starts at second from.
func (m *measurements) trafficFrom(pool string, from int) windowPart {
	var p windowPart
	for second := from; second < from+partSeconds; second++ {
		p.toPool += float64(m.attemptsByPool[second][pool])
		p.arrived += float64(m.arrivalsBySecond[second])
		for _, n := range m.attemptsByPool[second] {
			p.toAllPools += float64(n)
		}
	}
	return p
}

// applyWeights creates a version of the tables with new pool weights, as the
// operators' command does. The instances receive it one after the other, 200 ms
// apart.
func (sim *simulation) applyWeights(weights ...int) {
	next := *sim.tables
	next.Version++
	next.AcceptedAt = sim.clock()
	next.Shifts = shift.Snapshot(sim.tables, sim.clock())
	rt := sim.tables.Routes[0]
	rt.Pools = append([]table.PoolWeight(nil), rt.Pools...)
	for i, weight := range weights {
		rt.Pools[i].Weight = weight
	}
	next.Routes = []table.Route{rt}
	sim.tables = &next
	for i, n := range sim.nodes {
		sim.after(time.Duration(i)*200*time.Millisecond, func() {
			if !n.down {
				n.core.SetTables(sim.clock(), sim.tables)
			}
		})
	}
}

// shiftScenarios are changes during which no pool's share may rise by more than the
// shift cap within a window.
var shiftScenarios = []struct {
	name     string
	schedule func(sim *simulation)
}{
	{"edit that moves all traffic to one pool", func(sim *simulation) {
		sim.after(15*time.Second, func() { sim.applyWeights(0, 1, 0) })
	}},
	{"edit reverted after 7 s", func(sim *simulation) {
		sim.after(15*time.Second, func() { sim.applyWeights(0, 1, 1) })
		sim.after(22*time.Second, func() { sim.applyWeights(1, 1, 1) })
		sim.after(26*time.Second, func() { sim.applyWeights(1, 0, 1) })
	}},
	{"region lost and restored", func(sim *simulation) {
		sim.after(15*time.Second, func() { sim.setRegionDown(sim.svc.regions[0], true) })
		sim.after(35*time.Second, func() { sim.setRegionDown(sim.svc.regions[0], false) })
	}},
	{"zone lost during a move", func(sim *simulation) {
		sim.after(15*time.Second, func() { sim.applyWeights(1, 1, 0) })
		sim.after(18*time.Second, func() { sim.setZoneDown(zoneOf(sim.svc.regions[1], 0), true) })
		sim.after(30*time.Second, func() { sim.setZoneDown(zoneOf(sim.svc.regions[1], 0), false) })
	}},
	{"two regions lost one after the other", func(sim *simulation) {
		sim.after(15*time.Second, func() { sim.setRegionDown(sim.svc.regions[0], true) })
		sim.after(19*time.Second, func() { sim.setRegionDown(sim.svc.regions[1], true) })
		sim.after(40*time.Second, func() { sim.setRegionDown(sim.svc.regions[0], false) })
	}},
}

const shiftRun = 55 * time.Second

func runShiftScenario(schedule func(*simulation), p policy, seed uint64) *simulation {
	svc := feedlog
	svc.meanServiceTime = 30 * time.Millisecond
	sim := newSimulation(svc, p, seed)
	sim.evenArrivals = true
	schedule(sim)
	sim.run(shiftRun, constantLoad(0.5))
	return sim
}

func TestShiftCapHoldsInEveryWindow(t *testing.T) {
	for _, scenario := range shiftScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			rise, endSecond := largestRise(runShiftScenario(scenario.schedule, steerWithBorrowing, 6))
			t.Logf("largest rise of a pool's share in any window: %.3f at %d s; cap %.3f", rise, endSecond, table.DefaultShiftCap)
			if rise > table.DefaultShiftCap {
				t.Errorf("a pool's share rose by %.3f, more than the cap", rise)
			}
		})
	}
}

func TestShiftCapCheckDetectsPoliciesWithoutCap(t *testing.T) {
	for name, p := range map[string]policy{
		"round robin":             roundRobin{},
		"steer without summaries": steerPolicy{borrow: true, withoutSummaries: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if rise, _ := largestRise(runShiftScenario(shiftScenarios[2].schedule, p, 5)); rise <= table.DefaultShiftCap {
				t.Errorf("largest rise = %.3f, want more than the cap", rise)
			}
		})
	}
}
