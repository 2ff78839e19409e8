// Package daemoncmd is the command line of an instance: it reads and checks
// the settings, serves until a signal, and takes in changed settings.
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
	_ "github.com/jacinthramp/jacinthramp/pkg/daemoncmd/earlyhup" // before main
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
	"github.com/jacinthramp/jacinthramp/pkg/telemetry"
)

// Opener returns the adapter to the platform that s names, and what closes it.
type Opener func(s *settings.Settings, log *zap.Logger) (a daemon.Adapter, closeAdapter func(), err error)

// New returns the command line of an instance on the platform of open.
func New(open Opener) *cli.Command {
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

// ExitCode returns the exit code of err's kind; an error without a kind comes
// from the command line's own parsing.
func ExitCode(err error) int {
	if k := fault.KindOf(err); k != fault.KindNone {
		return k.Answer().Exit
	}
	return fault.ExitUsage
}

// Main runs the command line and exits.
func Main(open Opener) {
	// Package earlyhup has kept the signal that announces changed settings from
	// ending the process until here.
	signal.Notify(reloads, syscall.SIGHUP)
	if err := New(open).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "jacinthrampd:", err)
		os.Exit(ExitCode(err))
	}
}

// reloads receives the signal that the settings have changed.
var reloads = make(chan os.Signal, 1)

// run checks the settings and serves until SIGINT or SIGTERM.
func run(ctx context.Context, cmd *cli.Command, open Opener) error {
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

// gcPercent makes the collector run early: an instance's live heap is small,
// and memory costs more than the time that it takes to collect it.
const gcPercent = 60

// memoryReserve is the part of the process's memory that is left for what the
// language's runtime does not count, such as bytes in sockets: one in so many.
const memoryReserve = 8

// serve runs one instance until ctx ends and it has left.
func serve(ctx context.Context, file string, s *settings.Settings, open Opener) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if mb := s.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 / memoryReserve * (memoryReserve - 1))
	}
	log, err := telemetry.NewLogger(s.Log.Level)
	if err != nil {
		return err
	}
	defer log.Close()
	// The HTTP library writes to the standard log when a target misbehaves.
	if _, err := zap.RedirectStdLogAt(log.Logger, zap.DebugLevel); err != nil {
		return err
	}
	log.Info("starting", zap.String("instance", s.Instance.ID), zap.String("zone", s.Instance.Zone), zap.String("dispatch", s.Dispatch.Mode))
	a, closeAdapter, err := open(s, log.Logger)
	if err != nil {
		return err
	}
	defer closeAdapter()
	d, err := daemon.NewWith(s, a, log.Logger)
	if err != nil {
		return err
	}
	stop := onReload(file, log)
	defer stop()
	err = d.Run(ctx)
	log.Info("stopped", zap.Error(err))
	return err
}

// onReload takes in the settings file at each SIGHUP until stop is called. Of
// what has changed only the level of the log comes into force; the rest takes
// a restart. The signal stays caught after stop.
func onReload(file string, log *telemetry.Logger) (stop func()) {
	signal.Notify(reloads, syscall.SIGHUP)
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-reloads:
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

// reload reads the settings again; a file that can't be read changes nothing.
func reload(file string, log *telemetry.Logger) {
	s, err := settings.Load(file)
	if err != nil {
		log.Error("settings not reloaded", zap.Error(err))
		return
	}
	if err := log.SetLevel(s.Log.Level); err != nil {
		log.Error("settings not reloaded", zap.Error(err))
		return
	}
	log.Info("settings reloaded", zap.String("level", s.Log.Level))
}
