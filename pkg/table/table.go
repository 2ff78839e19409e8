// Package table defines the two tables that operators edit, routes and pools: their
// types, YAML format, validation, and the differences between versions. It does no I/O.
package table

import (
	"net/http"
	"time"
)

// Tables is one version of both tables. It must not be modified after it is built.
type Tables struct {
	// Version increases by one with every accepted edit. Version zero is empty.
	Version uint64 `yaml:"version" json:"version"`
	// ConfigVersion is the version of the operators' configuration from which discovery has
	// assembled the tables. It is zero for tables that operators edit.
	ConfigVersion uint64 `yaml:"-" json:"-"`
	// AcceptedAt is the platform's time of acceptance. Shifts to new weights are
	// computed from it. Edits leave it out; it is set when the version is loaded.
	AcceptedAt time.Time `yaml:"accepted_at,omitempty" json:"accepted_at"`
	// Routes are the rows of the routes table.
	Routes []Route `yaml:"routes" json:"routes"`
	// Pools are the rows of the pools table.
	Pools []Pool `yaml:"pools" json:"pools"`
	// Regions are the limits that apply to all pools of a region. They are a section of
	// the pools table.
	Regions []Region `yaml:"regions" json:"regions"`
	// Workspaces are the groups of callers that share a quota. They are a section of the
	// routes table. Without any, requests need no key.
	Workspaces []Workspace `yaml:"workspaces,omitempty" json:"workspaces,omitempty"`
	// Shifts are the pool shares in force when this version was accepted, by route and
	// pool. The operator's command that submits the edit computes them, so that the
	// shares during a shift to new weights depend only on this version and the time.
	Shifts []Shift `yaml:"shifts,omitempty" json:"shifts,omitempty"`
	// Blocks refers to the list of callers' address blocks; nil means none. It is not
	// part of the YAML format, because the list has a file of its own.
	Blocks *Blocks `yaml:"-" json:"blocks,omitempty"`
}

// Blocks refers to a list of callers' address blocks in the object store. It must not
// be modified.
type Blocks struct {
	// Object is the name of the object, which contains the hash of the list.
	Object string `json:"object"`
	// Count is the number of blocks, at least 1.
	Count int `json:"count"`
	// Delta is the name of the object with the delta from the list in the object
	// DeltaBase to this list. Instances that have that list read only the delta. Both are
	// empty if there is no delta.
	DeltaBase string `json:"from,omitempty"`
	Delta     string `json:"delta,omitempty"`
}

// Priority determines the order of requests that wait for the same capacity.
type Priority string

// Priorities, from highest to lowest.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	// PriorityLow waits behind the other priorities, but is never starved.
	PriorityLow Priority = "low"
)

// Idempotency determines which requests of a route are idempotent, so that they may be
// retried.
type Idempotency string

// Values of Idempotency.
const (
	// IdempotentByMethod treats GET, HEAD, OPTIONS, PUT, DELETE and TRACE as
	// idempotent. It is the default.
	IdempotentByMethod Idempotency = "by-method"
	// IdempotentAlways treats every request of the route as idempotent.
	IdempotentAlways Idempotency = "always"
	// IdempotentNever treats no request of the route as idempotent: each is dispatched
	// at most once.
	IdempotentNever Idempotency = "never"
)

// Route is one row of the routes table.
type Route struct {
	// Name identifies the route. Required, unique.
	Name string `yaml:"name" json:"name"`
	// Host matches the request's host without the port. Empty matches any.
	Host string `yaml:"host,omitempty" json:"host,omitempty"`
	// PathPrefix matches the start of the request's path, as the caller sends it, at
	// a segment boundary; the longest match wins. "/a" matches /a and /a/b, "/a/"
	// matches /a/b and not /a. Default "/".
	PathPrefix string `yaml:"path_prefix,omitempty" json:"path_prefix,omitempty"`
	// Pools share the route's traffic by weight. Required, at least one weight above 0.
	Pools []PoolWeight `yaml:"pools" json:"pools"`
	// Idempotency determines which requests may be retried. Default "by-method".
	Idempotency Idempotency `yaml:"idempotency,omitempty" json:"idempotency,omitempty"`
	// Priority determines the order of waiting requests. Default "normal".
	Priority Priority `yaml:"priority,omitempty" json:"priority,omitempty"`
	// Timeout is the maximum time until the response is complete. A caller may request
	// a shorter one. Default 10s.
	Timeout Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
	// QueueTimeout is the maximum time that a request waits for capacity. Default 500ms.
	QueueTimeout Duration `yaml:"queue_timeout,omitempty" json:"queue_timeout,omitempty"`
	// MaxBodyBytes is the maximum size of a request body in bytes. Default 64 MiB.
	MaxBodyBytes int64 `yaml:"max_body,omitempty" json:"max_body,omitempty"`
	// LookupTTL is the time for which a caller may use a lookup response. Default 5s.
	LookupTTL Duration `yaml:"lookup_ttl,omitempty" json:"lookup_ttl,omitempty"`
	// TargetLatency is the time within which a response has its full value for the
	// caller. Default: half of Timeout.
	TargetLatency Duration `yaml:"target_latency,omitempty" json:"target_latency,omitempty"`
	// MaxAttempts is the maximum number of targets that one request may be sent to.
	// Default 4.
	MaxAttempts int `yaml:"max_attempts,omitempty" json:"max_attempts,omitempty"`
	// Affinity sends requests for the same object to the same few targets. It has an
	// effect only in direct dispatch.
	Affinity bool `yaml:"affinity,omitempty" json:"affinity,omitempty"`
	// Regions are the regions that may serve the route; empty means all. It has an
	// effect only in direct dispatch.
	Regions []string `yaml:"regions,omitempty" json:"regions,omitempty"`
	// Anonymous serves requests without a workspace's key. It has an effect only if the
	// tables have workspaces.
	Anonymous bool `yaml:"anonymous,omitempty" json:"anonymous,omitempty"`
}

// PoolWeight is the weight of a pool in a route's traffic.
type PoolWeight struct {
	// Pool is the name of a row of the pools table.
	Pool string `yaml:"pool" json:"pool"`
	// Weight is relative to the sum of the route's weights. A pool with weight 0 receives
	// no traffic.
	Weight int `yaml:"weight" json:"weight"`
}

// Pool is one row of the pools table: interchangeable targets in one region.
type Pool struct {
	// Name identifies the pool. Required, unique.
	Name string `yaml:"name" json:"name"`
	// Region is the region of all the pool's targets. Required.
	Region string `yaml:"region" json:"region"`
	// Service groups interchangeable pools of several regions. Direct dispatch selects
	// among the pools of one service by load and distance. Default: the pool's name.
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
	// ColdRate is the maximum rate in requests per second for a target whose caches are
	// cold. Default: unlimited.
	ColdRate float64 `yaml:"cold_rate,omitempty" json:"cold_rate,omitempty"`
	// ShiftCap is the maximum increase of the pool's share of a route's traffic within
	// ShiftWindow, as a fraction above 0 and up to 1. Default 0.1.
	ShiftCap float64 `yaml:"shift_cap,omitempty" json:"shift_cap,omitempty"`
	// ShiftWindow is the period to which ShiftCap applies. Default 10s.
	ShiftWindow Duration `yaml:"shift_window,omitempty" json:"shift_window,omitempty"`
	// Drain excludes all targets of the pool from new requests.
	Drain bool `yaml:"drain,omitempty" json:"drain,omitempty"`
	// Targets are the targets of the pool. Required, at least one.
	Targets []Target `yaml:"targets" json:"targets"`
}

// Target is one backend server of a pool.
type Target struct {
	// Name identifies the target. Required, unique over all pools.
	Name string `yaml:"name" json:"name"`
	// Address is the target's IP address and port. Required.
	Address string `yaml:"address" json:"address"`
	// Zone is the target's availability zone. Required.
	Zone string `yaml:"zone" json:"zone"`
	// Slots is the number of requests that the target processes concurrently. Required,
	// at least 1.
	Slots int `yaml:"slots" json:"slots"`
	// Connections is the maximum number of open connections to the target. Default 400.
	Connections int `yaml:"connections,omitempty" json:"connections,omitempty"`
	// Drain excludes the target from new requests.
	Drain bool `yaml:"drain,omitempty" json:"drain,omitempty"`
	// HealthPath is the path of the target's health endpoint. If it is empty, the default
	// path is used.
	HealthPath string `yaml:"health_path,omitempty" json:"health_path,omitempty"`
	// Incarnation identifies one start of the target. Only discovery sets it.
	Incarnation string `yaml:"-" json:"-"`
	// ColdUntil is the time until which the target's caches are cold. Only discovery
	// sets it.
	ColdUntil time.Time `yaml:"-" json:"-"`
	// EntryVersion is the version of the target's catalog entry. Only discovery sets
	// it.
	EntryVersion uint64 `yaml:"-" json:"-"`
}

// Region holds the limits of one region.
type Region struct {
	// Name identifies the region. Required, unique.
	Name string `yaml:"name" json:"name"`
	// Limit is the maximum number of requests in flight over all pools of the region.
	// Default: the sum of the slots of its targets.
	Limit int `yaml:"limit,omitempty" json:"limit,omitempty"`
	// LinkBytesPerSecond is the maximum rate in bytes per second from any one other
	// region into this region. Default 500000000 (4 Gbit/s).
	LinkBytesPerSecond int64 `yaml:"link_bytes_per_second,omitempty" json:"link_bytes_per_second,omitempty"`
}

// Shift is a pool's share of a route's traffic at the time when the version was
// accepted. The gradual shift to the version's weights starts from it.
type Shift struct {
	Route string `yaml:"route" json:"route"`
	Pool  string `yaml:"pool" json:"pool"`
	// Share is the fraction of the route's traffic, from 0 to 1.
	Share float64 `yaml:"share" json:"share"`
}

// Default values of the optional fields.
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

// Duration is a time.Duration that YAML and JSON represent as text such as "500ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats d like time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText encodes d as text such as "500ms".
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes text such as "500ms".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// IsIdempotent reports whether requests with the given method are idempotent by the
// setting of the route.
func (r *Route) IsIdempotent(method string) bool {
	switch r.Idempotency {
	case IdempotentAlways:
		return true
	case IdempotentNever:
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

// Route returns the route with the given name, or nil.
func (t *Tables) Route(name string) *Route {
	for i := range t.Routes {
		if t.Routes[i].Name == name {
			return &t.Routes[i]
		}
	}
	return nil
}

// Pool returns the pool with the given name, or nil.
func (t *Tables) Pool(name string) *Pool {
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			return &t.Pools[i]
		}
	}
	return nil
}

// Region returns the region with the given name, or nil.
func (t *Tables) Region(name string) *Region {
	for i := range t.Regions {
		if t.Regions[i].Name == name {
			return &t.Regions[i]
		}
	}
	return nil
}
