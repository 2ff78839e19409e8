// Package node wires one instance together: the listeners, the decisions, the
// connections to targets and other instances, and the steps of its life.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
	"github.com/jacinthramp/jacinthramp/pkg/telemetry"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// Listeners are the open listeners of an instance.
type Listeners struct {
	Caller net.Listener
	Hop    net.Listener
	Admin  net.Listener
}

// Config is what a Node is made of.
type Config struct {
	Settings *settings.Settings
	// Self is the entry of this instance in the platform's list, with the
	// addresses that the listeners really have.
	Self      platform.Instance
	Listeners Listeners
	Cluster   Cluster
	// Instances is read for the home of a repeat that the cluster does not
	// know yet. Nil switches that off.
	Instances platform.Instances
	Log       *zap.Logger
	// Metrics and Tracer may be nil.
	Metrics *telemetry.Metrics
	Tracer  *telemetry.Tracer
	// Seed starts the random choices.
	Seed uint64
	// Dialect names the fields of callers and targets. The zero value means
	// the native ones.
	Dialect wire.Dialect
	// Endpoints are further listeners, each with what it serves.
	Endpoints []Endpoint
}

// Endpoint is a further listener and what it serves.
type Endpoint struct {
	Listener net.Listener
	// Handler makes what is served.
	Handler func(*Node) http.Handler
}

// Node is one instance.
type Node struct {
	settings  *settings.Settings
	self      platform.Instance
	listeners Listeners
	cluster   Cluster
	log       *zap.Logger
	metrics   *telemetry.Metrics
	tracer    *telemetry.Tracer
	core      *steer.Core
	dialer    *upstream.Dialer
	waiters   *waiters
	repeats   *repeats
	finder    *finder
	latencies *latencies
	// queued is signalled when a request begins to wait.
	queued   chan struct{}
	drains   *drains
	view     atomic.Pointer[view]
	stage    atomic.Int32
	inFlight atomic.Int64
	now      func() time.Time
	// attached is set when the cluster sets the shares itself.
	attached bool
	// decides is set once the decisions have tables.
	decides   atomic.Bool
	dialect   wire.Dialect
	endpoints []Endpoint
}

// tickInterval is the time between two looks at the queued requests, while
// there are any.
const tickInterval = 5 * time.Millisecond

// New returns a Node; Run starts it.
func New(c Config) *Node {
	place := steer.Self{Instance: c.Self.ID, Zone: c.Self.Zone, Region: c.Self.Region}
	n := &Node{
		settings:  c.Settings,
		self:      c.Self,
		listeners: c.Listeners,
		cluster:   c.Cluster,
		log:       c.Log,
		metrics:   c.Metrics,
		tracer:    c.Tracer,
		core:      steer.New(place, rand.NewPCG(c.Seed, c.Seed^uint64(len(c.Self.ID)))),
		dialer:    upstream.NewDialer(dialOptions(c.Settings)),
		waiters:   newWaiters(),
		repeats:   newRepeats(c.Self.ID, c.Self.Incarnation, time.Now()),
		now:       time.Now,
		dialect:   c.Dialect,
		endpoints: c.Endpoints,
	}
	if n.dialect == (wire.Dialect{}) {
		n.dialect = wire.NativeDialect()
	}
	if n.direct() {
		n.core.EnableDirect(policyOf(c.Settings))
	}
	n.finder = newFinder(c.Instances, n.dialer)
	n.drains = newDrains(n.recordDrain)
	if a, ok := c.Cluster.(Attacher); ok {
		a.Attach(n.core)
		n.attached = true
	}
	n.latencies = newLatencies(n.now)
	n.queued = make(chan struct{}, 1)
	n.stage.Store(stageServing)
	n.view.Store(emptyView())
	return n
}

// Core returns the decisions, for what feeds them.
func (n *Node) Core() *steer.Core { return n.core }

// Run serves until ctx ends, then leaves in steps without cutting off any
// request. The error is that of a listener that failed.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { n.runCluster(background) })
	wg.Go(func() { n.follow(background) })
	wg.Go(func() { n.tick(background) })
	wg.Go(func() { n.probe(background) })
	wg.Go(func() { n.sweep(background) })
	if n.metrics != nil {
		wg.Go(func() { n.reportHeadroom(background) })
	}
	err := n.serve(ctx)
	stop()
	wg.Wait()
	n.closeClients()
	return err
}

// runCluster runs the cluster's own work.
func (n *Node) runCluster(ctx context.Context) {
	if err := n.cluster.Run(ctx); err != nil && ctx.Err() == nil {
		n.log.Error("cluster stopped", zap.Error(err))
	}
}

// follow brings the cluster's news into the decisions.
func (n *Node) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.cluster.Updates():
			n.takeNews()
		}
	}
}

// takeNews puts the cluster's present views in force.
func (n *Node) takeNews() {
	now := n.now()
	old := n.view.Load().tables.Version
	n.refresh()
	n.core.SetInstances(n.liveInstances())
	if t := n.cluster.Tables(); t != nil {
		n.core.SetTables(now, t)
		if !n.attached && !n.direct() {
			n.core.SetShares(now, n.cluster.Shares())
		}
		n.decides.Store(true)
	}
	for _, s := range n.cluster.Summaries() {
		n.core.ObserveZone(now, s)
	}
	if v := n.view.Load().tables.Version; v != old {
		n.log.Info("tables in force", zap.Uint64("version", v))
	}
}

// tick wakes queued requests whose time has come: often while any wait, else
// only as often as the decisions have to be reviewed.
func (n *Node) tick(ctx context.Context) {
	interval := tickInterval
	t := time.NewTimer(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.queued:
			if interval == tickInterval {
				continue
			}
			interval = tickInterval
		case <-t.C:
			n.waiters.deliver(n.core.Tick(n.now()))
			interval = tickInterval
			if !n.core.HasWaiting() {
				interval = steer.RecomputeInterval
			}
		}
		t.Reset(interval)
	}
}

// signalQueued makes tick look at the queued requests soon.
func (n *Node) signalQueued() {
	select {
	case n.queued <- struct{}{}:
	default:
	}
}

// recordDrain reports that a leaving target is empty.
func (n *Node) recordDrain(name string, took time.Duration) {
	if n.metrics != nil {
		n.metrics.RecordDrain(name, took)
	}
	n.log.Info("target drained", zap.String("target", name), zap.Duration("took", took))
}

// closeClients closes every idle connection.
func (n *Node) closeClients() {
	v := n.view.Load()
	closeGone(v, &view{})
	n.finder.close()
}
