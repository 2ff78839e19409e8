package shift

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 4, 200) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const tolerance = 1e-9

func twoPools(weightA, weightB int) *table.Tables {
	return &table.Tables{
		Version:    1,
		AcceptedAt: epoch,
		Routes:     []table.Route{{Name: "r", Pools: []table.PoolWeight{{Pool: "a", Weight: weightA}, {Pool: "b", Weight: weightB}}}},
		Pools:      []table.Pool{{Name: "a"}, {Name: "b"}},
	}
}

// edit returns the next version of t, with the given weights and accepted at now.
func edit(t *table.Tables, now time.Time, weights ...int) *table.Tables {
	next := &table.Tables{Version: t.Version + 1, AcceptedAt: now, Pools: append([]table.Pool(nil), t.Pools...), Shifts: Snapshot(t, now)}
	r := table.Route{Name: "r"}
	for i, w := range weights {
		r.Pools = append(r.Pools, table.PoolWeight{Pool: t.Pools[i].Name, Weight: w})
	}
	next.Routes = []table.Route{r}
	return next
}

func shareOf(t *table.Tables, pool string, now time.Time) float64 {
	for _, s := range PlannedShares(t, &t.Routes[0], now) {
		if s.Pool == pool {
			return s.Share
		}
	}
	return 0
}

func TestNewRouteStartsAtItsWeights(t *testing.T) {
	tb := twoPools(3, 1)
	if got := shareOf(tb, "a", epoch); got != 0.75 {
		t.Fatalf("share of a = %v, want 0.75", got)
	}
}

func TestLargeMoveIsLimitedByCapAndEndsAtWeights(t *testing.T) {
	tb := edit(twoPools(1, 0), epoch, 0, 1)
	shareOfB := func(s float64) float64 { return shareOf(tb, "b", epoch.Add(time.Duration(s*float64(time.Second)))) }
	for _, c := range []struct{ seconds, want float64 }{{0, 0}, {12.5, 0.1}, {62.5, 0.5}, {125, 1}, {500, 1}} {
		if got := shareOfB(c.seconds); math.Abs(got-c.want) > tolerance {
			t.Errorf("share of b after %v s = %v, want %v", c.seconds, got, c.want)
		}
	}
	if sum := shareOfB(20) + shareOf(tb, "a", epoch.Add(20*time.Second)); math.Abs(sum-1) > tolerance {
		t.Errorf("sum of the shares = %v, want 1", sum)
	}
}

func TestDrainedPoolStopsImmediately(t *testing.T) {
	tb := edit(twoPools(1, 1), epoch, 1, 1)
	tb.Pools[0].Drain = true
	if got := shareOf(tb, "a", epoch); got != 0 {
		t.Fatalf("share of the drained pool = %v", got)
	}
	if got := shareOf(tb, "b", epoch.Add(12500*time.Millisecond)); math.Abs(got-0.6) > tolerance {
		t.Fatalf("share of the other pool = %v, want 0.6", got)
	}
}

func TestRemovedPoolRampsOut(t *testing.T) {
	tb := edit(twoPools(1, 0), epoch, 0, 1)
	tb.Routes[0].Pools = tb.Routes[0].Pools[1:]
	if got := shareOf(tb, "a", epoch.Add(12500*time.Millisecond)); math.Abs(got-0.9) > tolerance {
		t.Fatalf("share of the removed pool = %v, want 0.9", got)
	}
}

// sharesFunc computes shares. The property is checked against PlannedShares and
// against a broken implementation.
type sharesFunc func(*table.Tables, time.Time) []PoolShare

// largestCapExcess applies edits at random times and samples the shares of a
// route every second. It returns the largest rise of a pool's share in any
// window, minus the pool's cap.
func largestCapExcess(rt *rapid.T, shares sharesFunc) float64 {
	pools := rapid.IntRange(2, 4).Draw(rt, "pools")
	tb := &table.Tables{Version: 1, AcceptedAt: epoch}
	for i := range pools {
		tb.Pools = append(tb.Pools, table.Pool{
			Name:        string(rune('a' + i)),
			ShiftCap:    rapid.Float64Range(0.02, 0.5).Draw(rt, "cap"),
			ShiftWindow: table.Duration(rapid.IntRange(2, 12).Draw(rt, "window")) * table.Duration(time.Second),
		})
	}
	weight := rapid.IntRange(0, 5)
	draw := func() []int {
		ws := []int{1 + weight.Draw(rt, "first")}
		for len(ws) < pools {
			ws = append(ws, weight.Draw(rt, "weight"))
		}
		return ws
	}
	tb = edit(tb, epoch, draw()...)
	tb.Shifts = nil
	history := map[string][]float64{}
	worst := -1.0
	for second := range 120 {
		now := epoch.Add(time.Duration(second) * time.Second)
		if rapid.IntRange(0, 9).Draw(rt, "event") == 0 {
			tb = edit(tb, now, draw()...)
			tb.Pools[0].Drain = rapid.Bool().Draw(rt, "drain")
		}
		for _, s := range shares(tb, now) {
			worst = max(worst, riseAboveCap(tb.Pool(s.Pool), history[s.Pool], s.Share))
			history[s.Pool] = append(history[s.Pool], s.Share)
		}
	}
	return worst
}

// riseAboveCap returns the largest rise of share within p's window, minus p's cap.
// past has one entry per second.
func riseAboveCap(p *table.Pool, past []float64, share float64) float64 {
	n := min(len(past), int(p.ShiftWindow.Std()/time.Second))
	worst := -1.0
	for _, earlier := range past[len(past)-n:] {
		worst = max(worst, share-earlier-p.ShiftCap)
	}
	return worst
}

func TestPlannedShareNeverRisesByMoreThanCapInAnyWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		planned := func(tb *table.Tables, now time.Time) []PoolShare { return PlannedShares(tb, &tb.Routes[0], now) }
		if worst := largestCapExcess(rt, planned); worst > tolerance {
			rt.Fatalf("a share rose by %v more than its cap", worst)
		}
	})
}

func TestPlannedCapPropertyRejectsImmediateShift(t *testing.T) {
	caught := false
	rapid.Check(t, func(rt *rapid.T) {
		immediate := func(tb *table.Tables, _ time.Time) []PoolShare {
			return PlannedShares(tb, &tb.Routes[0], tb.AcceptedAt.Add(time.Hour))
		}
		caught = caught || largestCapExcess(rt, immediate) > tolerance
	})
	if !caught {
		t.Fatal("the property accepted shares that change to the weights immediately")
	}
}
