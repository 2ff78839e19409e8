package wire

// Query parameters of PathExplain besides those of explain.go.
const (
	// QueryObject is the object that the request is about, as callers name it.
	QueryObject = "object"
	// QueryWorkspace is the name of the caller's workspace.
	QueryWorkspace = "workspace"
	// QueryZone is the availability zone of the caller.
	QueryZone = "zone"
)

// RequestExplanation is what would become of a request with direct dispatch.
type RequestExplanation struct {
	Idempotent bool `json:"idempotent"`
	// Priority is that of the workspace, or else of the route.
	Priority string `json:"priority"`
	Service  string `json:"service"`
	// RouteRegions are those that the route allows; empty means all. Regions are those that
	// route and workspace both allow, of the regions with targets of the service.
	RouteRegions []string `json:"route_regions,omitempty"`
	Regions      []string `json:"regions"`
	// Affinity is set if the targets are ranked for the request's object.
	Affinity bool `json:"affinity"`
	// MaxWaitMS is how long the request may wait at a target, in milliseconds.
	MaxWaitMS float64          `json:"max_wait_ms"`
	Room      *RoomExplanation `json:"room,omitempty"`
	// Targets begins with those of the object, by rank, then has the others that may be
	// chosen, by cost, then the excluded ones. MoreTargets is the number of those left out.
	Targets     []CandidateExplanation `json:"targets"`
	MoreTargets int                    `json:"more_targets,omitempty"`
}

// WorkspaceExplanation is what the tables say about a workspace.
type WorkspaceExplanation struct {
	Workspace string `json:"workspace"`
	// Priority is empty if that of the route counts. Regions are empty if all are allowed.
	Priority string            `json:"priority,omitempty"`
	Regions  []string          `json:"regions,omitempty"`
	Quota    *QuotaExplanation `json:"quota,omitempty"`
}

// QuotaExplanation is what the instance knows about the quota of a workspace.
type QuotaExplanation struct {
	// Rate is in requests per second, and Burst the number of requests beyond it, both over
	// all instances.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Owner is the instance that hands out the tokens; empty if it is not known.
	Owner string `json:"owner,omitempty"`
	// Tokens are those that requests at this instance can use at once.
	Tokens float64 `json:"tokens"`
	// Share is the part of the limit that the owner hands out, from 0 to 1. Only the owner
	// knows it.
	Share float64 `json:"share,omitempty"`
	// Verdict is "admit", "ask" (the owner is asked first) or "refuse", and Reason why.
	Verdict string `json:"verdict"`
	Reason  string `json:"reason,omitempty"`
}

// RoomExplanation is the waiting room of the service.
type RoomExplanation struct {
	// Waiting counts the requests that wait at this instance. ServedFirst is set if some of
	// them are about to be sent, which may change what becomes of the request.
	Waiting     int  `json:"waiting"`
	ServedFirst bool `json:"served_first,omitempty"`
	// Full is set if no target has room for the request's rank. Only then the others count:
	// the requests ahead, the expected wait and the longest wait, in milliseconds.
	Full           bool    `json:"full"`
	Ahead          int     `json:"ahead"`
	ExpectedWaitMS float64 `json:"expected_wait_ms"`
	MaxWaitMS      float64 `json:"max_wait_ms"`
}

// CandidateExplanation states how one target was considered.
type CandidateExplanation struct {
	// TargetExplanation has no Share: direct dispatch needs none.
	TargetExplanation
	Region string `json:"region"`
	Slots  int    `json:"slots"`
	// Rank is the target's place among those of the object, from 1, or 0. Warm is set if this
	// instance has sent the object there, Cold while its caches are cold.
	Rank int  `json:"rank,omitempty"`
	Warm bool `json:"warm,omitempty"`
	Cold bool `json:"cold,omitempty"`
	// Others estimates the requests of other instances there, from a report of the age
	// LoadAgeMS, which is negative without a report.
	Others    float64 `json:"others"`
	LoadAgeMS float64 `json:"load_age_ms"`
	// CostMS ranks the targets. It includes WaitMS, the expected wait at the target. NoRoom is
	// set if that is longer than the request may wait.
	CostMS float64 `json:"cost_ms"`
	WaitMS float64 `json:"wait_ms"`
	NoRoom bool    `json:"no_room,omitempty"`
	// Compared is set if a further target of the object is considered although this one has
	// room.
	Compared bool `json:"compared,omitempty"`
	// RateLimit is the announced limit in requests per second from all instances, if RateLimited is set.
	RateLimit   float64 `json:"rate_limit,omitempty"`
	RateLimited bool    `json:"rate_limited,omitempty"`
}

// LookupExplanation names an instance that a look-up would name.
type LookupExplanation struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// Order is as in LookupInstance.
	Order int `json:"order"`
}
