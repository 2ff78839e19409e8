package steer

import "github.com/jacinthramp/jacinthramp/pkg/table"

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

// TablesNow returns the version of the tables in force, and whether they allow the
// attempt d of r.
func (c *Core) TablesNow(r *Request, d *Decision) (version uint64, allowed bool) {
	snap := c.snapshot.Load()
	version = snap.tables.Version
	return version, r.TablesVersion >= version || c.allows(snap, r, d)
}

// allows reports whether the tables of snap have a route for r that includes the pool
// of d and, with direct dispatch, allows its region.
func (c *Core) allows(snap *snapshot, r *Request, d *Decision) bool {
	row := snap.rowFor(r, d.row.Name)
	p, ok := snap.pools[d.Pool]
	if row == nil || !ok || !c.hasPool(row, d.Pool) {
		return false
	}
	return c.direct == nil || allowsRegion(row.Regions, p.row.Region)
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
