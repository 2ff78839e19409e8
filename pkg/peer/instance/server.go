package instance

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// maxServerConns is the largest number of connections that a server keeps open.
// Further ones are closed at once.
const maxServerConns = 1024

// PanicHandler is called with the value and the stack of a panic in the handler of
// method m.
type PanicHandler func(m Method, value any, stack []byte)

// Server serves calls of other instances.
type Server struct {
	handler   Handler
	tlsConfig *tls.Config
	onPanic   PanicHandler

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a server that dispatches calls to h. It uses plain TCP if
// tlsConfig is nil; see Identity.ServerTLS for one that accepts only clients with a
// certificate of the same authority. A panic in h fails only the call that caused it,
// and is reported to onPanic.
func NewServer(h Handler, tlsConfig *tls.Config, onPanic PanicHandler) *Server {
	return &Server{handler: h, tlsConfig: tlsConfig, onPanic: onPanic, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// Serve accepts and serves connections until ctx is done, then closes ln and all
// connections and returns nil. It returns an error if ln is closed before.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	if s.tlsConfig != nil {
		ln = tls.NewListener(ln, s.tlsConfig)
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	pause := minAcceptPause
	for {
		c, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			sleep(ctx, pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		wg.Go(func() { s.serveConn(ctx, c) })
	}
}

// The pause after a failed Accept doubles from minAcceptPause to maxAcceptPause while
// Accept fails, for example because the process has no file descriptor left.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// sleep waits for d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// serveConn serves the calls on one connection in sequence, until it is closed.
func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	stream := jsonrpc2.NewBufferedStream(&deadlineConn{Conn: c}, &connCodec{})
	conn := jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed(), jsonrpc2.SetLogger(discardLogger))
	defer func() { _ = conn.Close() }()
	if !s.track(conn) {
		return
	}
	defer s.untrack(conn)
	<-conn.DisconnectNotify()
}

// track registers conn and reports whether it is within maxServerConns.
func (s *Server) track(conn *jsonrpc2.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxServerConns {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// handle serves one call. An error is returned with the name of its kind as data.
func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	var params []byte
	if req.Params != nil {
		params = *req.Params
	}
	result, err := s.dispatchWithRecover(ctx, Method(req.Method), params)
	if err == nil {
		return result, nil
	}
	rpcErr := &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()}
	if data, marshalErr := json.Marshal(fault.KindOf(err).String()); marshalErr == nil {
		rpcErr.Data = (*json.RawMessage)(&data)
	}
	return nil, rpcErr
}

// dispatchWithRecover is Dispatch, but reports a panic and returns it as an error.
func (s *Server) dispatchWithRecover(ctx context.Context, m Method, params []byte) (result any, err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			s.onPanic(m, recovered, debug.Stack())
			err = fault.New(fault.KindBadRequest, "the handler of method %q panicked", string(m))
		}
	}()
	return Dispatch(ctx, s.handler, m, params)
}
