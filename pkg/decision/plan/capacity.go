package plan

import (
	"fmt"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// capacityChanges returns the pools whose usable slots change and the regions whose
// limit changes.
func capacityChanges(old, after *table.Tables) []CapacityChange {
	var cs []CapacityChange
	add := func(row, unit string, a, b int) {
		if a != b {
			cs = append(cs, CapacityChange{Row: row, Unit: unit, Old: a, New: b})
		}
	}
	for _, name := range unionOfNames(old.Pools, after.Pools, func(p table.Pool) string { return p.Name }) {
		add("pool "+name, "usable slots", UsableSlots(old.Pool(name)), UsableSlots(after.Pool(name)))
	}
	for _, name := range unionOfNames(old.Regions, after.Regions, func(r table.Region) string { return r.Name }) {
		add("region "+name, "limit", regionLimit(old, name), regionLimit(after, name))
	}
	return cs
}

// UsableSlots returns the number of slots of p that accept new requests: those of
// targets that are not drained. A nil or drained pool has none.
func UsableSlots(p *table.Pool) int {
	if p == nil || p.Drain {
		return 0
	}
	n := 0
	for _, tg := range p.Targets {
		if !tg.Drain {
			n += tg.Slots
		}
	}
	return n
}

// regionLimit returns the limit of the named region, or 0 when t lacks it.
func regionLimit(t *table.Tables, region string) int {
	if r := t.Region(region); r != nil {
		return r.Limit
	}
	return 0
}

// unionOfNames returns the names of the rows of a, then those that only b has, each
// once.
func unionOfNames[T any](a, b []T, name func(T) string) []string {
	var out []string
	seen := map[string]bool{}
	for _, rows := range [][]T{a, b} {
		for _, row := range rows {
			if n := name(row); !seen[n] {
				seen[n] = true
				out = append(out, n)
			}
		}
	}
	return out
}

// editWarnings describes consequences of the edit that are valid but may be
// unintended.
func editWarnings(old, after *table.Tables) []string {
	var ws []string
	for _, name := range StrandedRoutes(after) {
		ws = append(ws, fmt.Sprintf("route %s: no pool with a weight has an undrained target, so its requests are refused", name))
	}
	used := map[string]bool{}
	for _, r := range after.Routes {
		for _, w := range r.Pools {
			used[w.Pool] = true
		}
	}
	for _, p := range after.Pools {
		if !used[p.Name] {
			ws = append(ws, fmt.Sprintf("pool %s: not used by any route", p.Name))
		}
	}
	if len(old.Workspaces) > 0 && len(after.Workspaces) == 0 {
		ws = append(ws, "no workspace is left: requests need no key, and targets get the callers' fields unchanged")
	}
	return append(ws, undrainedRemovals(old, after)...)
}

// StrandedRoutes returns the names of the routes of t without a usable slot in any
// pool that has a weight.
func StrandedRoutes(t *table.Tables) []string {
	var out []string
	for _, r := range t.Routes {
		usable := 0
		for _, w := range r.Pools {
			if w.Weight > 0 {
				usable += UsableSlots(t.Pool(w.Pool))
			}
		}
		if usable == 0 {
			out = append(out, r.Name)
		}
	}
	return out
}

// undrainedRemovals returns a warning for each target that is removed from the tables
// without having been drained.
func undrainedRemovals(old, after *table.Tables) []string {
	kept := map[string]bool{}
	for _, p := range after.Pools {
		for _, tg := range p.Targets {
			kept[tg.Name] = true
		}
	}
	var ws []string
	for _, p := range old.Pools {
		for _, tg := range p.Targets {
			if !kept[tg.Name] && !tg.Drain && !p.Drain {
				ws = append(ws, fmt.Sprintf("pool %s target %s is removed without being drained first", p.Name, tg.Name))
			}
		}
	}
	return ws
}
