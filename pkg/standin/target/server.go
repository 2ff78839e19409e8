package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/standin"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// idlePollInterval is how often a leaving target looks whether it is idle.
const idlePollInterval = 20 * time.Millisecond

// process is one run of a target between its start and its crash or stop.
type process struct {
	listener net.Listener
	slots    chan struct{}
	times    *serviceTimes
	crashed  chan struct{}
	server   *http.Server
	conns    *connSet
}

// Start listens and serves, and returns the address.
func (t *Target) Start() (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.process != nil {
		return "", fault.New(fault.KindBadRequest, "target %s runs already", t.config.Name)
	}
	if t.closed {
		return "", fault.New(fault.KindBadRequest, "target %s has been closed", t.config.Name)
	}
	ln, err := standin.Listen(t.config.Address)
	if err != nil {
		return "", err
	}
	t.config.Address = ln.Addr().String()
	t.incarnation = newIncarnation()
	t.stats.Leaving = false
	t.report = cachedReport{}
	t.startProcess(ln)
	return t.config.Address, nil
}

// startProcess serves a new life on ln; the caller holds t.mu.
func (t *Target) startProcess(ln net.Listener) {
	p := &process{
		listener: ln,
		slots:    make(chan struct{}, t.config.Slots),
		times:    newServiceTimes(t.config),
		crashed:  make(chan struct{}),
		conns:    newConnSet(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc(wire.PathTargetHealth, t.serveHealth)
	mux.HandleFunc(wire.PathTargetLoad, t.serveLoad)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { t.serve(p, w, r) })
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 30 * time.Second}
	t.process = p
	t.wg.Go(func() { _ = p.server.Serve(p.conns.wrap(ln)) })
}

// currentProcess returns the present life, or nil.
func (t *Target) currentProcess() *process {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.process
}

// kill stops listening, before it returns, and breaks every connection.
func (p *process) kill() {
	close(p.crashed)
	_ = p.listener.Close()
	p.conns.abort()
	_ = p.server.Close()
}

// detachProcess ends the present life in the books and returns it, or nil.
func (t *Target) detachProcess() *process {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.process
	t.process = nil
	return p
}

// Crash breaks every connection and stops listening at once. With the setting
// RestartAfter the target starts again, cold and with a new incarnation.
func (t *Target) Crash() {
	p := t.detachProcess()
	if p == nil {
		return
	}
	t.updateStats(func(s *Stats) { s.Crashes++ })
	p.kill()
	after := t.config.RestartAfter.Std()
	if after == 0 {
		return
	}
	time.AfterFunc(after, func() { _, _ = t.Start() })
}

// StallConnections makes every connection that is open now swallow what it gets and
// answer nothing more. New connections work.
func (t *Target) StallConnections() {
	if p := t.currentProcess(); p != nil {
		p.conns.stall()
	}
}

// StartLeaving shows the sign of leaving from now on.
func (t *Target) StartLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stats.Leaving {
		return
	}
	t.stats.Leaving = true
	t.leavingAt = time.Now()
	t.report = cachedReport{}
}

// Drain leaves, waits for the grace and for the work in flight, and stops.
// When ctx ends first, what is still in flight is cut off and counted.
func (t *Target) Drain(ctx context.Context) error {
	t.StartLeaving()
	poll := time.NewTicker(idlePollInterval)
	defer poll.Stop()
	for !t.drained() {
		select {
		case <-poll.C:
		case <-ctx.Done():
			t.Crash()
			return ctx.Err()
		}
	}
	return t.shutDown(ctx)
}

// drained reports whether the grace is over and nothing is in flight.
func (t *Target) drained() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle := t.stats.Running == 0 && t.stats.Queued == 0
	return idle && time.Since(t.leavingAt) > t.config.DrainGrace.Std()
}

// shutDown ends the present life without cutting anything off.
func (t *Target) shutDown(ctx context.Context) error {
	p := t.detachProcess()
	if p == nil {
		return nil
	}
	err := p.server.Shutdown(ctx)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close ends the target for good and waits for its goroutines.
func (t *Target) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	if p := t.detachProcess(); p != nil {
		p.kill()
	}
	t.wg.Wait()
}
