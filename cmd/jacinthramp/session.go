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

// The forms of output.
const (
	outputText = "text"
	outputJSON = "json"
)

// outputFlag chooses the form of the output.
func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputText, Usage: "`FORM` of the output, text or json", Validator: func(v string) error {
		if v != outputText && v != outputJSON {
			return fmt.Errorf("%q is unknown; accepted: text, json", v)
		}
		return nil
	}}
}

// platformFlags name the platform and the time to wait for it.
func platformFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "platform", Usage: "`ADDRESS` of the platform, an IP number and port or a URL", Sources: cli.EnvVars("JACINTHRAMP_PLATFORM")},
		&cli.StringFlag{Name: "tls-certificate", Usage: "PEM `FILE` with the certificate to show to instances and to an https platform", TakesFile: true, Sources: cli.EnvVars("JACINTHRAMP_TLS_CERTIFICATE")},
		&cli.StringFlag{Name: "tls-key", Usage: "PEM `FILE` with the certificate's key", TakesFile: true, Sources: cli.EnvVars("JACINTHRAMP_TLS_KEY")},
		&cli.StringFlag{Name: "tls-authority", Usage: "PEM `FILE` with the authority of all certificates", TakesFile: true, Sources: cli.EnvVars("JACINTHRAMP_TLS_AUTHORITY")},
		&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "longest `TIME` for the platform's answers"},
	}
}

// fileFlags name the edited tables.
func fileFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "routes", Usage: "`FILE` with the routes table; left out, the table stays as in the version edited", TakesFile: true},
		&cli.StringFlag{Name: "pools", Usage: "`FILE` with the pools table; left out, the table stays as in the version edited", TakesFile: true},
		&cli.StringFlag{Name: "blocks", Usage: "`FILE` with the callers' blocks, one prefix and site a line; left out, they stay, an empty file takes them out", TakesFile: true},
	}
}

// metadataFlags say who edits and why.
func metadataFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "author", Usage: "`NAME` for the history", Value: "unknown", Sources: cli.EnvVars("JACINTHRAMP_AUTHOR", "USER")},
		&cli.StringFlag{Name: "reason", Usage: "`TEXT` for the history"},
	}
}

// waitFlag makes an edit wait until it is in force.
func waitFlag() cli.Flag {
	return &cli.DurationFlag{Name: "wait", Usage: "wait up to `TIME` until the edit is in force on every instance"}
}

// tableFiles returns the files that the flags name.
func tableFiles(cmd *cli.Command) operate.Files {
	return operate.Files{Routes: cmd.String("routes"), Pools: cmd.String("pools"), Blocks: cmd.String("blocks")}
}

// sessionTask is the work of one subcommand. It returns what is printed.
type sessionTask func(ctx context.Context, cmd *cli.Command, s *operate.Session) (printable, error)

// printable is a result that has a text form; its JSON form is its fields.
type printable interface {
	writeText(w io.Writer)
}

// taskAction runs a task with a session and prints its result or its error. With
// needsPlatform, a missing --platform is refused.
func taskAction(needsPlatform bool, run sessionTask) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if cmd.Args().Present() {
			return fault.New(fault.KindBadRequest, "unexpected argument %q; see %s --help", cmd.Args().First(), cmd.Name)
		}
		s, closeSession, err := newSession(cmd, needsPlatform)
		if err != nil {
			return err
		}
		defer closeSession()
		result, err := run(ctx, cmd, s)
		if err != nil {
			return printError(cmd, err)
		}
		return printResult(cmd, result)
	}
}

// withTimeout bounds a task by the --timeout flag.
func withTimeout(run sessionTask) sessionTask {
	return func(ctx context.Context, cmd *cli.Command, s *operate.Session) (printable, error) {
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
		defer cancel()
		return run(ctx, cmd, s)
	}
}

// newSession connects to the platform that the flags name.
func newSession(cmd *cli.Command, needsPlatform bool) (*operate.Session, func(), error) {
	base := cmd.String("platform")
	if base == "" {
		if needsPlatform {
			return nil, nil, fault.New(fault.KindBadRequest, "name the platform with --platform or JACINTHRAMP_PLATFORM")
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

// tlsConfigs reads the certificates that the flags name: for the platform, which is
// known by its name, and for instances, which are known by their authority.
// Both are nil when none is named.
func tlsConfigs(cmd *cli.Command) (platformTLS, instanceTLS *tls.Config, err error) {
	f := instance.Files{Certificate: cmd.String("tls-certificate"), Key: cmd.String("tls-key"), Authority: cmd.String("tls-authority")}
	if f == (instance.Files{}) {
		return nil, nil, nil
	}
	if f.Certificate == "" || f.Key == "" || f.Authority == "" {
		return nil, nil, fault.New(fault.KindBadRequest, "name all of --tls-certificate, --tls-key and --tls-authority, or none")
	}
	identity, err := instance.LoadIdentity(f)
	if err != nil {
		return nil, nil, err
	}
	return identity.NamedTLS(), identity.ClientTLS(), nil
}

// printResult writes a result in the chosen form.
func printResult(cmd *cli.Command, v printable) error {
	w := outputWriter(cmd)
	if cmd.String("output") != outputJSON {
		v.writeText(w)
		return nil
	}
	return writeJSON(w, v)
}

// outputWriter returns where results go.
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

// errorMessage is the JSON form of a failed task.
type errorMessage struct {
	Kind     string                    `json:"kind"`
	Message  string                    `json:"message"`
	Problems []table.Problem           `json:"problems,omitempty"`
	Blocks   []block.Problem           `json:"blocks,omitempty"`
	Conflict *tablestore.ConflictError `json:"conflict,omitempty"`
}

// printError writes err as JSON when that form is chosen, and returns it.
func printError(cmd *cli.Command, err error) error {
	if cmd.String("output") != outputJSON {
		return err
	}
	m := errorMessage{Kind: fault.KindOf(err).String(), Message: err.Error()}
	var invalid *table.InvalidError
	if errors.As(err, &invalid) {
		m.Problems = invalid.Problems
	}
	var refused *block.InvalidError
	if errors.As(err, &refused) {
		m.Blocks = refused.Problems
	}
	errors.As(err, &m.Conflict)
	if werr := writeJSON(outputWriter(cmd), map[string]errorMessage{"error": m}); werr != nil {
		return werr
	}
	return err
}

// marshalList writes a list, an empty one as [].
func marshalList[T any](list []T) ([]byte, error) {
	if list == nil {
		list = []T{}
	}
	return json.Marshal(list)
}
