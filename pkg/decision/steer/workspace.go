package steer

import (
	"github.com/jacinthramp/jacinthramp/pkg/decision/queue"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Caller is on whose behalf a request is sent.
type Caller struct {
	// KeysInUse states that the tables have workspaces. The key of the request is then not
	// passed on.
	KeysInUse bool
	// Workspace is the name of the workspace that has the key; empty without one.
	Workspace string
}

// workspace is a row of the workspaces section.
type workspace struct {
	row *table.Workspace
	// regions is the regionsKey of its regions.
	regions string
}

// workspaceIndex holds the workspaces by the digests of their keys.
type workspaceIndex map[table.KeyDigest]*workspace

func newWorkspaceIndex(t *table.Tables) workspaceIndex {
	index := make(workspaceIndex, len(t.Workspaces))
	for i := range t.Workspaces {
		w := &workspace{row: &t.Workspaces[i], regions: regionsKey(t.Workspaces[i].Regions)}
		for _, key := range w.row.Keys {
			index[key] = w
		}
	}
	return index
}

// keysInUse reports whether requests need a key of a workspace.
func (snap *snapshot) keysInUse() bool { return len(snap.tables.Workspaces) > 0 }

// workspaceOf returns the workspace that has key, or nil without one. ok is false if row
// accepts only requests of workspaces.
func (snap *snapshot) workspaceOf(row *table.Route, key table.KeyDigest) (w *workspace, ok bool) {
	if !snap.keysInUse() {
		return nil, true
	}
	w = snap.workspaces[key]
	return w, w != nil || row.Anonymous
}

// Identify sets the workspace of r, which no decision has been made on yet, by the tables in
// force. The kind is fault.KindNone, or the refusal of a request that these don't serve:
// fault.KindUnknownKey, or fault.KindNoTarget if its route is gone. keysInUse reports whether
// they have workspaces.
func (c *Core) Identify(r *Request) (keysInUse bool, refusal fault.Kind) {
	snap := c.snapshot.Load()
	return snap.keysInUse(), c.bind(snap, r)
}

// setWorkspace sets the workspace of r; nil means none.
func (r *Request) setWorkspace(w *workspace) {
	r.Workspace, r.workspaceRegions = nil, ""
	if w != nil {
		r.Workspace, r.workspaceRegions = w.row, w.regions
	}
}

// caller returns on whose behalf r is sent under the tables of snap.
func (r *Request) caller(snap *snapshot) Caller {
	c := Caller{KeysInUse: snap.keysInUse()}
	if r.Workspace != nil {
		c.Workspace = r.Workspace.Name
	}
	return c
}

// hasCaller reports whether the tables of snap say the same about the caller of r, whose
// route is row, as those of a decision that names d.
func (snap *snapshot) hasCaller(r *Request, row *table.Route, d Caller) bool {
	w, ok := snap.workspaceOf(row, r.Key)
	if !ok || d.KeysInUse != snap.keysInUse() {
		return false
	}
	if w == nil {
		return d.Workspace == ""
	}
	return d.Workspace == w.row.Name
}

// Priority returns the priority of r: that of its workspace, or else of its route.
func (r *Request) Priority() table.Priority {
	if r.Workspace != nil && r.Workspace.Priority != "" {
		return r.Workspace.Priority
	}
	return r.Route.Priority
}

// class returns the queueing class of r.
func (r *Request) class() queue.Class { return classOf(r.Priority()) }

// classOf maps a priority to its queueing class.
func classOf(p table.Priority) queue.Class {
	switch p {
	case table.PriorityHigh:
		return queue.High
	case table.PriorityLow:
		return queue.Low
	default:
		return queue.Normal
	}
}

// fairnessName returns the name under which capacity is shared out to r under the tables of
// snap: that of its turns in a waiting room if they have workspaces, else that of its member.
func (r *Request) fairnessName(snap *snapshot) string {
	if snap.keysInUse() {
		return r.roomFlow()
	}
	return r.Member
}

// mayUseRegion reports whether the route and the workspace of r allow the region.
func (r *Request) mayUseRegion(region string) bool {
	return allowsRegion(r.Route.Regions, region) && (r.Workspace == nil || allowsRegion(r.Workspace.Regions, region))
}

// regionLimits are the regionsKeys of a route's and a workspace's regions.
type regionLimits struct{ route, workspace string }

// commonRegions maps the limits of routes and workspaces that both allow only some regions
// to the regionsKey of those that they have in common. Limits without any are missing.
type commonRegions map[regionLimits]string

// allowedRegions returns the regionsKey of the regions that r may use. ok is false if there
// is none.
func (snap *snapshot) allowedRegions(r *Request) (key string, ok bool) {
	switch route := snap.routeRegionsKey(r.Route); {
	case r.workspaceRegions == "":
		return route, true
	case route == "":
		return r.workspaceRegions, true
	default:
		key, ok = snap.commonRegions[regionLimits{route: route, workspace: r.workspaceRegions}]
		return key, ok
	}
}

// routeRegionsKey returns the regionsKey of the regions of row.
func (snap *snapshot) routeRegionsKey(row *table.Route) string {
	if key, ok := snap.routeRegions[row]; ok {
		return key
	}
	return regionsKey(row.Regions)
}

// regionsForRequests returns the lists of regions that requests of the route may use, one for
// each different limit of a workspace, and records what they have in common with the route's.
func (snap *snapshot) regionsForRequests(row *table.Route) [][]string {
	if len(row.Regions) > 1 {
		snap.routeRegions[row] = regionsKey(row.Regions)
	}
	lists := [][]string{row.Regions}
	for key, regions := range snap.workspaceRegions {
		if len(row.Regions) == 0 {
			lists = append(lists, regions)
			continue
		}
		if common := intersect(row.Regions, regions); len(common) > 0 {
			snap.commonRegions[regionLimits{route: snap.routeRegionsKey(row), workspace: key}] = regionsKey(common)
			lists = append(lists, common)
		}
	}
	return lists
}

// intersect returns the names of a that b has too.
func intersect(a, b []string) []string {
	var both []string
	for _, name := range a {
		if allowsRegion(b, name) {
			both = append(both, name)
		}
	}
	return both
}
