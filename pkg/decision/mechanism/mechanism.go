// Package mechanism names the parts of direct dispatch that operators can switch
// off one by one: to measure what each is worth, or in an emergency that one of
// them causes. Parts that keep a promise to callers or targets, such as the cap on
// shifts, the retry budget and the rate of cold targets, are not among them.
package mechanism

import "slices"

// Mechanism is one part of direct dispatch.
type Mechanism uint8

// The mechanisms. The comment of each states what direct dispatch does when it is
// switched off.
const (
	// ObjectAffinity assigns objects to targets. Without it, requests go to the
	// target of least cost, whatever their object.
	ObjectAffinity Mechanism = iota
	// FurtherTargets lets an object use a second target while its first one is
	// busy. Without it, the object's requests wait or are refused, unless the
	// first target is unavailable.
	FurtherTargets
	// RegionBalance assigns objects to regions by the capacity of each. Without
	// it, objects stay in the region, or zone, in which they arrive, unless it
	// has no target available.
	RegionBalance
	// ZoneBodies keeps the objects of routes with large bodies in a zone. Without
	// it, they are assigned like others.
	ZoneBodies
	// Hedges sends a late idempotent request to a second target. Without it, no
	// request is hedged.
	Hedges
	// Admission refuses a request that would wait at its target for too long.
	// Without it, only requests that would wait beyond their deadline are refused.
	Admission
	// Slowness scales the expected service time of a target by the observed
	// ratio of actual to expected times.
	// Without it, the expected time applies as it is.
	Slowness
	// ReportedWork scales the expected service time of a target by what the target
	// reports about how long work takes there. Without it, the report is only logged.
	ReportedWork
	// FreshReports has an instance ask the target of an object for its load before a
	// request if it has not heard from it lately, where targets report how long work
	// takes. Without it, the instance relies on past responses.
	FreshReports
	// UsualLoad lets an object use its second target while its first one usually
	// reports a queue. Without it, only the last report counts, for as long as it is
	// fresh.
	UsualLoad
	// PopularObjects lets an object have as many targets as its rate calls for. Without
	// it, an object has one target, and a further one while that one is busy.
	PopularObjects
	// BusyPenalty raises the cost of a target by its utilisation. Without it,
	// utilisation adds nothing to the cost beyond the expected wait.
	BusyPenalty
	// FailurePenalty raises the cost of a target by its failure rate. Without it,
	// the failure rate does not change the cost.
	FailurePenalty
	// TargetRetryAfter derives the retry-after time of a request that a target
	// refused from the load of the target. Without it, the default applies.
	TargetRetryAfter

	count
)

// names holds the names of the mechanisms in the settings.
var names = [count]string{
	ObjectAffinity:   "object_affinity",
	FurtherTargets:   "further_targets",
	RegionBalance:    "region_balance",
	ZoneBodies:       "zone_bodies",
	Hedges:           "hedges",
	Admission:        "admission",
	Slowness:         "slowness",
	ReportedWork:     "reported_work",
	FreshReports:     "fresh_reports",
	UsualLoad:        "usual_load",
	PopularObjects:   "popular_objects",
	BusyPenalty:      "busy_penalty",
	FailurePenalty:   "failure_penalty",
	TargetRetryAfter: "target_retry_after",
}

// Names returns the names of all mechanisms.
func Names() []string { return slices.Clone(names[:]) }

// Set is a set of mechanisms. The zero value is empty.
type Set struct{ bits uint32 }

// NewSet returns the set of the given mechanisms.
func NewSet(members ...Mechanism) Set {
	s := Set{}
	for _, m := range members {
		s.bits |= 1 << m
	}
	return s
}

// ParseSet returns the set of the named mechanisms. It reports false and the first
// unknown name if there is one.
func ParseSet(members []string) (set Set, unknown string, ok bool) {
	for _, name := range members {
		i := slices.Index(names[:], name)
		if i < 0 {
			return Set{}, name, false
		}
		set.bits |= 1 << i
	}
	return set, "", true
}

// Has reports whether m is in the set.
func (s Set) Has(m Mechanism) bool { return s.bits&(1<<m) != 0 }
