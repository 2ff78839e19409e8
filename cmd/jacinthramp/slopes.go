package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/slopes"
)

// slopesCommand returns the command that measures the slopes for capacity.
func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure how resource needs grow, and write the slopes that capacity uses",
		Description: "Slopes in the file that are not measured stay unchanged. Slopes that need instances in\n" +
			"separate processes are not measured, since this command starts none; docs/CAPACITY.md has\n" +
			"the command for them. If some slopes cannot be measured, the others are still written and\nthe exit code is 1.\n\nExamples:\n\n" +
			"    jacinthramp slopes --write docs/capacity/slopes.yaml --note \"idle machine\"\n" +
			"    jacinthramp slopes --write docs/capacity/slopes.yaml --only block_lookup_ns --runs 3",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "write", Usage: "slopes `FILE` to update", Required: true, TakesFile: true},
			&cli.StringFlag{Name: "only", Usage: "`NAME` of a single slope to measure"},
			&cli.IntFlag{Name: "runs", Value: 5, Usage: "`NUMBER` of runs of each measurement, at least 1"},
			&cli.StringFlag{Name: "note", Usage: "`TEXT` that describes the conditions, written to the file"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, stop := untilSignal(ctx)
			defer stop()
			file := cmd.String("write")
			list, err := slopes.ReadFile(file)
			if err != nil {
				return err
			}
			o := slopes.Options{Only: cmd.String("only"), Runs: cmd.Int("runs"), Note: cmd.String("note"), FullScale: true}
			failed := slopes.Measure(ctx, list, o)
			if fault.KindOf(failed) == fault.KindBadRequest {
				return failed
			}
			if err := slopes.WriteFile(file, list); err != nil {
				return err
			}
			return failed
		},
	}
}
