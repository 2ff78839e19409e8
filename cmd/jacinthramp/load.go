package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/load"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// loadCommand returns the command that sends load to a running system.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send open-loop load to a running system on loopback and check every response",
		Description: "Latency is measured from the time at which a request was due. The exit code is 1 when\n" +
			"an invariant was violated. Example:\n\n" +
			"    jacinthramp load --config examples/load.yaml --rate 200 --duration 10s --output json",
		Flags: []cli.Flag{
			configFlag(),
			&cli.FloatFlag{Name: "rate", Usage: "requests per second; overrides the settings' `RATE`"},
			&cli.DurationFlag{Name: "duration", Usage: "duration of the load; overrides the settings' `TIME`"},
			outputFlag(),
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	s, err := load.LoadSettings(cmd.String("config"))
	if err != nil {
		return err
	}
	if cmd.IsSet("rate") {
		s.Rate = cmd.Float("rate")
	}
	if cmd.IsSet("duration") {
		s.Duration = table.Duration(cmd.Duration("duration"))
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	fmt.Fprintf(os.Stderr, "sending %v requests per second for %v\n", s.Rate, s.Duration)
	start := time.Now()
	report, err := load.Run(ctx, s)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "done after %v\n", time.Since(start).Round(time.Millisecond))
	if err := writeLoadReport(os.Stdout, cmd.String("output"), report); err != nil {
		return err
	}
	if violations := report.Violations(); len(violations) > 0 {
		return violationsError(violations)
	}
	return nil
}

// violationsError returns an error that lists the violated invariants. Its exit code
// is fault.ExitFailure.
func violationsError(violations []string) error {
	return fault.New(fault.KindInvariantBroken, "invariants violated: %s", strings.Join(violations, "; "))
}

func writeLoadReport(w io.Writer, format string, report load.Report) error {
	if format == outputJSON {
		return writeJSON(w, report)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range []struct {
		name  string
		value int
	}{
		{"requests", report.Requests},
		{"completed", report.Completed},
		{"not run", report.NotRun},
		{"unknown", report.Unknown},
		{"wrong answers", report.WrongResponses},
		{"duplicate runs", report.DuplicateRuns},
		{"false not run", report.FalseNotRun},
		{"cut off", report.AbortedSubmissions},
		{"unanswered", report.TimedOut},
		{"target errors", report.TargetErrors},
		{"submissions", report.Submissions},
	} {
		fmt.Fprintf(t, "%s\t%d\n", row.name, row.value)
	}
	for _, kind := range slices.Sorted(maps.Keys(report.ErrorKinds)) {
		fmt.Fprintf(t, "answers %s\t%d\n", kind, report.ErrorKinds[kind])
	}
	fmt.Fprintf(t, "\nlatency in ms\trequests\tcompleted\tp50\tp90\tp99\tp99.9\tmax\n")
	writeLatencyRow(t, "all", load.GroupStats{Requests: report.Requests, Completed: report.Completed, LatencyMS: report.LatencyMS})
	for _, name := range slices.Sorted(maps.Keys(report.Routes)) {
		writeLatencyRow(t, "route "+name, report.Routes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(report.Members)) {
		writeLatencyRow(t, "member "+name, report.Members[name])
	}
	return t.Flush()
}

func writeLatencyRow(w io.Writer, name string, stats load.GroupStats) {
	l := stats.LatencyMS
	fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", name, stats.Requests, stats.Completed, l.P50, l.P90, l.P99, l.P999, l.Max)
}
