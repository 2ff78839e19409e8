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

// idlePoll is how often a leaving target looks whether it is idle.
const idlePoll = 20 * time.Millisecond

// life is one run of a target between its start and its crash or stop.
type life struct {
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
	if t.life != nil {
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
	t.begin(ln)
	return t.config.Address, nil
}

// begin serves a new life on ln; the caller holds t.mu.
func (t *Target) begin(ln net.Listener) {
	l := &life{
		listener: ln,
		slots:    make(chan struct{}, t.config.Slots),
		times:    newServiceTimes(t.config),
		crashed:  make(chan struct{}),
		conns:    newConnSet(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc(wire.PathTargetHealth, t.serveHealth)
	mux.HandleFunc(wire.PathTargetLoad, t.serveLoad)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { t.serve(l, w, r) })
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: 30 * time.Second}
	t.life = l
	t.wg.Go(func() { _ = l.server.Serve(l.conns.wrap(ln)) })
}

// current returns the present life, or nil.
func (t *Target) current() *life {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.life
}

// end stops listening, before it returns, and breaks every connection.
func (l *life) end() {
	close(l.crashed)
	_ = l.listener.Close()
	l.conns.abort()
	_ = l.server.Close()
}

// take ends the present life in the books and returns it, or nil.
func (t *Target) take() *life {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.life
	t.life = nil
	return l
}

// Crash breaks every connection and stops listening at once. With the setting
// RestartAfter the target starts again, cold and with a new incarnation.
func (t *Target) Crash() {
	l := t.take()
	if l == nil {
		return
	}
	t.count(func(s *Stats) { s.Crashes++ })
	l.end()
	after := t.config.RestartAfter.Std()
	if after == 0 {
		return
	}
	time.AfterFunc(after, func() { _, _ = t.Start() })
}

// StallConnections makes every connection that is open now swallow what it gets and
// answer nothing more. New connections work.
func (t *Target) StallConnections() {
	if l := t.current(); l != nil {
		l.conns.silence()
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
	poll := time.NewTicker(idlePoll)
	defer poll.Stop()
	for !t.drained() {
		select {
		case <-poll.C:
		case <-ctx.Done():
			t.Crash()
			return ctx.Err()
		}
	}
	return t.stop(ctx)
}

// drained reports whether the grace is over and nothing is in flight.
func (t *Target) drained() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle := t.stats.Running == 0 && t.stats.Queued == 0
	return idle && time.Since(t.leavingAt) > t.config.DrainGrace.Std()
}

// stop ends the present life without cutting anything off.
func (t *Target) stop(ctx context.Context) error {
	l := t.take()
	if l == nil {
		return nil
	}
	err := l.server.Shutdown(ctx)
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
	if l := t.take(); l != nil {
		l.end()
	}
	t.wg.Wait()
}
