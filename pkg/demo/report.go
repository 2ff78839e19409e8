package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/jacinthramp/jacinthramp/pkg/load"
)

// Report holds the results of the demo. All figures are counted by the callers
// and the stand-ins, not by the instances.
type Report struct {
	Requests       int `json:"requests"`
	Completed      int `json:"completed"`
	NotRun         int `json:"not_run"`
	Unknown        int `json:"unknown"`
	WrongResponses int `json:"wrong_answers"`
	DuplicateRuns  int `json:"duplicate_runs"`
	// AbortedRequests counts callers' submissions whose connection broke before the
	// end of the response, and runs that were aborted on the leaving target.
	AbortedRequests int `json:"cut_off"`
	// InForceSeconds is the time from the edit's acceptance until every instance
	// had served the new route; -1 if one never did.
	InForceSeconds float64 `json:"in_force_seconds"`
	// DrainSeconds is the time from the target's first leaving notice to the end of
	// its last run.
	DrainSeconds float64 `json:"drain_seconds"`
	LatencyMS    Latency `json:"latency_ms"`

	// Details are part of the text form only.
	Details Details `json:"-"`
	// Violations describes the violated invariants.
	Violations []string `json:"-"`
}

// Latency holds latency percentiles of all completed requests, in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Details holds the figures that are not part of the JSON form.
type Details struct {
	Load load.Report
	// LastNewRequestSeconds is the time from the target's first leaving notice to
	// the start of its last run.
	LastNewRequestSeconds float64
	// MinFreeFraction and MeanFreeFraction are the smallest and the mean fraction
	// of free slots by region.
	MinFreeFraction  map[string]float64
	MeanFreeFraction map[string]float64
	// StoreReads and StoreWrites count the calls to the store.
	// PeakStoreReadsPerSecond counts the reads in its busiest second.
	StoreReads, StoreWrites uint64
	PeakStoreReadsPerSecond int
	// EditProbes counts the responses to requests for the route that the edit
	// adds.
	EditProbes int
	// RunsWithKey counts the runs whose request still had the key of a workspace, and
	// RunsWithoutWorkspace those whose request named no workspace.
	RunsWithKey, RunsWithoutWorkspace int
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	row("answers checked", "%d of %d requests, %d not run, %d unknown", r.Completed, r.Requests, r.NotRun, r.Unknown)
	row("wrong answers", "%d", r.WrongResponses)
	row("repeated runs of non-idempotent requests", "%d", r.DuplicateRuns)
	row("requests cut off", "%d", r.AbortedRequests)
	row("edit in force everywhere", "after %.2f s, seen by %d requests", r.InForceSeconds, r.Details.EditProbes)
	row("drain", "empty %.2f s after the first sign, last new work after %.2f s", r.DrainSeconds, r.Details.LastNewRequestSeconds)
	row("requests with a key, or without a workspace, at targets", "%d, %d", r.Details.RunsWithKey, r.Details.RunsWithoutWorkspace)
	row("store", "%d reads, %d writes, %d reads in its busiest second", r.Details.StoreReads, r.Details.StoreWrites, r.Details.PeakStoreReadsPerSecond)
	for _, region := range slices.Sorted(maps.Keys(r.Details.MinFreeFraction)) {
		row("headroom "+region, "%.0f%% of the slots free on average, %.0f%% at the least",
			100*r.Details.MeanFreeFraction[region], 100*r.Details.MinFreeFraction[region])
	}
	for _, kind := range slices.Sorted(maps.Keys(r.Details.Load.ErrorKinds)) {
		row("answers "+kind, "%d", r.Details.Load.ErrorKinds[kind])
	}
	fmt.Fprintf(t, "\nlatency in ms\trequests\tcompleted\tp50\tp90\tp99\tmax\n")
	r.Details.writeLatency(t)
	if err := t.Flush(); err != nil {
		return err
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(w, "broken:", violation)
	}
	return nil
}

func (d Details) writeLatency(w io.Writer) {
	line := func(name string, stats load.GroupStats) {
		l := stats.LatencyMS
		fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", name, stats.Requests, stats.Completed, l.P50, l.P90, l.P99, l.Max)
	}
	line("all", load.GroupStats{Requests: d.Load.Requests, Completed: d.Load.Completed, LatencyMS: d.Load.LatencyMS})
	for _, name := range slices.Sorted(maps.Keys(d.Load.Routes)) {
		line("route "+name, d.Load.Routes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(d.Load.Members)) {
		line("member "+name, d.Load.Members[name])
	}
}
