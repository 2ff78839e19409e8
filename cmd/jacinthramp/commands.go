package main

import "github.com/urfave/cli/v3"

// commands lists the subcommands, one constructor a line.
func commands() []*cli.Command {
	return []*cli.Command{
		standinCommand(),
		loadCommand(),
		demoCommand(),
		validateCommand(),
		planCommand(),
		applyCommand(),
		exportCommand(),
		historyCommand(),
		drainCommand(),
		undrainCommand(),
		watchCommand(),
		explainCommand(),
		capacityCommand(),
		slopesCommand(),
	}
}
