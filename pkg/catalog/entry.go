// Package catalog stores the entries that operators and targets write to the
// platform, and assembles the routing tables from them: routes and services come
// from the operators, and targets register themselves. The package does no I/O, and
// the time is always an argument.
package catalog

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Topic names one ordered sequence of entries.
type Topic int

// The topics.
const (
	// Operators is the topic of the configuration and of evacuated zones.
	Operators Topic = iota
	// Targets is the topic of the targets' registrations.
	Targets
	// TopicCount is the number of topics.
	TopicCount
)

// String returns the name of t as it appears in logs.
func (t Topic) String() string {
	if t == Operators {
		return "operators"
	}
	return "targets"
}

// Entry is one versioned entry of a topic. Unless it is removed, at most one of
// Config, EvacuatedZone and Target is set. An entry that could not be read, or that Check
// refuses, has none of them: it is kept for its version, names no target to use, and leaves
// the operators' last word in force.
type Entry struct {
	Topic Topic  `json:"topic"`
	Key   string `json:"key"`
	// Version orders the entries of a topic, also over generations of the store; see
	// VersionOf. A higher version replaces a lower one.
	Version uint64 `json:"version"`
	// Age is the longest time for which the entry may have been in the store; zero if
	// that is not known.
	Age time.Duration `json:"age,omitempty"`
	// Removed marks the removal of the entry.
	Removed bool `json:"removed,omitempty"`
	// Unreadable marks an entry whose content could not be read or makes no sense.
	Unreadable bool `json:"unreadable,omitempty"`
	// RemovalDelay is how much longer a removed target is used. It is set when the
	// target's entry may have expired in an outage and may be written again.
	RemovalDelay time.Duration `json:"lapse_in,omitempty"`
	Config       *Config       `json:"config,omitempty"`
	// Patch takes the place of Config between instances; see Catalog.Patched.
	Patch *ConfigPatch `json:"patch,omitempty"`
	// EvacuatedZone is a zone whose targets must not receive requests.
	EvacuatedZone string  `json:"evacuate,omitempty"`
	Target        *Target `json:"target,omitempty"`
}

// Config is a configuration that operators have accepted.
type Config struct {
	// Version is the number that operators gave the configuration. It is
	// independent of the version of its entry.
	Version uint64 `json:"version"`
	// Routes refer to services where table.Route refers to pools.
	Routes   []table.Route `json:"routes"`
	Services []Service     `json:"services"`
	// Workspaces are those of the tables.
	Workspaces []table.Workspace `json:"workspaces,omitempty"`
}

// Service is a group of interchangeable targets over all regions.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	// Connections bounds the number of open connections to one target.
	Connections int `json:"connections"`
	// ColdRate is the rate that a cold target tolerates, in requests per second.
	ColdRate float64 `json:"cold_rate"`
	// ColdDuration is how long a target stays cold after its start.
	ColdDuration time.Duration `json:"cold_start"`
}

// Target is a target's registration.
type Target struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Slots   int    `json:"slots"`
	// Draining is set when the target is leaving.
	Draining bool `json:"draining,omitempty"`
	// ColdRemaining is how much longer the target expected to be cold when it wrote
	// the entry.
	ColdRemaining time.Duration `json:"cold,omitempty"`
	// StartMillis is when the target started, in Unix milliseconds, or zero if the
	// entry does not state it.
	StartMillis int64 `json:"born,omitempty"`
	// Sequence counts the target's writes since its start.
	Sequence int64 `json:"seq,omitempty"`
}
