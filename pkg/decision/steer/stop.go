package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// completionFactor times the expected duration of a request must remain until the stop of
// this instance for the request to be passed on, since service times vary.
const completionFactor = 1.5

// SetStop announces that all requests still in flight at the given time are cut off. From
// now on, requests that are not expected to end before are refused instead of passed on,
// also those that wait: another instance can still serve them.
func (c *Core) SetStop(at time.Time) { c.stopAt.Store(&at) }

// tooLate reports whether a request that is passed on at now, and is expected to take that
// long, is likely to be cut off by the stop at the given time.
func tooLate(now, stop time.Time, expected time.Duration) bool {
	return float64(stop.Sub(now)) < completionFactor*float64(expected)
}

// LatestStart returns the time from which on a request of a route that has not been decided
// on is too late to be passed on, and false unless this instance stops. row and objectKey
// are those of the request.
func (c *Core) LatestStart(row *table.Route, objectKey uint64) (at time.Time, ok bool) {
	stop := c.stopAt.Load()
	if stop == nil {
		return time.Time{}, false
	}
	snap, expected := c.snapshot.Load(), priorServiceTime
	rt, known := snap.routes[row.Name]
	switch {
	case known && c.direct != nil:
		expected = rt.estimate(row, usesAffinity(row, objectKey)).warmWork
	case len(row.Pools) > 0 && snap.pools[row.Pools[0].Pool] != nil:
		expected = snap.pools[row.Pools[0].Pool].serviceTime.Value(priorServiceTime)
	}
	return stop.Add(-time.Duration(completionFactor * float64(expected))), true
}

// outlastsStop reports whether the request is likely to be cut off if d is carried out at
// now.
func (c *Core) outlastsStop(now time.Time, d *Decision) bool {
	stop := c.stopAt.Load()
	return stop != nil && tooLate(now, *stop, c.expectedDuration(d))
}

// expectedDuration estimates the time until the response if d is carried out.
func (c *Core) expectedDuration(d *Decision) time.Duration {
	if d.route == nil {
		if p, ok := c.snapshot.Load().pools[d.Pool]; ok {
			return p.serviceTime.Value(priorServiceTime)
		}
		return priorServiceTime
	}
	estimate := d.route.estimate(d.row, d.affinity)
	work := estimate.coldWork
	if d.warm {
		work = estimate.warmWork
	}
	return d.expectedWait + d.networkCost + work
}

// refuseIfOutlastsStop returns d, or a refusal if the request is likely to be cut off.
func (c *Core) refuseIfOutlastsStop(now time.Time, d Decision) Decision {
	if d.Verdict != Dispatch && d.Verdict != Hop || !c.outlastsStop(now, &d) {
		return d
	}
	d.release()
	if d.zoneStats != nil {
		d.zoneStats.inFlight.Add(-1)
	}
	return refuse(fault.KindLeaving)
}

// refuseQueuedBeforeStop refuses the queued requests of p once they are likely to be cut
// off even if they are passed on now. The caller holds the mutex of the wait queues.
func (c *Core) refuseQueuedBeforeStop(snap *snapshot, p *poolStats, now time.Time) {
	stop := c.stopAt.Load()
	switch {
	case stop == nil:
	case p.room != nil:
		c.refuseRoomBeforeStop(snap, p.room, now, *stop)
	case tooLate(now, *stop, p.serviceTime.Value(priorServiceTime)):
		for p.queue.Len() > 0 {
			c.waitQueues.resolve(p.queue.Pop(), refuse(fault.KindLeaving))
		}
	}
}

// refuseRoomBeforeStop refuses the requests in the room that are too late to be passed on. The
// routes of a service differ in how long their requests take.
func (c *Core) refuseRoomBeforeStop(snap *snapshot, rm *room, now, stop time.Time) {
	for _, item := range rm.queue.Items() {
		r := item.Value.(*Request)
		if rt, ok := snap.routes[r.Route.Name]; ok && tooLate(now, stop, c.estimateFor(rt, now, r).warmWork) {
			rm.queue.Remove(item.Ticket)
			c.waitQueues.resolve(item, refuse(fault.KindLeaving))
		}
	}
}

// MustNotSend reports whether r, which was to be passed on by the decision d and of which
// no byte has been sent, must not be sent at now: the tables in force do not allow it, its
// target has begun to leave, or this instance is about to stop. Another call of Decide then
// chooses again.
func (c *Core) MustNotSend(now time.Time, r *Request, d *Decision) bool {
	if _, allowed := c.TablesNow(r, d); !allowed {
		return true
	}
	return c.TargetLeaving(d) || c.outlastsStop(now, d)
}
