// Package spread decides how the tables reach every instance: which instances
// watch the store, which versions are taken, and when the others fall back to
// the store. The package is pure: time and randomness are arguments.
package spread

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerCell is the number of instances of a zone that watch the store.
const WatchersPerCell = 3

// Rank orders ids for a role by rendezvous hash, so that the order of those
// that stay does not change when others come or go.
func Rank(role string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	all := make([]scored, len(ids))
	for i, id := range ids {
		all[i] = scored{id: id, score: xxhash.Sum64String(role + "\x00" + id)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].id < all[j].id
	})
	ranked := make([]string, len(all))
	for i, s := range all {
		ranked[i] = s.id
	}
	return ranked
}

// Position returns the place of id in ranked, or -1.
func Position(ranked []string, id string) int {
	for i, r := range ranked {
		if r == id {
			return i
		}
	}
	return -1
}

// VersionState guards the version in force. The zero value has none in force.
type VersionState struct {
	inForce  uint64
	rejected uint64
}

// InForce returns the version in force, or zero.
func (v *VersionState) InForce() uint64 { return v.inForce }

// Rejected returns the newest version that could not be read and is higher
// than the one in force, or zero.
func (v *VersionState) Rejected() uint64 { return v.rejected }

// ShouldFetch reports whether an offered version should be fetched.
func (v *VersionState) ShouldFetch(version uint64) bool { return version > v.inForce }

// Accept puts version in force and reports whether it was higher.
func (v *VersionState) Accept(version uint64) bool {
	if version <= v.inForce {
		return false
	}
	v.inForce = version
	if v.rejected <= version {
		v.rejected = 0
	}
	return true
}

// Reject records that version could not be read.
func (v *VersionState) Reject(version uint64) {
	if version > v.inForce && version > v.rejected {
		v.rejected = version
	}
}

// Timing holds the intervals of reading the store.
type Timing struct {
	// WatcherInterval is the interval of a watcher.
	WatcherInterval time.Duration
	// FallbackInterval is the interval of the others while they hear from a watcher.
	FallbackInterval time.Duration
	// NoWatcherInterval is their interval while they hear from none.
	NoWatcherInterval time.Duration
	// StartupInterval is the interval while no version is in force.
	StartupInterval time.Duration
	// WatcherTimeout is how long after the last word of a watcher an instance counts
	// as hearing from none.
	WatcherTimeout time.Duration
}

// DefaultTiming returns the intervals for normal use.
func DefaultTiming() Timing {
	return Timing{
		WatcherInterval: 400 * time.Millisecond, FallbackInterval: 60 * time.Second, NoWatcherInterval: 5 * time.Second,
		StartupInterval: 500 * time.Millisecond, WatcherTimeout: 5 * time.Second,
	}
}

// ReadConditions is what the next read of the store depends on.
type ReadConditions struct {
	IsWatcher bool
	// HasTables is set when a version is in force.
	HasTables bool
	// SinceWatcherMessage is the time since a watcher was heard from.
	SinceWatcherMessage time.Duration
}

// NextInterval returns the time from one read of the tables' head to the next. rnd is
// uniform in [0, 1) and spreads the interval by half to either side.
func (t Timing) NextInterval(s ReadConditions, rnd float64) time.Duration {
	d := t.FallbackInterval
	switch {
	case s.IsWatcher:
		d = t.WatcherInterval
	case !s.HasTables:
		d = t.StartupInterval
	case s.SinceWatcherMessage > t.WatcherTimeout:
		d = t.NoWatcherInterval
	}
	if s.IsWatcher {
		return time.Duration(float64(d) * (0.9 + 0.2*rnd))
	}
	return time.Duration(float64(d) * (0.5 + rnd))
}
