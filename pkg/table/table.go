// Package table holds the two tables that operators edit, routes and pools:
// their types, their YAML form, their validation and the difference between
// two versions. It does no I/O.
package table

import "time"

// Tables is one accepted version of both tables. It is immutable once built.
type Tables struct {
	// Version rises by one with every accepted edit. Zero is the empty state
	// before the first edit.
	Version uint64 `yaml:"version" json:"version"`
	// AcceptedAt is the platform's time of acceptance. Planned shifts are
	// computed from it. The platform sets it; edits leave it out.
	AcceptedAt time.Time `yaml:"accepted_at,omitempty" json:"accepted_at"`
	// Routes are the rows of the routes table.
	Routes []Route `yaml:"routes" json:"routes"`
	// Pools are the rows of the pools table.
	Pools []Pool `yaml:"pools" json:"pools"`
	// Regions are the limits that span the pools of a region. They are a
	// section of the pools table.
	Regions []Region `yaml:"regions" json:"regions"`
	// Shifts are the pool shares in force when this version was accepted, by
	// route and pool. The accepting operator's command fills them in, so that
	// the ramp to the new weights is a pure function of this version and time.
	Shifts []Shift `yaml:"shifts,omitempty" json:"shifts,omitempty"`
	// Blocks names the list of callers' blocks; nil means none. It has a file
	// of its own, so that neither table has it in its form.
	Blocks *Blocks `yaml:"-" json:"blocks,omitempty"`
}

// Blocks names a list of blocks of callers' addresses in the object store. It
// is immutable.
type Blocks struct {
	// Object names the content by its hash.
	Object string `json:"object"`
	// Count is the number of blocks, above zero.
	Count int `json:"count"`
	// DeltaBase and Delta name another list and the difference to this one, for
	// those that hold that list. Both are empty when there is no short way.
	DeltaBase string `json:"from,omitempty"`
	Delta     string `json:"delta,omitempty"`
}

// Priority orders requests that wait for the same capacity.
type Priority string

// The priorities, from the first served to the last.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	// PriorityLow waits behind the others, and is never starved.
	PriorityLow Priority = "low"
)

// Idempotency says which requests of a route may run more than once.
type Idempotency string

// The idempotency marks.
const (
	// IdempotentByMethod treats GET, HEAD, OPTIONS, PUT, DELETE and TRACE as
	// idempotent. It is the default.
	IdempotentByMethod Idempotency = "by-method"
	// IdempotentAlways lets every request of the route be retried.
	IdempotentAlways Idempotency = "always"
	// IdempotentNever dispatches every request of the route at most once.
	IdempotentNever Idempotency = "never"
)

// Route is one row of the routes table.
type Route struct {
	// Name identifies the route. Required, unique.
	Name string `yaml:"name" json:"name"`
	// Host matches the request's host without the port. Empty matches any.
	Host string `yaml:"host,omitempty" json:"host,omitempty"`
	// PathPrefix matches the start of the request's path at a segment
	// boundary; the longest match wins. Default "/".
	PathPrefix string `yaml:"path_prefix,omitempty" json:"path_prefix,omitempty"`
	// Pools share the route's traffic by weight. Required, at least one weight above zero.
	Pools []PoolWeight `yaml:"pools" json:"pools"`
	// Idempotency says which requests may be retried. Default "by-method".
	Idempotency Idempotency `yaml:"idempotency,omitempty" json:"idempotency,omitempty"`
	// Priority orders waiting requests. Default "normal".
	Priority Priority `yaml:"priority,omitempty" json:"priority,omitempty"`
	// Timeout is the longest time to the whole answer. A caller may ask for
	// less. Default 10s.
	Timeout Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
	// QueueTimeout is the longest wait for capacity. Default 500ms.
	QueueTimeout Duration `yaml:"queue_timeout,omitempty" json:"queue_timeout,omitempty"`
	// MaxBodyBytes is the largest request body in bytes. Default 64 MiB.
	MaxBodyBytes int64 `yaml:"max_body,omitempty" json:"max_body,omitempty"`
	// LookupTTL is how long a caller may use a look-up answer. Default 5s.
	LookupTTL Duration `yaml:"lookup_ttl,omitempty" json:"lookup_ttl,omitempty"`
	// TargetLatency is the time within which an answer is worth most to its
	// caller. Default: half of Timeout.
	TargetLatency Duration `yaml:"target_latency,omitempty" json:"target_latency,omitempty"`
	// MaxAttempts bounds the targets that one request may be sent to. Default 4.
	MaxAttempts int `yaml:"max_attempts,omitempty" json:"max_attempts,omitempty"`
	// Affinity sends requests that concern the same object to the same few
	// targets. Only direct dispatch heeds it.
	Affinity bool `yaml:"affinity,omitempty" json:"affinity,omitempty"`
	// Regions are the only regions that may serve the route; empty means all.
	// Only direct dispatch heeds it.
	Regions []string `yaml:"regions,omitempty" json:"regions,omitempty"`
}

// PoolWeight is the share of a route's traffic that a pool gets.
type PoolWeight struct {
	// Pool names a row of the pools table.
	Pool string `yaml:"pool" json:"pool"`
	// Weight is relative to the sum of the route's weights; zero sends nothing.
	Weight int `yaml:"weight" json:"weight"`
}

// Pool is one row of the pools table: targets of one region that serve alike.
type Pool struct {
	// Name identifies the pool. Required, unique.
	Name string `yaml:"name" json:"name"`
	// Region is the region of all the pool's targets. Required.
	Region string `yaml:"region" json:"region"`
	// Service groups the pools of several regions that serve alike: direct
	// dispatch chooses among the pools of one service by load and distance.
	// Default: the pool's name.
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
	// ColdRate is the requests a second that a target tolerates while its
	// caches are cold. Default: no bound.
	ColdRate float64 `yaml:"cold_rate,omitempty" json:"cold_rate,omitempty"`
	// ShiftCap is the largest rise of the pool's share of a route's traffic
	// within ShiftWindow, as a fraction above 0 and up to 1. Default 0.1.
	ShiftCap float64 `yaml:"shift_cap,omitempty" json:"shift_cap,omitempty"`
	// ShiftWindow is the window of ShiftCap. Default 10s.
	ShiftWindow Duration `yaml:"shift_window,omitempty" json:"shift_window,omitempty"`
	// Drain stops new work for the whole pool.
	Drain bool `yaml:"drain,omitempty" json:"drain,omitempty"`
	// Targets are the pool's members. Required, at least one.
	Targets []Target `yaml:"targets" json:"targets"`
}

// Target is one back end of a pool.
type Target struct {
	// Name identifies the target. Required, unique over all pools.
	Name string `yaml:"name" json:"name"`
	// Address is the target's IP address and port. Required.
	Address string `yaml:"address" json:"address"`
	// Zone is the availability zone. Required.
	Zone string `yaml:"zone" json:"zone"`
	// Slots is the number of requests the target runs at once. Required, at least 1.
	Slots int `yaml:"slots" json:"slots"`
	// Connections is the largest number of open connections. Default 400.
	Connections int `yaml:"connections,omitempty" json:"connections,omitempty"`
	// Drain stops new work for the target.
	Drain bool `yaml:"drain,omitempty" json:"drain,omitempty"`
	// HealthPath is the path of the target's health endpoint. Default: the
	// system's own.
	HealthPath string `yaml:"health_path,omitempty" json:"health_path,omitempty"`
	// Incarnation changes each time the target starts; only discovery sets it.
	Incarnation string `yaml:"-" json:"-"`
	// ColdUntil ends the time in which the target's caches are cold; only
	// discovery sets it.
	ColdUntil time.Time `yaml:"-" json:"-"`
}

// Region is the limit of one region.
type Region struct {
	// Name identifies the region. Required, unique.
	Name string `yaml:"name" json:"name"`
	// Limit is the largest number of requests in flight in the region over
	// all its pools. Default: the sum of the slots of its targets.
	Limit int `yaml:"limit,omitempty" json:"limit,omitempty"`
	// LinkBytesPerSecond bounds the bytes a second that enter the region from
	// any one other region. Default 500000000 (4 Gbit/s).
	LinkBytesPerSecond int64 `yaml:"link_bytes_per_second,omitempty" json:"link_bytes_per_second,omitempty"`
}

// Shift is the share of a route's traffic that a pool had at acceptance.
type Shift struct {
	Route string `yaml:"route" json:"route"`
	Pool  string `yaml:"pool" json:"pool"`
	// Share is the fraction of the route's traffic, from 0 to 1.
	Share float64 `yaml:"share" json:"share"`
}

// Defaults of the optional fields.
const (
	DefaultTimeout            = 10 * time.Second
	DefaultQueueTimeout       = 500 * time.Millisecond
	DefaultLookupTTL          = 5 * time.Second
	DefaultMaxBodyBytes       = 64 << 20
	DefaultShiftCap           = 0.1
	DefaultShiftWindow        = 10 * time.Second
	DefaultConnections        = 400
	DefaultLinkBytesPerSecond = 500_000_000
	DefaultMaxAttempts        = 4
)

// Duration is a time span written in YAML and JSON as text such as "500ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats d as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText writes d as text such as "500ms".
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads text such as "500ms".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Route returns the row with the given name, or nil.
func (t *Tables) Route(name string) *Route {
	for i := range t.Routes {
		if t.Routes[i].Name == name {
			return &t.Routes[i]
		}
	}
	return nil
}

// Pool returns the row with the given name, or nil.
func (t *Tables) Pool(name string) *Pool {
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			return &t.Pools[i]
		}
	}
	return nil
}

// Region returns the row with the given name, or nil.
func (t *Tables) Region(name string) *Region {
	for i := range t.Regions {
		if t.Regions[i].Name == name {
			return &t.Regions[i]
		}
	}
	return nil
}
