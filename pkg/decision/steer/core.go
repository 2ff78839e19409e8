package steer

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Core holds the state of the decisions of one instance.
type Core struct {
	self  Self
	rand  func() uint64
	state atomic.Pointer[state]
}

// slot counts the requests in flight to one target from this instance.
type slot struct {
	target   table.Target
	pool     string
	share    atomic.Int64
	inFlight atomic.Int64
	leaving  atomic.Bool
}

// state is an immutable snapshot of the tables and the targets.
type state struct {
	tables  *table.Tables
	slots   map[string]*slot
	expires time.Time
}

// New returns a Core that refuses everything until SetTables and SetShares.
func New(self Self, src *rand.PCG) *Core {
	c := &Core{self: self, rand: src.Uint64}
	c.state.Store(&state{tables: &table.Tables{}, slots: map[string]*slot{}})
	return c
}

// Tables returns the tables in force.
func (c *Core) Tables() *table.Tables { return c.state.Load().tables }

// SetTables puts t in force. A version that is not higher is ignored.
func (c *Core) SetTables(_ time.Time, t *table.Tables) {
	old := c.state.Load()
	if t.Version <= old.tables.Version {
		return
	}
	slots := make(map[string]*slot)
	for _, p := range t.Pools {
		for _, tg := range p.Targets {
			s := &slot{target: tg, pool: p.Name}
			if prev, ok := old.slots[tg.Name]; ok {
				s.share.Store(prev.share.Load())
				s.inFlight.Store(prev.inFlight.Load())
			}
			s.leaving.Store(tg.Drain || p.Drain)
			slots[tg.Name] = s
		}
	}
	c.state.Store(&state{tables: t, slots: slots, expires: old.expires})
}

// SetShares replaces the shares.
func (c *Core) SetShares(_ time.Time, sh Shares) {
	old := c.state.Load()
	for name, s := range old.slots {
		s.share.Store(int64(sh.Slots[name]))
	}
	next := *old
	next.expires = sh.Expires
	c.state.Store(&next)
}

// Decide chooses what happens to r at now. A Dispatch or Hop must be followed
// by Done.
func (c *Core) Decide(now time.Time, r *Request) Decision {
	if !now.Before(r.Deadline) {
		return Decision{Kind: fault.KindDeadlinePassed}
	}
	st := c.state.Load()
	best := c.leastLoaded(st, r)
	if best != nil && now.Before(st.expires) {
		best.inFlight.Add(1)
		return Decision{Verdict: Dispatch, Pool: best.pool, Target: best.target.Name, Address: best.target.Address, slot: best}
	}
	if r.Pool == "" {
		if d, ok := c.hop(st, r); ok {
			return d
		}
	}
	return Decision{Kind: fault.KindOverloaded, RetryAfter: fault.KindOverloaded.Answer().RetryAfter}
}

// leastLoaded returns the target of this zone with the most free share.
func (c *Core) leastLoaded(st *state, r *Request) *slot {
	var best *slot
	var bestFree int64
	for _, w := range r.Route.Pools {
		if w.Weight == 0 || (r.Pool != "" && r.Pool != w.Pool) {
			continue
		}
		for _, tg := range st.tables.Pool(w.Pool).Targets {
			s := st.slots[tg.Name]
			if tg.Zone != c.self.Zone || s.leaving.Load() || r.Excluded(tg.Name) {
				continue
			}
			free := s.share.Load() - s.inFlight.Load()
			if free > bestFree {
				best, bestFree = s, free
			}
		}
	}
	return best
}

// hop returns a random other zone with targets of the route.
func (c *Core) hop(st *state, r *Request) (Decision, bool) {
	var found Decision
	var n uint64
	for _, w := range r.Route.Pools {
		if w.Weight == 0 {
			continue
		}
		for _, tg := range st.tables.Pool(w.Pool).Targets {
			if tg.Zone == c.self.Zone || r.Excluded(tg.Zone) || st.slots[tg.Name].leaving.Load() {
				continue
			}
			n++
			if c.rand()%n == 0 {
				found = Decision{Verdict: Hop, Pool: w.Pool, Zone: tg.Zone}
			}
		}
	}
	return found, n > 0
}

// Done gives back what d took and returns the waiting requests that may now
// proceed.
func (c *Core) Done(_ time.Time, d Decision, res Result) []Wakeup {
	if d.slot != nil {
		d.slot.inFlight.Add(-1)
		if res.Leaving {
			d.slot.leaving.Store(true)
		}
	}
	return nil
}

// Cancel takes a waiting request out. It reports false when its Wakeup has
// been returned already; the shell must then use that decision.
func (c *Core) Cancel(_ time.Time, _ uint64) bool { return false }

// Tick returns the waiting requests whose decision is due at now.
func (c *Core) Tick(_ time.Time) []Wakeup { return nil }

// ObserveLoad takes in a target's report.
func (c *Core) ObserveLoad(_ time.Time, rep LoadReport) {
	if s, ok := c.state.Load().slots[rep.Target]; ok && rep.Leaving {
		s.leaving.Store(true)
	}
}

// ObserveZone takes in another zone's summary.
func (c *Core) ObserveZone(_ time.Time, _ ZoneSummary) {}

// MayRetry reports whether r may be decided again after an attempt that ended
// with res: only when it is idempotent or was not run, within the attempts,
// the deadline and the retry budget.
func (c *Core) MayRetry(now time.Time, r *Request, res Result) bool {
	if res.Kind == fault.KindNone || r.Attempts >= maxAttempts || !now.Before(r.Deadline) {
		return false
	}
	return r.Idempotent || res.Kind.Answer().Outcome == fault.NotRun
}
