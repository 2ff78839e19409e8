// Package bench measures the decisions in a small deterministic model in
// virtual time, beside plain baselines. It holds tests only.
package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// service is one of the federations' services.
type service struct {
	name        string
	regions     []string
	targets     int
	slots       int
	mean        time.Duration
	zoneDelay   time.Duration
	regionDelay time.Duration
	callDelay   time.Duration
	route       table.Priority
}

var (
	slovenia = []string{"osrednja", "stajerska", "primorska"}
	wales    = []string{"gogledd", "canolbarth", "de"}

	feedlog   = service{"feedlog", slovenia, 20, 4, 20 * time.Millisecond, 4 * time.Millisecond, 35 * time.Millisecond, 1 * time.Millisecond, table.PriorityNormal}
	certdesk  = service{"certdesk", slovenia, 12, 4, 10 * time.Millisecond, 4 * time.Millisecond, 35 * time.Millisecond, 1 * time.Millisecond, table.PriorityHigh}
	catalogue = service{"catalogue", wales, 24, 6, 15 * time.Millisecond, 3 * time.Millisecond, 20 * time.Millisecond, 3 * time.Millisecond, table.PriorityNormal}
	archive   = service{"archive", wales, 12, 5, 50 * time.Millisecond, 3 * time.Millisecond, 20 * time.Millisecond, 3 * time.Millisecond, table.PriorityLow}
)

const instances = 11

func (s service) capacity() float64 { return float64(s.targets*s.slots) / s.mean.Seconds() }

func zoneOf(region string, i int) string { return fmt.Sprintf("%s-%d", region, i%2+1) }

// tables returns one pool per region with targets in both zones.
func (s service) tables() *table.Tables {
	t := &table.Tables{Version: 1, AcceptedAt: epoch}
	rt := table.Route{Name: s.name, Priority: s.route}
	for _, region := range s.regions {
		t.Pools = append(t.Pools, table.Pool{Name: s.name + "-" + region, Region: region, ShiftCap: 0.1, ShiftWindow: table.Duration(10 * time.Second)})
		t.Regions = append(t.Regions, table.Region{Name: region})
		rt.Pools = append(rt.Pools, table.PoolWeight{Pool: s.name + "-" + region, Weight: 1})
	}
	for i := range s.targets {
		p := &t.Pools[i%len(s.regions)]
		p.Targets = append(p.Targets, table.Target{
			Name: fmt.Sprintf("%s-%02d", s.name, i), Address: fmt.Sprintf("10.0.0.%d:80", i),
			Zone: zoneOf(p.Region, i/len(s.regions)), Slots: s.slots,
		})
		t.Regions[i%len(s.regions)].Limit += s.slots
	}
	t.Routes = []table.Route{rt}
	return t
}

// event is one step of the model.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// target is a fake back end: slots, a first-in-first-out queue, deadlines.
type target struct {
	row     table.Target
	pool    string
	region  string
	running int
	waiting []*call
	dead    bool
	leaving bool
	slow    float64
	// last is when the target was last sent a request, empty when it became idle.
	last  time.Duration
	empty time.Duration
}

// call is one request of a caller.
type call struct {
	req    steer.Request
	region string
	member int
	sent   time.Duration
	ended  bool
	// poison kills each target that runs the call; again is what its caller
	// does after a failure.
	poison bool
	again  func()
	answer func(fault.Kind)
}

// world is one run of the model.
type world struct {
	svc     service
	tb      *table.Tables
	rng     *rand.Rand
	now     time.Duration
	seq     int
	queue   events
	targets map[string]*target
	names   []string
	nodes   []*node
	pol     policy
	// reports are the targets' loads as the instances know them.
	reports map[string]int
	lag     time.Duration
	members []float64
	skew    float64
	timeout time.Duration
	m       measure
	// even spreads the callers over regions and instances without chance.
	even bool
	// oneEntry sends all callers of a region to one instance.
	oneEntry bool
	count    int
}

// policy answers a request that has arrived at an instance.
type policy interface {
	serve(n *node, c *call)
	start(w *world)
	restart(n *node)
}

// node is one instance.
type node struct {
	w    *world
	self steer.Self
	dead bool
	next int
	core *steer.Core
	ledg *ledger
	wait map[uint64]func(steer.Decision)
}

func newWorld(svc service, pol policy, seed uint64) *world {
	w := &world{
		svc: svc, tb: svc.tables(), rng: rand.New(rand.NewPCG(seed, 7)), pol: pol,
		targets: map[string]*target{}, reports: map[string]int{}, members: []float64{1}, timeout: time.Second,
	}
	for i := range w.tb.Pools {
		p := &w.tb.Pools[i]
		for _, tg := range p.Targets {
			w.targets[tg.Name] = &target{row: tg, pool: p.Name, region: p.Region, slow: 1}
			w.names = append(w.names, tg.Name)
		}
	}
	for i := range instances {
		region := svc.regions[i%len(svc.regions)]
		self := steer.Self{Instance: fmt.Sprintf("i%d", i), Region: region, Zone: zoneOf(region, i/len(svc.regions))}
		w.nodes = append(w.nodes, &node{w: w, self: self, next: i * 7, wait: map[uint64]func(steer.Decision){}})
	}
	w.m.init(w)
	return w
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, run})
}

func (w *world) every(d time.Duration, run func()) {
	var again func()
	again = func() { run(); w.after(d, again) }
	w.after(d, again)
}

// run plays the model until end with the given load, a fraction of capacity.
func (w *world) run(end time.Duration, load func(time.Duration) float64) {
	w.pol.start(w)
	w.every(200*time.Millisecond, w.report)
	w.arrive(load)
	for w.now <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
}

// report lets the instances know the targets' loads, late.
func (w *world) report() {
	for _, name := range w.names {
		load := w.targets[name].running + len(w.targets[name].waiting)
		w.after(w.lag+6*time.Millisecond, func() { w.reports[name] = load })
	}
}

// arrive sends requests as a Poisson process.
func (w *world) arrive(load func(time.Duration) float64) {
	rate := load(w.now) * w.svc.capacity()
	gap := time.Duration(w.rng.ExpFloat64() / max(rate, 1) * float64(time.Second))
	w.after(gap, func() {
		w.send()
		w.arrive(load)
	})
}

// send lets a random caller ask an instance of its region.
func (w *world) send() { w.sendAs(0) }

// sendAs sends a request; one with a fingerprint is poison, and is sent again
// after each failure.
func (w *world) sendAs(poison uint64) {
	region := w.svc.regions[w.rng.IntN(len(w.svc.regions))]
	if w.skew > 0 && w.rng.Float64() < w.skew {
		region = w.svc.regions[0]
	}
	w.count++
	if w.even {
		region = w.svc.regions[w.count%len(w.svc.regions)]
	}
	c := &call{region: region, member: w.drawMember(), sent: w.now}
	n := w.entry(region)
	c.req = steer.Request{
		Route: &w.tb.Routes[0], Member: fmt.Sprintf("m%d", c.member), Idempotent: true, BodyBytes: -1,
		Arrived: w.time(), Deadline: w.time().Add(w.timeout), Fingerprint: w.rng.Uint64() | 1,
	}
	if poison != 0 {
		c.poison, c.req.Fingerprint = true, poison
		c.again = func() { w.after(300*time.Millisecond, func() { w.sendAs(poison) }) }
	}
	w.m.sent(w, c)
	answered := func(k fault.Kind) {
		if !c.ended {
			c.ended = true
			w.m.ended(w, c, k)
			if c.again != nil && k != fault.KindNone {
				c.again()
			}
		}
	}
	c.answer = func(k fault.Kind) { w.after(w.svc.callDelay, func() { answered(k) }) }
	w.after(w.timeout, func() { answered(fault.KindTargetTimeout) })
	w.after(w.svc.callDelay, func() { w.pol.serve(n, c) })
}

func (w *world) drawMember() int {
	x := w.rng.Float64()
	sum := 0.0
	for i, part := range w.members {
		if sum += part; x < sum {
			return i
		}
	}
	return len(w.members) - 1
}

// entry returns a live instance of the region, or of any.
func (w *world) entry(region string) *node {
	var near, all []*node
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		all = append(all, n)
		if n.self.Region == region {
			near = append(near, n)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if w.oneEntry {
		return near[0]
	}
	if w.even {
		return near[w.count/len(w.svc.regions)%len(near)]
	}
	return near[w.rng.IntN(len(near))]
}

// delay returns the one-way delay between two zones.
func (w *world) delay(zoneA, regionA, zoneB, regionB string) time.Duration {
	switch {
	case zoneA == zoneB:
		return 100 * time.Microsecond
	case regionA == regionB:
		return w.svc.zoneDelay
	default:
		return w.svc.regionDelay
	}
}

// deliver runs c at the target from n and calls back with the result there.
func (w *world) deliver(n *node, name string, c *call, done func(fault.Kind)) {
	t := w.targets[name]
	d := w.delay(n.self.Zone, n.self.Region, t.row.Zone, t.region)
	w.m.dispatched(w, t, c)
	t.last = w.now
	back := func(k fault.Kind) {
		w.m.returned(w, t)
		w.after(d, func() { done(k) })
	}
	w.after(d, func() { t.accept(w, c, back) })
}

// accept starts c or lets it wait for a slot.
func (t *target) accept(w *world, c *call, back func(fault.Kind)) {
	if t.dead {
		back(fault.KindTargetRefused)
		return
	}
	run := *c
	run.answer = back
	if t.running >= t.row.Slots {
		t.waiting = append(t.waiting, &run)
		return
	}
	t.begin(w, &run)
}

func (t *target) begin(w *world, c *call) {
	t.running++
	if c.poison {
		t.dead = true
		w.m.lost++
	}
	took := time.Duration(w.rng.ExpFloat64() * float64(w.svc.mean) * t.slow)
	w.after(took, func() {
		t.running--
		if t.leaving && t.running == 0 && len(t.waiting) == 0 {
			t.empty = w.now
		}
		switch {
		case t.dead:
			c.answer(fault.KindTargetLost)
		default:
			c.answer(fault.KindNone)
		}
		for len(t.waiting) > 0 && t.running < t.row.Slots {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			if w.time().Before(next.req.Deadline) && !t.dead {
				t.begin(w, next)
			} else {
				next.answer(fault.KindTargetTimeout)
			}
		}
	})
}

// loseZone kills the instances and targets of a zone, or starts them again.
func (w *world) loseZone(zone string, dead bool) {
	for _, name := range w.names {
		if t := w.targets[name]; t.row.Zone == zone {
			t.dead = dead
		}
	}
	for _, n := range w.nodes {
		if n.self.Zone == zone {
			n.dead = dead
			if !dead {
				w.pol.restart(n)
			}
		}
	}
}

// loseRegion does so for both zones of a region.
func (w *world) loseRegion(region string, dead bool) {
	w.loseZone(zoneOf(region, 0), dead)
	w.loseZone(zoneOf(region, 1), dead)
}
