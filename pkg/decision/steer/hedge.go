package steer

import "time"

// routeHedgeDelay returns the least delay before a hedge that follows from the route of
// direct dispatch, or zero. The mean over the pool says little about a route: its other
// routes may take a hundredth of the time, and after a start there is none. A hedge that
// comes too early teaches the object to a second target while all targets have to learn.
func (c *Core) routeHedgeDelay(r *Request, d *Decision) time.Duration {
	if d.route == nil {
		return 0
	}
	return d.networkCost + hedgeFactor*d.route.estimate(r.Route, r.usesAffinity()).warmWork
}
