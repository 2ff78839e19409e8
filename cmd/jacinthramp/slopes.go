package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/slopes"
)

// slopesCommand measures the slopes of the capacity page.
func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure how the needs grow, and write the slopes that capacity computes from",
		Description: "Slopes in the file that are not measured stay as they are. What needs instances of their\n" +
			"own process is not measured, since the command starts none; docs/CAPACITY.md has its\n" +
			"command. Slopes are written also when others can't be measured, with the exit code 1.\n\nExamples:\n\n" +
			"    jacinthramp slopes --write docs/capacity/slopes.yaml --note \"idle machine\"\n" +
			"    jacinthramp slopes --write docs/capacity/slopes.yaml --only block_lookup_ns --runs 3",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "write", Usage: "slopes `FILE` to bring up to date", Required: true, TakesFile: true},
			&cli.StringFlag{Name: "only", Usage: "`NAME` of the only slope to measure"},
			&cli.IntFlag{Name: "runs", Value: 5, Usage: "`NUMBER` of runs of each measurement, at least 1"},
			&cli.StringFlag{Name: "note", Usage: "`TEXT` on the conditions, for the file"},
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
