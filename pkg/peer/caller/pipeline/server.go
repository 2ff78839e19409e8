// Package pipeline is an HTTP/1.1 server with support for pipelining. Pipelined
// requests without a body are handled concurrently, responses are sent in the
// order of the requests, and a disconnect of the caller is detected even if
// pipelined requests are waiting. The server of net/http does neither: it reads
// a request only after the response to the previous one, and stops watching a
// connection for disconnects once unread bytes are buffered.
package pipeline

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/peer/memory"
)

// Server serves the connections of one listener. Handler, the timeouts and
// MaxHeaderBytes must be set.
type Server struct {
	Handler http.Handler
	// ReadHeaderTimeout limits the time to read a request's header, and
	// IdleTimeout the wait for the next request on an idle connection.
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	// StallTimeout limits the time in which the caller takes nothing of a response that is
	// being written: 32 KiB of it, or all that is left. Zero means no limit.
	StallTimeout time.Duration
	// MaxHeaderBytes limits the size of a request's header; the effective limit is
	// higher by up to bufferBytes.
	MaxHeaderBytes int
	// HeaderMemory is shared by the headers of all requests from their first byte until
	// they are answered. A request for which it has no room is refused with 503. Nil
	// means that there is no bound.
	HeaderMemory *memory.Budget
	// ErrorLog receives the panics of handlers; nil discards them.
	ErrorLog *log.Logger

	mu       sync.Mutex
	conns    map[*conn]struct{}
	listener net.Listener
	closing  bool
	// serving counts the connections that are being served.
	serving sync.WaitGroup
}

// maxAcceptBackoff limits the backoff after a temporary failure to accept a
// connection.
const maxAcceptBackoff = 200 * time.Millisecond

// Serve accepts connections until Shutdown or Close, and then returns
// http.ErrServerClosed. Network errors of the listener are retried with backoff;
// other errors are returned.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		_ = ln.Close()
		return http.ErrServerClosed
	}
	s.listener = ln
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.mu.Unlock()
	backoff := 5 * time.Millisecond
	for {
		nc, err := ln.Accept()
		if err == nil {
			backoff = 5 * time.Millisecond
			s.startConn(nc)
			continue
		}
		s.mu.Lock()
		closing := s.closing
		s.mu.Unlock()
		if closing {
			return http.ErrServerClosed
		}
		var ne net.Error
		if !errors.As(err, &ne) {
			return err
		}
		// Usually the process is out of file descriptors; a later accept may
		// succeed.
		time.Sleep(backoff)
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}

// startConn serves nc in a new goroutine.
func (s *Server) startConn(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		_ = nc.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		c.serve()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
}

// Shutdown closes the listener and the idle connections, and waits until the
// others have sent the responses to the requests already read and are closed. If
// ctx ends first, it returns the error of ctx and leaves them open.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop(func(c *conn) { c.drain() })
	done := make(chan struct{})
	go func() {
		s.serving.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listener and all connections immediately, and waits for the
// handlers to return.
func (s *Server) Close() error {
	s.stop(func(c *conn) { c.abort() })
	s.serving.Wait()
	return nil
}

// stop closes the listener and calls closeConn for each connection.
func (s *Server) stop(closeConn func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		closeConn(c)
	}
}

// logf writes to ErrorLog unless it is nil.
func (s *Server) logf(format string, args ...any) {
	if s.ErrorLog != nil {
		s.ErrorLog.Printf(format, args...)
	}
}
