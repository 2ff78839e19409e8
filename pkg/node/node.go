// Package node assembles one instance: its listeners, the decision core, the
// connections to targets and other instances, and startup and shutdown.
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
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/peer/memory"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
	"github.com/jacinthramp/jacinthramp/pkg/telemetry"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// Listeners are the open listeners of an instance: for callers, for requests
// that other instances forward, and for operators.
type Listeners struct {
	Caller net.Listener
	Hop    net.Listener
	Admin  net.Listener
}

// Config configures a Node.
type Config struct {
	Settings *settings.Settings
	// Self is the entry of this instance in the platform's list, with the
	// addresses to which the listeners are bound.
	Self      platform.Instance
	Listeners Listeners
	Cluster   Cluster
	// Instances is read when a repeat names a home instance that the cluster does
	// not list yet. Nil disables the read.
	Instances platform.InstanceRegistry
	Log       *zap.Logger
	// Metrics and Tracer are optional; nil disables them.
	Metrics *telemetry.Metrics
	Tracer  *telemetry.Tracer
	// Seed seeds the random choices of the decision core.
	Seed uint64
	// Dialect names the header fields that callers and targets use. The zero
	// value selects the native dialect.
	Dialect wire.Dialect
	// Endpoints are additional listeners with their handlers.
	Endpoints []Endpoint
}

// Endpoint is an additional listener and its handler.
type Endpoint struct {
	Listener net.Listener
	// Handler returns the handler for the Node that serves the listener.
	Handler func(*Node) http.Handler
}

// Node is one instance. It accepts requests, decides where each one runs, sends
// it there and relays the response.
type Node struct {
	settings    *settings.Settings
	self        platform.Instance
	listeners   Listeners
	cluster     Cluster
	log         *zap.Logger
	metrics     *telemetry.Metrics
	tracer      *telemetry.Tracer
	core        *steer.Core
	dialer      *upstream.Dialer
	waiters     *waiters
	submissions *submissions
	homeFinder  *homeFinder
	latencies   *latencyTracker
	// queueSignal receives a value when a request is queued.
	queueSignal chan struct{}
	drains      *drainTracker
	// remoteLookups limits the log lines on lookup responses.
	remoteLookups *telemetry.IntervalLimiter
	// quotas is nil if the cluster keeps none. quotaRefusals limits the log lines on requests
	// beyond them.
	quotas        QuotaSource
	quotaRefusals *telemetry.IntervalLimiter
	// snapshot is replaced whenever the state of the cluster changes.
	snapshot atomic.Pointer[snapshot]
	// stage is stageServing, stageLeaving or stageRefusing.
	stage atomic.Int32
	// inFlight counts the requests that this instance is serving.
	inFlight atomic.Int64
	now      func() time.Time
	// stopping ends, by announceStop, when a planned stop with a time limit begins.
	stopping     context.Context
	announceStop context.CancelFunc
	// clusterSetsShares is true when the cluster is an Attacher and sets the
	// shares of core itself.
	clusterSetsShares bool
	// hasTables is set once core has received its first tables.
	hasTables atomic.Bool
	dialect   wire.Dialect
	endpoints []Endpoint
	// bodies is the memory of buffered response bodies, requestHeaders that of the headers
	// of callers' requests.
	bodies *memory.Budget
	// holding is the memory of the parts of responses that callers have not read yet.
	holding *caller.Holding
	// callerStall is callerStallTimeout, except in tests.
	callerStall    time.Duration
	requestHeaders *memory.Budget
}

// queueTickInterval is the interval at which queued requests are checked while
// there are any.
const queueTickInterval = 5 * time.Millisecond

// New returns a Node that serves nothing until Run is called.
func New(c Config) *Node {
	self := steer.Self{Instance: c.Self.ID, Zone: c.Self.Zone, Region: c.Self.Region}
	n := &Node{
		settings:    c.Settings,
		self:        c.Self,
		listeners:   c.Listeners,
		cluster:     c.Cluster,
		log:         c.Log,
		metrics:     c.Metrics,
		tracer:      c.Tracer,
		core:        steer.New(self, rand.NewPCG(c.Seed, c.Seed^uint64(len(c.Self.ID)))),
		dialer:      upstream.NewDialer(dialOptions(c.Settings)),
		waiters:     newWaiters(),
		submissions: newSubmissions(c.Self.ID, c.Self.Incarnation, time.Now()),
		now:         time.Now,
		dialect:     c.Dialect,
		endpoints:   c.Endpoints,
	}
	n.remoteLookups = telemetry.NewIntervalLimiter(remoteLookupLogInterval)
	n.quotaRefusals = telemetry.NewIntervalLimiter(quotaLogInterval)
	n.quotas, _ = c.Cluster.(QuotaSource)
	if n.dialect == (wire.Dialect{}) {
		n.dialect = wire.NativeDialect()
	}
	if n.direct() {
		n.core.EnableDirect(directPolicy(c.Settings))
	}
	n.bodies = memory.NewBudget(bodyMemory(c.Settings.Limits.MemoryMB))
	n.holding = caller.NewHolding(heldMemory(c.Settings.Limits.MemoryMB))
	n.callerStall = callerStallTimeout
	n.requestHeaders = memory.NewBudget(requestHeaderMemory)
	n.stopping, n.announceStop = context.WithCancel(context.Background())
	n.homeFinder = newHomeFinder(c.Instances, n.dialer)
	n.drains = newDrainTracker(n.recordDrain)
	if a, ok := c.Cluster.(Attacher); ok {
		a.Attach(n.core)
		n.clusterSetsShares = true
	}
	n.latencies = newLatencyTracker(n.now)
	n.queueSignal = make(chan struct{}, 1)
	n.stage.Store(stageServing)
	n.snapshot.Store(emptySnapshot())
	return n
}

// Core returns the decision core, for components that supply it with state.
func (n *Node) Core() *steer.Core { return n.core }

// Run serves until ctx ends, then shuts down in steps; see leave. It returns the
// error of a listener that failed, if one did.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { n.runCluster(background) })
	wg.Go(func() { n.watchCluster(background) })
	wg.Go(func() { n.tickQueue(background) })
	wg.Go(func() { n.probeLoop(background) })
	wg.Go(func() { n.sweepLoop(background) })
	if n.metrics != nil {
		wg.Go(func() { n.reportHeadroom(background) })
	}
	err := n.serve(ctx)
	stop()
	wg.Wait()
	n.closeClients()
	return err
}

// runCluster runs the cluster until ctx ends, and logs its error if it fails before
// that.
func (n *Node) runCluster(ctx context.Context) {
	if err := n.cluster.Run(ctx); err != nil && ctx.Err() == nil {
		n.log.Error("cluster stopped unexpectedly", zap.Error(err))
	}
}

// watchCluster applies the cluster's updates until ctx ends.
func (n *Node) watchCluster(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.cluster.Updates():
			n.applyUpdates()
		}
	}
}

// applyUpdates applies the cluster's current state: it rebuilds the snapshot and
// passes instances, tables, shares and summaries to core.
func (n *Node) applyUpdates() {
	now := n.now()
	old := n.snapshot.Load().tables.Version
	var since time.Time
	if timer, ok := n.cluster.(ChangeTimer); ok {
		since, _ = timer.TakeUnappliedSince()
	}
	if checker, ok := n.cluster.(EntryChecker); ok && n.metrics != nil {
		n.metrics.CountRefusedEntries(checker.TakeRefusedEntries())
	}
	n.rebuildSnapshot()
	members, complete := n.members()
	n.core.SetInstances(now, members, complete)
	// Every target of the tables in force has a client.
	if t := n.snapshot.Load().tables; t.Version != 0 {
		n.core.SetTables(now, t)
		if !n.clusterSetsShares && !n.direct() {
			n.core.SetShares(now, n.cluster.Shares())
		}
		n.hasTables.Store(true)
	}
	for _, s := range n.cluster.Summaries() {
		n.core.ObserveZone(now, s)
	}
	if n.snapshot.Load().tables.Version != old {
		n.reportTables(since)
	}
}

// reportTables logs that tables are in force and records for how long their changes may
// have been in the platform's store: since is a time before them, or zero if none is
// known.
func (n *Node) reportTables(since time.Time) {
	tables := n.snapshot.Load().tables
	fields := []zap.Field{zap.Uint64("version", tables.Version)}
	if tables.ConfigVersion != 0 {
		fields = append(fields, zap.Uint64("config", tables.ConfigVersion))
	}
	if !since.IsZero() {
		age := n.now().Sub(since)
		fields = append(fields, zap.Duration("change_age", age))
		if n.metrics != nil {
			n.metrics.RecordChangeAge(age)
		}
	}
	n.log.Info("tables in force", fields...)
}

// tickQueue delivers the decisions that have become due for queued requests, and
// logs what peers have reported about targets. It runs every queueTickInterval while
// any request waits, otherwise every steer.RecomputeInterval.
func (n *Node) tickQueue(ctx context.Context) {
	interval := queueTickInterval
	t := time.NewTimer(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.queueSignal:
			if interval == queueTickInterval {
				continue
			}
			interval = queueTickInterval
		case <-t.C:
			n.waiters.deliver(n.core.Tick(n.now()))
			n.logLeavingReports()
			n.logRateLimitReports()
			interval = queueTickInterval
			if !n.core.HasWaiting() {
				interval = steer.RecomputeInterval
			}
		}
		t.Reset(interval)
	}
}

// signalQueued makes tickQueue return to its short interval. It never blocks.
func (n *Node) signalQueued() {
	select {
	case n.queueSignal <- struct{}{}:
	default:
	}
}

// recordDrain records that the last request in flight at a leaving target has
// ended, after the time took.
func (n *Node) recordDrain(name string, took time.Duration) {
	if n.metrics != nil {
		n.metrics.RecordDrain(name, took)
	}
	n.log.Info("target drained", zap.String("target", name), zap.Duration("took", took))
}

// closeClients closes the clients of all targets and instances.
func (n *Node) closeClients() {
	snap := n.snapshot.Load()
	closeRemoved(snap, &snapshot{})
	n.homeFinder.close()
}
