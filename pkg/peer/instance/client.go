package instance

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const (
	// dialTimeout bounds the time to open a connection, with its TLS handshake.
	dialTimeout = time.Second
	// maxClientConns is the largest number of connections that a client keeps open.
	maxClientConns = 512
)

// Client calls other instances over one connection to each. It is safe for
// concurrent use.
type Client struct {
	tlsConfig *tls.Config

	mu    sync.Mutex
	conns map[string]*clientConn
}

// clientConn is a connection to one instance. conn, netConn and dialErr are set
// before dialDone is closed; Client.mu guards lastUsed.
type clientConn struct {
	dialDone chan struct{}
	conn     *jsonrpc2.Conn
	netConn  *deadlineConn
	dialErr  error
	lastUsed time.Time
	// closed is set by close, also while the connection is being opened.
	closed atomic.Bool
}

// NewClient returns a client. It uses plain TCP if tlsConfig is nil; see
// Identity.ClientTLS for one that accepts only instances of the same authority.
func NewClient(tlsConfig *tls.Config) *Client {
	return &Client{tlsConfig: tlsConfig, conns: map[string]*clientConn{}}
}

// Call calls method m of the instance at address and decodes its reply into result.
// If no reply arrives, Call closes the connection, since it may have stalled. Errors:
// fault.KindPeerUnavailable if there is no connection or reply,
// fault.KindPeerRejected if either side rejects the other's certificate, or the
// kind that the other instance returned.
func (c *Client) Call(ctx context.Context, address string, m Method, params, result any) error {
	cc, err := c.connect(ctx, address)
	if err != nil {
		return dialError(address, err)
	}
	err = cc.conn.Call(ctx, string(m), params, result)
	if err == nil {
		return nil
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return remoteError(address, rpcErr)
	}
	c.remove(address, cc)
	if readErr := cc.netConn.readErr.Load(); readErr != nil && errors.Is(err, jsonrpc2.ErrClosed) {
		err = *readErr
	}
	if isCertificateRejection(err) {
		return fault.Wrap(fault.KindPeerRejected, err, "the instance at %s rejected the certificate of this client", address)
	}
	return fault.Wrap(fault.KindPeerUnavailable, err, "no reply from the instance at %s to %s", address, m)
}

// connect returns the connection to address. If there is none, it opens one;
// concurrent callers wait for the same attempt.
func (c *Client) connect(ctx context.Context, address string) (*clientConn, error) {
	c.mu.Lock()
	cc, ok := c.conns[address]
	if !ok {
		c.evictLeastRecentlyUsed()
		cc = &clientConn{dialDone: make(chan struct{})}
		c.conns[address] = cc
	}
	cc.lastUsed = time.Now()
	c.mu.Unlock()
	if !ok {
		cc.conn, cc.netConn, cc.dialErr = c.dial(ctx, address)
		close(cc.dialDone)
		if cc.dialErr != nil || cc.closed.Load() {
			c.remove(address, cc)
		}
	}
	select {
	case <-cc.dialDone:
		return cc, cc.dialErr
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Client) dial(ctx context.Context, address string) (*jsonrpc2.Conn, *deadlineConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var nc net.Conn
	var err error
	if c.tlsConfig != nil {
		nc, err = (&tls.Dialer{Config: c.tlsConfig}).DialContext(ctx, "tcp", address)
	} else {
		nc, err = (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	if err != nil {
		return nil, nil, err
	}
	dc := &deadlineConn{Conn: nc}
	stream := jsonrpc2.NewBufferedStream(dc, &connCodec{})
	return jsonrpc2.NewConn(context.Background(), stream, ignoreCalls{}, jsonrpc2.SetLogger(discardLogger)), dc, nil
}

// ignoreCalls discards calls that arrive on a client's connection.
type ignoreCalls struct{}

func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// evictLeastRecentlyUsed closes the least recently used connection if the client
// has reached maxClientConns. The caller holds c.mu.
func (c *Client) evictLeastRecentlyUsed() {
	if len(c.conns) < maxClientConns {
		return
	}
	oldest := ""
	for addr, cc := range c.conns {
		if oldest == "" || cc.lastUsed.Before(c.conns[oldest].lastUsed) {
			oldest = addr
		}
	}
	cc := c.conns[oldest]
	delete(c.conns, oldest)
	cc.close()
}

// close closes the connection. A connection that is being opened is closed by connect
// once it is open.
func (cc *clientConn) close() {
	cc.closed.Store(true)
	select {
	case <-cc.dialDone:
		if cc.conn != nil {
			_ = cc.conn.Close()
		}
	default:
	}
}

// remove closes cc and removes it, unless another connection to address has replaced it.
func (c *Client) remove(address string, cc *clientConn) {
	c.mu.Lock()
	if c.conns[address] == cc {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	cc.close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, cc := range c.conns {
		delete(c.conns, addr)
		cc.close()
	}
}

// IsRefused reports whether err is a refused TCP connection, which means that no
// process listens at the address.
func IsRefused(err error) bool {
	if e := errorx.Cast(err); e != nil {
		err = e.Cause()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func dialError(address string, err error) error {
	if isCertificateRejection(err) {
		return fault.Wrap(fault.KindPeerRejected, err, "the certificate of the instance at %s or of this client was rejected", address)
	}
	return fault.Wrap(fault.KindPeerUnavailable, err, "cannot connect to the instance at %s", address)
}

// isCertificateRejection reports whether either side rejected the other's
// certificate. The other side reports a rejection as a TLS alert.
func isCertificateRejection(err error) bool {
	if fault.KindOf(err) == fault.KindPeerRejected {
		return true
	}
	var alert tls.AlertError
	var opErr *net.OpError
	return errors.As(err, &alert) || errors.As(err, &opErr) && opErr.Op == "remote error"
}

// remoteError returns the error that the other instance returned, with the kind in
// its data, or fault.KindBadRequest if it has none that is known.
func remoteError(address string, rpcErr *jsonrpc2.Error) error {
	kind := fault.KindBadRequest
	if rpcErr.Data != nil {
		var name string
		if json.Unmarshal(*rpcErr.Data, &name) == nil {
			if k, ok := fault.KindByName(name); ok {
				kind = k
			}
		}
	}
	return fault.New(kind, "the instance at %s returned an error: %s", address, rpcErr.Message)
}
