// Package daemon wires one whole instance: the path of requests, what the
// instances share, and the server of the instances' own protocol. It is what
// jacinthrampd runs, and what the demo runs many of.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
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
)

// Platform is every service of the platform.
type Platform interface {
	platform.Tables
	platform.Objects
	platform.Instances
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
	identity, err := LoadIdentity(s.TLS)
	if err != nil {
		return nil, err
	}
	tracer, err := telemetry.NewTracer(context.Background(), s.Traces, s.Instance.ID, s.Instance.Zone)
	if err != nil {
		return nil, err
	}
	ls, peer, err := listen(s)
	if err != nil {
		_ = tracer.Close(context.Background()) // nothing has been recorded
		return nil, err
	}
	log = log.With(zap.String("instance", s.Instance.ID))
	d := &Daemon{peer: peer, peers: instance.NewClient(nil), log: log, tracer: tracer}
	var serverTLS *tls.Config
	if identity != nil {
		serverTLS = identity.ServerTLS()
		d.peers = instance.NewClient(identity.ClientTLS())
		if s.TLS.Admin {
			ls.Admin = tls.NewListener(ls.Admin, serverTLS)
		}
	}
	d.metrics = telemetry.NewMetrics(s.Instance.ID, s.Instance.Zone)
	d.self = platform.Instance{
		ID:            s.Instance.ID,
		Zone:          s.Instance.Zone,
		Region:        s.Instance.Region,
		Incarnation:   newIncarnation(),
		CallerAddress: ls.Caller.Addr().String(),
		HopAddress:    ls.Hop.Addr().String(),
		PeerAddress:   peer.Addr().String(),
		AdminAddress:  ls.Admin.Addr().String(),
		AdminTLS:      s.TLS.Admin,
	}
	c := cluster.New(cluster.Config{
		Self: d.self, Timing: cluster.DefaultTiming(),
		Tables: p, Objects: p, Instances: p,
		Peers: d.peers, Log: log, Rand: rand.Float64,
	})
	d.serve = instance.NewServer(c.Handler(), serverTLS)
	d.node = node.New(node.Config{
		Settings: s, Self: d.self, Metrics: d.metrics, Tracer: tracer, Listeners: ls, Cluster: c, Instances: p, Log: log, Seed: rand.Uint64(),
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

// listen opens the listeners; after an error none is left open.
func listen(s *settings.Settings) (node.Listeners, net.Listener, error) {
	var ls node.Listeners
	var peer net.Listener
	var opened []net.Listener
	for _, l := range []struct {
		key, address string
		place        *net.Listener
	}{
		{"listen.caller", s.Listen.Caller, &ls.Caller},
		{"listen.hop", s.Listen.Hop, &ls.Hop},
		{"listen.peer", s.Listen.Peer, &peer},
		{"listen.admin", s.Listen.Admin, &ls.Admin},
	} {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			for _, other := range opened {
				_ = other.Close()
			}
			return ls, nil, fault.Wrap(fault.KindInvalidSettings, err, "%s: can't listen on %s", l.key, l.address)
		}
		*l.place = ln
		opened = append(opened, ln)
	}
	return ls, peer, nil
}
