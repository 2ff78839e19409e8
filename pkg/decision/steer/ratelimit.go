package steer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
)

// rateLimits holds the rate limits that targets have announced, and the instances that
// share them.
type rateLimits struct {
	mu     sync.Mutex
	ledger *ratelimit.Ledger
	// records is the number of records in ledger.
	records atomic.Int64
	// limited has the targets whose limiters have a share.
	limited map[string]limitedTarget
	// reported are the changes that TakeRateLimitReports has not returned yet.
	reported []RateLimitReport
}

// limitedTarget is a target with this instance's share of its limit, and the instances
// and the pool from which the share follows.
type limitedTarget struct {
	stats   *targetStats
	members *ratelimit.Members
	pool    *pool
	share   ratelimit.Share
}

// sameInputs reports whether l and o have equal shares of the same limit.
func (l limitedTarget) sameInputs(o limitedTarget) bool {
	return l.stats == o.stats && l.members == o.members && l.pool == o.pool
}

func (r *rateLimits) init() {
	r.ledger = ratelimit.NewLedger()
	r.limited = make(map[string]limitedTarget)
}

// RateLimitReport is a change of a target's rate limit that a peer has reported.
type RateLimitReport struct {
	Target     string
	ReportedBy string
	// PerSecond is the limit in requests per second. Ended is set when there is none
	// any more.
	PerSecond float64
	Ended     bool
}

// SetInstances sets the instances, including this one, that share what is limited for all
// of them together: the rate limits of targets, the rate of cold targets and the retry
// budget. complete is false as long as this instance may not have heard of all of them.
func (c *Core) SetInstances(now time.Time, list []ratelimit.Member, complete bool) {
	members := ratelimit.NewMembers(c.self.Instance, list, complete)
	if old := c.members.Load(); old != nil && old.Equal(members) {
		return
	}
	c.members.Store(members)
	c.regionMembers.Store(int64(members.CountInRegion(c.self.Region)))
	c.updateRateLimits(now)
	if c.direct == nil {
		return
	}
	c.direct.mu.Lock()
	defer c.direct.mu.Unlock()
	for _, b := range c.direct.budgets {
		c.configureBudget(b)
	}
}

// ObserveRateLimit records what a response of the target of d says about the target's
// rate limit. It reports whether the limit has changed.
func (c *Core) ObserveRateLimit(now time.Time, d Decision, n ratelimit.Notice) (changed bool) {
	r := &c.rateLimits
	if d.targetStats == nil || n.State == ratelimit.Unknown || n.State == ratelimit.Unlimited && r.records.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := c.snapshot.Load().targets[d.Target]
	if !ok || t.targetStats != d.targetStats {
		return false
	}
	sentAt := now.Add(-time.Duration(c.nanos(now) - d.dispatchedAt))
	changed = r.ledger.Observe(now, sentAt, t.identity(), n)
	if changed {
		c.applyRateLimits(now)
	}
	return changed
}

// RateLimitRecords returns the targets' rate limits to send with a message to another
// instance, without those in omit; see ratelimit.Ledger.Export.
func (c *Core) RateLimitRecords(now time.Time, omit []ratelimit.Record) []ratelimit.Record {
	r := &c.rateLimits
	if r.records.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Export(now, omit)
}

// MergeRateLimits records the rate limits that the peer reportedBy has sent.
func (c *Core) MergeRateLimits(now time.Time, reportedBy string, recs []ratelimit.Record) {
	r := &c.rateLimits
	r.mu.Lock()
	defer r.mu.Unlock()
	snap := c.snapshot.Load()
	for _, rec := range recs {
		t, ok := snap.targets[rec.Target]
		if ok && r.ledger.Merge(now, rec, t.identity()) {
			r.reported = append(r.reported, RateLimitReport{Target: rec.Target, ReportedBy: reportedBy, PerSecond: rec.PerSecond, Ended: rec.Ended})
		}
	}
	c.applyRateLimits(now)
}

// TakeRateLimitReports returns the changes of rate limits that peers have reported since
// the last call.
func (c *Core) TakeRateLimitReports() []RateLimitReport {
	r := &c.rateLimits
	r.mu.Lock()
	defer r.mu.Unlock()
	reports := r.reported
	r.reported = nil
	return reports
}

// updateRateLimits applies the rate limits to the tables and instances in force.
func (c *Core) updateRateLimits(now time.Time) {
	if c.rateLimits.records.Load() == 0 {
		return
	}
	c.rateLimits.mu.Lock()
	defer c.rateLimits.mu.Unlock()
	c.applyRateLimits(now)
}

// applyRateLimits drops obsolete records and gives the limiters of the targets this
// instance's shares. The caller holds rateLimits.mu.
func (c *Core) applyRateLimits(now time.Time) {
	r := &c.rateLimits
	snap := c.snapshot.Load()
	limits := r.ledger.Limits(now, func(name string) (string, bool) {
		t, ok := snap.targets[name]
		if !ok {
			return "", false
		}
		return t.identity().Incarnation, true
	})
	r.records.Store(int64(r.ledger.Len()))
	for name, l := range r.limited {
		if t, ok := snap.targets[name]; !ok || t.targetStats != l.stats || !hasKey(limits, name) {
			l.stats.limiter.Clear()
			delete(r.limited, name)
		}
	}
	for name, known := range limits {
		l := c.shareOf(snap, snap.targets[name], known.PerSecond)
		l.stats.limiter.Set(c.nanos(now), c.nanos(known.HeardAt), l.share)
		r.limited[name] = l
	}
}

func hasKey[V any](m map[string]V, key string) bool {
	_, ok := m[key]
	return ok
}

// shareOf returns t with this instance's share of its limit. The caller holds
// rateLimits.mu.
func (c *Core) shareOf(snap *snapshot, t *target, perSecond float64) limitedTarget {
	l := limitedTarget{stats: t.targetStats, members: c.members.Load(), pool: snap.pools[t.pool]}
	if old := c.rateLimits.limited[t.row.Name]; old.sameInputs(l) && old.share.PerSecond == perSecond {
		return old
	}
	dispatchers, shared := l.members, ratelimit.Target{Hash: t.hash}
	if c.direct != nil {
		shared.Demand, shared.OtherDemand = regionDemand(snap.poolsOf(l.pool.row.Service), l.pool, c.locationWeights())
	} else {
		// Only the instances of its zone dispatch to the target.
		dispatchers = dispatchers.InZone(t.row.Zone)
	}
	l.share = dispatchers.Share(shared, perSecond)
	return l
}

// regionDemand returns the fraction of the objects of each region's callers that are
// placed in p, one of the pools of a service. other is that of a region without a pool of
// the service.
func regionDemand(pools []*pool, p *pool, weigh weightFunc) (demand map[string]float64, other float64) {
	slots := make([]float64, len(pools))
	for i := range pools {
		slots[i] = pools[i].undrainedSlots()
	}
	at := slices.Index(pools, p)
	demand = make(map[string]float64, len(pools))
	for own, from := range pools {
		demand[from.row.Region] = fractionAt(at, slots, weigh(slots, own))
	}
	return demand, fractionAt(at, slots, weigh(slots, -1))
}

// fractionAt returns the fraction of the weighted slots that are at the index at.
func fractionAt(at int, slots, weights []float64) float64 {
	total := 0.0
	for i, weight := range weights {
		total += weight * slots[i]
	}
	if total == 0 {
		return 0
	}
	return weights[at] * slots[at] / total
}

// identity returns the target's name and incarnation as this instance knows them.
func (t *target) identity() ratelimit.Identity {
	id := ratelimit.Identity{Name: t.row.Name}
	if incarnation := t.incarnation.Load(); incarnation != nil {
		id.Incarnation = *incarnation
	}
	return id
}

// RateLimit returns the rate limit of the decision's target in requests per second, as
// it was known at the decision. It reports false without a limit.
func (d *Decision) RateLimit() (perSecond float64, limited bool) {
	return d.Diagnostics.RateLimit, d.Diagnostics.RateLimited
}
