package steer

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/decision/retry"
	"github.com/jacinthramp/jacinthramp/pkg/decision/shift"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Core holds the state of the decisions of one instance.
type Core struct {
	self   Self
	seed   atomic.Uint64
	base   atomic.Pointer[time.Time]
	state  atomic.Pointer[state]
	budget *retry.Budget
	poison *poison.Register

	// writeMu serialises the changes of state and of the routes' plans.
	writeMu    sync.Mutex
	reviewedAt time.Time

	wait   waiting
	linger lingerings

	// slotsMade counts the slots, to number them.
	slotsMade atomic.Uint64

	// direct is set by UseDirect.
	direct *directState
}

// New returns a Core that refuses everything until SetTables and SetShares.
func New(self Self, src *rand.PCG) *Core {
	c := &Core{self: self, budget: retry.NewBudget(), poison: poison.New(self.Instance)}
	c.seed.Store(src.Uint64())
	c.state.Store(emptyState())
	c.wait.init()
	return c
}

// Tables returns the tables in force.
func (c *Core) Tables() *table.Tables { return c.state.Load().tables }

// SetTables puts t in force. A version that is not higher is ignored.
// Requests in flight stay counted.
func (c *Core) SetTables(now time.Time, t *table.Tables) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.base.CompareAndSwap(nil, &now)
	old := c.state.Load()
	if t.Version <= old.tables.Version {
		return
	}
	c.state.Store(c.build(now, old, t))
	if c.direct != nil {
		return
	}
	c.review(now)
}

// SetShares replaces the shares; direct dispatch needs none. A share below what is in flight stops new
// work until enough has ended: the giver of a share must see with Demand that
// it is not in use before offering it.
func (c *Core) SetShares(now time.Time, sh Shares) {
	if c.direct != nil {
		return
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	next := *c.state.Load()
	next.expires = sh.Expires
	next.shares = sh
	next.applyShares()
	c.state.Store(&next)
	c.review(now)
}

// ReviewInterval is how often the plans and thresholds are computed.
const ReviewInterval = 100 * time.Millisecond

// Tick returns the waiting requests whose decision is due at now. Call it
// about every 10 ms while requests are Waiting, and every ReviewInterval else.
func (c *Core) Tick(now time.Time) []Wakeup {
	if c.writeMu.TryLock() {
		if now.Sub(c.reviewedAt) >= ReviewInterval {
			c.reviewedAt = now
			c.advance(now)
		}
		c.writeMu.Unlock()
	}
	c.linger.expire(c.nanos(now))
	return c.wake(now)
}

// advance moves on what follows the time. The caller holds the write lock.
func (c *Core) advance(now time.Time) {
	if c.direct != nil {
		c.movePlacements(now)
		return
	}
	c.replan(now)
	c.review(now)
}

// Waiting reports whether any request waits, or has a decision that Tick has
// not returned yet.
func (c *Core) Waiting() bool { return c.wait.count.Load() > 0 }

// replan moves the planned shares on while a ramp lasts.
func (c *Core) replan(now time.Time) {
	st := c.state.Load()
	if now.After(shift.RampEnd(st.tables).Add(2 * ReviewInterval)) {
		return
	}
	for i := range st.tables.Routes {
		row := &st.tables.Routes[i]
		st.routes[row.Name].replan(c, now, st, row)
	}
}

// review brings each pool's capacity and spill threshold up to date.
func (c *Core) review(now time.Time) {
	st := c.state.Load()
	ns := c.nanos(now)
	for _, p := range st.pools {
		if len(p.local) > 0 {
			p.review(ns)
		}
	}
	for _, rt := range st.routes {
		rt.review(c, ns)
	}
}

// nanos returns now on the Core's monotonic scale.
func (c *Core) nanos(now time.Time) int64 {
	base := c.base.Load()
	if base == nil {
		return 0
	}
	// Zero marks "never" in the counters.
	return now.Sub(*base).Nanoseconds() + 1
}

// random returns the next number of a sequence that goroutines may share
// (SplitMix64).
func (c *Core) random() uint64 {
	z := c.seed.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// refuse returns a refusal with the kind's own time to come back.
func refuse(k fault.Kind) Decision {
	return Decision{Kind: k, RetryAfter: k.Info().RetryAfter}
}
