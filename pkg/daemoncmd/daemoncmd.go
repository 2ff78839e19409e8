// Package daemoncmd implements the command jacinthrampd: it loads and checks the
// settings, runs one instance until SIGINT or SIGTERM, and reloads the settings on
// SIGHUP.
package daemoncmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/daemon"
	_ "github.com/jacinthramp/jacinthramp/pkg/daemoncmd/earlyhup" // ignores SIGHUP until Main
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
	"github.com/jacinthramp/jacinthramp/pkg/telemetry"
)

// AdapterOpener returns the adapter for the platform named in s, and a function
// that closes it.
type AdapterOpener func(s *settings.Settings, log *zap.Logger) (a daemon.Adapter, closeAdapter func(), err error)

// New returns the command that runs an instance with the adapter that open returns.
func New(open AdapterOpener) *cli.Command {
	return &cli.Command{
		Name:        "jacinthrampd",
		Usage:       "run one instance of the traffic steering system",
		Description: "Example:\n\n    jacinthrampd --config examples/instance-1.yaml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE` in YAML", Required: true},
			&cli.BoolFlag{Name: "check-config", Usage: "check the settings and exit"},
		},
		Action:         func(ctx context.Context, cmd *cli.Command) error { return run(ctx, cmd, open) },
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// ExitCode returns the exit code for err's kind. An error without a kind comes from
// parsing the command line and gets fault.ExitUsage.
func ExitCode(err error) int {
	if k := fault.KindOf(err); k != fault.KindNone {
		return k.Info().ExitCode
	}
	return fault.ExitUsage
}

// Main runs the command with the process's arguments. After an error it prints the
// error and exits with its ExitCode.
func Main(open AdapterOpener) {
	// Until here package earlyhup makes the process ignore SIGHUP, which would
	// otherwise terminate it.
	signal.Notify(reloadSignals, syscall.SIGHUP)
	if err := New(open).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "jacinthrampd:", err)
		os.Exit(ExitCode(err))
	}
}

// reloadSignals receives SIGHUP, the request to reload the settings.
var reloadSignals = make(chan os.Signal, 1)

// run loads and checks the settings and, unless only the check is requested, serves
// until SIGINT or SIGTERM.
func run(ctx context.Context, cmd *cli.Command, open AdapterOpener) error {
	file := cmd.String("config")
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	if cmd.Bool("check-config") {
		fmt.Println("settings are valid")
		return nil
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return serve(ctx, file, s, open)
}

// gcPercent is the GOGC value used if the environment sets none. It makes the
// garbage collector run earlier than the default of 100: an instance's live heap is
// small, and memory costs more than the CPU time to collect it.
const gcPercent = 60

// memoryReserveDivisor determines the fraction of limits.memory_mb, one part in
// memoryReserveDivisor, that is reserved for memory that the Go runtime does not
// count, such as socket buffers.
const memoryReserveDivisor = 8

// serve runs one instance until ctx ends and the instance has left.
func serve(ctx context.Context, file string, s *settings.Settings, open AdapterOpener) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if mb := s.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 / memoryReserveDivisor * (memoryReserveDivisor - 1))
	}
	log, err := telemetry.NewLogger(s.Log.Level)
	if err != nil {
		return err
	}
	defer log.Close()
	// net/http writes to the standard logger if a target violates the protocol.
	if _, err := zap.RedirectStdLogAt(log.Logger, zap.DebugLevel); err != nil {
		return err
	}
	log.Info("starting", zap.String("instance", s.Instance.ID), zap.String("zone", s.Instance.Zone), zap.String("dispatch", s.Dispatch.Mode), zap.Strings("without", s.Dispatch.Without))
	adapter, closeAdapter, err := open(s, log.Logger)
	if err != nil {
		return err
	}
	defer closeAdapter()
	d, err := daemon.NewWithAdapter(s, adapter, log.Logger)
	if err != nil {
		return err
	}
	stop := startReloading(file, log)
	defer stop()
	err = d.Run(ctx)
	log.Info("stopped", zap.Error(err))
	return err
}

// startReloading reloads the settings file on every SIGHUP until stop is called.
// Only the log level is applied; other changes require a restart. After stop SIGHUP
// is still caught and has no effect.
func startReloading(file string, log *telemetry.Logger) (stop func()) {
	signal.Notify(reloadSignals, syscall.SIGHUP)
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-reloadSignals:
				reload(file, log)
			case <-quit:
				return
			}
		}
	}()
	return func() {
		close(quit)
		<-done
	}
}

// reload loads the settings file and applies the log level. If the file cannot be
// loaded, the settings stay unchanged.
func reload(file string, log *telemetry.Logger) {
	s, err := settings.Load(file)
	if err != nil {
		log.Error("settings file not loaded, settings unchanged", zap.Error(err))
		return
	}
	if err := log.SetLevel(s.Log.Level); err != nil {
		log.Error("log level not changed", zap.Error(err))
		return
	}
	log.Info("settings reloaded, only the log level is applied", zap.String("level", s.Log.Level))
}
