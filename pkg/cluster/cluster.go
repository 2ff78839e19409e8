package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

// Cluster is one instance's part in what the instances share. The methods
// that return views never block.
type Cluster struct {
	cfg        Config
	timing     Timing
	self       allowance.Key
	cell       string
	storeGuard *platformGuard
	listGuard  *platformGuard

	updates          chan struct{}
	rowDue           chan struct{}
	tableFetches     chan member.Info
	heartbeatDue     chan struct{}
	probes           chan probe
	announceDue      chan struct{}
	blocksDue        chan struct{}
	tables           atomic.Pointer[table.Tables]
	blocks           atomic.Pointer[loadedBlocks]
	shares           atomic.Pointer[steer.Shares]
	heldLease        atomic.Bool
	instances        atomic.Pointer[[]platform.Instance]
	summaries        atomic.Pointer[[]steer.ZoneSummary]
	unreachableCells atomic.Pointer[[]string]

	// mu guards the decisions below. It is held for short computations only,
	// never during I/O, and never by the path of a request.
	mu                  sync.Mutex
	core                Core
	view                *member.View
	versions            spread.Versions
	ledger              *allowance.Ledger
	witness             *allowance.Witness
	reclaimer           *allowance.Reclaimer
	inbox               *allowance.Inbox
	borrower            *allowance.Borrower
	zoneReports         *zoneReports
	step                *tablestore.Step // to the tables in force, or nil
	lastReplyAt         time.Time        // when a watcher last answered
	promisesRequestedAt time.Time        // when promises were last asked for
	leaving             bool
	registered          bool // set once the platform's list has held this instance
	startedAt           time.Time

	// storedRow and etag are what the store last held, for the row loop alone.
	storedRow *allowance.Row
	rowETag   string
	// loaderSem holds one value while loader is in use, also while it reads.
	loaderSem chan struct{}
	loader    *tablestore.Loader

	// cachedTree was made at treeBuiltAt.
	cachedTree  spread.Tree
	treeBuiltAt time.Time
	// reportedDigest is the digest of the reports that the watchers were last told
	// in full; fullReportDue is set when one of them asks for these again.
	reportedDigest uint64
	fullReportDue  bool

	// discovery is set when the tables come from feeds.
	discovery *discovery

	// headETag is that of the tables' head, for the tables loop alone.
	headETag string
}

// New returns a Cluster; Run starts it.
func New(cfg Config) *Cluster {
	t := cfg.Timing
	info := toInfo(cfg.Self)
	self := allowance.Key{ID: cfg.Self.ID, Incarnation: cfg.Self.Incarnation}
	c := &Cluster{
		cfg: cfg, timing: t, self: self, cell: info.Group(), storeGuard: newPlatformGuard(t.StoreTimeout), listGuard: newPlatformGuard(t.StoreTimeout),
		updates: make(chan struct{}, 1), rowDue: make(chan struct{}, 1), heartbeatDue: make(chan struct{}, 1),
		announceDue: make(chan struct{}, 1), loaderSem: make(chan struct{}, 1), tableFetches: make(chan member.Info, maxTableFetches), storedRow: &allowance.Row{},
		view:        member.New(toInfo(cfg.Self), t.Member),
		ledger:      allowance.NewLedger(self, cfg.Self.PeerAddress, t.Allowance, allowance.Rules{}),
		witness:     allowance.NewWitness(self, t.Allowance),
		reclaimer:   allowance.NewReclaimer(self, t.Allowance, allowance.Rules{}),
		inbox:       allowance.NewInbox(t.Allowance),
		zoneReports: newZoneReports(info.Group()),
	}
	c.loader = tablestore.NewLoader(guardedObjects{cfg.Objects, c.storeGuard})
	c.borrower = allowance.NewBorrower(t.Allowance, func(n int) int { return int(cfg.Rand() * float64(n)) })
	c.blocksDue = make(chan struct{}, 1)
	c.probes = make(chan probe, 1)
	if len(cfg.Feeds) > 0 {
		c.discovery = newDiscovery()
	}
	c.blocks.Store(&loadedBlocks{})
	c.shares.Store(&steer.Shares{})
	c.instances.Store(&[]platform.Instance{cfg.Self})
	c.summaries.Store(&[]steer.ZoneSummary{})
	c.unreachableCells.Store(&[]string{})
	return c
}

// Attach connects the decisions that use the shares. Call it before Run. From
// then on only the Cluster may set the shares of core, since a share that is
// lent must be out of use before it is offered.
func (c *Cluster) Attach(core *steer.Core) { c.attach(core) }

func (c *Cluster) attach(core Core) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core = core
}

// Run works until ctx ends.
func (c *Cluster) Run(ctx context.Context) error {
	c.mu.Lock()
	c.startedAt = time.Now()
	c.mu.Unlock()
	var wg conc.WaitGroup
	loops := []func(context.Context){c.registerLoop, c.listLoop, c.heartbeatLoop, c.probeLoop, c.zonesLoop}
	if c.discovery != nil {
		loops = append(loops, c.discoveryLoops()...)
	} else {
		loops = append(loops, c.tablesLoop, c.blocksLoop, c.tablesFetchLoop, c.announceLoop, c.rowLoop, c.sharesLoop)
	}
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	return nil
}

// Updates receives a value after any of the views has changed.
func (c *Cluster) Updates() <-chan struct{} { return c.updates }

// Tables returns the highest accepted version known, or nil.
func (c *Cluster) Tables() *table.Tables { return c.tables.Load() }

// RejectedVersion returns the highest version that could not be read, or 0.
func (c *Cluster) RejectedVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions.Rejected()
}

// Shares returns what this instance may use at present.
func (c *Cluster) Shares() steer.Shares { return *c.shares.Load() }

// HasHeldLease reports whether this instance has held a lease on its part of what
// the zone may use. It stays true from then on.
func (c *Cluster) HasHeldLease() bool { return c.heldLease.Load() }

// Instances returns the live and leaving instances of all zones.
func (c *Cluster) Instances() []platform.Instance { return *c.instances.Load() }

// Summaries returns the latest summaries of other zones.
func (c *Cluster) Summaries() []steer.ZoneSummary { return *c.summaries.Load() }

// UnreachableCells returns the other cells that nothing was heard from lately, in
// their order: all of their instances have ended, or are cut off from here.
func (c *Cluster) UnreachableCells() []string { return *c.unreachableCells.Load() }

// Leave announces that this instance is leaving.
func (c *Cluster) Leave(ctx context.Context) error {
	c.mu.Lock()
	c.leaving = true
	c.view.Leave()
	in := toInstance(c.view.Self())
	c.mu.Unlock()
	signal(c.heartbeatDue)
	c.refreshViews()
	return c.listGuard.write(ctx, func(ctx context.Context) error { return c.cfg.Instances.Register(ctx, in) })
}

// returnPollInterval is the interval of looking whether the shares were taken back.
const returnPollInterval = 50 * time.Millisecond

// ReturnShares gives back what this instance holds, once nothing is in flight. It
// waits until the zone's row says so, or ctx ends.
func (c *Cluster) ReturnShares(ctx context.Context) error {
	if c.discovery != nil {
		return c.deregister(ctx)
	}
	c.mu.Lock()
	c.leaving = true
	c.ledger.Leave()
	c.applyShares(time.Now())
	c.mu.Unlock()
	t := time.NewTicker(returnPollInterval)
	defer t.Stop()
	for {
		signal(c.heartbeatDue)
		c.mu.Lock()
		done := c.ledger.HandedBack()
		c.mu.Unlock()
		if done {
			return c.deregister(ctx)
		}
		select {
		case <-ctx.Done():
			if err := c.deregister(context.WithoutCancel(ctx)); err != nil {
				return err
			}
			return fault.Wrap(fault.KindStoreUnavailable, ctx.Err(), "shares not handed back in time; they return when the lease has lapsed")
		case <-t.C:
		}
	}
}

// deregister takes this instance out of the platform's list.
func (c *Cluster) deregister(ctx context.Context) error {
	return c.listGuard.write(ctx, func(ctx context.Context) error {
		return c.cfg.Instances.Deregister(ctx, c.self.ID, c.self.Incarnation)
	})
}

// refreshViews tells the reader of Updates, and rebuilds the list of instances.
func (c *Cluster) refreshViews() {
	c.mu.Lock()
	now := time.Now()
	list := []platform.Instance{toInstance(c.view.Self())}
	for _, m := range c.view.Members(now) {
		if m.State != member.Suspect {
			list = append(list, toInstance(m.Info))
		}
	}
	sums := c.zoneReports.summaries(now)
	silent := c.findUnreachableCells(now, list)
	c.mu.Unlock()
	c.setUnreachableCells(silent)
	c.instances.Store(&list)
	c.summaries.Store(&sums)
	signal(c.updates)
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// sleep waits for d, an early signal, or the end of ctx, which it reports.
func sleep(ctx context.Context, d time.Duration, early <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-early:
	case <-t.C:
	}
	return true
}

// jitter returns d spread by a tenth to either side.
func (c *Cluster) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*c.cfg.Rand()))
}

// call sends one call to another instance and notes how it ended.
func (c *Cluster) call(ctx context.Context, to member.Info, m instance.Method, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timing.CallTimeout)
	defer cancel()
	err := c.cfg.Peers.Call(ctx, to.PeerAddress, m, params, result)
	c.mu.Lock()
	defer c.mu.Unlock()
	reached := err == nil || (fault.KindOf(err) != fault.KindPeerUnavailable && fault.KindOf(err) != fault.KindNone)
	c.view.ObserveCall(time.Now(), to.ID, reached)
	if instance.IsRefused(err) {
		c.observeRefusedConnection(time.Now(), to)
	}
	return err
}

// findMember returns the member with key k. The caller holds mu.
func (c *Cluster) findMember(k allowance.Key) (member.Info, bool) {
	return c.view.Find(k.ID, k.Incarnation)
}

// rankCell returns the ids of the zone's live members and self in the order of
// the watchers' role.
func (c *Cluster) rankCell(now time.Time) []string {
	ids := make([]string, 0, 8)
	if !c.leaving {
		ids = append(ids, c.self.ID)
	}
	for _, m := range c.view.Cell(now, c.cell) {
		if m.State == member.Alive {
			ids = append(ids, m.ID)
		}
	}
	return spread.Rank(c.cell, ids)
}

// currentTree returns who reports to whom in the cell. The shares of a zone need the
// heartbeats of all its holders at the watchers, so only instances that follow
// feeds have relays. The caller holds mu.
func (c *Cluster) currentTree(now time.Time) spread.Tree {
	if now.Sub(c.treeBuiltAt) < treeCacheTTL && !c.leaving {
		return c.cachedTree
	}
	c.treeBuiltAt = now
	if c.discovery == nil {
		c.cachedTree = spread.Flat(c.rankCell(now))
	} else {
		c.cachedTree = spread.Relayed(c.rankCell(now), c.view.LivedLately(now))
	}
	return c.cachedTree
}

// treeCacheTTL is how long a tree is used again, since it takes long to make in a
// large cell.
const treeCacheTTL = 50 * time.Millisecond

// position returns this instance's place among the watchers' candidates, or -1.
func (c *Cluster) position() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentTree(time.Now()).Position(c.self.ID)
}

// isWatcher reports whether this instance watches the store.
func (c *Cluster) isWatcher() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentTree(time.Now()).IsWatcher(c.self.ID)
}

// changedPoison returns the records to send with a message.
func (c *Cluster) changedPoison(now time.Time) []poison.Record {
	if c.core == nil {
		return nil
	}
	return c.core.PoisonRecords(now.Add(-poisonResendWindow))
}

// poisonResendWindow is how long a changed record is sent along.
const poisonResendWindow = 5 * time.Second

func (c *Cluster) mergePoison(now time.Time, recs []poison.Record) {
	if c.core != nil && len(recs) > 0 {
		c.core.MergePoison(now, recs)
	}
}
