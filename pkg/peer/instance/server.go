package instance

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"runtime/debug"
	"sync"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// maxServed bounds the connections that a server keeps open.
const maxServed = 1024

// PanicHandler gets a panic in the handling of a message, with its stack.
type PanicHandler func(m Method, value any, stack []byte)

// Server answers the calls of other instances.
type Server struct {
	handler  Handler
	tls      *tls.Config
	panicked PanicHandler

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a server that passes calls to h. With a TLS configuration
// it accepts only callers that show a certificate of the same authority. A panic
// in h ends the message that caused it, and is passed to panicked.
func NewServer(h Handler, tlsConfig *tls.Config, panicked PanicHandler) *Server {
	return &Server{handler: h, tls: tlsConfig, panicked: panicked, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// Serve accepts connections until ctx ends, then closes ln and all
// connections.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	if s.tls != nil {
		ln = tls.NewListener(ln, s.tls)
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		c, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			continue
		}
		wg.Go(func() { s.serveConn(ctx, c) })
	}
}

// serveConn answers the calls on one connection, one after the other.
func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	stream := jsonrpc2.NewBufferedStream(&deadlineConn{Conn: c}, Codec{})
	conn := jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed(), jsonrpc2.SetLogger(discard))
	defer func() { _ = conn.Close() }()
	if !s.track(conn) {
		return
	}
	defer s.untrack(conn)
	<-conn.DisconnectNotify()
}

func (s *Server) track(conn *jsonrpc2.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxServed {
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

// handle answers one call. The error's kind travels as its data.
func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	var params []byte
	if req.Params != nil {
		params = *req.Params
	}
	result, err := s.dispatch(ctx, Method(req.Method), params)
	if err == nil {
		return result, nil
	}
	e := &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()}
	if data, mErr := json.Marshal(fault.KindOf(err).String()); mErr == nil {
		e.Data = (*json.RawMessage)(&data)
	}
	return nil, e
}

// dispatch is Dispatch, but for a panic, which it reports and returns as an error.
func (s *Server) dispatch(ctx context.Context, m Method, params []byte) (result any, err error) {
	defer func() {
		if v := recover(); v != nil {
			s.panicked(m, v, debug.Stack())
			err = fault.New(fault.KindBadRequest, "the message %q could not be handled", string(m))
		}
	}()
	return Dispatch(ctx, s.handler, m, params)
}
