package main

import "github.com/urfave/cli/v3"

// commands returns the subcommands.
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
