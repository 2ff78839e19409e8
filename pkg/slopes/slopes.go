// Package slopes measures how the resource needs of the system's roles grow with
// their drivers. The capacity page is computed from the resulting lines.
package slopes

import (
	"context"
	"errors"
	"sort"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// Options selects the measurements and their sizes.
type Options struct {
	// Only is the name of the only slope to measure. If empty, all slopes are
	// measured that do not need a missing Starter.
	Only string
	// Runs is the number of runs of each measurement; at least 1.
	Runs int
	// Note describes the conditions of the measurement. It is appended to the
	// note of each slope.
	Note string
	// FullScale selects the sizes that the operators' letter states. Otherwise
	// small sizes are used, which only show that each quantity can be measured.
	FullScale bool
	// Starter starts instances. If nil, measurements that need instances in
	// separate processes are skipped.
	Starter Starter
}

// measurement describes one slope and how it is measured.
type measurement struct {
	name string
	unit string
	// measure performs one run and returns its line.
	measure func(r *run) (capacity.Line, error)
	// needsProcess is set if the measurement needs a Starter.
	needsProcess bool
	// description is the start of the slope's note.
	description string
}

var measurements = []measurement{
	{"block_lookup_ns", "ns a look-up", blockLookup, false, "2.3 million blocks, random callers, one thread"},
	{"block_v4_bytes", "B a block", blockBytesV4, false, "live heap at 0.25, 0.5 and 1 million IPv4 blocks"},
	{"block_v6_bytes", "B a block", blockBytesV6, false, "live heap at 0.25, 0.5 and 1 million IPv6 blocks"},
	{"block_delta_ns", "ns a changed block", blockDelta, false, "deltas of 100 blocks on 2.3 million"},
	{"tables_bytes", "B a target", tablesBytes, false, "content of the tables at 32 to 2,000 targets"},
	{"tables_load_ns", "ns a target", tablesLoad, false, "hash, parse, validation and defaults at 32 to 2,000 targets"},
	{"learn_edit_bytes", "B an edit", editLoadBytes, false, "changed head and patch over HTTP, both ways, an edit of one target of 2,000 in a pool of eight"},
	{"learn_edit_ns", "ns a target", editLoadTime, false, "patch read over HTTP, applied, hashed and validated at 32 to 2,000 targets"},
	{"edit_ns", "ns a target", editTime, false, "parse of both files, validation, difference, content at 32 to 2,000 targets"},
	{"head_poll_bytes", "B a poll", pollBytes, false, "bytes both ways of a conditional read of the head over HTTP"},
	{"control_bytes_per_s", "B/s a daemon of the zone", controlBytes, true, "bytes read and written by an idle jacinthrampd, 1 to 16 in its zone, 32 targets over 79 zones; flatter at 16 than the line"},
	{"zone_reads_per_s", "reads/s a zone", zoneReads, true, "calls counted at the platform, 8 idle jacinthrampd of one zone"},
	{"ledger_writes_per_s", "writes/s a zone", zoneWrites, true, "calls counted at the platform, 8 idle jacinthrampd of one zone"},
	{"edit_writes", "writes an edit", editWrites, false, "transactions counted at the table service"},
	{"load_object_reads", "reads a load", loadReads, false, "calls counted at the object store"},
	{"process_rss_bytes", "B a target", residentMemory, true, "resident size of an idle jacinthrampd, tables of 32 to 2,000 targets over 79 zones"},
	{"idle_ns_per_s", "ns a second and target", idleCPU, true, "processor time of an idle jacinthrampd alone in its zone, tables of 32 to 2,000 targets over 79 zones"},
	{"http_lookup_ns", "ns a look-up", lookupCPU, true, "processor time of jacinthrampd less idle, keep-alive connections"},
	{"forward_ns", "ns a request", forwardCPU, true, "processor time of jacinthrampd less idle, GET of an empty answer, target in the same zone"},
	{"decide_ns", "ns a decision", decideTime, false, "Decide and Done at 32 targets of one zone, one thread"},
}

// unmeasured lists the slopes that the capacity computation uses but this package
// does not measure.
var unmeasured = []capacity.Slope{
	{Name: "propagation_bytes_per_s", Unit: "B/s a daemon of the zone"},
	{Name: "in_force_seconds", Unit: "s a daemon of the zone"},
	{Name: "transfer_bytes_per_s", Unit: "B/s a daemon of the zone"},
	{Name: "summary_bytes_per_s", Unit: "B/s a site"},
	{Name: "churn_writes", Unit: "writes a start or end of an instance"},
}

// Measure measures the selected slopes and updates them in slopes. Errors:
// fault.KindBadRequest if the options are invalid or select nothing that can be
// measured, fault.KindInvariantBroken if a measurement fails or its result is not
// plausible; the other slopes are updated nevertheless.
func Measure(ctx context.Context, slopes capacity.Slopes, o Options) error {
	chosen, err := selectMeasurements(o)
	if err != nil {
		return err
	}
	var failed []error
	cache := &zoneUsageCache{measured: map[int]zoneUsage{}}
	for _, m := range chosen {
		s, err := measure(ctx, m, o, cache)
		if err == nil && !plausible(s, o.FullScale) {
			err = fault.New(fault.KindInvariantBroken, "slope %v fitted through %v is not plausible", s.Slope, s.Points)
		}
		if err != nil {
			failed = append(failed, fault.Wrap(fault.KindInvariantBroken, err, "%s", m.name))
			continue
		}
		slopes[m.name] = s
	}
	for _, u := range unmeasured {
		if _, ok := slopes[u.Name]; !ok {
			slopes[u.Name] = u
		}
	}
	if len(failed) > 0 {
		return fault.Wrap(fault.KindInvariantBroken, errors.Join(failed...), "%d of %d measurements failed", len(failed), len(chosen))
	}
	return nil
}

// selectMeasurements returns the measurements that the options select.
func selectMeasurements(o Options) ([]measurement, error) {
	if o.Runs < 1 {
		return nil, fault.New(fault.KindBadRequest, "the number of runs is %d; it must be at least 1", o.Runs)
	}
	var chosen []measurement
	for _, m := range measurements {
		if o.Only != "" && o.Only != m.name {
			continue
		}
		if !m.needsProcess || o.Starter != nil {
			chosen = append(chosen, m)
			continue
		}
		if o.Only != "" {
			return nil, fault.New(fault.KindBadRequest, "measuring %s requires instances in separate processes, which this command does not start; use: %s", m.name, m.command())
		}
	}
	if len(chosen) == 0 {
		return nil, fault.New(fault.KindBadRequest, "no measurement of slope %q is known", o.Only)
	}
	return chosen, nil
}

// command returns the command that repeats the measurement.
func (m measurement) command() string {
	if m.needsProcess {
		return "go test -count=1 -run TestSlopes ./test/slopes -args -only " + m.name + " -write ../../docs/capacity/slopes.yaml"
	}
	return "go run ./cmd/jacinthramp slopes --only " + m.name + " --write docs/capacity/slopes.yaml"
}

// plausible reports whether s is usable. At full scale its slope must be
// positive. At small sizes only the measured values are checked: the sizes are
// too close together to determine the sign of a slope, and the times too short
// to measure a rate of events that are seconds apart.
func plausible(s capacity.Slope, fullScale bool) bool {
	if fullScale {
		return s.Slope > 0
	}
	for _, p := range s.Points {
		if p.Y <= 0 {
			return false
		}
	}
	return len(s.Points) > 0 || s.Slope >= 0
}

// measure performs o.Runs runs of m. It returns the medians of slope and
// intercept, the extremes of the slope and the points of the last run.
func measure(ctx context.Context, m measurement, o Options, cache *zoneUsageCache) (capacity.Slope, error) {
	var slopes, intercepts []float64
	var last capacity.Line
	for range o.Runs {
		r := &run{ctx: ctx, fullScale: o.FullScale, starter: o.Starter, zoneUsages: cache}
		line, err := m.measure(r)
		r.close()
		if err != nil {
			return capacity.Slope{}, err
		}
		last = line
		slopes = append(slopes, line.Slope)
		intercepts = append(intercepts, line.Intercept)
	}
	sort.Float64s(slopes)
	sort.Float64s(intercepts)
	n := o.Runs
	return capacity.Slope{
		Name: m.name, Unit: m.unit, Measured: true,
		Slope: slopes[n/2], Intercept: intercepts[n/2], Low: slopes[0], High: slopes[n-1], Runs: n, Points: last.Points,
		Command: m.command(), Note: joinNotes(m.description, o.Note),
	}, nil
}

func joinNotes(description, note string) string {
	if note == "" {
		return description
	}
	return description + "; " + note
}
