package node

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/peer/caller/pipeline"
)

// The stages of an instance's life.
const (
	// stageServing: in the look-up answers and serving.
	stageServing int32 = iota
	// stageLeaving: out of the look-up answers, still serving.
	stageLeaving
	// stageRefusing: no new work; what is in flight ends.
	stageRefusing
)

// leaving reports whether the instance has begun to leave.
func (n *Node) leaving() bool { return n.stage.Load() >= stageLeaving }

// refusesWork reports whether new work is refused.
func (n *Node) refusesWork() bool { return n.stage.Load() >= stageRefusing }

// serve runs the listeners until ctx ends and the instance has left.
func (n *Node) serve(ctx context.Context) error {
	servers := []server{
		n.callerServer(),
		n.server(n.hopHandler()),
		n.server(n.adminHandler()),
	}
	listeners := []net.Listener{n.listeners.Caller, n.listeners.Hop, n.listeners.Admin}
	for _, e := range n.endpoints {
		servers = append(servers, n.server(e.Handler(n)))
		listeners = append(listeners, e.Listener)
	}
	failed := make(chan error, len(servers))
	var wg conc.WaitGroup
	for i, s := range servers {
		wg.Go(func() { failed <- s.Serve(listeners[i]) })
	}
	n.log.Info("serving", zap.String("caller", n.self.CallerAddress), zap.String("incarnation", n.self.Incarnation))
	var err error
	select {
	case <-ctx.Done():
		n.leave()
	case err = <-failed:
	}
	for _, s := range servers {
		wg.Go(func() { n.stop(s) })
	}
	wg.Wait()
	return err
}

// stop closes a server whose requests have ended.
func (n *Node) stop(s server) {
	timeout := stopTimeout
	if n.inFlight.Load() > 0 {
		timeout = overdueTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.Close()
	}
}

const (
	// stopTimeout bounds the closing of idle connections.
	stopTimeout = 2 * time.Second
	// overdueTimeout bounds it when requests are left that the limit of the
	// leaving does not wait for.
	overdueTimeout = 200 * time.Millisecond
)

// server serves one listener.
type server interface {
	Serve(ln net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// callerServer returns the server of callers, who may send requests ahead.
func (n *Node) callerServer() server {
	l := n.settings.Limits
	return &pipeline.Server{
		Handler:           n.callerHandler(),
		ReadHeaderTimeout: l.HeaderTimeout.Std(),
		IdleTimeout:       l.IdleTimeout.Std(),
		MaxHeaderBytes:    l.MaxHeaderBytes,
		ErrorLog:          log.New(zapWriter{n.log}, "", 0),
	}
}

// server returns a server with the limits of the settings.
func (n *Node) server(h http.Handler) *http.Server {
	l := n.settings.Limits
	return &http.Server{
		Handler:                      h,
		ReadHeaderTimeout:            l.HeaderTimeout.Std(),
		IdleTimeout:                  l.IdleTimeout.Std(),
		MaxHeaderBytes:               l.MaxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     log.New(zapWriter{n.log}, "", 0),
	}
}

// zapWriter brings the HTTP library's messages into the log.
type zapWriter struct{ log *zap.Logger }

// Write logs one message.
func (z zapWriter) Write(b []byte) (int, error) {
	z.log.Debug("http", zap.ByteString("message", b))
	return len(b), nil
}

// leave takes the instance out in steps: out of the look-up answers, no new
// work once the answers given out have expired, then the wait for what is in
// flight, then the hand back. The platform is told meanwhile: while it does not
// answer, no request waits for it, and the end only for a moment.
func (n *Node) leave() {
	began := n.now()
	n.stage.Store(stageLeaving)
	n.log.Info("leaving", zap.Int64("in_flight", n.inFlight.Load()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var announced conc.WaitGroup
	defer announced.Wait()
	announced.Go(func() { n.call(ctx, "announce leaving", n.cluster.Leave) })
	time.Sleep(n.lookupTTL())
	n.stage.Store(stageRefusing)
	refused := n.now()
	if n.direct() {
		// There is nothing to hand back but the entry in the list.
		announced.Go(func() { n.call(ctx, "hand back", n.cluster.HandBack) })
	}
	for n.inFlight.Load() > 0 && !n.leaveOverdue(began) {
		time.Sleep(leavePoll)
	}
	if !n.direct() {
		n.call(ctx, "hand back", n.cluster.HandBack)
	}
	awaitAtMost(&announced, handBackTime-n.now().Sub(refused))
	n.log.Info("left", zap.Int64("in_flight", n.inFlight.Load()), zap.Duration("after", n.now().Sub(began)))
	cancel()
}

// handBackTime is how long after the refusal of new work the end of the instance
// waits for the platform to take it out of the list. Requests that take longer
// leave no further wait, so that the limit of the leaving holds.
const handBackTime = 500 * time.Millisecond

// awaitAtMost waits for wg, at most for limit.
func awaitAtMost(wg *conc.WaitGroup, limit time.Duration) {
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// leaveOverdue reports whether a leave that began at began must end now.
func (n *Node) leaveOverdue(began time.Time) bool {
	limit := n.settings.Leave.DrainLimit()
	return limit > 0 && n.now().Sub(began) >= limit
}

// lookupTTL returns the longest time for which a look-up answer that names
// this instance may be used.
func (n *Node) lookupTTL() time.Duration {
	longest := n.settings.Leave.MinLookupTTL.Std()
	for i := range n.view.Load().tables.Routes {
		if n.direct() {
			break // the answers' time to live is bounded by the settings
		}
		longest = max(longest, n.view.Load().tables.Routes[i].LookupTTL.Std())
	}
	return longest
}

// leavePoll is the time between two looks at what is in flight.
const leavePoll = 5 * time.Millisecond

// call runs f within the platform's timeout.
func (n *Node) call(ctx context.Context, what string, f func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Platform.Timeout.Std())
	defer cancel()
	if err := f(ctx); err != nil {
		n.log.Warn("platform not told", zap.String("what", what), zap.Error(err))
	}
}
