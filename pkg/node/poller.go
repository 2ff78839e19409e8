package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

// Poller is the simplest Cluster: it reads everything from the platform at an
// interval and splits the limits equally.
type Poller struct {
	tables    platform.Tables
	objects   platform.Objects
	instances platform.Instances
	self      platform.Instance
	interval  time.Duration
	timeout   time.Duration

	updates  chan struct{}
	current  atomic.Pointer[table.Tables]
	rejected atomic.Uint64
	list     atomic.Pointer[[]platform.Instance]
	leaving  atomic.Bool
	etag     string
}

// shareLifetime is how long the poller's shares hold without a new read of
// the list.
const shareLifetime = time.Hour

// NewPoller returns a Poller for self. interval is the time between two
// reads, timeout bounds one.
func NewPoller(t platform.Tables, o platform.Objects, in platform.Instances, self platform.Instance, interval, timeout time.Duration) *Poller {
	p := &Poller{
		tables: t, objects: o, instances: in, self: self,
		interval: interval, timeout: timeout,
		updates: make(chan struct{}, 1),
	}
	p.list.Store(&[]platform.Instance{self})
	return p
}

// Run registers self, then reads the list and the tables until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { p.every(ctx, p.readTables) })
	wg.Go(func() { p.every(ctx, p.readList) })
	wg.Wait()
	return nil
}

// every calls f at once and then at the interval.
func (p *Poller) every(ctx context.Context, f func(context.Context)) {
	tick := time.NewTicker(p.interval)
	defer tick.Stop()
	for {
		call, cancel := context.WithTimeout(ctx, p.timeout)
		f(call)
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// readTables takes in a higher version.
func (p *Poller) readTables(ctx context.Context) {
	head, etag, changed, err := tablestore.ReadHead(ctx, p.tables, p.etag)
	if err != nil || !changed {
		return
	}
	if old := p.current.Load(); old != nil && head.Version <= old.Version {
		p.etag = etag
		return
	}
	t, err := tablestore.Load(ctx, p.objects, head)
	if fault.KindOf(err) == fault.KindInvalidTable {
		p.rejected.Store(head.Version)
	}
	if err != nil {
		return
	}
	p.etag = etag
	p.current.Store(t)
	p.notify()
}

// readList registers self when it is missing and takes in the list.
func (p *Poller) readList(ctx context.Context) {
	list, err := p.instances.ListInstances(ctx)
	if err != nil {
		return
	}
	if !p.listed(list) {
		// A failure shows on the next read.
		_ = p.instances.Register(ctx, p.entry())
	}
	p.list.Store(&list)
	p.notify()
}

// listed reports whether the list has this incarnation as it is now.
func (p *Poller) listed(list []platform.Instance) bool {
	for _, in := range list {
		if in == p.entry() {
			return true
		}
	}
	return false
}

// entry returns the entry of self.
func (p *Poller) entry() platform.Instance {
	e := p.self
	e.Leaving = p.leaving.Load()
	return e
}

func (p *Poller) notify() {
	select {
	case p.updates <- struct{}{}:
	default:
	}
}

// Updates implements Cluster.
func (p *Poller) Updates() <-chan struct{} { return p.updates }

// Tables implements Cluster.
func (p *Poller) Tables() *table.Tables { return p.current.Load() }

// Rejected implements Cluster.
func (p *Poller) Rejected() uint64 { return p.rejected.Load() }

// Shares implements Cluster by EqualSplit.
func (p *Poller) Shares() steer.Shares {
	t := p.current.Load()
	if t == nil {
		return steer.Shares{}
	}
	return EqualSplit(t, *p.list.Load(), p.self, time.Now().Add(shareLifetime))
}

// Instances implements Cluster.
func (p *Poller) Instances() []platform.Instance { return *p.list.Load() }

// Summaries implements Cluster; the poller has none.
func (p *Poller) Summaries() []steer.ZoneSummary { return nil }

// Leave implements Cluster.
func (p *Poller) Leave(ctx context.Context) error {
	p.leaving.Store(true)
	return p.instances.Register(ctx, p.entry())
}

// HandBack implements Cluster.
func (p *Poller) HandBack(ctx context.Context) error {
	return p.instances.Deregister(ctx, p.self.ID, p.self.Incarnation)
}
