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

// The stages of an instance.
const (
	// stageServing: lookup responses name the instance, and it serves requests.
	stageServing int32 = iota
	// stageLeaving: lookup responses no longer name the instance; it still
	// serves requests.
	stageLeaving
	// stageRefusing: new requests are refused; those in flight run to their end.
	stageRefusing
)

// leaving reports whether shutdown has begun.
func (n *Node) leaving() bool { return n.stage.Load() >= stageLeaving }

// refusesRequests reports whether new requests are refused.
func (n *Node) refusesRequests() bool { return n.stage.Load() >= stageRefusing }

// serve serves all listeners until ctx ends and leave has returned, or until a
// listener fails, whose error it returns.
func (n *Node) serve(ctx context.Context) error {
	servers := []server{
		n.newCallerServer(),
		n.newServer(n.hopHandler()),
		n.newServer(n.adminHandler()),
	}
	listeners := []net.Listener{n.listeners.Caller, n.listeners.Hop, n.listeners.Admin}
	for _, e := range n.endpoints {
		servers = append(servers, n.newServer(e.Handler(n)))
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
		wg.Go(func() { n.shutDown(s) })
	}
	wg.Wait()
	return err
}

// shutDown shuts a server down, and closes it if that takes too long.
func (n *Node) shutDown(s server) {
	timeout := stopTimeout
	if n.inFlight.Load() > 0 {
		timeout = overdueStopTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.Close()
	}
}

const (
	// stopTimeout bounds the shutdown of a server without requests in flight.
	stopTimeout = 2 * time.Second
	// overdueStopTimeout bounds the shutdown of a server when requests are still
	// in flight after the drain limit of the leave settings.
	overdueStopTimeout = 200 * time.Millisecond
)

// server serves one listener; *http.Server and *pipeline.Server implement it.
type server interface {
	Serve(ln net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// callerStallTimeout is the time without progress after which a caller that has a response
// to take is cut off. It exceeds five lost packets in a row, after which a link that works
// goes on.
const callerStallTimeout = 10 * time.Second

// newCallerServer returns the server for callers. It supports pipelining.
func (n *Node) newCallerServer() server {
	l := n.settings.Limits
	return &pipeline.Server{
		Handler:           n.callerHandler(),
		ReadHeaderTimeout: l.HeaderTimeout.Std(),
		IdleTimeout:       l.IdleTimeout.Std(),
		StallTimeout:      n.callerStall,
		MaxHeaderBytes:    l.MaxHeaderBytes,
		HeaderMemory:      n.requestHeaders,
		ErrorLog:          log.New(zapWriter{n.log}, "", 0),
	}
}

// newServer returns a server for h with the limits of the settings.
func (n *Node) newServer(h http.Handler) *http.Server {
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

// zapWriter is an io.Writer that logs the messages of the HTTP servers.
type zapWriter struct{ log *zap.Logger }

// Write logs b as one message at debug level.
func (z zapWriter) Write(b []byte) (int, error) {
	z.log.Debug("http", zap.ByteString("message", b))
	return len(b), nil
}

// leave shuts the instance down in steps:
//
//  1. Lookup responses no longer name the instance.
//  2. Once the lookup responses already given out have expired, new requests
//     are refused.
//  3. Requests in flight run to their end, at most until the drain limit of
//     the leave settings. Those that are not expected to end by then are refused
//     unless they have been passed on, also while they wait or their body arrives.
//  4. The shares are returned and the instance is deregistered. With direct
//     dispatch, which holds no shares, this happens during step 3.
//
// The announcement to the platform, and with direct dispatch the deregistration,
// run concurrently, so that a platform that does not respond delays no request.
// Shutdown waits for them at most deregisterTimeout.
func (n *Node) leave() {
	start := n.now()
	if limit := n.settings.Leave.DrainLimit(); limit > 0 {
		n.core.SetStop(start.Add(limit))
		n.announceStop()
	}
	n.stage.Store(stageLeaving)
	n.log.Info("leaving", zap.Int64("in_flight", n.inFlight.Load()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var calls conc.WaitGroup
	defer calls.Wait()
	calls.Go(func() { n.callPlatform(ctx, "announce leaving", n.cluster.Leave) })
	time.Sleep(n.maxLookupTTL())
	n.stage.Store(stageRefusing)
	refusingSince := n.now()
	if n.direct() {
		// Direct dispatch holds no shares; only the list entry is removed.
		calls.Go(func() { n.callPlatform(ctx, "deregister", n.cluster.ReturnShares) })
	}
	for n.inFlight.Load() > 0 && !n.drainLimitReached(start) {
		time.Sleep(inFlightPollInterval)
	}
	if !n.direct() {
		n.callPlatform(ctx, "return shares and deregister", n.cluster.ReturnShares)
	}
	waitTimeout(&calls, deregisterTimeout-n.now().Sub(refusingSince))
	n.log.Info("left", zap.Int64("in_flight", n.inFlight.Load()), zap.Duration("after", n.now().Sub(start)))
	cancel()
}

// deregisterTimeout bounds how long shutdown waits for the platform to remove
// the instance from its list. It is measured from the start of stageRefusing: if
// requests in flight take longer than that, there is no further wait, so that the
// drain limit of the leave settings holds.
const deregisterTimeout = 500 * time.Millisecond

// waitTimeout waits for wg, at most for limit. A limit that is not positive has
// already expired.
func waitTimeout(wg *conc.WaitGroup, limit time.Duration) {
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// drainLimitReached reports whether a shutdown that began at start has reached the
// drain limit of the leave settings, if there is one.
func (n *Node) drainLimitReached(start time.Time) bool {
	limit := n.settings.Leave.DrainLimit()
	return limit > 0 && n.now().Sub(start) >= limit
}

// maxLookupTTL returns the longest time for which a lookup response that names
// this instance may be used.
func (n *Node) maxLookupTTL() time.Duration {
	longest := n.settings.Leave.MinLookupTTL.Std()
	for i := range n.snapshot.Load().tables.Routes {
		if n.direct() {
			break // with direct dispatch only MinLookupTTL applies
		}
		longest = max(longest, n.snapshot.Load().tables.Routes[i].LookupTTL.Std())
	}
	return longest
}

// inFlightPollInterval is the interval at which leave checks whether requests are
// still in flight.
const inFlightPollInterval = 5 * time.Millisecond

// callPlatform runs f within the platform's timeout and logs its failure.
func (n *Node) callPlatform(ctx context.Context, operation string, f func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Platform.Timeout.Std())
	defer cancel()
	if err := f(ctx); err != nil {
		n.log.Warn("platform call failed during shutdown", zap.String("what", operation), zap.Error(err))
	}
}
