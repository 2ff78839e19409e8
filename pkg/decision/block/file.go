package block

import (
	"bytes"
	"iter"
	"net/netip"
	"slices"
	"strings"
)

// ParseFile parses a list of blocks with one row per line, a prefix and the name of a
// site separated by space. Problems refer to rows by line number. Sites for which
// isKnownSite returns false are invalid; a nil isKnownSite accepts all. The error is
// an InvalidError.
func ParseFile(data []byte, isKnownSite func(site string) bool) (*Table, error) {
	var sites []string
	var malformed []Problem
	seen := map[string]bool{}
	lineNumber := 0
	for line := range bytes.Lines(data) {
		lineNumber++
		row, ok := parseLine(line)
		if !ok {
			malformed = append(malformed, Problem{Row: lineNumber, Reason: "not a row; expected a prefix and a site separated by space"})
			if len(malformed) == maxProblems {
				break
			}
			continue
		}
		if !seen[row.Site] {
			site := strings.Clone(row.Site)
			seen[site] = true
			if isKnownSite == nil || isKnownSite(site) {
				sites = append(sites, site)
			}
		}
	}
	if len(malformed) > 0 {
		return nil, newInvalidError(malformed...)
	}
	return Build(sites, rowsOf(data))
}

// rowsOf yields the rows of a list whose lines are all well-formed.
func rowsOf(data []byte) iter.Seq[Row] {
	return func(yield func(Row) bool) {
		for line := range bytes.Lines(data) {
			if row, _ := parseLine(line); !yield(row) {
				return
			}
		}
	}
}

// parseLine parses one line. ok is false when the line does not have exactly two
// fields.
func parseLine(line []byte) (row Row, ok bool) {
	prefix, site, ok := strings.Cut(strings.TrimSpace(string(line)), " ")
	site = strings.TrimSpace(site)
	return Row{Prefix: prefix, Site: site}, ok && site != "" && !strings.ContainsAny(site, " \t")
}

// Diff returns the delta that turns the list old into next, or false when it would
// have more than limit rows. Both lists must be valid.
func Diff(old, next []byte, limit int) (d Delta, ok bool) {
	before := map[netip.Prefix]string{}
	for row := range rowsOf(old) {
		if p, err := netip.ParsePrefix(row.Prefix); err == nil {
			before[p] = row.Site
		}
	}
	kept := map[netip.Prefix]bool{}
	for row := range rowsOf(next) {
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
