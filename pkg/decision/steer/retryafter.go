package steer

import "time"

// RetryAfter returns when a caller may come back whose last attempt d was turned away
// by its target, and false when nothing is known of that. It answers two loads. A
// target that turns some requests away while it has free slots may run the same
// request at once; a caller that is told to wait would be late in any case. A target
// whose slots are taken has room once what waits there has been worked off. Where
// it has asked for no requests and r has no other target, that time counts.
func (c *Core) RetryAfter(now time.Time, r *Request, d Decision, load *TargetLoad) (time.Duration, bool) {
	if d.route == nil {
		return 0, false
	}
	if wait, rest, free := c.earliestBackoffEnd(r, c.nanos(now)); rest && !free {
		return c.refuseFor(wait).RetryAfter, true
	}
	if load == nil || load.Slots <= 0 {
		return 0, false
	}
	ahead := max(0, load.Running+load.Waiting+1-load.Slots)
	work := d.route.warmWork.Value(d.poolStats.serviceTime.Value(priorServiceTime))
	return c.refuseOverloaded(work * time.Duration(ahead) / time.Duration(load.Slots)).RetryAfter, true
}
