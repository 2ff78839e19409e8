package steer

import (
	"slices"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/departure"
)

// heardLeaving states that another instance has passed on a target's notice.
type heardLeaving struct {
	// at is when the target sent the notice, from the instance that passed it on.
	at   int64
	from string
}

// HeardLeaving is a target to which this instance sends no new requests because
// another instance has passed on its notice.
type HeardLeaving struct {
	Target string
	From   string
	// Age is the time since the target's notice.
	Age time.Duration
}

// departures holds what the instances tell each other about leaving targets.
type departures struct {
	mu     sync.Mutex
	ledger *departure.Ledger
	// applied has the targets whose heard field is set.
	applied []*targetStats
	// news are the targets that TakeHeard has not returned yet.
	news []HeardLeaving
}

// LeavingRecords returns the targets' notices to pass on with a message, without
// those in omit; see departure.Ledger.Tell.
func (c *Core) LeavingRecords(now time.Time, with departure.Source, omit []departure.Record) []departure.Record {
	c.departures.mu.Lock()
	defer c.departures.mu.Unlock()
	if c.departures.ledger.Len() == 0 {
		return nil
	}
	c.believeDepartures(now)
	return c.departures.ledger.Tell(now, with, omit)
}

// HearLeaving records the notices that the instance from has passed on.
func (c *Core) HearLeaving(now time.Time, source departure.Source, from string, recs []departure.Record) {
	c.departures.mu.Lock()
	defer c.departures.mu.Unlock()
	snap := c.snapshot.Load()
	for _, rec := range recs {
		if t, ok := snap.targets[rec.Target]; ok {
			c.departures.ledger.Hear(now, source, from, rec, t.departureView())
		}
	}
	c.believeDepartures(now)
}

// TakeHeard returns the targets that have begun to count as leaving since the last
// call because of what other instances have passed on.
func (c *Core) TakeHeard() []HeardLeaving {
	c.departures.mu.Lock()
	defer c.departures.mu.Unlock()
	news := c.departures.news
	c.departures.news = nil
	return news
}

// learnDeparture records the notice that target has sent to this instance, to pass it
// on.
func (c *Core) learnDeparture(now time.Time, target string) {
	t, ok := c.snapshot.Load().targets[target]
	if !ok {
		return
	}
	c.departures.mu.Lock()
	defer c.departures.mu.Unlock()
	c.departures.ledger.Learn(now, t.departureView())
}

// updateDepartures drops the records that no longer apply and applies the others to the
// tables in force.
func (c *Core) updateDepartures(now time.Time) {
	c.departures.mu.Lock()
	defer c.departures.mu.Unlock()
	c.believeDepartures(now)
}

// believeDepartures applies the records to the targets in force. The caller holds
// departures.mu.
func (c *Core) believeDepartures(now time.Time) {
	d := &c.departures
	if d.ledger.Len() == 0 && len(d.applied) == 0 {
		return
	}
	snap := c.snapshot.Load()
	var applied []*targetStats
	for _, b := range d.ledger.Believe(now, snap.departurePools(d.ledger.Targets())) {
		s := snap.targets[b.Target].targetStats
		applied = append(applied, s)
		if s.heard.Load() == nil {
			s.heard.Store(&heardLeaving{at: c.nanos(b.SaidAt), from: b.From})
			d.news = append(d.news, HeardLeaving{Target: b.Target, From: b.From, Age: now.Sub(b.SaidAt)})
		}
	}
	for _, s := range d.applied {
		if !slices.Contains(applied, s) {
			s.heard.Store(nil)
		}
	}
	d.applied = applied
}

// departurePools returns the pools of the named targets.
func (snap *snapshot) departurePools(names []string) [][]departure.Target {
	var pools [][]departure.Target
	seen := make(map[string]bool)
	for _, name := range names {
		t, ok := snap.targets[name]
		if !ok || seen[t.pool] {
			continue
		}
		seen[t.pool] = true
		pools = append(pools, snap.pools[t.pool].departureViews())
	}
	return pools
}

// departureViews returns the pool's targets that this instance dispatches to.
func (p *pool) departureViews() []departure.Target {
	views := make([]departure.Target, len(p.targets))
	for i, t := range p.targets {
		views[i] = t.departureView()
	}
	return views
}

// departureView returns the target as this instance knows it without what others have
// passed on.
func (t *target) departureView() departure.Target {
	v := departure.Target{Name: t.row.Name, Entry: t.row.EntryVersion, Drained: t.drain, Leaving: t.leaving.Load()}
	if incarnation := t.incarnation.Load(); incarnation != nil {
		v.Incarnation = *incarnation
	}
	return v
}
