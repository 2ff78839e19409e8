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

// loadCommand sends load to a running system.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send open-loop load to a running system on loopback and check every answer",
		Description: "Latency is measured from when a request was due. The exit code is 1 when an\n" +
			"invariant was seen broken. Example:\n\n" +
			"    jacinthramp load --config examples/load.yaml --rate 200 --duration 10s --output json",
		Flags: []cli.Flag{
			configFlag(),
			&cli.FloatFlag{Name: "rate", Usage: "requests a second, in place of the settings' `RATE`"},
			&cli.DurationFlag{Name: "duration", Usage: "how long to send, in place of the settings' `TIME`"},
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
	fmt.Fprintf(os.Stderr, "sending %v requests a second for %v\n", s.Rate, s.Duration)
	start := time.Now()
	rep, err := load.Run(ctx, s)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "done after %v\n", time.Since(start).Round(time.Millisecond))
	if err := writeLoadReport(os.Stdout, cmd.String("output"), rep); err != nil {
		return err
	}
	if broken := rep.Violations(); len(broken) > 0 {
		return brokenError(broken)
	}
	return nil
}

// brokenError reports broken invariants; its exit code is fault.ExitFailure.
func brokenError(broken []string) error {
	return fault.New(fault.KindInvariantBroken, "broken: %s", strings.Join(broken, "; "))
}

func writeLoadReport(w io.Writer, format string, rep load.Report) error {
	if format == outputJSON {
		return writeJSON(w, rep)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range []struct {
		name  string
		value int
	}{
		{"requests", rep.Requests},
		{"completed", rep.Completed},
		{"not run", rep.NotRun},
		{"unknown", rep.Unknown},
		{"wrong answers", rep.WrongResponses},
		{"duplicate runs", rep.DuplicateRuns},
		{"false not run", rep.FalseNotRun},
		{"cut off", rep.CutOff},
		{"unanswered", rep.TimedOut},
		{"target errors", rep.TargetErrors},
		{"submissions", rep.Submissions},
	} {
		fmt.Fprintf(t, "%s\t%d\n", row.name, row.value)
	}
	for _, kind := range slices.Sorted(maps.Keys(rep.ErrorKinds)) {
		fmt.Fprintf(t, "answers %s\t%d\n", kind, rep.ErrorKinds[kind])
	}
	fmt.Fprintf(t, "\nlatency in ms\trequests\tcompleted\tp50\tp90\tp99\tp99.9\tmax\n")
	writePart(t, "all", load.GroupStats{Requests: rep.Requests, Completed: rep.Completed, LatencyMS: rep.LatencyMS})
	for _, name := range slices.Sorted(maps.Keys(rep.Routes)) {
		writePart(t, "route "+name, rep.Routes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(rep.Members)) {
		writePart(t, "member "+name, rep.Members[name])
	}
	return t.Flush()
}

func writePart(w io.Writer, name string, p load.GroupStats) {
	l := p.LatencyMS
	fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", name, p.Requests, p.Completed, l.P50, l.P90, l.P99, l.P999, l.Max)
}
