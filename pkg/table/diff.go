package table

import (
	"fmt"
	"reflect"
	"strings"
)

// Op is what happened to a row.
type Op string

// The operations.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// Change is one difference between two versions.
type Change struct {
	Op Op `json:"op"`
	// Row is the table and the name of the row, such as "pool feedlog-osrednja"
	// or "pool feedlog-osrednja target f1".
	Row string `json:"row"`
	// Field, Old and New are set when a field changed.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String says c in words.
func (c Change) String() string {
	if c.Op != Changed {
		return fmt.Sprintf("%s %s", c.Row, c.Op)
	}
	return fmt.Sprintf("%s: %s changed from %s to %s", c.Row, c.Field, valueOrNothing(c.Old), valueOrNothing(c.New))
}

func valueOrNothing(s string) string {
	if s == "" {
		return "nothing"
	}
	return s
}

// Diff returns what changes from old to new, with the defaults filled on both
// sides. The version, the time of acceptance, the shifts and the order of the
// rows don't count.
func Diff(old, new *Tables) []Change {
	a, b := old.WithDefaults(), new.WithDefaults()
	var cs []Change
	cs = append(cs, diffRows("route", a.Routes, b.Routes, func(r *Route) string { return r.Name })...)
	cs = append(cs, diffRows("region", a.Regions, b.Regions, func(r *Region) string { return r.Name })...)
	cs = append(cs, diffRows("pool", a.Pools, b.Pools, func(p *Pool) string { return p.Name })...)
	return append(cs, diffBlocks(a.Blocks, b.Blocks)...)
}

// diffBlocks compares the names of two lists of blocks.
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

// diffRows compares two lists of rows by name.
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

// indexRows maps the rows by name.
func indexRows[T any](rows []T, key func(*T) string) map[string]*T {
	m := make(map[string]*T, len(rows))
	for i := range rows {
		m[key(&rows[i])] = &rows[i]
	}
	return m
}

// diffFields compares two rows of one type field by field.
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

// formatValue formats a field's value.
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
