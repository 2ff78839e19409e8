// Package wire names what crosses a process boundary over HTTP: header
// fields, paths and JSON messages. It holds no behaviour.
package wire

// Header fields between callers, instances and targets.
const (
	// HeaderOutcome states completed, not-run or unknown on every answer.
	HeaderOutcome = "Jacinthramp-Outcome"
	// HeaderKind names the error kind on an answer that the system made itself.
	HeaderKind = "Jacinthramp-Kind"
	// HeaderRetryAfterMS is the time to come back in milliseconds, beside the
	// standard Retry-After in whole seconds.
	HeaderRetryAfterMS = "Jacinthramp-Retry-After-Ms"
	// HeaderRequestID identifies a request for resubmission. It is echoed on
	// the answer. See package outcome for its form.
	HeaderRequestID = "Jacinthramp-Request-Id"
	// HeaderDeadlineMS is the time left to the whole answer, in milliseconds.
	HeaderDeadlineMS = "Jacinthramp-Deadline-Ms"
	// HeaderIdempotent overrides the route's mark with "true" or "false".
	HeaderIdempotent = "Jacinthramp-Idempotent"
	// HeaderMember names the member on whose behalf the caller asks.
	HeaderMember = "Jacinthramp-Member"
	// HeaderInstance names the instance that answered.
	HeaderInstance = "Jacinthramp-Instance"
	// HeaderTarget names the target that answered.
	HeaderTarget = "Jacinthramp-Target"
)

// Header fields between instances only, on the hop listener.
const (
	// HeaderHopRoute names the matched route.
	HeaderHopRoute = "Jacinthramp-Hop-Route"
	// HeaderHopPool names the chosen pool.
	HeaderHopPool = "Jacinthramp-Hop-Pool"
	// HeaderHopVersion is the table version the choice was made with.
	HeaderHopVersion = "Jacinthramp-Hop-Version"
	// HeaderHopHome is "true" on a repeat that is passed to the instance which
	// its request id names. The other hop fields are then absent.
	HeaderHopHome = "Jacinthramp-Hop-Home"
)

// Header fields from targets.
const (
	// HeaderTargetShed is "true" on an answer of a target that refused the
	// request without running it.
	HeaderTargetShed = "Jacinthramp-Target-Shed"
	// HeaderTargetLeaving is "true" on answers of a target that is leaving.
	HeaderTargetLeaving = "Jacinthramp-Target-Leaving"
)

// Paths served to callers.
const (
	// PathLookup answers which instances to use; query parameters "route", or
	// "host" and "path"; QueryClient names another address than the caller's.
	PathLookup = "/.jacinthramp/v1/lookup"
	// QueryClient is the query parameter with the address that a look-up is
	// for, as a resolver gives it that asks on behalf of others.
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

// LookupAnswer says which instances a caller may use, best first.
type LookupAnswer struct {
	// Version is the table version the answer was made from.
	Version uint64 `json:"version"`
	// Route is the matched route.
	Route string `json:"route"`
	// TTLMS is how long the answer may be used, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
	// Instances are in the order of preference.
	Instances []LookupInstance `json:"instances"`
}

// LookupInstance is one instance of a look-up answer.
type LookupInstance struct {
	ID string `json:"id"`
	// Address is the IP address and port of the caller listener.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Weight is relative to the weights of instances of the same order.
	Weight int `json:"weight"`
	// Order groups instances; lower is better, higher only when the lower failed.
	Order int `json:"order"`
	// IDPrefix starts the id of a non-idempotent request first sent to this
	// instance. The caller appends a unique suffix of letters, digits and "-".
	IDPrefix string `json:"id_prefix"`
}

// ErrorBody is the JSON body of an answer that the system made itself.
type ErrorBody struct {
	Kind         string `json:"kind"`
	Outcome      string `json:"outcome"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// TargetLoad is a target's own report on PathTargetLoad.
type TargetLoad struct {
	// InFlight is the number of requests that run now.
	InFlight int `json:"in_flight"`
	// Slots is the number of requests that may run at once.
	Slots int `json:"slots"`
	// Queued is the number of requests that wait inside the target.
	Queued int `json:"queued"`
	// Leaving is true once the target has begun to stop.
	Leaving bool `json:"leaving"`
	// Incarnation changes each time the target starts.
	Incarnation string `json:"incarnation"`
}

// Status is an instance's own view on PathStatus.
type Status struct {
	ID              string       `json:"id"`
	Zone            string       `json:"zone"`
	Region          string       `json:"region"`
	Incarnation     string       `json:"incarnation"`
	Version         uint64       `json:"version"`
	RejectedVersion uint64       `json:"rejected_version,omitempty"`
	Leaving         bool         `json:"leaving"`
	InFlight        int          `json:"in_flight"`
	Pools           []PoolStatus `json:"pools"`
}

// PoolStatus is an instance's view of one pool.
type PoolStatus struct {
	Pool     string `json:"pool"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	// Slots is the sum of this instance's slot shares.
	Slots int `json:"slots"`
	// Targets counts those that may get new work.
	Targets int `json:"targets"`
	// Draining counts those that are leaving with work in flight.
	Draining int `json:"draining"`
	// MedianLatencyMS is the median and P99LatencyMS the 99th percentile of the time
	// to the first byte of the latest answers, in milliseconds; zero when
	// there are none.
	MedianLatencyMS float64 `json:"latency_ms,omitempty"`
	P99LatencyMS    float64 `json:"latency_p99_ms,omitempty"`
}
