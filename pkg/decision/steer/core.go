package steer

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/departure"
	"github.com/jacinthramp/jacinthramp/pkg/decision/hashing"
	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
	"github.com/jacinthramp/jacinthramp/pkg/decision/retry"
	"github.com/jacinthramp/jacinthramp/pkg/decision/shift"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Core makes the dispatch decisions of one instance and holds their state.
type Core struct {
	self Self
	seed atomic.Uint64
	// base is the time of the first SetTables, from which nanos counts.
	base     atomic.Pointer[time.Time]
	snapshot atomic.Pointer[snapshot]
	budget   *retry.Budget
	poison   *poison.Tracker

	// writeMu serialises changes of the snapshot and of the routes' plans.
	writeMu      sync.Mutex
	recomputedAt time.Time

	waitQueues waitQueues
	orphans    orphanSet
	departures departures
	rateLimits rateLimits
	// members are the instances that share what is limited for all of them together.
	members atomic.Pointer[ratelimit.Members]
	// regionMembers is the number of these in the region of this instance.
	regionMembers atomic.Int64

	// stopAt is when the requests in flight are cut off; nil unless this instance stops.
	stopAt atomic.Pointer[time.Time]

	// lastSerial is the serial number of the last targetStats created.
	lastSerial atomic.Uint64

	// direct is set by EnableDirect and nil otherwise.
	direct *directState
}

// New returns a Core that refuses all requests until SetTables and SetShares.
func New(self Self, src *rand.PCG) *Core {
	c := &Core{self: self, budget: retry.NewBudget(), poison: poison.New(self.Instance)}
	c.seed.Store(src.Uint64())
	c.snapshot.Store(emptySnapshot())
	c.waitQueues.init()
	c.departures.ledger = departure.NewLedger()
	c.rateLimits.init()
	c.members.Store(ratelimit.NewMembers(self.Instance, nil, false))
	return c
}

// Tables returns the tables in force.
func (c *Core) Tables() *table.Tables { return c.snapshot.Load().tables }

// SetTables puts t in force, unless its version is not higher than the present
// one. Requests in flight stay counted.
func (c *Core) SetTables(now time.Time, t *table.Tables) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.base.CompareAndSwap(nil, &now)
	old := c.snapshot.Load()
	if t.Version <= old.tables.Version {
		return
	}
	c.snapshot.Store(c.buildSnapshot(now, old, t))
	c.updateDepartures(now)
	c.updateRateLimits(now)
	if c.direct != nil {
		return
	}
	c.recompute(now)
}

// SetShares replaces the shares. With direct dispatch it does nothing. When a
// share falls below the requests in flight, new dispatches stop until enough of
// these have ended. A lender must therefore check with Demand that a share is
// unused before it offers that share.
func (c *Core) SetShares(now time.Time, sh Shares) {
	if c.direct != nil {
		return
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	next := *c.snapshot.Load()
	next.expires = sh.Expires
	next.shares = sh
	next.applyShares()
	c.snapshot.Store(&next)
	c.recompute(now)
}

// RecomputeInterval is the interval at which plans and thresholds are
// recomputed.
const RecomputeInterval = 100 * time.Millisecond

// Tick updates the plans, thresholds and placements, at most every
// RecomputeInterval, and returns the decisions on queued requests that can be
// made at now. Call it about every 10 ms while HasWaiting reports true, and
// otherwise every RecomputeInterval.
func (c *Core) Tick(now time.Time) []Wakeup {
	if c.writeMu.TryLock() {
		if now.Sub(c.recomputedAt) >= RecomputeInterval {
			c.recomputedAt = now
			c.advance(now)
		}
		c.writeMu.Unlock()
	}
	c.orphans.releaseExpired(c.nanos(now))
	return c.serveAndCollect(now)
}

// advance updates what depends on the time. The caller holds the write lock.
func (c *Core) advance(now time.Time) {
	c.updateDepartures(now)
	c.updateRateLimits(now)
	if c.direct != nil {
		c.advancePlacements(now)
		c.advanceRooms(now)
		return
	}
	c.updatePlans(now)
	c.recompute(now)
}

// HasWaiting reports whether any request is queued, or has a decision that
// neither Done nor Tick has returned yet.
func (c *Core) HasWaiting() bool { return c.waitQueues.count.Load() > 0 }

// updatePlans recomputes the plans while a ramp of the planned shares lasts.
func (c *Core) updatePlans(now time.Time) {
	snap := c.snapshot.Load()
	if now.After(shift.RampEnd(snap.tables).Add(2 * RecomputeInterval)) {
		return
	}
	for i := range snap.tables.Routes {
		row := &snap.tables.Routes[i]
		snap.routes[row.Name].updatePlan(c, now, snap, row)
	}
}

// recompute updates each pool's usable slots, spill threshold and growth bound,
// and each route's zone status.
func (c *Core) recompute(now time.Time) {
	snap := c.snapshot.Load()
	ns := c.nanos(now)
	for _, p := range snap.pools {
		if len(p.targets) > 0 {
			p.recompute(ns)
		}
	}
	for _, rt := range snap.routes {
		rt.applyZoneStatus(c, ns)
	}
	for _, p := range snap.pools {
		p.applyGrowthBound()
	}
}

// nanos returns now in nanoseconds on the Core's monotonic scale, which starts
// with the first SetTables. In this package, times of type int64 are on such a
// scale.
func (c *Core) nanos(now time.Time) int64 {
	base := c.base.Load()
	if base == nil {
		return 0
	}
	// Zero is reserved for "never".
	return now.Sub(*base).Nanoseconds() + 1
}

// random returns the next number of a SplitMix64 sequence. It may be called
// from several goroutines at once.
func (c *Core) random() uint64 {
	return hashing.Finalize(c.seed.Add(hashing.Increment))
}

// refuse returns a refusal with the default retry-after time of its kind.
func refuse(k fault.Kind) Decision {
	return Decision{Kind: k, RetryAfter: k.Info().RetryAfter}
}
