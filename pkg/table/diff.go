package table

import (
	"fmt"
	"reflect"
	"strings"
)

// Op is the kind of a Change.
type Op string

// Kinds of changes. Added and Removed apply to rows, Changed to fields.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// Change is one difference between two versions of the tables.
type Change struct {
	Op Op `json:"op"`
	// Row is the kind and name of the row, such as "pool feedlog-osrednja" or
	// "pool feedlog-osrednja target f1".
	Row string `json:"row"`
	// Field is the name of the changed field, Old and New its values. Of the added and
	// removed rows, only block lists have them.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String formats c on one line.
func (c Change) String() string {
	if c.Op != Changed {
		return fmt.Sprintf("%s %s", c.Row, c.Op)
	}
	return fmt.Sprintf("%s: %s changed from %s to %s", c.Row, c.Field, valueOrNothing(c.Old), valueOrNothing(c.New))
}

// valueOrNothing returns s, or "nothing" if s is empty.
func valueOrNothing(s string) string {
	if s == "" {
		return "nothing"
	}
	return s
}

// Diff returns the changes from old to new, both with defaults. It ignores the version,
// the time of acceptance, the shifts and the order of the rows.
func Diff(old, new *Tables) []Change {
	a, b := old.WithDefaults(), new.WithDefaults()
	var cs []Change
	cs = append(cs, diffRows("route", a.Routes, b.Routes, func(r *Route) string { return r.Name })...)
	cs = append(cs, diffRows("workspace", a.Workspaces, b.Workspaces, func(w *Workspace) string { return w.Name })...)
	cs = append(cs, diffRows("region", a.Regions, b.Regions, func(r *Region) string { return r.Name })...)
	cs = append(cs, diffRows("pool", a.Pools, b.Pools, func(p *Pool) string { return p.Name })...)
	return append(cs, diffBlocks(a.Blocks, b.Blocks)...)
}

// diffBlocks compares the names and sizes of two block lists.
func diffBlocks(old, new *Blocks) []Change {
	const row = "blocks"
	switch {
	case old == nil && new == nil, old != nil && new != nil && old.Object == new.Object:
		return nil
	case old == nil:
		return []Change{{Op: Added, Row: row, Field: "count", New: fmt.Sprint(new.Count)}}
	case new == nil:
		return []Change{{Op: Removed, Row: row, Field: "count", Old: fmt.Sprint(old.Count)}}
	case old.Count != new.Count:
		return []Change{{Op: Changed, Row: row, Field: "count", Old: fmt.Sprint(old.Count), New: fmt.Sprint(new.Count)}}
	}
	return []Change{{Op: Changed, Row: row, Field: "object", Old: old.Object, New: new.Object}}
}

// diffRows compares two lists of rows. Rows with the same key are compared field by
// field.
func diffRows[T any](kind string, old, new []T, key func(*T) string) []Change {
	var cs []Change
	before := indexRows(old, key)
	after := indexRows(new, key)
	for i := range old {
		if after[key(&old[i])] == nil {
			cs = append(cs, Change{Op: Removed, Row: kind + " " + key(&old[i])})
		}
	}
	for i := range new {
		row := kind + " " + key(&new[i])
		prev := before[key(&new[i])]
		if prev == nil {
			cs = append(cs, Change{Op: Added, Row: row})
			continue
		}
		cs = append(cs, diffFields(row, reflect.ValueOf(*prev), reflect.ValueOf(new[i]))...)
	}
	return cs
}

// indexRows maps the rows by key.
func indexRows[T any](rows []T, key func(*T) string) map[string]*T {
	m := make(map[string]*T, len(rows))
	for i := range rows {
		m[key(&rows[i])] = &rows[i]
	}
	return m
}

// diffFields compares two rows of one type field by field, and their targets by name.
func diffFields(row string, old, new reflect.Value) []Change {
	var cs []Change
	for i := range old.NumField() {
		field, _, _ := strings.Cut(old.Type().Field(i).Tag.Get("yaml"), ",")
		a, b := old.Field(i).Interface(), new.Field(i).Interface()
		if targets, ok := a.([]Target); ok {
			cs = append(cs, diffRows(row+" target", targets, b.([]Target), func(t *Target) string { return t.Name })...)
			continue
		}
		x, y := formatValue(a), formatValue(b)
		if x != y {
			cs = append(cs, Change{Op: Changed, Row: row, Field: field, Old: x, New: y})
		}
	}
	return cs
}

// formatValue formats a field's value; pool weights as "a=1 b=2".
func formatValue(v any) string {
	ws, ok := v.([]PoolWeight)
	if !ok {
		return fmt.Sprint(v)
	}
	parts := make([]string, 0, len(ws))
	for _, w := range ws {
		parts = append(parts, fmt.Sprintf("%s=%d", w.Pool, w.Weight))
	}
	return strings.Join(parts, " ")
}
