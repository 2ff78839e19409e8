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

// idlePollInterval is how often a draining target checks whether it is idle.
const idlePollInterval = 20 * time.Millisecond

// process is one simulated process of a target, from a start of the target to
// its crash or stop.
type process struct {
	listener net.Listener
	slots    chan struct{}
	times    *serviceTimes
	crashed  chan struct{}
	server   *http.Server
	conns    *connSet
}

// Start starts the target and returns its address. It returns an error of kind
// fault.KindBadRequest if the target is running or closed.
func (t *Target) Start() (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.process != nil {
		return "", fault.New(fault.KindBadRequest, "target %s is already running", t.config.Name)
	}
	if t.closed {
		return "", fault.New(fault.KindBadRequest, "target %s is closed and cannot start again", t.config.Name)
	}
	ln, err := standin.Listen(t.config.Address)
	if err != nil {
		return "", err
	}
	t.config.Address = ln.Addr().String()
	t.incarnation = newIncarnation()
	t.stats.Leaving = false
	t.backoffUntil = time.Time{}
	t.rateLimit = noRateLimit
	t.report = cachedReport{}
	t.startProcess(ln)
	return t.config.Address, nil
}

// startProcess serves requests on ln in a new process. The caller holds t.mu.
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

// currentProcess returns the running process, or nil.
func (t *Target) currentProcess() *process {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.process
}

// kill closes the listener, and aborts every connection and run. The listener is
// closed when kill returns.
func (p *process) kill() {
	close(p.crashed)
	_ = p.listener.Close()
	p.conns.abort()
	_ = p.server.Close()
}

// detachProcess marks the target as stopped and returns the process that was
// running, or nil.
func (t *Target) detachProcess() *process {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.process
	t.process = nil
	return p
}

// Crash immediately aborts every connection and closes the listener. If
// RestartAfter is set, the target starts again after that time, cold and with a new
// incarnation.
func (t *Target) Crash() {
	p := t.detachProcess()
	if p == nil {
		return
	}
	t.updateStats(func(s *Stats) { s.Crashes++ })
	p.kill()
	restartDelay := t.config.RestartAfter.Std()
	if restartDelay == 0 {
		return
	}
	time.AfterFunc(restartDelay, func() { _, _ = t.Start() })
}

// StallConnections makes every open connection discard all further data in both
// directions. New connections are not affected.
func (t *Target) StallConnections() {
	if p := t.currentProcess(); p != nil {
		p.conns.stall()
	}
}

// StartLeaving makes the target announce that it is leaving.
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

// Drain announces that the target is leaving, waits for DrainGrace and for the
// requests in flight, and stops the target. If ctx ends first, it crashes the
// target, which aborts and counts the remaining runs, and returns ctx's error.
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

// drained reports whether DrainGrace has passed and no request is running or queued.
func (t *Target) drained() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle := t.stats.Running == 0 && t.stats.Queued == 0
	return idle && time.Since(t.leavingAt) >= t.config.DrainGrace.Std()
}

// shutDown stops the running process after its requests in flight, without
// aborting any.
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

// Close stops the target permanently, aborts its connections and waits for its
// goroutines to end.
func (t *Target) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	if p := t.detachProcess(); p != nil {
		p.kill()
	}
	t.wg.Wait()
}
