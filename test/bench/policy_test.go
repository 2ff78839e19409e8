package bench

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// roundRobin sends to the next target in turn: of the region of the instance,
// or of all.
type roundRobin struct{ everywhere bool }

func (roundRobin) start(*world)  {}
func (roundRobin) restart(*node) {}

func (p roundRobin) serve(n *node, c *call) {
	for {
		name := n.w.names[n.next%len(n.w.names)]
		n.next++
		if p.everywhere || n.w.targets[name].region == n.self.Region {
			n.w.deliver(n, name, c, c.answer)
			return
		}
	}
}

// leastReported sends to the target of the region with the least reported load.
type leastReported struct{}

func (leastReported) start(*world)  {}
func (leastReported) restart(*node) {}

func (leastReported) serve(n *node, c *call) {
	best := ""
	for i := range n.w.names {
		name := n.w.names[(n.next+i)%len(n.w.names)]
		if n.w.targets[name].region == n.self.Region && (best == "" || n.w.reports[name] < n.w.reports[best]) {
			best = name
		}
	}
	n.next++
	n.w.deliver(n, best, c, c.answer)
}

// retryAlways is round robin that tries again after every failure.
type retryAlways struct{ tries int }

func (retryAlways) start(*world)  {}
func (retryAlways) restart(*node) {}

func (p retryAlways) serve(n *node, c *call) {
	attempts := 0
	var try func()
	try = func() {
		attempts++
		name := n.w.names[n.next%len(n.w.names)]
		n.next++
		n.w.deliver(n, name, c, func(k fault.Kind) {
			if k != fault.KindNone && attempts < p.tries {
				try()
				return
			}
			c.answer(k)
		})
	}
	try()
}

// steering is the project's own policy; borrow lets idle shares move between
// the instances of a zone as the share ledger does; deaf keeps the zones'
// summaries from the others.
type steering struct{ borrow, deaf bool }

const (
	tickEvery    = 10 * time.Millisecond
	borrowEvery  = 20 * time.Millisecond
	summaryEvery = 200 * time.Millisecond
	reportEvery  = 1 * time.Second
)

func (p steering) start(w *world) {
	l := newLedger(w)
	for i, n := range w.nodes {
		n.ledg = l
		n.next = i * 7
		n.boot()
	}
	l.apply()
	w.every(tickEvery, func() {
		for _, n := range w.nodes {
			if !n.dead {
				n.woken(n.core.Tick(w.time()))
			}
		}
	})
	if p.borrow {
		w.every(borrowEvery, l.borrow)
	}
	if !p.deaf {
		w.every(summaryEvery, func() { p.summaries(w) })
	}
	w.every(reportEvery, func() { p.reports(w) })
	w.every(summaryEvery, func() { p.exchange(w) })
}

// boot starts the instance with an empty memory.
func (n *node) boot() {
	n.core = steer.New(n.self, rand.NewPCG(uint64(n.next), 3))
	n.core.SetTables(n.w.time(), n.w.tb)
	n.wait = map[uint64]func(steer.Decision){}
}

func (steering) restart(n *node) {
	n.boot()
	n.ledg.apply()
}

// summaries sends each zone's headroom to the instances of the others.
func (steering) summaries(w *world) {
	type key struct{ zone, pool string }
	sums := map[key]*steer.ZoneSummary{}
	var order []key
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		for _, s := range n.core.Summaries(w.time()) {
			k := key{s.Zone, s.Pool}
			if sums[k] == nil {
				sums[k] = &s
				order = append(order, k)
				continue
			}
			sums[k].Add(s)
		}
	}
	for _, k := range order {
		s := *sums[k]
		w.after(w.lag+w.svc.regionDelay, func() {
			for _, n := range w.nodes {
				if !n.dead {
					n.core.ObserveZone(w.time(), s)
				}
			}
		})
	}
}

// exchange shares what is known of poison requests between all instances.
func (steering) exchange(w *world) {
	for _, from := range w.nodes {
		if recs := from.core.PoisonRecords(time.Time{}); len(recs) > 0 && !from.dead {
			w.after(w.svc.regionDelay, func() {
				for _, to := range w.nodes {
					to.core.MergePoison(w.time(), recs)
				}
			})
		}
	}
}

// reports sends each target's load to the instances of its zone.
func (steering) reports(w *world) {
	for _, name := range w.names {
		t := w.targets[name]
		if t.dead {
			continue
		}
		rep := steer.LoadReport{
			Target: name, At: w.time(), InFlight: t.running, Slots: t.row.Slots,
			Queued: len(t.waiting), Healthy: true, Incarnation: "1", Leaving: t.leaving,
		}
		w.after(w.lag+6*time.Millisecond, func() {
			for _, n := range w.nodes {
				if n.self.Zone == t.row.Zone {
					n.core.ObserveLoad(w.time(), rep)
				}
			}
		})
	}
}

func (steering) serve(n *node, c *call) {
	r := &c.req
	var attempt func()
	attempt = func() {
		n.decide(r, c, func(d steer.Decision, res steer.Result) {
			if res.Kind == fault.KindNone || c.ended || !n.core.AllowRetry(n.w.time(), r, res) {
				c.answer(res.Kind)
				return
			}
			if d.Target != "" {
				r.Exclude(d.Target)
			}
			if d.Zone != "" {
				r.Exclude(d.Zone)
			}
			attempt()
		})
	}
	attempt()
}

// decide plays one attempt at n and calls back with how it ended.
func (n *node) decide(r *steer.Request, c *call, done func(steer.Decision, steer.Result)) {
	d := n.core.Decide(n.w.time(), r)
	if d.Verdict == steer.Wait {
		n.wait[d.Ticket] = func(d steer.Decision) { n.act(d, r, c, done) }
		return
	}
	n.act(d, r, c, done)
}

func (n *node) act(d steer.Decision, r *steer.Request, c *call, done func(steer.Decision, steer.Result)) {
	began := n.w.now
	core := n.core
	finish := func(k fault.Kind) {
		if n.core != core {
			return
		}
		res := steer.Result{Kind: k, Latency: n.w.now - began}
		n.woken(n.core.Done(n.w.time(), d, res))
		done(d, res)
	}
	switch d.Verdict {
	case steer.Dispatch:
		r.Attempts++
		n.w.deliver(n, d.Target, c, finish)
	case steer.Hop:
		r.Attempts++
		n.hop(d, c, finish)
	default:
		done(d, steer.Result{Kind: d.Kind})
	}
}

// hop plays the request at an instance of the chosen zone.
func (n *node) hop(d steer.Decision, c *call, finish func(fault.Kind)) {
	var there []*node
	for _, o := range n.w.nodes {
		if o.self.Zone == d.Zone {
			there = append(there, o)
		}
	}
	if len(there) == 0 {
		n.w.after(0, func() { finish(fault.KindHopRefused) })
		return
	}
	o := there[n.w.rng.IntN(len(there))]
	delay := n.w.delay(n.self.Zone, n.self.Region, o.self.Zone, o.self.Region)
	n.w.after(delay, func() {
		if o.dead {
			n.w.after(delay, func() { finish(fault.KindHopRefused) })
			return
		}
		r := c.req
		r.Pool, r.Attempts = d.Pool, 0
		o.decide(&r, c, func(_ steer.Decision, res steer.Result) {
			n.w.after(delay, func() { finish(res.Kind) })
		})
	})
}

func (n *node) woken(ws []steer.Wakeup) {
	for _, wk := range ws {
		act := n.wait[wk.Ticket]
		delete(n.wait, wk.Ticket)
		act(wk.Decision)
	}
}

// ledger splits each target's slots among the instances of its zone, and each
// region's limit among those of the region. The sum never changes.
type ledger struct {
	w     *world
	slots map[*node]map[string]int
}

func newLedger(w *world) *ledger {
	l := &ledger{w: w, slots: map[*node]map[string]int{}}
	for _, n := range w.nodes {
		l.slots[n] = map[string]int{}
	}
	for i, name := range w.names {
		ns := l.zone(w.targets[name].row.Zone)
		for j := range w.targets[name].row.Slots {
			l.slots[ns[(i+j)%len(ns)]][name]++
		}
	}
	return l
}

func (l *ledger) zone(zone string) []*node {
	var ns []*node
	for _, n := range l.w.nodes {
		if n.self.Zone == zone {
			ns = append(ns, n)
		}
	}
	return ns
}

// apply hands out the shares, leased for far longer than a run. A region's
// limit is the sum of its slots, so its share follows the shares of slots.
func (l *ledger) apply() {
	for _, n := range l.w.nodes {
		if n.dead {
			continue
		}
		total := 0
		sh := steer.Shares{Expires: epoch.Add(time.Hour), Slots: map[string]int{}}
		for name, k := range l.slots[n] {
			sh.Slots[name] = k
			total += k
		}
		sh.Regions = map[string]int{n.self.Region: total}
		n.core.SetShares(l.w.time(), sh)
	}
}

// borrow moves idle shares to the instance of the zone whose requests wait.
func (l *ledger) borrow() {
	moved := false
	for _, n := range l.w.nodes {
		if n.dead {
			continue
		}
		need := 0
		for _, p := range n.core.Demand().Pools {
			need += p.Waiting
		}
		for _, o := range l.zone(n.self.Zone) {
			if o != n && !o.dead && need > 0 {
				got := l.move(o, n, (need+1)/2)
				need -= got
				moved = moved || got > 0
			}
		}
	}
	if moved {
		l.apply()
	}
}

// move takes up to need idle shares from o for n, unless others wait at o.
func (l *ledger) move(o, n *node, need int) int {
	d := o.core.Demand()
	for _, p := range d.Pools {
		if p.Waiting > 0 {
			return 0
		}
	}
	got := 0
	for _, name := range l.w.names {
		for _, t := range d.Targets {
			if t.Target == name && t.Share > t.InUse && got < need && l.slots[o][name] > 0 {
				l.slots[o][name]--
				l.slots[n][name]++
				got++
			}
		}
	}
	return got
}
