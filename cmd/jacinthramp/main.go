// Command jacinthramp is the operators' command. It edits the tables, watches the
// running system, computes capacity, and runs the demo, the load generator and the
// stand-ins.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

func main() {
	err := newRoot().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "jacinthramp:", err)
	os.Exit(exitCode(err))
}

// newRoot returns the command with all subcommands.
func newRoot() *cli.Command {
	return &cli.Command{
		Name:                  "jacinthramp",
		Usage:                 "steer traffic between regions with two tables, routes and pools",
		EnableShellCompletion: true,
		Commands:              commands(),
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
	}
}

// exitCode returns the exit code of err's kind. An error without a kind comes from
// the parsing of the command line.
func exitCode(err error) int {
	if k := fault.KindOf(err); k != fault.KindNone {
		return k.Info().ExitCode
	}
	return fault.ExitUsage
}
