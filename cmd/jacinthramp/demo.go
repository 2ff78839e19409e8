package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/jacinthramp/jacinthramp/pkg/demo"
)

// demoCommand runs a whole federation in one process.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run 11 instances in six zones with stand-ins, and measure what callers see",
		Description: "Makes one edit, one planned drain, one target crash and one store outage under traffic,\n" +
			"ends by itself within 30 s, and has the exit code 1 when an invariant broke.\n\nExamples:\n\n" +
			"    jacinthramp demo\n" +
			"    jacinthramp demo --output json",
		Flags:  []cli.Flag{outputFlag()},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	rep, err := demo.Run(ctx, demo.Options{Progress: func(line string) { fmt.Fprintln(os.Stderr, line) }})
	if err != nil {
		return err
	}
	if cmd.String("output") == outputJSON {
		err = writeJSON(writerOf(cmd), rep)
	} else {
		err = rep.WriteText(writerOf(cmd))
	}
	if err != nil {
		return err
	}
	if len(rep.Violations) > 0 {
		return brokenError(rep.Violations)
	}
	return nil
}
