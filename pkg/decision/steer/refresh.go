package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/mechanism"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

const (
	// freshFor is how long what a target reports about its load is taken as it is. Where
	// targets share machines it changes several times a second.
	freshFor = 300 * time.Millisecond
	// minProbeInterval is the minimum time between two probes of a target by requests.
	minProbeInterval = 100 * time.Millisecond
	// slowFactor is the work factor from which some of a target's requests are better
	// sent to a further target of their objects.
	slowFactor = 1.5
)

// TargetToProbe returns the target that r is likely to be sent to if its load should be
// learnt first, and false if r should be decided on what is known. The caller probes it,
// for a multiple of the round trip at most, and calls ObserveLoad before Decide. In a
// large fleet an instance sends a target a request every few seconds, so that what it
// knows from responses is out of date.
//
// Only targets of the own region that report how long work takes are probed, for requests
// about an object, and not by several requests at once.
func (c *Core) TargetToProbe(now time.Time, r *Request) (target string, ok bool) {
	if c.without(mechanism.FreshReports) || c.without(mechanism.ObjectAffinity) || c.direct == nil || r.Pool != "" || r.Attempts > 0 || !r.usesAffinity() {
		return "", false
	}
	snap, ns := c.snapshot.Load(), c.nanos(now)
	if c.bind(snap, r) != fault.KindNone || !c.nearTargetsReportWork(snap, r.Route) {
		return "", false
	}
	rt, ok := snap.routes[r.Route.Name]
	if !ok {
		return "", false
	}
	if r.service == "" {
		r.service = rt.pickService(snap, r)
	}
	c.recordPlacementUse(snap, r, ns)
	var first [1]rankedTarget
	if c.rankTargets(snap, r, ns, first[:]) == 0 || first[0].pool.row.Region != c.self.Region || !first[0].pool.reportsWork.Load() {
		return "", false
	}
	t := first[0].target
	if _, limited := t.limiter.PerSecond(); limited || t.workFactor.isFresh(ns) {
		return "", false
	}
	last := t.probedAt.Load()
	return t.name, (last == 0 || ns-last >= minProbeInterval.Nanoseconds()) && t.probedAt.CompareAndSwap(last, ns)
}

// nearTargetsReportWork reports whether a target of the route in the own region has reported
// how long work takes. Where none has, the targets of an object need not be ranked to learn
// that none is to be probed.
func (c *Core) nearTargetsReportWork(snap *snapshot, row *table.Route) bool {
	for _, w := range row.Pools {
		if p, ok := snap.pools[w.Pool]; ok && p.row.Region == c.self.Region && p.reportsWork.Load() {
			return true
		}
	}
	return false
}

// isFresh reports whether the last report counts as it is.
func (w *workFactor) isFresh(now int64) bool {
	at := w.at.Load()
	return at != 0 && now-at < freshFor.Nanoseconds()
}

// shouldCompare reports whether a further target should be considered for an object whose
// target t has room: t usually has a queue, or work takes longer there now.
func (t *target) shouldCompare(now int64, without mechanism.Set) bool {
	if !without.Has(mechanism.UsualLoad) && t.isCrowded(now) {
		return true
	}
	return !without.Has(mechanism.FreshReports) && t.workFactor.isFresh(now) && t.reportedFactor(now, without) >= slowFactor
}
