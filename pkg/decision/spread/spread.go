// Package spread decides how new versions of the tables reach every instance:
// which instances poll the store, which versions are accepted, and how often the
// other instances read the store themselves. The package is pure: time and
// randomness are arguments.
package spread

import (
	"math/bits"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerCell is the number of instances of a cell that poll the store.
const WatchersPerCell = 3

// Rank orders ids for a role by rendezvous hashing, so that adding or removing an
// id does not change the order of the others.
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

// RankByLink is Rank with the ids of faster links first. Links whose speeds in Mbit/s have
// equally many binary digits count as equally fast.
func RankByLink(role string, ids []string, mbps map[string]int) []string {
	ranked := Rank(role, ids)
	speed := func(id string) int { return bits.Len(uint(max(0, mbps[id]))) }
	slices.SortStableFunc(ranked, func(a, b string) int { return speed(b) - speed(a) })
	return ranked
}

// Position returns the index of id in ranked, or -1.
func Position(ranked []string, id string) int {
	for i, r := range ranked {
		if r == id {
			return i
		}
	}
	return -1
}

// VersionState tracks the version in force and the newest rejected one. The zero
// value has no version in force.
type VersionState struct {
	inForce  uint64
	rejected uint64
}

// InForce returns the version in force, or zero.
func (v *VersionState) InForce() uint64 { return v.inForce }

// Rejected returns the newest version that could not be read, if it is higher
// than the one in force, or zero.
func (v *VersionState) Rejected() uint64 { return v.rejected }

// ShouldFetch reports whether an announced version should be fetched.
func (v *VersionState) ShouldFetch(version uint64) bool { return version > v.inForce }

// Accept puts version in force if it is higher than the one in force, and reports
// whether it was.
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

// Timing holds the intervals at which an instance reads the tables' head from the
// store.
type Timing struct {
	// WatcherInterval applies to watchers.
	WatcherInterval time.Duration
	// FallbackInterval applies to other instances that hear that their tables are the
	// newest.
	FallbackInterval time.Duration
	// NoWatcherInterval applies to other instances that do not.
	NoWatcherInterval time.Duration
	// StartupInterval applies to other instances while no version is in force.
	StartupInterval time.Duration
	// WatcherTimeout is the age of the last proof that the tables are the newest from
	// which NoWatcherInterval applies.
	WatcherTimeout time.Duration
}

// DefaultTiming returns the intervals for normal use.
func DefaultTiming() Timing {
	return Timing{
		WatcherInterval: 400 * time.Millisecond, FallbackInterval: 60 * time.Second, NoWatcherInterval: 5 * time.Second,
		StartupInterval: 500 * time.Millisecond, WatcherTimeout: 5 * time.Second,
	}
}

// ReadConditions holds what the time of the next read depends on.
type ReadConditions struct {
	// IsWatcher is set when this instance is a watcher.
	IsWatcher bool
	// HasTables is set when a version is in force.
	HasTables bool
	// SinceConfirmed is the time since the tables were last known to be the newest,
	// because this instance or one that it has heard has read the head.
	SinceConfirmed time.Duration
}

// NextInterval returns the time until the next read of the tables' head. rnd is
// uniform in [0, 1) and varies the interval by up to 10% for a watcher and by up
// to 50% for other instances.
func (t Timing) NextInterval(s ReadConditions, rnd float64) time.Duration {
	d := t.FallbackInterval
	switch {
	case s.IsWatcher:
		d = t.WatcherInterval
	case !s.HasTables:
		d = t.StartupInterval
	case s.SinceConfirmed > t.WatcherTimeout:
		d = t.NoWatcherInterval
	}
	if s.IsWatcher {
		return time.Duration(float64(d) * (0.9 + 0.2*rnd))
	}
	return time.Duration(float64(d) * (0.5 + rnd))
}
