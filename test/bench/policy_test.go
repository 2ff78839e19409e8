package bench

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// roundRobin sends each request to the next target in turn, in the instance's
// region or, with allRegions, in all regions.
type roundRobin struct{ allRegions bool }

func (roundRobin) start(*simulation) {}
func (roundRobin) restart(*node)     {}

func (p roundRobin) serve(n *node, c *call) {
	for {
		name := n.sim.targetNames[n.nextTarget%len(n.sim.targetNames)]
		n.nextTarget++
		if p.allRegions || n.sim.targets[name].region == n.self.Region {
			n.sim.dispatch(n, name, c, c.respond)
			return
		}
	}
}

// leastReported sends each request to the target in the instance's region with the
// lowest reported load.
type leastReported struct{}

func (leastReported) start(*simulation) {}
func (leastReported) restart(*node)     {}

func (leastReported) serve(n *node, c *call) {
	best := ""
	for i := range n.sim.targetNames {
		name := n.sim.targetNames[(n.nextTarget+i)%len(n.sim.targetNames)]
		if n.sim.targets[name].region == n.self.Region && (best == "" || n.sim.reportedLoad[name] < n.sim.reportedLoad[best]) {
			best = name
		}
	}
	n.nextTarget++
	n.sim.dispatch(n, best, c, c.respond)
}

// retryAlways sends each request to the next target in turn, in all regions, and
// retries every failure, up to maxAttempts attempts in total.
type retryAlways struct{ maxAttempts int }

func (retryAlways) start(*simulation) {}
func (retryAlways) restart(*node)     {}

func (p retryAlways) serve(n *node, c *call) {
	attempts := 0
	var try func()
	try = func() {
		attempts++
		name := n.sim.targetNames[n.nextTarget%len(n.sim.targetNames)]
		n.nextTarget++
		n.sim.dispatch(n, name, c, func(k fault.Kind) {
			if k != fault.KindNone && attempts < p.maxAttempts {
				try()
				return
			}
			c.respond(k)
		})
	}
	try()
}

// steerPolicy serves requests with steer.Core. With borrow, idle shares are
// transferred between the instances of a zone, which stands for loans of shares.
// With withoutSummaries, the instances receive no zone summaries.
type steerPolicy struct{ borrow, withoutSummaries bool }

const (
	tickInterval    = 10 * time.Millisecond
	borrowInterval  = 20 * time.Millisecond
	summaryInterval = 200 * time.Millisecond
	reportInterval  = 1 * time.Second
)

func (p steerPolicy) start(sim *simulation) {
	ledger := newShareLedger(sim)
	for i, n := range sim.nodes {
		n.shares = ledger
		n.nextTarget = i * 7
		n.reset()
	}
	ledger.applyShares()
	sim.every(tickInterval, func() {
		for _, n := range sim.nodes {
			if !n.down {
				n.resume(n.core.Tick(sim.clock()))
			}
		}
	})
	if p.borrow {
		sim.every(borrowInterval, ledger.borrow)
	}
	if !p.withoutSummaries {
		sim.every(summaryInterval, func() { p.sendSummaries(sim) })
	}
	sim.every(reportInterval, func() { p.sendReports(sim) })
	sim.every(summaryInterval, func() { p.exchangePoisonRecords(sim) })
}

// reset gives the instance a new decision engine without any earlier state.
func (n *node) reset() {
	n.core = steer.New(n.self, rand.NewPCG(uint64(n.nextTarget), 3))
	n.core.SetTables(n.sim.clock(), n.sim.tables)
	n.waiting = map[uint64]func(steer.Decision){}
}

func (steerPolicy) restart(n *node) {
	n.reset()
	n.shares.applyShares()
}

// sendSummaries sends each zone's headroom to all instances, after the delay
// between regions.
func (steerPolicy) sendSummaries(sim *simulation) {
	type key struct{ zone, pool string }
	summaries := map[key]*steer.ZoneSummary{}
	var order []key
	for _, n := range sim.nodes {
		if n.down {
			continue
		}
		for _, s := range n.core.Summaries(sim.clock()) {
			k := key{s.Zone, s.Pool}
			if summaries[k] == nil {
				summaries[k] = &s
				order = append(order, k)
				continue
			}
			summaries[k].Add(s)
		}
	}
	for _, k := range order {
		s := *summaries[k]
		sim.after(sim.reportDelay+sim.svc.regionDelay, func() {
			for _, n := range sim.nodes {
				if !n.down {
					n.core.ObserveZone(sim.clock(), s)
				}
			}
		})
	}
}

// exchangePoisonRecords sends each instance's records of poison requests to all
// instances.
func (steerPolicy) exchangePoisonRecords(sim *simulation) {
	for _, from := range sim.nodes {
		if records := from.core.PoisonRecords(time.Time{}); len(records) > 0 && !from.down {
			sim.after(sim.svc.regionDelay, func() {
				for _, to := range sim.nodes {
					to.core.MergePoison(sim.clock(), records)
				}
			})
		}
	}
}

// sendReports sends a load report of each target to the instances of its zone.
func (steerPolicy) sendReports(sim *simulation) {
	for _, name := range sim.targetNames {
		t := sim.targets[name]
		if t.down {
			continue
		}
		report := steer.LoadReport{
			Target: name, At: sim.clock(), InFlight: t.running, Slots: t.config.Slots,
			Queued: len(t.waiting), Healthy: true, Incarnation: "1", Leaving: t.leaving,
		}
		sim.after(sim.reportDelay+6*time.Millisecond, func() {
			for _, n := range sim.nodes {
				if n.self.Zone == t.config.Zone {
					n.core.ObserveLoad(sim.clock(), report)
				}
			}
		})
	}
}

func (steerPolicy) serve(n *node, c *call) {
	r := &c.req
	var attempt func()
	attempt = func() {
		n.decide(r, c, func(d steer.Decision, res steer.Result) {
			if res.Kind == fault.KindNone || c.ended || !n.core.AllowRetry(n.sim.clock(), r, res) {
				c.respond(res.Kind)
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

// decide makes one attempt at n, possibly after waiting in its queue, and calls
// done with the decision and the result.
func (n *node) decide(r *steer.Request, c *call, done func(steer.Decision, steer.Result)) {
	d := n.core.Decide(n.sim.clock(), r)
	if d.Verdict == steer.Wait {
		n.waiting[d.Ticket] = func(d steer.Decision) { n.execute(d, r, c, done) }
		return
	}
	n.execute(d, r, c, done)
}

// execute carries out a decision. It drops the result if n has restarted in the
// meantime.
func (n *node) execute(d steer.Decision, r *steer.Request, c *call, done func(steer.Decision, steer.Result)) {
	start := n.sim.now
	core := n.core
	finish := func(k fault.Kind) {
		if n.core != core {
			return
		}
		res := steer.Result{Kind: k, Latency: n.sim.now - start}
		n.resume(n.core.Done(n.sim.clock(), d, res))
		done(d, res)
	}
	switch d.Verdict {
	case steer.Dispatch:
		r.Attempts++
		n.sim.dispatch(n, d.Target, c, finish)
	case steer.Hop:
		r.Attempts++
		n.forward(d, c, finish)
	default:
		done(d, steer.Result{Kind: d.Kind})
	}
}

// forward sends the request to a random instance of the chosen zone, which makes
// its own decision within the chosen pool.
func (n *node) forward(d steer.Decision, c *call, finish func(fault.Kind)) {
	var candidates []*node
	for _, candidate := range n.sim.nodes {
		if candidate.self.Zone == d.Zone {
			candidates = append(candidates, candidate)
		}
	}
	if len(candidates) == 0 {
		n.sim.after(0, func() { finish(fault.KindHopRefused) })
		return
	}
	peer := candidates[n.sim.rng.IntN(len(candidates))]
	delay := n.sim.delay(n.self.Zone, n.self.Region, peer.self.Zone, peer.self.Region)
	n.sim.after(delay, func() {
		if peer.down {
			n.sim.after(delay, func() { finish(fault.KindHopRefused) })
			return
		}
		r := c.req
		r.Pool, r.Attempts = d.Pool, 0
		peer.decide(&r, c, func(_ steer.Decision, res steer.Result) {
			n.sim.after(delay, func() { finish(res.Kind) })
		})
	})
}

// resume continues the queued requests for which the engine has made a decision.
func (n *node) resume(wakeups []steer.Wakeup) {
	for _, wakeup := range wakeups {
		resumeRequest := n.waiting[wakeup.Ticket]
		delete(n.waiting, wakeup.Ticket)
		resumeRequest(wakeup.Decision)
	}
}

// shareLedger records how each target's slots are divided among the instances of its
// zone, and each region's limit among the instances of the region. The sum of the
// shares is constant.
type shareLedger struct {
	sim   *simulation
	slots map[*node]map[string]int
}

func newShareLedger(sim *simulation) *shareLedger {
	l := &shareLedger{sim: sim, slots: map[*node]map[string]int{}}
	for _, n := range sim.nodes {
		l.slots[n] = map[string]int{}
	}
	for i, name := range sim.targetNames {
		nodes := l.nodesInZone(sim.targets[name].config.Zone)
		for j := range sim.targets[name].config.Slots {
			l.slots[nodes[(i+j)%len(nodes)]][name]++
		}
	}
	return l
}

func (l *shareLedger) nodesInZone(zone string) []*node {
	var nodes []*node
	for _, n := range l.sim.nodes {
		if n.self.Zone == zone {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// applyShares sets every instance's shares, with leases that outlast a run. A
// region's limit is the sum of its slots, so an instance's share of the limit is
// the sum of its shares of slots.
func (l *shareLedger) applyShares() {
	for _, n := range l.sim.nodes {
		if n.down {
			continue
		}
		total := 0
		shares := steer.Shares{Expires: epoch.Add(time.Hour), Slots: map[string]int{}}
		for name, k := range l.slots[n] {
			shares.Slots[name] = k
			total += k
		}
		shares.Regions = map[string]int{n.self.Region: total}
		n.core.SetShares(l.sim.clock(), shares)
	}
}

// borrow transfers idle shares to instances with queued requests from other
// instances of the same zone. It asks each lender for half as many shares as the
// borrower still needs, rounded up.
func (l *shareLedger) borrow() {
	changed := false
	for _, borrower := range l.sim.nodes {
		if borrower.down {
			continue
		}
		waiting := 0
		for _, p := range borrower.core.Demand().Pools {
			waiting += p.Waiting
		}
		for _, lender := range l.nodesInZone(borrower.self.Zone) {
			if lender != borrower && !lender.down && waiting > 0 {
				transferred := l.transferIdle(lender, borrower, (waiting+1)/2)
				waiting -= transferred
				changed = changed || transferred > 0
			}
		}
	}
	if changed {
		l.applyShares()
	}
}

// transferIdle transfers up to limit idle shares from lender to borrower, and none
// if the lender has queued requests itself. It returns the number transferred.
func (l *shareLedger) transferIdle(lender, borrower *node, limit int) int {
	d := lender.core.Demand()
	for _, p := range d.Pools {
		if p.Waiting > 0 {
			return 0
		}
	}
	transferred := 0
	for _, name := range l.sim.targetNames {
		for _, t := range d.Targets {
			if t.Target == name && t.Share > t.InUse && transferred < limit && l.slots[lender][name] > 0 {
				l.slots[lender][name]--
				l.slots[borrower][name]++
				transferred++
			}
		}
	}
	return transferred
}
