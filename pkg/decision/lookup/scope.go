package lookup

import (
	"slices"
)

// Scope says from which regions the instances in a response are.
type Scope string

// The scopes of responses.
const (
	// ScopeOwnRegion: at least one instance is of the caller's region.
	ScopeOwnRegion Scope = "own-region"
	// ScopeAllowedRegions: all instances are of other regions that every route allows.
	ScopeAllowedRegions Scope = "allowed-regions"
	// ScopeOtherRegions: all instances are of other regions, and a route does not allow
	// some of these.
	ScopeOtherRegions Scope = "other-regions"
	// ScopeNone: the response names no instance.
	ScopeNone Scope = "none"
)

// ScopeOf returns the scope of a response to caller that names instances.
func ScopeOf(caller Location, allowed AllowedRegions, named []Instance) Scope {
	if len(named) == 0 {
		return ScopeNone
	}
	scope := ScopeAllowedRegions
	for _, in := range named {
		if orderOf(caller, in) != OrderOtherRegion {
			return ScopeOwnRegion
		}
		if !allowed.ByAll(in.Region) {
			scope = ScopeOtherRegions
		}
	}
	return scope
}

// Regions returns the regions of instances, sorted.
func Regions(instances []Instance) []string {
	var out []string
	for _, in := range instances {
		if !slices.Contains(out, in.Region) {
			out = append(out, in.Region)
		}
	}
	slices.Sort(out)
	return out
}

// RegionCount is the number of instances of a region, in all and of those that can't be
// used.
type RegionCount struct{ Listed, Leaving, Unreachable int }

// CountRegion returns the number of instances of a region.
func CountRegion(region string, instances []Instance) RegionCount {
	var c RegionCount
	for _, in := range instances {
		if in.Region != region {
			continue
		}
		c.Listed++
		if in.Leaving {
			c.Leaving++
		}
		if in.Unreachable {
			c.Unreachable++
		}
	}
	return c
}
