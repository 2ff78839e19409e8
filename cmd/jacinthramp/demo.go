package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/jacinthramp/jacinthramp/pkg/demo"
)

// demoCommand returns the command that runs instances, targets and a platform in
// one process.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run 11 instances in six zones with stand-ins, and measure the results of callers",
		Description: "Makes one edit, one planned drain, one target crash and one store outage under traffic,\n" +
			"ends within 30 s, and exits with code 1 when an invariant was violated.\n\nExamples:\n\n" +
			"    jacinthramp demo\n" +
			"    jacinthramp demo --output json",
		Flags:  []cli.Flag{outputFlag()},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	report, err := demo.Run(ctx, demo.Options{Progress: func(line string) { fmt.Fprintln(os.Stderr, line) }})
	if err != nil {
		return err
	}
	if cmd.String("output") == outputJSON {
		err = writeJSON(outputWriter(cmd), report)
	} else {
		err = report.WriteText(outputWriter(cmd))
	}
	if err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return violationsError(report.Violations)
	}
	return nil
}
