package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/jacinthramp/jacinthramp/pkg/standin/platform"
	"github.com/jacinthramp/jacinthramp/pkg/standin/target"
)

// configFlag names the settings file of a stand-in or of the load generator.
func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Usage: "settings `FILE` in YAML", Required: true}
}

// standinCommand returns the command that runs stand-ins for the platform and the
// targets.
func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for the platform or for targets, for tests on loopback",
		Commands: []*cli.Command{
			standinPlatformCommand(),
			standinTargetCommand(),
		},
	}
}

// standinPlatformCommand returns the command that runs a stand-in for the platform.
func standinPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:        "platform",
		Usage:       "run a table service, object store and list of instances, in memory",
		Description: "Example:\n\n    jacinthramp standin platform --config examples/platform.yaml",
		Flags:       []cli.Flag{configFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			settings, err := platform.LoadSettings(cmd.String("config"))
			if err != nil {
				return err
			}
			ctx, stop := untilSignal(ctx)
			defer stop()
			return platform.Run(ctx, settings, func(address string) {
				fmt.Fprintf(os.Stderr, "platform stand-in listening on %s\n", address)
			})
		},
	}
}

// standinTargetCommand returns the command that runs stand-ins for targets.
func standinTargetCommand() *cli.Command {
	return &cli.Command{
		Name:        "target",
		Usage:       "run targets with slots, cold starts, shedding, draining and faults",
		Description: "Example:\n\n    jacinthramp standin target --config examples/target-1.yaml",
		Flags:       []cli.Flag{configFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			settings, err := target.LoadSettings(cmd.String("config"))
			if err != nil {
				return err
			}
			ctx, stop := untilSignal(ctx)
			defer stop()
			return target.Run(ctx, settings, func() {
				fmt.Fprintf(os.Stderr, "%d target stand-ins listening, control interface on %s\n", len(settings.Targets), settings.Control)
			})
		},
	}
}

// untilSignal returns a context that is cancelled on SIGINT or SIGTERM.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
}
