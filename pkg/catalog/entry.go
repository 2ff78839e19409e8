// Package catalog keeps the entries that operators and targets have written
// to the platform, and assembles the tables in force from them: routes and
// services come from the operators, targets register themselves. The package
// is pure: the time is an argument, and it does no I/O.
package catalog

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Topic names one ordered sequence of entries.
type Topic int

// The topics.
const (
	// Operators holds the configuration and the evacuations.
	Operators Topic = iota
	// Targets holds the targets' registrations.
	Targets
	// TopicCount is the number of topics.
	TopicCount
)

// String returns the name of t for logs.
func (t Topic) String() string {
	if t == Operators {
		return "operators"
	}
	return "targets"
}

// Entry is one versioned entry. Exactly one of Config, Evacuate and Target is
// set; an entry that can't be read has none, and is kept for its version.
type Entry struct {
	Topic Topic  `json:"topic"`
	Key   string `json:"key"`
	// Version orders the entries of a topic. A higher one replaces a lower.
	Version uint64 `json:"version"`
	// Removed marks the end of the entry.
	Removed bool `json:"removed,omitempty"`
	// RemovalDelay is how much longer a removed target is still to be used: its
	// entry lapsed in an outage, and may be written again.
	RemovalDelay time.Duration `json:"lapse_in,omitempty"`
	Config       *Config       `json:"config,omitempty"`
	// EvacuatedZone is the zone whose targets must get nothing.
	EvacuatedZone string  `json:"evacuate,omitempty"`
	Target        *Target `json:"target,omitempty"`
}

// Config is what operators have accepted.
type Config struct {
	// Version is the operators' own number of this configuration.
	Version uint64 `json:"version"`
	// Routes name services in place of pools.
	Routes   []table.Route `json:"routes"`
	Services []Service     `json:"services"`
}

// Service is a group of targets that serve alike, over all regions.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	// Connections bounds the open connections to one target.
	Connections int `json:"connections"`
	// ColdRate is the requests a second that a cold target tolerates.
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
	// Draining is set once the target has begun to leave.
	Draining bool `json:"draining,omitempty"`
	// ColdRemaining is how much longer the target was cold when it wrote the entry.
	ColdRemaining time.Duration `json:"cold,omitempty"`
	// StartMillis is the time of the target's start in Unix milliseconds; zero when
	// it is not stated.
	StartMillis int64 `json:"born,omitempty"`
}
