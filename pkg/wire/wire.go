// Package wire defines the header fields, paths and JSON messages that processes
// exchange over HTTP. It contains declarations only.
package wire

// Header fields between callers, instances and targets.
const (
	// HeaderOutcome is completed, not-run or unknown on every response.
	HeaderOutcome = "Jacinthramp-Outcome"
	// HeaderKind is the error kind of a response that an instance generated itself.
	HeaderKind = "Jacinthramp-Kind"
	// HeaderRetryAfterMS is the time in milliseconds after which the caller may
	// retry. It is sent along with the standard Retry-After in whole seconds.
	HeaderRetryAfterMS = "Jacinthramp-Retry-After-Ms"
	// HeaderRequestID identifies a request, so that a repeat of it is recognized. It
	// is returned on the response. Package outcome defines its format.
	HeaderRequestID = "Jacinthramp-Request-Id"
	// HeaderDeadlineMS is the time left until the complete response, in milliseconds.
	HeaderDeadlineMS = "Jacinthramp-Deadline-Ms"
	// HeaderIdempotent overrides the route's idempotency with "true" or "false".
	HeaderIdempotent = "Jacinthramp-Idempotent"
	// HeaderMember names the member on whose behalf the caller sends the request.
	HeaderMember = "Jacinthramp-Member"
	// HeaderInstance names the instance that sent the response.
	HeaderInstance = "Jacinthramp-Instance"
	// HeaderTarget names the target that sent the response.
	HeaderTarget = "Jacinthramp-Target"
)

// Header fields for the keys of workspaces.
const (
	// HeaderAuthorization holds the caller's key, under the scheme that the dialect names.
	HeaderAuthorization = "Authorization"
	// HeaderChallenge names that scheme on responses with status 401.
	HeaderChallenge = "Www-Authenticate"
	// HeaderWorkspace names the workspace of a request to targets. Only instances set it.
	HeaderWorkspace = "Jacinthramp-Workspace"
)

// SchemeBearer is the scheme of keys under the native dialect.
const SchemeBearer = "Bearer"

// Header fields of requests that an instance forwards to another's hop listener.
const (
	// HeaderHopRoute names the matched route.
	HeaderHopRoute = "Jacinthramp-Hop-Route"
	// HeaderHopPool names the chosen pool.
	HeaderHopPool = "Jacinthramp-Hop-Pool"
	// HeaderHopVersion is the version of the tables on which the decision is based, or by
	// which a repeat is forwarded to its home instance.
	HeaderHopVersion = "Jacinthramp-Hop-Version"
	// HeaderHopKey is the digest of the caller's key, which takes the place of
	// HeaderAuthorization if the tables have workspaces.
	HeaderHopKey = "Jacinthramp-Hop-Key"
	// HeaderHopHome is "true" on a repeat that is forwarded to its home instance,
	// which its request id names. HeaderHopRoute and HeaderHopPool are then absent.
	HeaderHopHome = "Jacinthramp-Hop-Home"
)

// Header fields from targets.
const (
	// HeaderTargetShed is "true" on a response of a target that shed the request
	// without running it.
	HeaderTargetShed = "Jacinthramp-Target-Shed"
	// HeaderTargetLeaving is "true" on responses of a target that is leaving.
	HeaderTargetLeaving = "Jacinthramp-Target-Leaving"
	// HeaderTargetRateLimit is set on the responses of a target that limits its load.
	// It holds the number of requests per second, a decimal number, that the target
	// accepts from all instances together.
	HeaderTargetRateLimit = "Jacinthramp-Target-Rate-Limit"
)

// Paths served to callers.
const (
	// PathLookup returns a LookupAnswer. Its query parameters are "route", or
	// "host" and "path", and optionally QueryClient.
	PathLookup = "/.jacinthramp/v1/lookup"
	// QueryClient is the query parameter with the client address for which to
	// look up instances, if it differs from the caller's own. Resolvers set it
	// when they look up on behalf of others.
	QueryClient = "client"
)

// Paths on the admin listener.
const (
	PathMetrics = "/metrics"
	PathStatus  = "/v1/status"
	PathExplain = "/v1/explain"
	PathReady   = "/v1/ready"
)

// Paths served by targets.
const (
	PathTargetHealth = "/.target/health"
	PathTargetLoad   = "/.target/load"
)

// LookupAnswer is a lookup response: the instances that a caller may use, best first.
type LookupAnswer struct {
	// Version is the version of the tables on which the response is based.
	Version uint64 `json:"version"`
	// Route is the matched route.
	Route string `json:"route"`
	// TTLMS is how long the response may be cached, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
	// Instances are in order of preference.
	Instances []LookupInstance `json:"instances"`
}

// LookupInstance is one instance of a lookup response.
type LookupInstance struct {
	ID string `json:"id"`
	// Address is the IP address and port of the instance's caller listener.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Weight is relative to the weights of the instances with the same Order.
	Weight int `json:"weight"`
	// Order ranks groups of instances. A caller uses a group only if all groups
	// of lower order failed.
	Order int `json:"order"`
	// IDPrefix is the prefix of the id of a non-idempotent request that is first
	// sent to this instance. The caller appends a unique suffix of letters,
	// digits and "-".
	IDPrefix string `json:"id_prefix"`
}

// ErrorBody is the JSON body of an error response that an instance generated itself.
type ErrorBody struct {
	Kind         string `json:"kind"`
	Outcome      string `json:"outcome"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// TargetLoad is a target's load report, served on PathTargetLoad.
type TargetLoad struct {
	// InFlight is the number of requests that are running.
	InFlight int `json:"in_flight"`
	// Slots is the number of requests that may run at once.
	Slots int `json:"slots"`
	// Queued is the number of requests that are waiting inside the target.
	Queued int `json:"queued"`
	// WorkPercent is how long work takes at the target now, in percent of the usual
	// time. Zero means that the target doesn't report it.
	WorkPercent int `json:"work_percent,omitempty"`
	// Leaving is true once the target has begun to stop.
	Leaving bool `json:"leaving"`
	// Incarnation changes each time the target starts.
	Incarnation string `json:"incarnation"`
}

// Status is the status of an instance, served on PathStatus.
type Status struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation string `json:"incarnation"`
	// Version is the version of the tables in force; RejectedVersion is the newest
	// version that the instance could not read, or zero.
	Version         uint64       `json:"version"`
	RejectedVersion uint64       `json:"rejected_version,omitempty"`
	Leaving         bool         `json:"leaving"`
	InFlight        int          `json:"in_flight"`
	Pools           []PoolStatus `json:"pools"`
}

// PoolStatus is the status of one pool as seen by an instance.
type PoolStatus struct {
	Pool     string `json:"pool"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	// Slots is the sum of this instance's slot shares.
	Slots int `json:"slots"`
	// Targets is the number of targets that are not leaving.
	Targets int `json:"targets"`
	// Draining is the number of leaving targets that still have requests in flight.
	Draining int `json:"draining"`
	// MedianLatencyMS and P99LatencyMS are the median and the 99th percentile of
	// the time to the first byte of the latest responses, in milliseconds; zero
	// if there are none.
	MedianLatencyMS float64 `json:"latency_ms,omitempty"`
	P99LatencyMS    float64 `json:"latency_p99_ms,omitempty"`
}
