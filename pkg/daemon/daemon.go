// Package daemon wires one whole instance: the path of requests, what the
// instances share, and the server of the instances' own protocol. It is what
// jacinthrampd runs, and what the demo runs many of.
package daemon

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/cluster"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/node"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
	"github.com/jacinthramp/jacinthramp/pkg/telemetry"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// Platform is every service of the platform.
type Platform interface {
	platform.Tables
	platform.Objects
	platform.Instances
}

// Adapter is how an instance speaks with the platform that it runs on, with
// callers and with targets.
type Adapter struct {
	// Instances is the list of instances. Required.
	Instances platform.Instances
	// Tables and Objects hold the tables; they are not used with Feeds.
	Tables  platform.Tables
	Objects platform.Objects
	// Feeds tell what operators and targets have written, on platforms where
	// targets register themselves.
	Feeds []platform.Feed
	// Dialect names the fields of callers and targets; the zero value means
	// the native ones.
	Dialect wire.Dialect
	// Lookup and Ready make what is served on the listeners of those names in
	// the settings; nil means the native handlers.
	Lookup func(*node.Node) http.Handler
	Ready  func(*node.Node) http.Handler
}

// Daemon is one instance with its listeners open.
type Daemon struct {
	self  platform.Instance
	node  *node.Node
	peers *instance.Client
	peer  net.Listener
	serve *instance.Server
	log   *zap.Logger

	metrics *telemetry.Metrics
	tracer  *telemetry.Tracer
}

// New opens the listeners that s names and wires an instance to p. An address
// that can't be listened on is fault.KindInvalidSettings.
func New(s *settings.Settings, p Platform, log *zap.Logger) (*Daemon, error) {
	return NewWith(s, Adapter{Instances: p, Tables: p, Objects: p}, log)
}

// messagePanicked takes in a panic in the handling of another instance's message.
func (d *Daemon) messagePanicked(m instance.Method, value any, stack []byte) {
	d.metrics.CountPanic()
	d.log.Error("message not handled", zap.String("method", string(m)), zap.Any("panic", value), zap.ByteString("stack", stack))
}

// NewWith is New on another platform than the native one.
func NewWith(s *settings.Settings, a Adapter, log *zap.Logger) (*Daemon, error) {
	identity, err := LoadIdentity(s.TLS)
	if err != nil {
		return nil, err
	}
	tracer, err := telemetry.NewTracer(context.Background(), s.Traces, s.Instance.ID, s.Instance.Zone)
	if err != nil {
		return nil, err
	}
	ls, err := listen(s, a)
	if err != nil {
		_ = tracer.Close(context.Background()) // nothing has been recorded
		return nil, err
	}
	log = log.With(zap.String("instance", s.Instance.ID))
	peer := ls.peer
	d := &Daemon{peer: peer, peers: instance.NewClient(nil), log: log, tracer: tracer}
	var serverTLS *tls.Config
	if identity != nil {
		serverTLS = identity.ServerTLS()
		d.peers = instance.NewClient(identity.ClientTLS())
		if s.TLS.Admin {
			ls.node.Admin = tls.NewListener(ls.node.Admin, serverTLS)
		}
	}
	d.metrics = telemetry.NewMetrics(s.Instance.ID, s.Instance.Zone)
	d.self = platform.Instance{
		ID:            s.Instance.ID,
		Zone:          s.Instance.Zone,
		Region:        s.Instance.Region,
		Incarnation:   newIncarnation(),
		CallerAddress: ls.node.Caller.Addr().String(),
		HopAddress:    ls.node.Hop.Addr().String(),
		PeerAddress:   cmp.Or(s.Listen.PeerAdvertised, peer.Addr().String()),
		AdminAddress:  ls.node.Admin.Addr().String(),
		AdminTLS:      s.TLS.Admin,
	}
	if s.Dispatch.Mode == settings.DispatchDirect {
		// Nothing is shared within a zone, so heartbeats span the region: a
		// zone with one instance has someone who notices its end.
		d.self.Cell = s.Instance.Region
	}
	c := cluster.New(cluster.Config{
		Self: d.self, Timing: cluster.DefaultTiming(),
		Tables: a.Tables, Objects: a.Objects, Instances: a.Instances,
		Feeds: a.Feeds, Seeds: s.Instance.Seeds,
		Peers: d.peers, Log: log, Rand: rand.Float64,
	})
	d.serve = instance.NewServer(c.Handler(), serverTLS, d.messagePanicked)
	d.node = node.New(node.Config{
		Settings: s, Self: d.self, Metrics: d.metrics, Tracer: tracer, Listeners: ls.node, Cluster: c,
		Instances: a.Instances, Log: log, Seed: rand.Uint64(), Dialect: a.Dialect, Endpoints: ls.endpoints,
	})
	return d, nil
}

// LoadIdentity reads the certificates, or returns nil when none are named.
// Errors: as instance.LoadIdentity.
func LoadIdentity(t settings.TLS) (*instance.Identity, error) {
	if !t.Enabled() {
		return nil, nil
	}
	return instance.LoadIdentity(instance.Files{Certificate: t.Certificate, Key: t.Key, Authority: t.Authority})
}

// Self returns the instance's entry in the platform's list.
func (d *Daemon) Self() platform.Instance { return d.self }

// Run serves until ctx ends and the instance has left.
func (d *Daemon) Run(ctx context.Context) error {
	peering, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := d.serve.Serve(peering, d.peer); err != nil {
			d.log.Error("peer listener failed", zap.Error(err))
		}
	})
	err := d.node.Run(ctx)
	stop()
	wg.Wait()
	d.peers.Close()
	d.closeTelemetry()
	return err
}

// closeTelemetry ends the metrics and sends the last spans.
func (d *Daemon) closeTelemetry() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := errors.Join(d.metrics.Close(), d.tracer.Close(ctx)); err != nil {
		d.log.Warn("telemetry was not closed", zap.Error(err))
	}
}

// closeTimeout bounds the sending of the last spans.
const closeTimeout = 2 * time.Second

// newIncarnation returns a value higher than that of any earlier start of the
// instance: the time in nanoseconds and random bits, in letters and digits.
func newIncarnation() string {
	return strconv.FormatInt(time.Now().UnixNano(), 36) + strconv.FormatUint(uint64(rand.Uint32()), 36)
}

// listeners are the open listeners of an instance.
type listeners struct {
	node      node.Listeners
	peer      net.Listener
	endpoints []node.Endpoint
}

// listen opens the listeners; after an error none is left open.
func listen(s *settings.Settings, a Adapter) (ls listeners, err error) {
	var opened []net.Listener
	open := func(key, address string) net.Listener {
		if err != nil {
			return nil
		}
		ln, e := net.Listen("tcp", address)
		if e != nil {
			err = fault.Wrap(fault.KindInvalidSettings, e, "%s: can't listen on %s", key, address)
			return nil
		}
		opened = append(opened, ln)
		return ln
	}
	ls.node.Caller = open("listen.caller", s.Listen.Caller)
	ls.node.Hop = open("listen.hop", s.Listen.Hop)
	ls.peer = open("listen.peer", s.Listen.Peer)
	ls.node.Admin = open("listen.admin", s.Listen.Admin)
	for _, e := range []struct {
		key, address string
		handler      func(*node.Node) http.Handler
		native       func(*node.Node) http.Handler
	}{
		{"listen.lookup", s.Listen.Lookup, a.Lookup, (*node.Node).LookupHandler},
		{"listen.ready", s.Listen.Ready, a.Ready, (*node.Node).ReadyHandler},
	} {
		if e.address == "" {
			continue
		}
		if e.handler == nil {
			e.handler = e.native
		}
		ls.endpoints = append(ls.endpoints, node.Endpoint{Listener: open(e.key, e.address), Handler: e.handler})
	}
	if err != nil {
		for _, ln := range opened {
			_ = ln.Close()
		}
		return listeners{}, err
	}
	return ls, nil
}
