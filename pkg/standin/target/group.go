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

// DrainTimeout bounds a planned stop of a whole process.
const DrainTimeout = 60 * time.Second

// Group is the targets of one process, with one Recorder.
type Group struct {
	recorder *Recorder
	targets  []*Target
	// background runs drains asked for over the controls.
	background conc.WaitGroup
}

// NewGroup returns the targets of configs, which do not listen yet and report
// their runs to rec.
func NewGroup(configs []Config, rec *Recorder) *Group {
	g := &Group{recorder: rec}
	for _, c := range configs {
		g.targets = append(g.targets, New(c, g.recorder))
	}
	return g
}

// Start starts every target; after an error those that run are closed.
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

// Runs returns the counted runs.
func (g *Group) Runs() Runs { return g.recorder.Runs() }

// Stats returns the counters of every target.
func (g *Group) Stats() []Stats {
	all := make([]Stats, 0, len(g.targets))
	for _, t := range g.targets {
		all = append(all, t.Stats())
	}
	return all
}

// Drain drains every target at the same time.
func (g *Group) Drain(ctx context.Context) error {
	p := pool.New().WithErrors()
	for _, t := range g.targets {
		p.Go(func() error { return t.Drain(ctx) })
	}
	return p.Wait()
}

// Close ends every target and waits for its goroutines.
func (g *Group) Close() {
	for _, t := range g.targets {
		t.Close()
	}
	g.background.Wait()
}

// Run serves the targets and their controls until ctx is done, then drains.
// It calls started once everything listens.
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
	controls, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var served error
	var wg conc.WaitGroup
	wg.Go(func() { served = standin.Serve(controls, ln, ControlHandler(g)) })
	started()
	<-ctx.Done()
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), DrainTimeout)
	defer cancel()
	drained := g.Drain(limit)
	stop()
	wg.Wait()
	return errors.Join(drained, served)
}

// openRunLog opens the file at path for appending. Without a path what is
// written is dropped.
func openRunLog(path string) (io.WriteCloser, error) {
	if path == "" {
		path = os.DevNull
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fault.Wrap(fault.KindInvalidSettings, err, "run_log")
	}
	return f, nil
}
