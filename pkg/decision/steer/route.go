package steer

import (
	"math"
	"sort"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/choice"
	"github.com/jacinthramp/jacinthramp/pkg/decision/shift"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spill"
	"github.com/jacinthramp/jacinthramp/pkg/decision/split"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// goldenRatio spreads the arrivals of a route evenly over its pools.
const goldenRatio = 0.6180339887498949

// route holds the counters and estimates of one route across table changes.
type route struct {
	arrivals atomic.Int64
	plan     atomic.Pointer[plan]
	meters   map[string]*meter
	// historyApplied is set once the meters account for what the regions served
	// before this instance started, or a shift window has passed. Only
	// applyZoneStatus uses it.
	historyApplied bool
	createdAt      int64
	// warmWork estimates the low end of the service times for objects that this
	// instance has sent to the target before, and coldWork the high end of
	// those for others, for some of which the target is warm through other
	// instances. They are for direct dispatch.
	warmWork choice.Floor
	coldWork choice.Ceiling
	// splitter divides the requests among the route's services, for direct
	// dispatch.
	splitter split.Splitter
	// objects counts the requests about each object.
	objects objectRates
	// bodySize estimates the mean size of request bodies in bytes.
	bodySize choice.MeanSize
}

// meter is a shift meter with the cap and window that it was created for.
type meter struct {
	*shift.Meter
	shiftCap float64
	window   time.Duration
}

// plan divides a route's arrivals at this instance among pools.
type plan struct {
	entries []planEntry
}

// planEntry is one pool of a plan.
type planEntry struct {
	pool  *pool
	meter *meter
	// plannedShare is the pool's planned share of the route over all instances.
	plannedShare float64
	// cumulativeShare is the sum of the shares up to and including this pool's.
	cumulativeShare float64
}

func newRoute(now int64) *route {
	rt := &route{meters: make(map[string]*meter), createdAt: now}
	rt.plan.Store(&plan{})
	return rt
}

// updatePlan computes the plan at now. The caller holds the Core's write lock.
func (rt *route) updatePlan(c *Core, now time.Time, snap *snapshot, row *table.Route) {
	shares := shift.PlannedShares(snap.tables, row, now)
	regionalShares := make([]spill.RegionalShare, len(shares))
	for i, s := range shares {
		regionalShares[i] = spill.RegionalShare{Region: snap.pools[s.Pool].row.Region, Share: s.Share}
	}
	spill.SplitForRegion(regionalShares, c.self.Region)
	next := &plan{entries: make([]planEntry, 0, len(shares))}
	cumulative := 0.0
	for i, s := range shares {
		p := snap.pools[s.Pool]
		if p.row.Drain {
			continue
		}
		if len(p.targets) > 0 {
			p.updateGrowthLimiter(c.nanos(now))
		}
		cumulative += regionalShares[i].Share
		next.entries = append(next.entries, planEntry{pool: p, meter: rt.meterFor(c, now, p, regionalShares[i].Share), plannedShare: s.Share, cumulativeShare: cumulative})
	}
	rt.plan.Store(next)
}

// meterFor returns the meter of p. A new one starts at share; one with a new
// cap starts at the lowest share of the old one.
func (rt *route) meterFor(c *Core, now time.Time, p *pool, share float64) *meter {
	shiftCap, window := p.shiftLimits()
	m, ok := rt.meters[p.row.Name]
	if ok && m.shiftCap == shiftCap && m.window == window {
		return m
	}
	if ok {
		share = m.LowestShare()
	}
	m = &meter{Meter: shift.NewMeter(shiftCap, window, share, c.nanos(now)), shiftCap: shiftCap, window: window}
	rt.meters[p.row.Name] = m
	return m
}

// indexFor returns the index of the pool that the plan assigns to the n-th
// arrival.
func (pl *plan) indexFor(n int64) int {
	_, point := math.Modf(float64(n) * goldenRatio)
	i := sort.Search(len(pl.entries), func(i int) bool { return point < pl.entries[i].cumulativeShare })
	if i == len(pl.entries) {
		return 0
	}
	return i
}

// entryAt returns the i-th entry to try: the planned one, then the others from
// an offset that varies by arrival, so that no single pool gets all that the
// planned one cannot take.
func (pl *plan) entryAt(first, i int, arrivals int64) *planEntry {
	n := len(pl.entries)
	if i == 0 {
		return &pl.entries[first]
	}
	return &pl.entries[(first+1+(i-1+int(arrivals%int64(n-1)))%(n-1))%n]
}
