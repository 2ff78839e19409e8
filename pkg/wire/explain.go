package wire

// Query parameters of PathExplain. A request is specified by its route, or by its
// host and path.
const (
	QueryRoute  = "route"
	QueryHost   = "host"
	QueryPath   = "path"
	QueryMethod = "method"
	QueryMember = "member"
)

// Explanation is the decision that an instance would make on a request now.
type Explanation struct {
	Instance string `json:"instance"`
	// Version is the version of the tables in force.
	Version uint64 `json:"version"`
	// Route is the matched route.
	Route string `json:"route"`
	// Verdict is "dispatch", "hop", "wait" or "refuse".
	Verdict string `json:"verdict"`
	Pool    string `json:"pool,omitempty"`
	Target  string `json:"target,omitempty"`
	Zone    string `json:"zone,omitempty"`
	// Kind is the error kind of a refusal.
	Kind string `json:"kind,omitempty"`
	// RetryAfterMS is when the caller of a refused request should come back, in
	// milliseconds, or 0.
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
	// Workspace is the workspace of the request, if any.
	Workspace *WorkspaceExplanation `json:"workspace,omitempty"`
	// Request is set with direct dispatch, Pools otherwise. Pools are the pools that were
	// considered.
	Request *RequestExplanation `json:"request,omitempty"`
	Pools   []PoolExplanation   `json:"pools"`
	// LookupZone is the zone of a caller whose look-up would name the instances of Lookup, in
	// the order of preference.
	LookupZone string              `json:"lookup_zone,omitempty"`
	Lookup     []LookupExplanation `json:"lookup,omitempty"`
}

// PoolExplanation states how one pool was considered.
type PoolExplanation struct {
	Pool   string `json:"pool"`
	Region string `json:"region"`
	// Share is the planned fraction of the route's traffic, from 0 to 1.
	Share float64 `json:"share"`
	// Excluded is the reason why the pool receives no requests; empty if the
	// pool is eligible.
	Excluded string `json:"excluded,omitempty"`
	// Targets are the targets in the instance's own zone; Zones are the other
	// zones.
	Targets []TargetExplanation `json:"targets,omitempty"`
	Zones   []ZoneExplanation   `json:"zones,omitempty"`
}

// ZoneExplanation states how the pool's targets in another zone were considered.
type ZoneExplanation struct {
	Zone string `json:"zone"`
	// CostMS is the estimated additional time of a hop to the zone, compared to
	// a free slot in the instance's own zone, in milliseconds.
	CostMS float64 `json:"cost_ms"`
	// Excluded is the reason why the zone receives no requests; empty if the
	// zone is eligible.
	Excluded string `json:"excluded,omitempty"`
}

// TargetExplanation states how one target was considered.
type TargetExplanation struct {
	Target string `json:"target"`
	Zone   string `json:"zone"`
	// InFlight is the number of this instance's requests in flight at the
	// target; Share is the most that it may have.
	InFlight int `json:"in_flight"`
	Share    int `json:"share"`
	// WorkFactor is the target's last report of how long work takes there, as a
	// multiple of the usual time, and WorkFactorAgeMS its age in milliseconds. Both are
	// 0 without a report.
	WorkFactor      float64 `json:"work_factor,omitempty"`
	WorkFactorAgeMS float64 `json:"work_factor_age_ms,omitempty"`
	// Excluded is the reason why the target receives no requests; empty if the
	// target is eligible.
	Excluded string `json:"excluded,omitempty"`
}
