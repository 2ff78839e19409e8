// Command jacinthrampd is one instance of the traffic steering system.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "jacinthrampd:", err)
		os.Exit(exitCode(err))
	}
}

// command returns the command line.
func command() *cli.Command {
	return &cli.Command{
		Name:        "jacinthrampd",
		Usage:       "run one instance of the traffic steering system",
		Description: "Example:\n\n    jacinthrampd --config examples/instance-1.yaml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE` in YAML", Required: true},
			&cli.BoolFlag{Name: "check-config", Usage: "check the settings and exit"},
		},
		Action:         run,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// exitCode returns the exit code of err's kind; an error without a kind comes
// from the command line's own parsing.
func exitCode(err error) int {
	if k := fault.KindOf(err); k != fault.KindNone {
		return k.Answer().Exit
	}
	return fault.ExitUsage
}

// run checks the settings and serves until SIGINT or SIGTERM.
func run(ctx context.Context, cmd *cli.Command) error {
	s, err := settings.Load(cmd.String("config"))
	if err != nil {
		return err
	}
	if cmd.Bool("check-config") {
		fmt.Println("settings are valid")
		return nil
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return serve(ctx, s)
}
