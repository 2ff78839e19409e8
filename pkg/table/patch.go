package table

import (
	"reflect"
	"slices"
)

// Patch is the difference between two versions of the tables without defaults. It
// contains only the rows that differ.
type Patch struct {
	Version    uint64              `json:"version"`
	Routes     RowPatch[Route]     `json:"routes,omitzero"`
	Workspaces RowPatch[Workspace] `json:"workspaces,omitzero"`
	Pools      RowPatch[Pool]      `json:"pools,omitzero"`
	Regions    RowPatch[Region]    `json:"regions,omitzero"`
	Shifts     RowPatch[Shift]     `json:"shifts,omitzero"`
	// Blocks is the value of the new version, even if it did not change.
	Blocks *Blocks `json:"blocks,omitempty"`
}

// RowPatch is the difference between two lists of rows.
type RowPatch[T any] struct {
	// Set holds the changed and added rows.
	Set []T `json:"set,omitempty"`
	// Remove lists the keys of the removed rows.
	Remove []string `json:"remove,omitempty"`
	// Order lists the keys of all rows in their new order. It is empty if the remaining
	// rows keep their order and the added rows follow them.
	Order []string `json:"order,omitempty"`
}

// IsZero reports whether p changes nothing.
func (p RowPatch[T]) IsZero() bool { return len(p.Set)+len(p.Remove)+len(p.Order) == 0 }

// The keys that identify rows in a RowPatch.

func routeKey(r *Route) string         { return r.Name }
func workspaceKey(w *Workspace) string { return w.Name }
func poolKey(p *Pool) string           { return p.Name }
func regionKey(r *Region) string       { return r.Name }
func shiftKey(s *Shift) string         { return s.Route + " " + s.Pool }

// NewPatch returns the patch from old to new. Both must be valid.
func NewPatch(old, new *Tables) Patch {
	return Patch{
		Version:    new.Version,
		Routes:     newRowPatch(old.Routes, new.Routes, routeKey, equalRoutes),
		Workspaces: newRowPatch(old.Workspaces, new.Workspaces, workspaceKey, equalWorkspaces),
		Pools:      newRowPatch(old.Pools, new.Pools, poolKey, equalPools),
		Regions:    newRowPatch(old.Regions, new.Regions, regionKey, func(a, b *Region) bool { return *a == *b }),
		Shifts:     newRowPatch(old.Shifts, new.Shifts, shiftKey, func(a, b *Shift) bool { return *a == *b }),
		Blocks:     new.Blocks,
	}
}

// Apply returns the result of applying p to old, which it does not modify. Apply does
// not detect that p was made for other tables; the caller must check the content of
// the result.
func (p Patch) Apply(old *Tables) *Tables {
	t := old.Clone()
	t.Version = p.Version
	t.Routes = p.Routes.apply(t.Routes, routeKey)
	t.Workspaces = p.Workspaces.apply(t.Workspaces, workspaceKey)
	t.Pools = p.Pools.apply(t.Pools, poolKey)
	t.Regions = p.Regions.apply(t.Regions, regionKey)
	t.Shifts = p.Shifts.apply(t.Shifts, shiftKey)
	t.Blocks = p.Blocks
	return t
}

// NewRoutePatch returns the patch from old to new, and false if several routes of either
// have the same name, which a patch can't tell apart.
func NewRoutePatch(old, new []Route) (RowPatch[Route], bool) {
	if len(indexRows(old, routeKey)) != len(old) || len(indexRows(new, routeKey)) != len(new) {
		return RowPatch[Route]{}, false
	}
	return newRowPatch(old, new, routeKey, equalRoutes), true
}

// ApplyRoutePatch returns the result of applying p to old, which it does not modify.
func ApplyRoutePatch(old []Route, p RowPatch[Route]) []Route { return p.apply(old, routeKey) }

// NewWorkspacePatch returns the patch from old to new, and false if several workspaces of
// either have the same name.
func NewWorkspacePatch(old, new []Workspace) (RowPatch[Workspace], bool) {
	if len(indexRows(old, workspaceKey)) != len(old) || len(indexRows(new, workspaceKey)) != len(new) {
		return RowPatch[Workspace]{}, false
	}
	return newRowPatch(old, new, workspaceKey, equalWorkspaces), true
}

// ApplyWorkspacePatch returns the result of applying p to old, which it does not modify.
func ApplyWorkspacePatch(old []Workspace, p RowPatch[Workspace]) []Workspace {
	return p.apply(old, workspaceKey)
}

// equalWorkspaces reports whether a and b are equal. Nil and empty lists are the same.
func equalWorkspaces(a, b *Workspace) bool {
	x, y := *a, *b
	x.Keys, x.Regions, y.Keys, y.Regions = nil, nil, nil, nil
	return reflect.DeepEqual(x, y) && slices.Equal(a.Keys, b.Keys) && slices.Equal(a.Regions, b.Regions)
}

// equalRoutes reports whether a and b are equal. Nil and empty pools are the same.
func equalRoutes(a, b *Route) bool {
	x, y := *a, *b
	x.Pools, y.Pools = nil, nil
	return reflect.DeepEqual(x, y) && slices.Equal(a.Pools, b.Pools)
}

// equalPools reports whether a and b are equal. Nil and empty targets are the same.
func equalPools(a, b *Pool) bool {
	x, y := *a, *b
	x.Targets, y.Targets = nil, nil
	return reflect.DeepEqual(x, y) && slices.Equal(a.Targets, b.Targets)
}

// newRowPatch returns the patch from old to new. same compares rows with equal keys.
func newRowPatch[T any](old, new []T, key func(*T) string, same func(a, b *T) bool) RowPatch[T] {
	var p RowPatch[T]
	before, after := indexRows(old, key), indexRows(new, key)
	for i := range old {
		if after[key(&old[i])] == nil {
			p.Remove = append(p.Remove, key(&old[i]))
		}
	}
	for i := range new {
		if prev := before[key(&new[i])]; prev == nil || !same(prev, &new[i]) {
			p.Set = append(p.Set, new[i])
		}
	}
	order := rowKeys(new, key)
	if !slices.Equal(rowKeys(p.apply(old, key), key), order) {
		p.Order = order
	}
	return p
}

// apply returns the result of applying p to old.
func (p RowPatch[T]) apply(old []T, key func(*T) string) []T {
	if p.IsZero() {
		return old
	}
	set := indexRows(p.Set, key)
	removed := make(map[string]bool, len(p.Remove))
	for _, k := range p.Remove {
		removed[k] = true
	}
	var rows []T
	for i := range old {
		k := key(&old[i])
		if removed[k] {
			continue
		}
		if s := set[k]; s != nil {
			rows = append(rows, *s)
			delete(set, k)
			continue
		}
		rows = append(rows, old[i])
	}
	for i := range p.Set {
		if set[key(&p.Set[i])] != nil {
			rows = append(rows, p.Set[i])
		}
	}
	return reorder(rows, p.Order, key)
}

// reorder returns the rows in the order of the given keys, or as they are if order is
// empty. Rows whose key is not in order are dropped.
func reorder[T any](rows []T, order []string, key func(*T) string) []T {
	if len(order) == 0 {
		return rows
	}
	byKey := indexRows(rows, key)
	out := make([]T, 0, len(order))
	for _, k := range order {
		if row := byKey[k]; row != nil {
			out = append(out, *row)
		}
	}
	return out
}

// rowKeys returns the keys of rows.
func rowKeys[T any](rows []T, key func(*T) string) []string {
	out := make([]string, len(rows))
	for i := range rows {
		out[i] = key(&rows[i])
	}
	return out
}
