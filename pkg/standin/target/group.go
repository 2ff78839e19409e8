package target

import (
	"context"
	"errors"
	"io"
	"os"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/standin"
)

// DrainTimeout limits the time to drain all targets at a planned stop, and the time
// to drain one target on a request to PathDrain.
const DrainTimeout = 60 * time.Second

// Group holds the targets of one operating system process, which share a Recorder.
type Group struct {
	recorder *Recorder
	targets  []*Target
	// background runs the drains that requests to PathDrain start.
	background conc.WaitGroup
}

// NewGroup returns a group of the targets in configs, not yet started. They
// record their runs in rec.
func NewGroup(configs []Config, rec *Recorder) *Group {
	g := &Group{recorder: rec}
	for _, c := range configs {
		g.targets = append(g.targets, New(c, g.recorder))
	}
	return g
}

// Start starts every target. If one cannot start, it closes the group and returns the
// error.
func (g *Group) Start() error {
	for _, t := range g.targets {
		if _, err := t.Start(); err != nil {
			g.Close()
			return err
		}
	}
	return nil
}

// Target returns the target with the given name, or nil.
func (g *Group) Target(name string) *Target {
	i := slices.IndexFunc(g.targets, func(t *Target) bool { return t.config.Name == name })
	if i < 0 {
		return nil
	}
	return g.targets[i]
}

// Runs returns the counted runs of all targets.
func (g *Group) Runs() Runs { return g.recorder.Runs() }

// Stats returns the counters of every target.
func (g *Group) Stats() []Stats {
	all := make([]Stats, 0, len(g.targets))
	for _, t := range g.targets {
		all = append(all, t.Stats())
	}
	return all
}

// Drain drains all targets concurrently.
func (g *Group) Drain(ctx context.Context) error {
	p := pool.New().WithErrors()
	for _, t := range g.targets {
		p.Go(func() error { return t.Drain(ctx) })
	}
	return p.Wait()
}

// Close closes every target and waits for the group's goroutines to end.
func (g *Group) Close() {
	for _, t := range g.targets {
		t.Close()
	}
	g.background.Wait()
}

// Run serves the targets and their control endpoints until ctx is done, then drains
// the targets within DrainTimeout. It calls started once all listeners are open.
func Run(ctx context.Context, s Settings, started func()) error {
	log, err := openRunLog(s.RunLog)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	g := NewGroup(s.Targets, NewRecorder(log))
	if err := g.Start(); err != nil {
		return err
	}
	defer g.Close()
	ln, err := standin.Listen(s.Control)
	if err != nil {
		return err
	}
	controlCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var serveErr error
	var wg conc.WaitGroup
	wg.Go(func() { serveErr = standin.Serve(controlCtx, ln, ControlHandler(g)) })
	started()
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), DrainTimeout)
	defer cancel()
	drainErr := g.Drain(drainCtx)
	stop()
	wg.Wait()
	return errors.Join(drainErr, serveErr)
}

// openRunLog opens the file at path for appending, or the null device if path is
// empty.
func openRunLog(path string) (io.WriteCloser, error) {
	if path == "" {
		path = os.DevNull
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fault.Wrap(fault.KindInvalidSettings, err, "run_log: cannot open the file")
	}
	return f, nil
}
