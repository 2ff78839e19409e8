package steer

import (
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Match returns the route for host and path in the tables in force, or nil if there is
// none, and the version of these tables; see table.Matcher.Match.
func (c *Core) Match(host, path string) (row *table.Route, version uint64) {
	snap := c.snapshot.Load()
	return snap.matcher.Match(host, path), snap.tables.Version
}

// rowFor returns the row of r's route in the tables of snap, or nil if there is none. A
// request without a path is found by name, the name that its route had before.
func (snap *snapshot) rowFor(r *Request, name string) *table.Route {
	if r.Path == "" {
		return snap.tables.Route(name)
	}
	return snap.matcher.Match(r.Host, r.Path)
}

// bind makes r refer to the row of its route in the tables of snap, unless these are no
// newer than the row that it has, and to its workspace. The kind is fault.KindNone, or that
// of the refusal if these tables have no route for r, one without the pool for which another
// instance has forwarded r, one that does not let r have another attempt
// (fault.KindNoTarget), or no workspace with its key (fault.KindUnknownKey).
func (c *Core) bind(snap *snapshot, r *Request) fault.Kind {
	row := r.Route
	newer := r.TablesVersion < snap.tables.Version
	if newer {
		row = snap.rowFor(r, r.Route.Name)
	}
	if row == nil || newer && r.Pool != "" && !c.hasPool(row, r.Pool) {
		return fault.KindNoTarget
	}
	w, ok := snap.workspaceOf(row, r.Key)
	if !ok {
		return fault.KindUnknownKey
	}
	if newer && !c.bindRoute(snap, r, row) {
		return fault.KindNoTarget
	}
	r.setWorkspace(w)
	return fault.KindNone
}

// bindRoute makes r refer to row, its route in the tables of snap. It reports false if the
// row does not let r have another attempt.
func (c *Core) bindRoute(snap *snapshot, r *Request, row *table.Route) bool {
	idempotent := r.Idempotent && r.mayRepeat(row)
	if !r.mayAttempt(row, idempotent) {
		return false
	}
	r.Route, r.TablesVersion, r.Idempotent = row, snap.tables.Version, idempotent
	if r.service != "" && !c.hasService(snap, row, r.service) {
		r.service = snap.routes[row.Name].pickService(snap, r)
	}
	return true
}

// bindQueued is bind for a request that waits for a slot of the named pool. It returns a
// refusal if r can't be served there any more.
func (c *Core) bindQueued(snap *snapshot, r *Request, pool string) (refusal Decision, ok bool) {
	if kind := c.bind(snap, r); kind != fault.KindNone {
		return refuse(kind), false
	}
	if r.Pool == "" && !c.hasPool(r.Route, pool) {
		return refuse(fault.KindTargetLeaving), false
	}
	return Decision{}, true
}

// bindWaiting is bindQueued for a request that waits in the queue of ps. In the waiting room
// of a service it may go to any pool of that service.
func (c *Core) bindWaiting(snap *snapshot, r *Request, ps *poolStats) (refusal Decision, ok bool) {
	if ps.room == nil {
		return c.bindQueued(snap, r, ps.name)
	}
	if kind := c.bind(snap, r); kind != fault.KindNone {
		return refuse(kind), false
	}
	if r.service != ps.name {
		return refuse(fault.KindTargetLeaving), false
	}
	return Decision{}, true
}

// mayAttempt reports whether row lets r, which is idempotent or not, have another attempt.
func (r *Request) mayAttempt(row *table.Route, idempotent bool) bool {
	if counted := r.Attempts - r.withdrawn; counted > 0 && counted >= attemptLimit(row) {
		return false
	}
	return idempotent || !r.mayHaveRun && !r.hedged
}

// mayRepeat reports whether row lets r, an idempotent request so far, run more than once.
func (r *Request) mayRepeat(row *table.Route) bool {
	return r.Method == "" || row.IsIdempotent(r.Method)
}

// hasService reports whether requests of the route may go to a pool of the named service.
func (c *Core) hasService(snap *snapshot, row *table.Route, name string) bool {
	for _, w := range row.Pools {
		if snap.serviceOf(w.Pool) == name && c.hasPool(row, w.Pool) {
			return true
		}
	}
	return false
}

// TablesNow returns the version of the tables in force, and whether they allow the
// attempt d of r.
func (c *Core) TablesNow(r *Request, d *Decision) (version uint64, allowed bool) {
	snap := c.snapshot.Load()
	version = snap.tables.Version
	if d.TablesVersion >= version {
		// A forwarded request may be based on tables that this instance did not have yet.
		return version, snap.hasCaller(r, d.row, d.Caller)
	}
	return version, c.allows(snap, r, d)
}

// allows reports whether the tables of snap have a route for r that includes the pool
// of d, with direct dispatch also allows its region, and lets r have the attempt, and whether
// r has the same workspace, which allows the region too. Of r it uses only what no decision
// changes.
func (c *Core) allows(snap *snapshot, r *Request, d *Decision) bool {
	row := snap.rowFor(r, d.row.Name)
	p, ok := snap.pools[d.Pool]
	if row == nil || !ok || !c.hasPool(row, d.Pool) || !snap.hasCaller(r, row, d.Caller) {
		return false
	}
	if int(d.attempt) > attemptLimit(row) || d.repeat && !r.mayRepeat(row) {
		return false
	}
	if c.direct == nil {
		return true
	}
	w, _ := snap.workspaceOf(row, r.Key)
	return allowsRegion(row.Regions, p.row.Region) && (w == nil || allowsRegion(w.row.Regions, p.row.Region))
}

// hasPool reports whether requests of the route may go to the named pool. Without
// direct dispatch, a pool with weight 0 has a share while the shares shift to the weights.
func (c *Core) hasPool(row *table.Route, name string) bool {
	for _, w := range row.Pools {
		if w.Pool == name {
			return w.Weight > 0 || c.direct == nil
		}
	}
	return false
}
