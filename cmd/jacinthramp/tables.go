package main

import (
	"context"
	"slices"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/operate"
)

// categoryTables is the help category of the commands that edit the tables.
const categoryTables = "tables"

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:     "validate",
		Category: categoryTables,
		Usage:    "check table files",
		Description: "Checks syntax and content, and lists every problem with file, line, row and field.\n" +
			"With one file, the other table is read from the platform.\n\nExamples:\n\n" +
			"    jacinthramp validate --routes routes.yaml --pools pools.yaml\n" +
			"    jacinthramp validate --pools pools.yaml --platform 10.0.0.5:7400 --output json",
		Flags: slices.Concat(fileFlags(), platformFlags(), []cli.Flag{outputFlag()}),
		Action: taskAction(false, withTimeout(func(ctx context.Context, cmd *cli.Command, s *operate.Session) (printable, error) {
			v, err := s.Validate(ctx, tableFiles(cmd))
			return validationView{v}, err
		})),
	}
}

func planCommand() *cli.Command {
	return &cli.Command{
		Name:     "plan",
		Category: categoryTables,
		Usage:    "show what an edit changes",
		Description: "Compares table files with the version in force: rows, traffic that moves, how long the\n" +
			"shift caps make it take, capacity and warnings. Changes nothing.\n\nExample:\n\n" +
			"    jacinthramp plan --routes routes.yaml --platform 10.0.0.5:7400",
		Flags: slices.Concat(fileFlags(), platformFlags(), []cli.Flag{outputFlag()}),
		Action: taskAction(true, withTimeout(func(ctx context.Context, cmd *cli.Command, s *operate.Session) (printable, error) {
			p, err := s.Plan(ctx, tableFiles(cmd))
			return planView{p}, err
		})),
	}
}

func applyCommand() *cli.Command {
	editIDFlag := &cli.StringFlag{Name: "edit-id", Usage: "`ID` of the edit; repeat it if it is unknown whether the edit was accepted"}
	return &cli.Command{
		Name:     "apply",
		Category: categoryTables,
		Usage:    "make an edit the next version",
		Description: "The files state the version that they are based on. If another edit has been accepted\n" +
			"since, the edit is refused with exit code 3 and both edits are shown. A limit below the\n" +
			"requests in flight is refused. Applying the same edit id twice changes nothing.\n\nExamples:\n\n" +
			"    jacinthramp apply --routes routes.yaml --pools pools.yaml --reason \"add route archive\" --wait 15s\n" +
			"    jacinthramp apply --pools pools.yaml --edit-id 7f0d1c1e-0b6c-4c39-9a55-0a4d8f9b7f11",
		Flags: slices.Concat(fileFlags(), platformFlags(), metadataFlags(), []cli.Flag{editIDFlag, waitFlag(), outputFlag()}),
		Action: taskAction(true, func(ctx context.Context, cmd *cli.Command, s *operate.Session) (printable, error) {
			meta := operate.EditMetadata{EditID: cmd.String("edit-id"), Author: cmd.String("author"), Reason: cmd.String("reason")}
			if meta.EditID == "" {
				meta.EditID = uuid.NewString()
			}
			return runEdit(ctx, cmd, s, func(ctx context.Context) (operate.ApplyResult, error) {
				return s.Apply(ctx, tableFiles(cmd), meta)
			})
		}),
	}
}

// runEdit runs edit within --timeout, then waits up to --wait until it is in force.
func runEdit(ctx context.Context, cmd *cli.Command, s *operate.Session, edit func(context.Context) (operate.ApplyResult, error)) (printable, error) {
	editCtx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	applied, err := edit(editCtx)
	view := appliedView{ApplyResult: applied}
	if err != nil || cmd.Duration("wait") <= 0 {
		return view, err
	}
	waited, err := s.AwaitInForce(ctx, applied.Head, cmd.Duration("wait"))
	view.Waited = &waited
	return view, err
}

func exportCommand() *cli.Command {
	return &cli.Command{
		Name:     "export",
		Category: categoryTables,
		Usage:    "write a version to table files",
		Description: "Writes the version in force, or an older one, to the named files, or both tables to\n" +
			"standard output. The files state the version, so that they can be edited and applied.\n\nExamples:\n\n" +
			"    jacinthramp export --routes routes.yaml --pools pools.yaml\n" +
			"    jacinthramp export --version 17 --output json",
		Flags: slices.Concat([]cli.Flag{
			&cli.StringFlag{Name: "routes", Usage: "`FILE` to write the routes table to", TakesFile: true},
			&cli.StringFlag{Name: "pools", Usage: "`FILE` to write the pools table to", TakesFile: true},
			&cli.Uint64Flag{Name: "version", Usage: "`VERSION` to write; 0 is the one in force"},
		}, platformFlags(), []cli.Flag{outputFlag()}),
		Action: taskAction(true, withTimeout(func(ctx context.Context, cmd *cli.Command, s *operate.Session) (printable, error) {
			exported, err := s.Export(ctx, cmd.Uint64("version"))
			if err != nil {
				return nil, err
			}
			return exportFiles(exported, tableFiles(cmd))
		})),
	}
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:     "history",
		Category: categoryTables,
		Usage:    "list the accepted versions with author, time and changes",
		Description: "Examples:\n\n" +
			"    jacinthramp history --latest 5 --changes\n" +
			"    jacinthramp history --output json",
		Flags: slices.Concat([]cli.Flag{
			&cli.IntFlag{Name: "latest", Value: 20, Usage: "largest `NUMBER` of versions"},
			&cli.BoolFlag{Name: "changes", Usage: "show what each version changed"},
		}, platformFlags(), []cli.Flag{outputFlag()}),
		Action: taskAction(true, withTimeout(func(ctx context.Context, cmd *cli.Command, s *operate.Session) (printable, error) {
			entries, err := s.History(ctx, cmd.Int("latest"), cmd.Bool("changes"))
			return historyView{entries}, err
		})),
	}
}

func drainCommand() *cli.Command {
	return drainMarkCommand("drain", "stop sending new requests to a target or a pool", false)
}

func undrainCommand() *cli.Command {
	return drainMarkCommand("undrain", "resume sending requests to a target or a pool", true)
}

// drainMarkCommand returns the command that sets a drain mark, or clears it with
// undrain.
func drainMarkCommand(name, usage string, undrain bool) *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "target", Usage: "`NAME` of a target"},
		&cli.StringFlag{Name: "pool", Usage: "`NAME` of a pool"},
	}
	if !undrain {
		flags = append(flags, &cli.BoolFlag{Name: "allow-stranded", Usage: "allow a drain that leaves a route without any target"})
	}
	return &cli.Command{
		Name:     name,
		Category: categoryTables,
		Usage:    usage,
		Description: "Edits the drain mark in the pools table. When another edit is accepted first, the drain\n" +
			"is retried on that version.\n\nExamples:\n\n" +
			"    jacinthramp " + name + " --target feedlog-1 --wait 15s\n" +
			"    jacinthramp " + name + " --pool feedlog-osrednja --reason \"planned work\"",
		Flags: slices.Concat(flags, platformFlags(), metadataFlags(), []cli.Flag{waitFlag(), outputFlag()}),
		Action: taskAction(true, func(ctx context.Context, cmd *cli.Command, s *operate.Session) (printable, error) {
			d := operate.DrainRequest{
				Target: cmd.String("target"), Pool: cmd.String("pool"), Undrain: undrain,
				AllowStranded: cmd.Bool("allow-stranded"), Author: cmd.String("author"), Reason: cmd.String("reason"),
			}
			return runEdit(ctx, cmd, s, func(ctx context.Context) (operate.ApplyResult, error) { return s.Drain(ctx, d) })
		}),
	}
}

// categoryInspect is the help category of the commands that inspect the running
// system.
const categoryInspect = "running system"

func watchCommand() *cli.Command {
	return &cli.Command{
		Name:     "watch",
		Category: categoryInspect,
		Usage:    "show the version in force, latency, headroom and draining",
		Description: "Queries every instance of the platform's list once per second until interrupted. With\n" +
			"--output json, each snapshot is one object.\n\nExamples:\n\n" +
			"    jacinthramp watch --platform 10.0.0.5:7400\n" +
			"    jacinthramp watch --once --output json",
		Flags: slices.Concat([]cli.Flag{&cli.BoolFlag{Name: "once", Usage: "show one snapshot and exit"}}, platformFlags(), []cli.Flag{outputFlag()}),
		Action: taskAction(true, func(ctx context.Context, cmd *cli.Command, s *operate.Session) (printable, error) {
			ctx, stop := untilSignal(ctx)
			defer stop()
			err := s.Watch(ctx, cmd.Bool("once"), func(snap operate.Snapshot) error {
				return printResult(cmd, snapshotView{snap})
			})
			return noOutput{}, err
		}),
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:     "explain",
		Category: categoryInspect,
		Usage:    "show where an instance would send a request now, and why",
		Description: "Sends nothing and changes nothing: the instance runs the code that decides on requests\n" +
			"without claiming anything. See docs/operators/explain.md.\n\n" +
			"Examples:\n\n" +
			"    jacinthramp explain --route certdesk\n" +
			"    jacinthramp explain --host ledger.example --path /certdesk/7 --member dol --instance osrednja-a-1\n" +
			"    jacinthramp explain --path /certdesk/7 --method POST --object 7 --workspace mura --zone osrednja-b\n" +
			"    jacinthramp explain --path /certdesk/7 --object 7 --json",
		Flags:  slices.Concat(explainFlags(), platformFlags(), []cli.Flag{outputFlag(), &cli.BoolFlag{Name: "json", Usage: "the same as --output json"}}),
		Action: taskAction(true, withTimeout(explainTask)),
	}
}

// explainFlags describe the request to explain.
func explainFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "instance", Usage: "`ID` of the instance to query; if omitted, the first that responds"},
		&cli.StringFlag{Name: "route", Usage: "`NAME` of a route"},
		&cli.StringFlag{Name: "host", Usage: "`HOST` of the request"},
		&cli.StringFlag{Name: "path", Usage: "`PATH` of the request"},
		&cli.StringFlag{Name: "method", Value: "GET", Usage: "`METHOD` of the request"},
		&cli.StringFlag{Name: "member", Usage: "`MEMBER` on whose behalf it is sent"},
		&cli.StringFlag{Name: "object", Usage: "`OBJECT` that the request is about, as callers name it"},
		&cli.StringFlag{Name: "workspace", Usage: "`NAME` of the caller's workspace (never its key)"},
		&cli.StringFlag{Name: "zone", Usage: "availability `ZONE` of the caller, for the look-up"},
	}
}

// explainTask runs the command explain.
func explainTask(ctx context.Context, cmd *cli.Command, s *operate.Session) (printable, error) {
	q := operate.ExplainQuery{
		Instance: cmd.String("instance"), Route: cmd.String("route"), Host: cmd.String("host"),
		Path: cmd.String("path"), Method: cmd.String("method"), Member: cmd.String("member"),
		Object: cmd.String("object"), Workspace: cmd.String("workspace"), Zone: cmd.String("zone"),
	}
	if q.Route == "" && q.Path == "" {
		return nil, fault.New(fault.KindBadRequest, "--route, or --path with --host, is required")
	}
	e, err := s.Explain(ctx, q)
	return explanationView{e}, err
}
