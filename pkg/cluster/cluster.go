package cluster

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

// Cluster runs the instance's side of the state that the instances share:
// membership, tables, and the leases on shares of the zone's limits. The
// methods that return views never block.
type Cluster struct {
	cfg        Config
	timing     Timing
	self       allowance.HolderKey
	cell       string
	storeGuard *platformGuard
	listGuard  *platformGuard

	// The channels trigger the loops or queue work for them. The atomic values
	// are the views. Both are used without mu.
	updates          chan struct{}
	rowDue           chan struct{}
	tableFetches     chan member.Info
	heartbeatDue     chan struct{}
	probes           chan probe
	announceDue      chan struct{}
	blocksDue        chan struct{}
	registerDue      chan struct{}
	tables           atomic.Pointer[table.Tables]
	blocks           atomic.Pointer[loadedBlocks]
	shares           atomic.Pointer[steer.Shares]
	heldLease        atomic.Bool
	instances        atomic.Pointer[[]platform.Instance]
	members          atomic.Pointer[memberList]
	summaries        atomic.Pointer[[]steer.ZoneSummary]
	unreachableCells atomic.Pointer[[]string]

	// quotas is used without mu.
	quotas *quotas

	// mu guards the fields from core to headAt, from cachedTree to
	// fullReportDue, and the contents of discovery. It is held for short
	// computations only: never during I/O, and never while a request is handled.
	mu                  sync.Mutex
	core                Core
	view                *member.View
	versions            spread.VersionState
	ledger              *allowance.Ledger
	witness             *allowance.Witness
	reclaimer           *allowance.Reclaimer
	inbox               *allowance.HeartbeatBuffer
	borrower            *allowance.Borrower
	zoneReports         *zoneReports
	step                *tablestore.Step // that led to the tables in force, or nil
	lastReplyAt         time.Time        // of the last reply to a heartbeat
	lastHeartbeat       *instance.HeartbeatRequest
	promisesRequestedAt time.Time // of the last request for promises
	leaving             bool
	registered          bool      // set once the platform has listed this instance
	listReadAt          time.Time // of the last read of the platform's list of instances
	// storeGeneration is the generation of the platform's store as far as known here.
	storeGeneration uint64
	settling        listSettling
	startedAt       time.Time
	// headAt is the time up to which the tables' head is known, from an own read or from
	// another instance. It is not used with feeds.
	headAt time.Time

	// storedRow and rowETag are the zone's row as last read from or written to
	// the store. Only the row loop uses them.
	storedRow *allowance.Row
	rowETag   string
	// loaderSem is a semaphore of size one that guards loader, also during the
	// loader's reads from the store.
	loaderSem chan struct{}
	loader    *tablestore.Loader

	// cachedTree was computed at treeBuiltAt.
	cachedTree  spread.Tree
	treeBuiltAt time.Time
	// reportedDigest identifies the last relay report sent with its full list of
	// members; fullReportDue is set when a watcher requests that list again.
	reportedDigest uint64
	fullReportDue  bool

	// discovery is nil unless the tables are assembled from feeds.
	discovery *discovery

	// headETag is the ETag of the tables' head. Only the tables loop uses it.
	headETag string
}

// New returns a Cluster that does nothing until Run.
func New(cfg Config) *Cluster {
	t := cfg.Timing
	info := toInfo(cfg.Self)
	self := allowance.HolderKey{ID: cfg.Self.ID, Incarnation: cfg.Self.Incarnation}
	c := &Cluster{
		cfg: cfg, timing: t, self: self, cell: info.EffectiveCell(), storeGuard: newPlatformGuard(t.StoreTimeout), listGuard: newPlatformGuard(t.StoreTimeout),
		updates: make(chan struct{}, 1), rowDue: make(chan struct{}, 1), heartbeatDue: make(chan struct{}, 1),
		announceDue: make(chan struct{}, 1), loaderSem: make(chan struct{}, 1), tableFetches: make(chan member.Info, maxTableFetches), storedRow: &allowance.Row{},
		view:        member.New(toInfo(cfg.Self), t.Member),
		ledger:      allowance.NewLedger(self, cfg.Self.PeerAddress, t.Allowance, allowance.SafetyOverrides{}),
		witness:     allowance.NewWitness(self, t.Allowance),
		reclaimer:   allowance.NewReclaimer(self, t.Allowance, allowance.SafetyOverrides{}),
		inbox:       allowance.NewHeartbeatBuffer(t.Allowance),
		zoneReports: newZoneReports(info.EffectiveCell()),
	}
	c.quotas = newQuotas(c)
	c.loader = tablestore.NewLoader(guardedObjects{cfg.Objects, c.storeGuard})
	c.borrower = allowance.NewBorrower(t.Allowance, func(n int) int { return int(cfg.Rand() * float64(n)) })
	c.blocksDue = make(chan struct{}, 1)
	c.registerDue = make(chan struct{}, 1)
	c.probes = make(chan probe, 1)
	if len(cfg.Feeds) > 0 {
		c.discovery = newDiscovery()
	}
	c.blocks.Store(&loadedBlocks{})
	c.shares.Store(&steer.Shares{})
	c.instances.Store(&[]platform.Instance{cfg.Self})
	c.members.Store(&memberList{list: []platform.Instance{cfg.Self}})
	c.summaries.Store(&[]steer.ZoneSummary{})
	c.unreachableCells.Store(&[]string{})
	return c
}

// Attach connects the core whose decisions use the shares. Call it before Run.
// From then on only the Cluster may set the shares of core, because core must
// stop using a share before it is lent to another instance.
func (c *Cluster) Attach(core *steer.Core) { c.attach(core) }

func (c *Cluster) attach(core Core) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core = core
}

// Run runs the loops until ctx ends. It always returns nil.
func (c *Cluster) Run(ctx context.Context) error {
	c.mu.Lock()
	c.startedAt = time.Now()
	c.mu.Unlock()
	var wg conc.WaitGroup
	loops := []func(context.Context){c.registerLoop, c.listLoop, c.heartbeatLoop, c.probeLoop, c.zonesLoop, c.reregisterLoop, c.quotaLoop}
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

// Updates returns a channel that receives a value after any of the views has
// changed. Changes that follow each other may share one value.
func (c *Cluster) Updates() <-chan struct{} { return c.updates }

// Tables returns the tables in force, or nil before the first are loaded.
func (c *Cluster) Tables() *table.Tables { return c.tables.Load() }

// RejectedVersion returns the highest version of the tables that is above the
// one in force and could not be read, or 0.
func (c *Cluster) RejectedVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions.Rejected()
}

// Shares returns the shares of the zone's limits that this instance may use
// now.
func (c *Cluster) Shares() steer.Shares { return *c.shares.Load() }

// HasHeldLease reports whether this instance has ever held a lease on shares
// that were granted under the tables in force at the time. Once true, it stays
// true.
func (c *Cluster) HasHeldLease() bool { return c.heldLease.Load() }

// Instances returns the live and leaving instances of all zones.
func (c *Cluster) Instances() []platform.Instance { return *c.instances.Load() }

// memberList is the result of Members.
type memberList struct {
	list     []platform.Instance
	complete bool
	// suspected has the IDs of those that are suspected.
	suspected map[string]bool
}

// Members returns the instances that may be sending requests to targets; see
// node.Cluster.
func (c *Cluster) Members() (list []platform.Instance, complete bool) {
	m := c.members.Load()
	return m.list, m.complete
}

// ListReadAt returns when the platform's list of instances was last read, and false if
// it never was.
func (c *Cluster) ListReadAt() (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listReadAt, !c.listReadAt.IsZero()
}

// Summaries returns the latest headroom summaries: of this cell, as far as they
// are known here, and of the other cells.
func (c *Cluster) Summaries() []steer.ZoneSummary { return *c.summaries.Load() }

// UnreachableCells returns, sorted, the other cells from which no recent report
// exists: all of their instances have terminated, or the network between is
// partitioned.
func (c *Cluster) UnreachableCells() []string { return *c.unreachableCells.Load() }

// Leave announces to the other instances and the platform that this instance
// is leaving.
func (c *Cluster) Leave(ctx context.Context) error {
	c.mu.Lock()
	c.leaving = true
	c.view.SetLeaving()
	in := toInstance(c.view.Self())
	c.mu.Unlock()
	signal(c.heartbeatDue)
	c.refreshViews()
	return c.listGuard.write(ctx, func(ctx context.Context) error { return c.cfg.Instances.Register(ctx, in) })
}

// returnPollInterval is how often ReturnShares checks whether all shares are
// returned.
const returnPollInterval = 50 * time.Millisecond

// ReturnShares returns the shares that this instance holds and removes it from
// the platform's list. Call it once no request is in flight. It waits until the
// zone's row records the return. Error: fault.KindStoreUnavailable when ctx
// ends first; the shares are then usable by others after the lease has expired.
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
		done := c.ledger.Released(time.Now())
		c.mu.Unlock()
		if done {
			return c.deregister(ctx)
		}
		select {
		case <-ctx.Done():
			if err := c.deregister(context.WithoutCancel(ctx)); err != nil {
				return err
			}
			return fault.Wrap(fault.KindStoreUnavailable, ctx.Err(), "shares not returned in time; other instances can use them after the lease has expired")
		case <-t.C:
		}
	}
}

// deregister removes this instance from the platform's list.
func (c *Cluster) deregister(ctx context.Context) error {
	return c.listGuard.write(ctx, func(ctx context.Context) error {
		return c.cfg.Instances.Deregister(ctx, c.self.ID, c.self.Incarnation)
	})
}

// refreshViews rebuilds the views of instances, summaries and unreachable
// cells, and signals Updates.
func (c *Cluster) refreshViews() {
	c.mu.Lock()
	now := time.Now()
	list := []platform.Instance{toInstance(c.view.Self())}
	members := &memberList{list: slices.Clone(list), complete: !c.listReadAt.IsZero() && c.settling.complete(), suspected: map[string]bool{}}
	for _, m := range c.view.Members(now) {
		members.list = append(members.list, toInstance(m.Info))
		if m.State != member.Suspect {
			list = append(list, toInstance(m.Info))
		} else {
			members.suspected[m.ID] = true
		}
	}
	summaries := c.zoneReports.summaries(now)
	unreachable := c.findUnreachableCells(now, list)
	c.mu.Unlock()
	c.setUnreachableCells(unreachable)
	c.instances.Store(&list)
	c.members.Store(members)
	c.summaries.Store(&summaries)
	signal(c.updates)
}

// signal sends a value on ch, or does nothing when one is already pending.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// sleep waits for d or until early receives a value. It returns false if ctx
// ends first.
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

// jitter returns d changed at random by up to 10% in either direction.
func (c *Cluster) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*c.cfg.Rand()))
}

// findMember returns the member with key k. The caller holds mu.
func (c *Cluster) findMember(k allowance.HolderKey) (member.Info, bool) {
	return c.view.Find(k.ID, k.Incarnation)
}

// rankCell returns the ids of the cell's live members, with this instance
// unless it is leaving, in the order in which they take the watcher role. The
// caller holds mu.
func (c *Cluster) rankCell(now time.Time) []string {
	ids, linkMbps := make([]string, 0, 8), map[string]int{c.self.ID: c.view.Self().LinkMbps}
	if !c.leaving {
		ids = append(ids, c.self.ID)
	}
	for _, m := range c.view.CellMembers(now, c.cell) {
		if m.State == member.Alive {
			ids = append(ids, m.ID)
			linkMbps[m.ID] = m.LinkMbps
		}
	}
	return spread.RankByLink(c.cell, ids, linkMbps)
}

// currentTree returns the reporting tree of the cell. It has relays only when
// the instances read feeds: where shares are leased, the watchers need the
// heartbeats of all holders directly. The caller holds mu.
func (c *Cluster) currentTree(now time.Time) spread.Tree {
	if now.Sub(c.treeBuiltAt) < treeCacheTTL && !c.leaving {
		return c.cachedTree
	}
	c.treeBuiltAt = now
	if c.discovery == nil {
		c.cachedTree = spread.NewFlatTree(c.rankCell(now))
	} else {
		c.cachedTree = spread.NewRelayTree(c.rankCell(now), c.view.RecentlyAlive(now))
	}
	return c.cachedTree
}

// treeCacheTTL is how long a computed tree is reused: computing it is slow in a
// large cell.
const treeCacheTTL = 50 * time.Millisecond

// position returns this instance's position in the rank order of the cell, or
// -1 while it is leaving. The first watcher has position 0.
func (c *Cluster) position() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentTree(time.Now()).Position(c.self.ID)
}

// isWatcher reports whether this instance is one of the watchers of its cell.
func (c *Cluster) isWatcher() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentTree(time.Now()).IsWatcher(c.self.ID)
}
