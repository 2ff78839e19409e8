package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/operate"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// The views write the results of the tasks as text. Their JSON encoding is that of
// the embedded result.
type (
	validationView  struct{ operate.ValidationResult }
	planView        struct{ operate.Plan }
	historyView     struct{ Versions []operate.HistoryEntry }
	snapshotView    struct{ operate.Snapshot }
	explanationView struct{ wire.Explanation }
	noOutput        struct{}
)

// appliedView is the result of an edit and, with --wait, the time until it was in
// force.
type appliedView struct {
	operate.ApplyResult
	Waited *operate.WaitResult `json:"waited,omitempty"`
}

// exportView is an exported version. The names in files are empty if it goes to
// standard output.
type exportView struct {
	operate.ExportResult
	routes, pools []byte
	files         operate.Files
}

func (noOutput) writeText(io.Writer) {}

func (v validationView) writeText(w io.Writer) {
	fmt.Fprintf(w, "valid: %d routes, %d pools, %d targets, edited from version %d\n", v.Routes, v.Pools, v.Targets, v.Version)
	if v.Blocks > 0 {
		fmt.Fprintf(w, "valid: %d blocks of callers\n", v.Blocks)
	}
}

func (v planView) writeText(w io.Writer) {
	if v.Outdated != nil {
		fmt.Fprintln(w, "would be refused:", v.Outdated)
		return
	}
	writePlan(w, v.Plan)
}

func writePlan(w io.Writer, p operate.Plan) {
	if p.Empty() {
		fmt.Fprintf(w, "nothing changes of version %d\n", p.BaseVersion)
		return
	}
	fmt.Fprintf(w, "changes of version %d:\n", p.BaseVersion)
	for _, c := range p.Changes {
		fmt.Fprintln(w, " ", c)
	}
	writeSection(w, "traffic that moves:", p.Moves)
	writeSection(w, "capacity:", p.Capacities)
	writeSection(w, "warnings:", p.Warnings)
}

// writeSection writes a title and one line per entry, or nothing without entries.
func writeSection[T any](w io.Writer, title string, entries []T) {
	if len(entries) == 0 {
		return
	}
	fmt.Fprintln(w, title)
	for _, e := range entries {
		fmt.Fprintln(w, " ", e)
	}
}

func (v appliedView) writeText(w io.Writer) {
	writePlan(w, operate.Plan{Plan: v.Plan})
	writeSection(w, "not asked for requests in flight:", v.Unchecked)
	if !v.Accepted {
		fmt.Fprintf(w, "version %d stays in force\n", v.Head.Version)
		return
	}
	fmt.Fprintf(w, "accepted as version %d at %s\n", v.Head.Version, v.Head.AcceptedAt.Format(time.RFC3339Nano))
	if v.Waited != nil {
		fmt.Fprintf(w, "in force on every instance after %.2f s\n", v.Waited.Seconds)
	}
}

// exportFiles writes the tables to the named files, if any.
func exportFiles(exported operate.ExportResult, files operate.Files) (printable, error) {
	v := exportView{ExportResult: exported, files: files}
	var err error
	if v.routes, err = table.FormatRoutes(exported.Tables); err != nil {
		return nil, err
	}
	if v.pools, err = table.FormatPools(exported.Tables); err != nil {
		return nil, err
	}
	for name, data := range map[string][]byte{files.Routes: v.routes, files.Pools: v.pools} {
		if name == "" {
			continue
		}
		if err := os.WriteFile(name, data, 0o644); err != nil {
			return nil, fault.Wrap(fault.KindBadRequest, err, "cannot write the table file")
		}
	}
	return v, nil
}

func (v exportView) writeText(w io.Writer) {
	if v.files.Routes == "" && v.files.Pools == "" {
		fmt.Fprintf(w, "# routes\n%s---\n# pools\n%s", v.routes, v.pools)
		return
	}
	fmt.Fprintf(w, "version %d written\n", v.Head.Version)
}

func (v historyView) writeText(w io.Writer) {
	for _, e := range v.Versions {
		fmt.Fprintf(w, "version %d  %s  %s  %s\n", e.Version, e.AcceptedAt.Format(time.RFC3339), e.Author, e.Reason)
		for _, c := range e.Changes {
			fmt.Fprintln(w, "   ", c)
		}
	}
}

// MarshalJSON encodes the versions as a list.
func (v historyView) MarshalJSON() ([]byte, error) { return marshalList(v.Versions) }

func (v snapshotView) writeText(w io.Writer) {
	state := "not in force everywhere"
	if v.InForce {
		state = "in force everywhere"
	}
	if len(v.Instances) == 0 {
		state = "no instance is listed"
	}
	if v.StoreError != "" {
		state = "platform: " + v.StoreError
	}
	fmt.Fprintf(w, "%s  version %d, %s\n", v.At.Format(time.TimeOnly), v.Accepted, state)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "INSTANCE\tZONE\tVERSION\tSTATE\tIN FLIGHT")
	for _, in := range v.Instances {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%s\t%d\n", in.ID, in.Zone, in.Version, instanceState(in), in.InFlight)
	}
	fmt.Fprintln(tw, "\nPOOL\tREGION\tP50 MS\tP99 MS\tHEADROOM\tIN FLIGHT\tQUEUED\tSLOTS\tDRAINING")
	for _, p := range v.Pools {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%.0f%%\t%d\t%d\t%d\t%d\n",
			p.Pool, p.Region, formatMS(p.LatencyMS), formatMS(p.P99LatencyMS), 100*p.Headroom, p.InFlight, p.Queued, p.Slots, p.Draining)
	}
	tw.Flush()
	fmt.Fprintln(w)
}

// instanceState describes the state of an instance, or its error.
func instanceState(in operate.InstanceState) string {
	switch {
	case in.Error != "":
		return in.Error
	case in.Rejected > 0:
		return fmt.Sprintf("rejected version %d", in.Rejected)
	case in.Leaving:
		return "leaving"
	}
	return "serving"
}

// formatMS formats milliseconds, or returns "-" for 0, which means not measured.
func formatMS(ms float64) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", ms)
}

func (v explanationView) writeText(w io.Writer) {
	fmt.Fprintf(w, "instance %s at version %d, route %s: %s", v.Instance, v.Version, v.Route, v.Verdict)
	for _, part := range []struct{ name, value string }{{"pool", v.Pool}, {"target", v.Target}, {"zone", v.Zone}, {"kind", v.Kind}} {
		if part.value != "" {
			fmt.Fprintf(w, ", %s %s", part.name, part.value)
		}
	}
	if v.RetryAfterMS > 0 {
		fmt.Fprintf(w, ", come back in %.0f ms", v.RetryAfterMS)
	}
	fmt.Fprintln(w)
	writeWorkspace(w, v.Workspace)
	if v.Request != nil {
		writeRequest(w, v.Request)
	}
	for _, p := range v.Pools {
		writePool(w, p)
	}
	writeLookup(w, v.Explanation)
}

// writePool writes how a pool was considered.
func writePool(w io.Writer, p wire.PoolExplanation) {
	fmt.Fprintf(w, "  pool %s (%s), planned share %.1f%%: %s\n", p.Pool, p.Region, 100*p.Share, eligibility(p.Excluded))
	for _, tg := range p.Targets {
		fmt.Fprintf(w, "    target %s (%s), %d in flight of %d%s: %s\n", tg.Target, tg.Zone, tg.InFlight, tg.Share, workFactor(tg), eligibility(tg.Excluded))
	}
	for _, z := range p.Zones {
		fmt.Fprintf(w, "    zone %s, costs %.1f ms more: %s\n", z.Zone, z.CostMS, eligibility(z.Excluded))
	}
}

// workFactor returns the part of a target's line about its reported work factor.
func workFactor(tg wire.TargetExplanation) string {
	if tg.WorkFactor == 0 {
		return ""
	}
	return fmt.Sprintf(", reported %.0f ms ago that work takes %.2f times as long as usual", tg.WorkFactorAgeMS, tg.WorkFactor)
}

func eligibility(excluded string) string {
	if excluded == "" {
		return "may be chosen"
	}
	return "excluded, " + excluded
}
