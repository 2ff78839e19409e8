package main

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jacinthramp/jacinthramp/pkg/decision/block"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/operate"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/operator"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

// The output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// outputFlag selects the output format.
func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputText, Usage: "`FORMAT` of the output, text or json", Validator: func(v string) error {
		if v != outputText && v != outputJSON {
			return fmt.Errorf("unknown format %q; accepted: text, json", v)
		}
		return nil
	}}
}

// platformFlags set the platform's address, the TLS files and the timeout.
func platformFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "platform", Usage: "`ADDRESS` of the platform, an IP address and port or a URL", Sources: cli.EnvVars("JACINTHRAMP_PLATFORM")},
		&cli.StringFlag{Name: "tls-certificate", Usage: "PEM `FILE` with the client certificate for instances and for an https platform", TakesFile: true, Sources: cli.EnvVars("JACINTHRAMP_TLS_CERTIFICATE")},
		&cli.StringFlag{Name: "tls-key", Usage: "PEM `FILE` with the certificate's key", TakesFile: true, Sources: cli.EnvVars("JACINTHRAMP_TLS_KEY")},
		&cli.StringFlag{Name: "tls-authority", Usage: "PEM `FILE` with the authority that signs all certificates", TakesFile: true, Sources: cli.EnvVars("JACINTHRAMP_TLS_AUTHORITY")},
		&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "longest `TIME` to wait for the platform"},
	}
}

// fileFlags name the files of an edit.
func fileFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "routes", Usage: "`FILE` with the routes table; if omitted, the table of the edited version is kept", TakesFile: true},
		&cli.StringFlag{Name: "pools", Usage: "`FILE` with the pools table; if omitted, the table of the edited version is kept", TakesFile: true},
		&cli.StringFlag{Name: "blocks", Usage: "`FILE` with the callers' blocks, one prefix and site per line; if omitted, the blocks are kept; an empty file removes them", TakesFile: true},
	}
}

// metadataFlags set the author and reason of an edit.
func metadataFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "author", Usage: "`NAME` of the author, for the history", Value: "unknown", Sources: cli.EnvVars("JACINTHRAMP_AUTHOR", "USER")},
		&cli.StringFlag{Name: "reason", Usage: "`TEXT` of the reason, for the history"},
	}
}

// waitFlag makes the command wait until its edit is in force.
func waitFlag() cli.Flag {
	return &cli.DurationFlag{Name: "wait", Usage: "wait up to `TIME` until the edit is in force on every instance"}
}

// tableFiles returns the files that the flags of cmd name.
func tableFiles(cmd *cli.Command) operate.Files {
	return operate.Files{Routes: cmd.String("routes"), Pools: cmd.String("pools"), Blocks: cmd.String("blocks")}
}

// sessionTask implements one subcommand. It returns the result to print.
type sessionTask func(ctx context.Context, cmd *cli.Command, s *operate.Session) (printable, error)

// printable is a result that can be written as text or encoded as JSON.
type printable interface {
	writeText(w io.Writer)
}

// taskAction returns an action that runs a task with a session and prints its
// result or error. With needsPlatform, a missing --platform is an error.
func taskAction(needsPlatform bool, task sessionTask) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if cmd.Args().Present() {
			return fault.New(fault.KindBadRequest, "unexpected argument %q; see %s --help", cmd.Args().First(), cmd.Name)
		}
		s, closeSession, err := newSession(cmd, needsPlatform)
		if err != nil {
			return err
		}
		defer closeSession()
		result, err := task(ctx, cmd, s)
		if err != nil {
			return printError(cmd, err)
		}
		return printResult(cmd, result)
	}
}

// withTimeout bounds the time of a task by the --timeout flag.
func withTimeout(task sessionTask) sessionTask {
	return func(ctx context.Context, cmd *cli.Command, s *operate.Session) (printable, error) {
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
		defer cancel()
		return task(ctx, cmd, s)
	}
}

// newSession returns a session with clients for the platform and the instances,
// and a function that closes them. Without --platform the session is empty, which
// is an error with needsPlatform.
func newSession(cmd *cli.Command, needsPlatform bool) (*operate.Session, func(), error) {
	base := cmd.String("platform")
	if base == "" {
		if needsPlatform {
			return nil, nil, fault.New(fault.KindBadRequest, "--platform or JACINTHRAMP_PLATFORM is required")
		}
		return &operate.Session{}, func() {}, nil
	}
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	platformTLS, instanceTLS, err := tlsConfigs(cmd)
	if err != nil {
		return nil, nil, err
	}
	p := platform.NewTLSClient(base, platformTLS)
	admin := operator.NewClient(instanceTLS)
	closeAll := func() {
		p.Close()
		admin.Close()
	}
	return &operate.Session{Tables: p, Objects: p, Instances: p, Admin: admin}, closeAll, nil
}

// tlsConfigs loads the certificates that the flags name. The platform's certificate
// is verified by host name and authority, those of instances by authority only.
// Both results are nil if no file is named.
func tlsConfigs(cmd *cli.Command) (platformTLS, instanceTLS *tls.Config, err error) {
	f := instance.IdentityFiles{Certificate: cmd.String("tls-certificate"), Key: cmd.String("tls-key"), Authority: cmd.String("tls-authority")}
	if f == (instance.IdentityFiles{}) {
		return nil, nil, nil
	}
	if f.Certificate == "" || f.Key == "" || f.Authority == "" {
		return nil, nil, fault.New(fault.KindBadRequest, "--tls-certificate, --tls-key and --tls-authority are required together")
	}
	identity, err := instance.LoadIdentity(f)
	if err != nil {
		return nil, nil, err
	}
	return identity.HostnameTLS(), identity.ClientTLS(), nil
}

// printResult writes a result in the selected format.
func printResult(cmd *cli.Command, v printable) error {
	w := outputWriter(cmd)
	if !wantsJSON(cmd) {
		v.writeText(w)
		return nil
	}
	return writeJSON(w, v)
}

// wantsJSON reports whether results are to be printed as JSON.
func wantsJSON(cmd *cli.Command) bool {
	return cmd.String("output") == outputJSON || cmd.Bool("json")
}

// outputWriter returns the writer for results.
func outputWriter(cmd *cli.Command) io.Writer {
	if w := cmd.Root().Writer; w != nil {
		return w
	}
	return os.Stdout
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// errorMessage is the JSON output of a failed task.
type errorMessage struct {
	Kind     string                    `json:"kind"`
	Message  string                    `json:"message"`
	Problems []table.Problem           `json:"problems,omitempty"`
	Blocks   []block.Problem           `json:"blocks,omitempty"`
	Conflict *tablestore.ConflictError `json:"conflict,omitempty"`
}

// printError writes err as JSON if that format is selected, and returns err.
func printError(cmd *cli.Command, err error) error {
	if !wantsJSON(cmd) {
		return err
	}
	m := errorMessage{Kind: fault.KindOf(err).String(), Message: err.Error()}
	var invalidTables *table.InvalidError
	if errors.As(err, &invalidTables) {
		m.Problems = invalidTables.Problems
	}
	var invalidBlocks *block.InvalidError
	if errors.As(err, &invalidBlocks) {
		m.Blocks = invalidBlocks.Problems
	}
	errors.As(err, &m.Conflict)
	if werr := writeJSON(outputWriter(cmd), map[string]errorMessage{"error": m}); werr != nil {
		return werr
	}
	return err
}

// marshalList encodes a list as JSON, a nil list as [].
func marshalList[T any](list []T) ([]byte, error) {
	if list == nil {
		list = []T{}
	}
	return json.Marshal(list)
}
