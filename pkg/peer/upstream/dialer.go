package upstream

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/conngen"
)

// Options configures the connections.
type Options struct {
	// DialTimeout bounds the opening of a connection. Default 1s.
	DialTimeout time.Duration
	// MaxAnswerHeaderBytes bounds the header of an answer. Default 256 KiB.
	MaxAnswerHeaderBytes int64
	// Generations sets when a connection is doubted. Default
	// conngen.DefaultLimits.
	Generations conngen.Limits
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// ContinueTimeout bounds the wait for "100 Continue" when the request
	// expects it. Default 1s.
	ContinueTimeout time.Duration
}

const (
	defaultDialTimeout          = time.Second
	defaultMaxAnswerHeaderBytes = 256 << 10
	defaultContinueTimeout      = time.Second
	// transferBufferBytes is the size of the read and write buffers of one connection.
	transferBufferBytes = 8 << 10
)

// Dialer opens the connections of any number of pools.
type Dialer struct {
	transport *http.Transport
	timeout   time.Duration
	limits    conngen.Limits
	now       func() time.Time
}

// wireKey carries the place for the dialed connection through a context.
type wireKey struct{}

// NewDialer returns a Dialer with the given options.
func NewDialer(o Options) *Dialer {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxAnswerHeaderBytes <= 0 {
		o.MaxAnswerHeaderBytes = defaultMaxAnswerHeaderBytes
	}
	if o.ContinueTimeout <= 0 {
		o.ContinueTimeout = defaultContinueTimeout
	}
	if o.Generations == (conngen.Limits{}) {
		o.Generations = conngen.DefaultLimits()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	d := &net.Dialer{Timeout: o.DialTimeout}
	t := &http.Transport{
		DisableCompression:     true,
		ExpectContinueTimeout:  o.ContinueTimeout,
		MaxResponseHeaderBytes: o.MaxAnswerHeaderBytes,
		ReadBufferSize:         transferBufferBytes,
		WriteBufferSize:        transferBufferBytes,
		Protocols:              new(http.Protocols),
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			w := &wireConn{Conn: c}
			if place, ok := ctx.Value(wireKey{}).(**wireConn); ok {
				*place = w
			}
			return w, nil
		},
	}
	t.Protocols.SetHTTP1(true)
	return &Dialer{transport: t, timeout: o.DialTimeout, limits: o.Generations, now: o.Now}
}
