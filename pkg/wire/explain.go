package wire

// Query parameters of PathExplain. A request is named by its route, or by its
// host and path.
const (
	QueryRoute  = "route"
	QueryHost   = "host"
	QueryPath   = "path"
	QueryMethod = "method"
	QueryMember = "member"
)

// Explanation says where an instance would send a request now, and why.
type Explanation struct {
	Instance string `json:"instance"`
	Version  uint64 `json:"version"`
	// Route is the matched route.
	Route string `json:"route"`
	// Verdict is "dispatch", "hop", "wait" or "refuse".
	Verdict string `json:"verdict"`
	Pool    string `json:"pool,omitempty"`
	Target  string `json:"target,omitempty"`
	Zone    string `json:"zone,omitempty"`
	// Kind is the error kind of a refusal.
	Kind string `json:"kind,omitempty"`
	// Pools are the pools that were weighed.
	Pools []PoolExplanation `json:"pools"`
}

// PoolExplanation says how one pool was weighed.
type PoolExplanation struct {
	Pool   string `json:"pool"`
	Region string `json:"region"`
	// Share is the planned fraction of the route's traffic, from 0 to 1.
	Share float64 `json:"share"`
	// Excluded says why nothing goes to the pool; empty when it may be chosen.
	Excluded string `json:"excluded,omitempty"`
	// Targets are those of the instance's own zone; Zones are the others.
	Targets []TargetExplanation `json:"targets,omitempty"`
	Zones   []ZoneExplanation   `json:"zones,omitempty"`
}

// ZoneExplanation says how another zone's part of the pool was weighed.
type ZoneExplanation struct {
	Zone string `json:"zone"`
	// CostMS is what a hop is estimated to take beyond a free slot here, in
	// milliseconds.
	CostMS float64 `json:"cost_ms"`
	// Excluded says why nothing goes to the zone; empty when it may be chosen.
	Excluded string `json:"excluded,omitempty"`
}

// TargetExplanation says how one target was weighed.
type TargetExplanation struct {
	Target string `json:"target"`
	Zone   string `json:"zone"`
	// InFlight counts this instance's requests; Share is how many it may have.
	InFlight int `json:"in_flight"`
	Share    int `json:"share"`
	// Excluded says why nothing goes to the target; empty when it may be chosen.
	Excluded string `json:"excluded,omitempty"`
}
