package block

import (
	"bytes"
	"iter"
	"net/netip"
	"slices"
	"strings"
)

// ParseFile reads a list of blocks: one row a line, a prefix and the name of a
// site with space between. Rows are counted as lines. A site that known
// refuses is an unknown site; a nil known takes any. The error is a
// InvalidError with row and reason.
func ParseFile(data []byte, known func(site string) bool) (*Table, error) {
	var sites []string
	var malformed []Problem
	seen := map[string]bool{}
	n := 0
	for line := range bytes.Lines(data) {
		n++
		row, ok := parseLine(line)
		if !ok {
			malformed = append(malformed, Problem{Row: n, Reason: "not a row; a prefix and a site with space between are accepted"})
			if len(malformed) == maxProblems {
				break
			}
			continue
		}
		if !seen[row.Site] {
			site := strings.Clone(row.Site)
			seen[site] = true
			if known == nil || known(site) {
				sites = append(sites, site)
			}
		}
	}
	if len(malformed) > 0 {
		return nil, refuse(malformed...)
	}
	return Build(sites, lines(data))
}

// lines yields the rows of well-formed lines.
func lines(data []byte) iter.Seq[Row] {
	return func(yield func(Row) bool) {
		for line := range bytes.Lines(data) {
			if row, _ := parseLine(line); !yield(row) {
				return
			}
		}
	}
}

// parseLine reads one line; ok is false when it has not two parts.
func parseLine(line []byte) (row Row, ok bool) {
	prefix, site, ok := strings.Cut(strings.TrimSpace(string(line)), " ")
	site = strings.TrimSpace(site)
	return Row{Prefix: prefix, Site: site}, ok && site != "" && !strings.ContainsAny(site, " \t")
}

// Diff returns the delta from one list to another, or false when it has
// more than limit rows. Both lists must be valid.
func Diff(old, next []byte, limit int) (d Delta, ok bool) {
	before := map[netip.Prefix]string{}
	for row := range lines(old) {
		if p, err := netip.ParsePrefix(row.Prefix); err == nil {
			before[p] = row.Site
		}
	}
	kept := map[netip.Prefix]bool{}
	for row := range lines(next) {
		p, err := netip.ParsePrefix(row.Prefix)
		if err != nil || kept[p] {
			continue
		}
		kept[p] = true
		if site, ok := before[p]; !ok || site != row.Site {
			d.Set = append(d.Set, row)
		}
		if len(d.Set) > limit {
			return Delta{}, false
		}
	}
	for p := range before {
		if !kept[p] {
			d.Remove = append(d.Remove, Row{Prefix: p.String()})
		}
		if len(d.Set)+len(d.Remove) > limit {
			return Delta{}, false
		}
	}
	slices.SortFunc(d.Remove, func(a, b Row) int { return strings.Compare(a.Prefix, b.Prefix) })
	return d, true
}
