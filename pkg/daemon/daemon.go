// Package daemon assembles one complete instance: the handling of requests, the
// state shared with other instances, and the server for their calls. Jacinthrampd
// runs one Daemon, the demo runs many in one process.
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

// Platform combines all services of a platform.
type Platform interface {
	platform.TableService
	platform.ObjectStore
	platform.InstanceRegistry
}

// Adapter connects an instance to the platform that it runs on, and adapts the
// HTTP interfaces for callers and targets to it.
type Adapter struct {
	// Instances is the platform's instance registry. Required.
	Instances platform.InstanceRegistry
	// Tables and Objects store the tables. They are not used if Feeds is set.
	Tables  platform.TableService
	Objects platform.ObjectStore
	// Feeds deliver what operators and targets write, on platforms where targets
	// register themselves.
	Feeds []platform.Feed
	// StoreGeneration returns the generation of the platform's store, which rises when
	// the store is restored from an older copy. Optional.
	StoreGeneration func() uint64
	// Dialect gives the names of the header fields of callers and targets; the
	// zero value means the native names.
	Dialect wire.Dialect
	// Lookup and Ready return the handlers for the listeners listen.lookup and
	// listen.ready of the settings; nil means the native handlers.
	Lookup func(*node.Node) http.Handler
	Ready  func(*node.Node) http.Handler
}

// Daemon is one instance with open listeners.
type Daemon struct {
	self         platform.Instance
	node         *node.Node
	peerClient   *instance.Client
	peerListener net.Listener
	peerServer   *instance.Server
	addresses    settings.Listen
	log          *zap.Logger

	metrics *telemetry.Metrics
	tracer  *telemetry.Tracer
}

// New opens the listeners named in s and returns an instance on platform p. If an
// address cannot be listened on, the error is of kind fault.KindInvalidSettings.
func New(s *settings.Settings, p Platform, log *zap.Logger) (*Daemon, error) {
	return NewWithAdapter(s, Adapter{Instances: p, Tables: p, Objects: p}, log)
}

// recordCallPanic counts and logs a panic in the handler of a call of another
// instance.
func (d *Daemon) recordCallPanic(m instance.Method, value any, stack []byte) {
	d.metrics.CountPanic()
	d.log.Error("panic while handling a message of another instance, message rejected", zap.String("method", string(m)), zap.Any("panic", value), zap.ByteString("stack", stack))
}

// NewWithAdapter is New for a platform other than the native one.
func NewWithAdapter(s *settings.Settings, adapter Adapter, log *zap.Logger) (*Daemon, error) {
	identity, err := LoadIdentity(s.TLS)
	if err != nil {
		return nil, err
	}
	tracer, err := telemetry.NewTracer(context.Background(), s.Traces, s.Instance.ID, s.Instance.Zone)
	if err != nil {
		return nil, err
	}
	ls, err := openListeners(s, adapter)
	if err != nil {
		_ = tracer.Close(context.Background()) // no spans have been recorded
		return nil, err
	}
	log = log.With(zap.String("instance", s.Instance.ID))
	peerListener := ls.peer
	d := &Daemon{peerListener: peerListener, peerClient: instance.NewClient(nil), log: log, tracer: tracer, addresses: ls.addresses}
	var serverTLS *tls.Config
	if identity != nil {
		serverTLS = identity.ServerTLS()
		d.peerClient = instance.NewClient(identity.ClientTLS())
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
		PeerAddress:   cmp.Or(s.Listen.PeerAdvertised, peerListener.Addr().String()),
		AdminAddress:  ls.node.Admin.Addr().String(),
		AdminTLS:      s.TLS.Admin,
		LinkMbps:      int(s.Instance.LinkMbps),
	}
	if s.Dispatch.Mode == settings.DispatchDirect {
		// In direct mode instances share nothing within a zone, so the cell for
		// heartbeats is the region. If a zone has only one instance, its failure
		// is detected by those of other zones.
		d.self.Cell = s.Instance.Region
	}
	c := cluster.New(cluster.Config{
		Self: d.self, Timing: cluster.DefaultTiming(),
		Tables: adapter.Tables, Objects: adapter.Objects, Instances: adapter.Instances,
		Feeds: adapter.Feeds, StoreGeneration: adapter.StoreGeneration, Seeds: s.Instance.Seeds,
		Peers: d.peerClient, Log: log, Rand: rand.Float64,
	})
	d.peerServer = instance.NewServer(c.Handler(), serverTLS, d.recordCallPanic)
	d.node = node.New(node.Config{
		Settings: s, Self: d.self, Metrics: d.metrics, Tracer: tracer, Listeners: ls.node, Cluster: c,
		Instances: adapter.Instances, Log: log, Seed: rand.Uint64(), Dialect: adapter.Dialect, Endpoints: ls.endpoints,
	})
	return d, nil
}

// LoadIdentity loads the certificates named in t, or returns nil if TLS is not
// enabled. Errors are those of instance.LoadIdentity.
func LoadIdentity(t settings.TLS) (*instance.Identity, error) {
	if !t.Enabled() {
		return nil, nil
	}
	return instance.LoadIdentity(instance.IdentityFiles{Certificate: t.Certificate, Key: t.Key, Authority: t.Authority})
}

// Self returns the instance's entry in the platform's instance registry.
func (d *Daemon) Self() platform.Instance { return d.self }

// ListenAddresses returns the addresses that d listens on. For an address of the
// settings with port 0 it has the port that was bound.
func (d *Daemon) ListenAddresses() settings.Listen { return d.addresses }

// Run serves until ctx ends and the instance has left; the peer listener stays open
// until then. If a listener other than the peer listener fails, Run stops and
// returns the error.
func (d *Daemon) Run(ctx context.Context) error {
	peerCtx, stopPeerServer := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPeerServer()
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := d.peerServer.Serve(peerCtx, d.peerListener); err != nil {
			d.log.Error("peer listener failed, no new connections of other instances are accepted", zap.Error(err))
		}
	})
	err := d.node.Run(ctx)
	stopPeerServer()
	wg.Wait()
	d.peerClient.Close()
	d.closeTelemetry()
	return err
}

// closeTelemetry closes the metrics and sends the last spans.
func (d *Daemon) closeTelemetry() {
	ctx, cancel := context.WithTimeout(context.Background(), telemetryCloseTimeout)
	defer cancel()
	if err := errors.Join(d.metrics.Close(), d.tracer.Close(ctx)); err != nil {
		d.log.Warn("telemetry not closed, the last spans may be lost", zap.Error(err))
	}
}

// telemetryCloseTimeout limits the time to send the last spans.
const telemetryCloseTimeout = 2 * time.Second

// newIncarnation returns an incarnation that is higher than those of earlier starts
// of the instance: the Unix time in nanoseconds followed by 32 random bits, both in
// base 36.
func newIncarnation() string {
	return strconv.FormatInt(time.Now().UnixNano(), 36) + strconv.FormatUint(uint64(rand.Uint32()), 36)
}

// listeners are the open listeners of an instance.
type listeners struct {
	node      node.Listeners
	peer      net.Listener
	endpoints []node.Endpoint
	// addresses are those of the settings, with the ports that were bound.
	addresses settings.Listen
}

// openListeners opens the listeners named in s. If one fails, it closes those
// already open and returns an error of kind fault.KindInvalidSettings.
func openListeners(s *settings.Settings, adapter Adapter) (ls listeners, err error) {
	var opened []net.Listener
	ls.addresses = s.Listen
	open := func(setting string, address *string) net.Listener {
		if err != nil {
			return nil
		}
		ln, listenErr := net.Listen("tcp", *address)
		if listenErr != nil {
			err = fault.Wrap(fault.KindInvalidSettings, listenErr, "%s: cannot listen on %s", setting, *address)
			return nil
		}
		opened = append(opened, ln)
		*address = ln.Addr().String()
		return ln
	}
	ls.node.Caller = open("listen.caller", &ls.addresses.Caller)
	ls.node.Hop = open("listen.hop", &ls.addresses.Hop)
	ls.peer = open("listen.peer", &ls.addresses.Peer)
	ls.node.Admin = open("listen.admin", &ls.addresses.Admin)
	for _, e := range []struct {
		setting       string
		address       *string
		handler       func(*node.Node) http.Handler
		nativeHandler func(*node.Node) http.Handler
	}{
		{"listen.lookup", &ls.addresses.Lookup, adapter.Lookup, (*node.Node).LookupHandler},
		{"listen.ready", &ls.addresses.Ready, adapter.Ready, (*node.Node).ReadyHandler},
	} {
		if *e.address == "" {
			continue
		}
		if e.handler == nil {
			e.handler = e.nativeHandler
		}
		ls.endpoints = append(ls.endpoints, node.Endpoint{Listener: open(e.setting, e.address), Handler: e.handler})
	}
	if err != nil {
		for _, ln := range opened {
			_ = ln.Close()
		}
		return listeners{}, err
	}
	return ls, nil
}
