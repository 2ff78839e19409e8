package steer

import (
	"sync"

	"github.com/jacinthramp/jacinthramp/pkg/decision/mechanism"
	"github.com/jacinthramp/jacinthramp/pkg/decision/popularity"
)

// objectRates counts the requests of this instance about the objects of a route.
type objectRates struct {
	mu      sync.Mutex
	tracker popularity.Tracker
}

// observe counts a request about the object of r at now.
func (o *objectRates) observe(now int64, r *Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tracker.Observe(now, r.ObjectKey)
}

// perSecond returns the rate of this instance's requests about an object.
func (o *objectRates) perSecond(object uint64) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.PerSecond(object)
}

// countsObject reports whether the object of r may have several targets by its rate.
func (c *Core) countsObject(r *Request) bool {
	return r.usesAffinity() && !c.without(mechanism.PopularObjects) && !c.without(mechanism.FurtherTargets)
}

// targetCount returns how many targets share the requests about the object of r: as many as
// its rate calls for. The instances of a region choose the same targets for an object, and
// callers spread over them, so each takes its own rate for that of the others.
func (c *Core) targetCount(snap *snapshot, r *Request, est estimate) int {
	if !c.countsObject(r) {
		return 1
	}
	perSecond := snap.routes[r.Route.Name].objects.perSecond(r.ObjectKey) * float64(max(1, c.regionMembers.Load()))
	return popularity.Targets(perSecond, est.warmWork, snap.slotsPerTarget(r.service))
}

// slotsPerTarget returns the number of slots of a target of the service, at least 1.
func (snap *snapshot) slotsPerTarget(service string) float64 {
	for _, p := range snap.poolsOf(service) {
		if len(p.targets) > 0 {
			return float64(max(1, p.targets[0].row.Slots))
		}
	}
	return 1
}

// rotate begins the n targets of an object with a random one of them, so that its requests
// are spread over all of them as long as they cost the same.
func (c *Core) rotate(ranked []rankedTarget) {
	if len(ranked) < 2 {
		return
	}
	var turned [popularity.MaxTargets]rankedTarget
	first := int(c.random() % uint64(len(ranked)))
	n := copy(turned[:], ranked[first:])
	copy(turned[n:], ranked[:first])
	copy(ranked, turned[:len(ranked)])
}
