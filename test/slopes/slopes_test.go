// Package slopes measures how the needs of the roles grow with their drivers,
// and writes the slopes file that the capacity page is computed from:
//
//	go test -run TestSlopes ./test/slopes -args -write ../../docs/capacity/slopes.yaml
//
// Without -write it measures small sizes, and checks only that each quantity
// is measured and that each need has its slope listed.
package slopes

import (
	"flag"
	"os"
	"sort"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
)

var (
	writeFile = flag.String("write", "", "slopes file to bring up to date")
	runs      = flag.Int("runs", 5, "runs of each measurement")
	only      = flag.String("only", "", "name of the only slope to measure")
	note      = flag.String("note", "", "conditions of the run")
)

// measurement is one slope and how it is measured.
type measurement struct {
	name string
	unit string
	// measure returns the slope and intercept of one run; full asks for the
	// sizes of the letter.
	measure func(t *testing.T, full bool) capacity.Line
	what    string
}

var measurements = []measurement{
	{"block_lookup_ns", "ns a look-up", blockLookup, "2.3 million blocks, random callers, one thread"},
	{"block_v4_bytes", "B a block", blockBytesV4, "live heap at 0.25, 0.5 and 1 million IPv4 blocks"},
	{"block_v6_bytes", "B a block", blockBytesV6, "live heap at 0.25, 0.5 and 1 million IPv6 blocks"},
	{"block_delta_ns", "ns a changed block", blockDelta, "deltas of 100 blocks on 2.3 million"},
	{"tables_bytes", "B a target", tablesBytes, "content of the tables at 32 to 2,000 targets"},
	{"tables_load_ns", "ns a target", tablesLoad, "hash, parse, validation and defaults at 32 to 2,000 targets"},
	{"learn_edit_bytes", "B an edit", learnBytes, "changed head and patch over HTTP, both ways, an edit of one target of 2,000 in a pool of eight"},
	{"learn_edit_ns", "ns a target", learnTime, "patch read over HTTP, applied, hashed and validated at 32 to 2,000 targets"},
	{"edit_ns", "ns a target", editTime, "parse of both files, validation, difference, content at 32 to 2,000 targets"},
	{"head_poll_bytes", "B a poll", pollBytes, "bytes both ways of a conditional read of the head over HTTP"},
	{"control_bytes_per_s", "B/s a daemon of the zone", controlBytes, "bytes read and written by an idle jacinthrampd, 1 to 16 in its zone, 32 targets over 79 zones; flatter at 16 than the line"},
	{"zone_reads_per_s", "reads/s a zone", zoneReads, "calls counted at the platform, 8 idle jacinthrampd of one zone"},
	{"ledger_writes_per_s", "writes/s a zone", zoneWrites, "calls counted at the platform, 8 idle jacinthrampd of one zone"},
	{"edit_writes", "writes an edit", editWrites, "transactions counted at the table service"},
	{"load_object_reads", "reads a load", loadReads, "calls counted at the object store"},
	{"process_rss_bytes", "B a target", processRSS, "resident size of an idle jacinthrampd, tables of 32 to 2,000 targets over 79 zones"},
	{"idle_ns_per_s", "ns a second and target", idleCPU, "processor time of an idle jacinthrampd alone in its zone, tables of 32 to 2,000 targets over 79 zones"},
	{"http_lookup_ns", "ns a look-up", lookupCPU, "processor time of jacinthrampd less idle, keep-alive connections"},
	{"forward_ns", "ns a request", forwardCPU, "processor time of jacinthrampd less idle, GET of an empty answer, target in the same zone"},
	{"decide_ns", "ns a decision", decideTime, "Decide and Done at 32 targets of one zone, one thread"},
}

// unmeasured lists the slopes that the needs name and nothing measures yet.
var unmeasured = []capacity.Slope{
	{Name: "propagation_bytes_per_s", Unit: "B/s a daemon of the zone"},
	{Name: "in_force_seconds", Unit: "s a daemon of the zone"},
	{Name: "transfer_bytes_per_s", Unit: "B/s a daemon of the zone"},
	{Name: "summary_bytes_per_s", Unit: "B/s a site"},
	{Name: "churn_writes", Unit: "writes a start or end of an instance"},
}

func TestSlopes(t *testing.T) {
	full := *writeFile != ""
	slopes := readSlopes(t)
	for _, m := range measurements {
		if *only != "" && *only != m.name {
			continue
		}
		s := run(t, m, full)
		if !plausible(s, full) {
			t.Errorf("%s: slope %v through %v", m.name, s.Slope, s.Points)
		}
		slopes[m.name] = s
	}
	for _, u := range unmeasured {
		if _, ok := slopes[u.Name]; !ok {
			slopes[u.Name] = u
		}
	}
	if missing := capacity.Unlisted(slopes); len(missing) > 0 && *only == "" {
		t.Errorf("needs without a slope: %v", missing)
	}
	if full {
		writeSlopes(t, slopes)
	}
}

// plausible reports whether s may be used. Small sizes lie too close together
// for the sign of a line, and small times for a rate that is seconds apart:
// there only the measured values count.
func plausible(s capacity.Slope, full bool) bool {
	if full {
		return s.Slope > 0
	}
	for _, p := range s.Points {
		if p.Y <= 0 {
			return false
		}
	}
	return len(s.Points) > 0 || s.Slope >= 0
}

// run measures m several times.
func run(t *testing.T, m measurement, full bool) capacity.Slope {
	n := *runs
	if !full {
		n = 1
	}
	var slopes, intercepts []float64
	var last capacity.Line
	for range n {
		last = m.measure(t, full)
		slopes = append(slopes, last.Slope)
		intercepts = append(intercepts, last.Intercept)
	}
	sort.Float64s(slopes)
	sort.Float64s(intercepts)
	return capacity.Slope{
		Name: m.name, Unit: m.unit, Measured: true,
		Slope: slopes[n/2], Intercept: intercepts[n/2], Low: slopes[0], High: slopes[n-1], Runs: n, Points: last.Points,
		Command: "go test -run TestSlopes ./test/slopes -args -only " + m.name + " -write ../../docs/capacity/slopes.yaml",
		Note:    join(m.what, *note),
	}
}

func join(what, note string) string {
	if note == "" {
		return what
	}
	return what + "; " + note
}

// readSlopes reads the file that is to be brought up to date.
func readSlopes(t *testing.T) capacity.Slopes {
	data, err := os.ReadFile(*writeFile)
	if err != nil {
		return capacity.Slopes{}
	}
	s, err := capacity.ParseSlopes(*writeFile, data)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func writeSlopes(t *testing.T, s capacity.Slopes) {
	data, err := s.Format()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(*writeFile, data, 0o644); err != nil {
		t.Fatal(err)
	}
}
