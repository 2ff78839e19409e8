package plan

import (
	"fmt"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// capacities compares the slots of the pools and the limits of the regions.
func capacities(old, after *table.Tables) []CapacityChange {
	var cs []CapacityChange
	add := func(row, unit string, a, b int) {
		if a != b {
			cs = append(cs, CapacityChange{Row: row, Unit: unit, Old: a, New: b})
		}
	}
	for _, name := range names(old.Pools, after.Pools, func(p table.Pool) string { return p.Name }) {
		add("pool "+name, "usable slots", UsableSlots(old.Pool(name)), UsableSlots(after.Pool(name)))
	}
	for _, name := range names(old.Regions, after.Regions, func(r table.Region) string { return r.Name }) {
		add("region "+name, "limit", limitOf(old, name), limitOf(after, name))
	}
	return cs
}

// UsableSlots returns the slots of p that may get new work. A nil pool has none.
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

func limitOf(t *table.Tables, region string) int {
	if r := t.Region(region); r != nil {
		return r.Limit
	}
	return 0
}

// names lists the names of two tables' rows, each once, in order.
func names[T any](a, b []T, name func(T) string) []string {
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

// warnings lists what is valid and may still surprise.
func warnings(old, after *table.Tables) []string {
	var ws []string
	for _, name := range StrandedRoutes(after) {
		ws = append(ws, fmt.Sprintf("route %s: no pool with a weight has a target that is not drained; its requests are refused", name))
	}
	used := map[string]bool{}
	for _, r := range after.Routes {
		for _, w := range r.Pools {
			used[w.Pool] = true
		}
	}
	for _, p := range after.Pools {
		if !used[p.Name] {
			ws = append(ws, fmt.Sprintf("pool %s: no route names it", p.Name))
		}
	}
	return append(ws, removedUndrained(old, after)...)
}

// StrandedRoutes lists the routes of t that no target may serve.
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

// removedUndrained lists the targets that leave the tables without a drain.
func removedUndrained(old, after *table.Tables) []string {
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
				ws = append(ws, fmt.Sprintf("pool %s target %s is removed without a drain before it", p.Name, tg.Name))
			}
		}
	}
	return ws
}
