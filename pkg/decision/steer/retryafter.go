package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/mechanism"
)

// RetryAfter returns how long a caller should wait before it retries, after the
// target refused the last attempt d of its request r and reported load. It
// reports false when no time can be derived.
//
// When all targets for r are in backoff, the result is the time until the first
// of them accepts requests again. A target with free slots that refuses some
// requests may accept the same request at once, and a caller that waited longer
// would get its response too late in any case. A target without free slots has
// capacity again once it has served its queue.
func (c *Core) RetryAfter(now time.Time, r *Request, d Decision, load *TargetLoad) (time.Duration, bool) {
	if d.route == nil || c.without(mechanism.TargetRetryAfter) {
		return 0, false
	}
	if wait, inBackoff, available := c.earliestBackoffEnd(r, c.nanos(now)); inBackoff && !available {
		return c.refuseFor(wait).RetryAfter, true
	}
	if load == nil || load.Slots <= 0 {
		return 0, false
	}
	ahead := max(0, load.Running+load.Waiting+1-load.Slots)
	work := d.route.warmWork.Value(d.poolStats.serviceTime.Value(priorServiceTime))
	queued := work * time.Duration(ahead) / time.Duration(load.Slots)
	if d.room != nil {
		return c.turnAfter(d.room, now, r, queued), true
	}
	return c.refuseOverloaded(queued).RetryAfter, true
}
