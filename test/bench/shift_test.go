package bench

import (
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/shift"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// The share of a pool is measured over parts of the shift window.
const (
	windowSeconds = 10
	partSeconds   = 2
)

// largestRise returns the largest rise of any pool's share of the arrivals
// within a shift window, and the second at which it ended.
func largestRise(w *world) (float64, int) {
	worst, when := 0.0, 0
	for i := range w.tb.Pools {
		name := w.tb.Pools[i].Name
		for s := 2 + partSeconds; s < len(w.m.pools)-partSeconds; s++ {
			for e := max(2, s-windowSeconds+partSeconds); e < s; e++ {
				if rise := w.m.rise(name, e, s); rise > worst {
					worst, when = rise, s
				}
			}
		}
	}
	return worst, when
}

// rise returns how far the pool's share rose between the parts that start at
// two seconds. The share is that of the arrivals and that of what was served,
// whichever rose less: a pool that stays as it is while another one fails has
// a larger part of what is served, and one that comes out of an overload has a
// larger part of what arrives, with no traffic moved in either case.
func (m *measure) rise(pool string, from, to int) float64 {
	a, b := m.sum(pool, from), m.sum(pool, to)
	return min(b.sent/b.arrived-a.sent/a.arrived, b.sent/b.served-a.sent/a.served)
}

// part is what happened to the requests that arrived in a part of the window.
type part struct{ sent, served, arrived float64 }

func (m *measure) sum(pool string, s int) part {
	var p part
	for i := s; i < s+partSeconds; i++ {
		p.sent += float64(m.pools[i][pool])
		p.arrived += float64(m.arrivals[i])
		for _, n := range m.pools[i] {
			p.served += float64(n)
		}
	}
	return p
}

// edit puts new weights in force at every instance, as the operators' command does.
func (w *world) edit(weights ...int) {
	next := *w.tb
	next.Version++
	next.AcceptedAt = w.time()
	next.Shifts = shift.Snapshot(w.tb, w.time())
	rt := w.tb.Routes[0]
	rt.Pools = append([]table.PoolWeight(nil), rt.Pools...)
	for i, weight := range weights {
		rt.Pools[i].Weight = weight
	}
	next.Routes = []table.Route{rt}
	w.tb = &next
	for i, n := range w.nodes {
		w.after(time.Duration(i)*200*time.Millisecond, func() {
			if !n.dead {
				n.core.SetTables(w.time(), w.tb)
			}
		})
	}
}

var moves = []struct {
	name string
	play func(w *world)
}{
	{"large move by an edit", func(w *world) {
		w.after(15*time.Second, func() { w.edit(0, 1, 0) })
	}},
	{"edit taken back at once", func(w *world) {
		w.after(15*time.Second, func() { w.edit(0, 1, 1) })
		w.after(22*time.Second, func() { w.edit(1, 1, 1) })
		w.after(26*time.Second, func() { w.edit(1, 0, 1) })
	}},
	{"region lost and back", func(w *world) {
		w.after(15*time.Second, func() { w.loseRegion(w.svc.regions[0], true) })
		w.after(35*time.Second, func() { w.loseRegion(w.svc.regions[0], false) })
	}},
	{"zone lost during a move", func(w *world) {
		w.after(15*time.Second, func() { w.edit(1, 1, 0) })
		w.after(18*time.Second, func() { w.loseZone(zoneOf(w.svc.regions[1], 0), true) })
		w.after(30*time.Second, func() { w.loseZone(zoneOf(w.svc.regions[1], 0), false) })
	}},
	{"two regions lost one after the other", func(w *world) {
		w.after(15*time.Second, func() { w.loseRegion(w.svc.regions[0], true) })
		w.after(19*time.Second, func() { w.loseRegion(w.svc.regions[1], true) })
		w.after(40*time.Second, func() { w.loseRegion(w.svc.regions[0], false) })
	}},
}

const shiftRun = 55 * time.Second

func playMove(play func(*world), pol policy, seed uint64) *world {
	svc := feedlog
	svc.mean = 30 * time.Millisecond
	w := newWorld(svc, pol, seed)
	w.even = true
	play(w)
	w.run(shiftRun, steady(0.5))
	return w
}

func TestShiftCapHoldsInEveryWindow(t *testing.T) {
	for _, mv := range moves {
		t.Run(mv.name, func(t *testing.T) {
			t.Parallel()
			rise, when := largestRise(playMove(mv.play, ours, 6))
			t.Logf("largest rise of a share in any window: %.3f at %d s; cap %.3f", rise, when, table.DefaultShiftCap)
			if rise > table.DefaultShiftCap {
				t.Errorf("a share rose by %.3f", rise)
			}
		})
	}
}

func TestShiftCapPropertyCatchesPoliciesWithoutIt(t *testing.T) {
	for name, pol := range map[string]policy{
		"round robin":             roundRobin{},
		"steer without summaries": steering{borrow: true, deaf: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if rise, _ := largestRise(playMove(moves[2].play, pol, 5)); rise <= table.DefaultShiftCap {
				t.Errorf("largest rise = %.3f, want above the cap", rise)
			}
		})
	}
}
