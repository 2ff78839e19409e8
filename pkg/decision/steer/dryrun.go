package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/mechanism"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// dryRunDecision is what Decide would do with a request by direct dispatch.
type dryRunDecision struct {
	Decision
	est  estimate
	best candidate
	// turn is set if the request would wait or be refused in a waiting room, whose number of
	// waiting requests is waiting.
	turn    *turn
	room    bool
	waiting int
	// servedFirst is set if waiting requests would be sent before this one is decided on.
	servedFirst bool
}

// dryRunCore returns a Core that decides by the present state of c and draws the same random
// numbers as c will. Only methods that change nothing but these may be called on it.
func (c *Core) dryRunCore(snap *snapshot) *Core {
	t := &Core{self: c.self, direct: c.direct}
	t.seed.Store(c.seed.Load())
	t.base.Store(c.base.Load())
	t.snapshot.Store(snap)
	t.members.Store(c.members.Load())
	t.regionMembers.Store(c.regionMembers.Load())
	t.stopAt.Store(c.stopAt.Load())
	return t
}

// tryDecide returns what Decide would do with r, the first attempt of a request that no other
// instance has forwarded and that has its workspace. It changes only r.
func (c *Core) tryDecide(snap *snapshot, now time.Time, r *Request) dryRunDecision {
	t := c.dryRunCore(snap)
	if c.without(mechanism.ObjectAffinity) {
		r.ObjectKey = 0
	}
	r.service = snap.routes[r.Route.Name].peekService(snap, r)
	var d dryRunDecision
	if rm := snap.roomOf(r.service); rm != nil {
		c.waitQueues.mu.Lock()
		defer c.waitQueues.mu.Unlock()
		d = t.tryRoom(snap, rm, now, r)
	} else {
		d, _ = t.tryPlace(snap, now, r, t.estimateFor(snap.routes[r.Route.Name], now, r))
	}
	d.setRequest(snap, r)
	if d.Verdict == Dispatch && t.outlastsStop(now, &d.Decision) {
		d.Decision = refuse(fault.KindLeaving)
	}
	return d
}

// tryPlace returns what place would do.
func (c *Core) tryPlace(snap *snapshot, now time.Time, r *Request, est estimate) (d dryRunDecision, full bool) {
	ns := c.nanos(now)
	best := c.cheapestTarget(snap, r, est, ns)
	d = dryRunDecision{est: est, best: best}
	refusal, full, declined := c.decline(snap, r, best, est, ns)
	if declined {
		d.Decision = refusal
		return d, full
	}
	d.Decision = Decision{
		Verdict: Dispatch, Pool: best.pool.name, Target: best.target.row.Name, region: best.pool.region, route: snap.routes[r.Route.Name],
		warm: !r.usesAffinity() || c.direct.history.knows(best.target.serial, r.ObjectKey), expectedWait: best.wait, networkCost: best.networkCost,
	}
	return d, false
}

// tryRoom returns what decideInRoom would do. The caller holds the mutex of the wait queues.
func (c *Core) tryRoom(snap *snapshot, rm *room, now time.Time, r *Request) dryRunDecision {
	servedFirst := c.servesWaiting(snap, rm, now)
	d, full := c.tryPlace(snap, now, r, c.estimateInRoom(snap, rm, now, r))
	d.room, d.waiting, d.servedFirst = true, rm.queue.Len(), servedFirst
	if !full {
		return d
	}
	t := rm.turnOf(c, snap, r)
	d.turn = &t
	if t.late(now) > 0 {
		d.Decision, _ = rm.refusalOf(c, now, r, t.expected-max(0, t.until.Sub(now)), t.interval)
		return d
	}
	d.Decision = Decision{Verdict: Wait, Pool: rm.name}
	return d
}

// servesWaiting reports whether serveRoom would send a waiting request.
func (c *Core) servesWaiting(snap *snapshot, rm *room, now time.Time) bool {
	for _, item := range rm.queue.Heads(maxHeadsTried) {
		r := item.Value.(*Request)
		if r.TablesVersion < snap.tables.Version {
			// Its route is to be looked up again first.
			continue
		}
		if d, _ := c.tryPlace(snap, now, r, c.estimateInRoom(snap, rm, now, r)); d.Verdict == Dispatch {
			return true
		}
	}
	return false
}

// requestFor returns the request of q for the route row at now, and the kind of the refusal that
// its caller would get for want of a key.
func (snap *snapshot) requestFor(now time.Time, row *table.Route, q RequestQuery) (*Request, fault.Kind, error) {
	r := &Request{
		Route: row, TablesVersion: snap.tables.Version, Member: q.Member, Idempotent: row.IsIdempotent(q.Method), Method: q.Method,
		ObjectKey: q.ObjectKey, BodyBytes: -1, Arrived: now, Deadline: now.Add(row.Timeout.Std()),
	}
	r.beginWait(now)
	if q.Workspace == "" {
		if snap.keysInUse() && !row.Anonymous {
			return r, fault.KindUnknownKey, nil
		}
		return r, fault.KindNone, nil
	}
	for i := range snap.tables.Workspaces {
		if w := &snap.tables.Workspaces[i]; w.Name == q.Workspace {
			r.setWorkspace(&workspace{row: w, regions: regionsKey(w.Regions)})
			return r, fault.KindNone, nil
		}
	}
	// The error does not repeat the name: it may be a key, given by mistake.
	return nil, fault.KindNone, fault.New(fault.KindBadRequest, "version %d of the tables has no workspace of that name", snap.tables.Version)
}
