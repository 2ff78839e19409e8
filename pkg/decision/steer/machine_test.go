package steer

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// mutation is a deliberate fault that a property must catch.
type mutation string

const (
	sound           mutation = ""
	ignoresLease    mutation = "ignores the lease"
	doublesShares   mutation = "doubles its shares"
	ignoresRegion   mutation = "ignores the region's limit"
	ignoresLeaving  mutation = "ignores leaving targets"
	retriesAlways   mutation = "retries whatever ran"
	forgetsInFlight mutation = "forgets what is in flight"
	neverTicks      mutation = "never ticks"
	tellsLastKind   mutation = "tells the kind of the last attempt"
)

// The invariants that the machine checks.
const (
	targetLimit  = "a target never runs more than its slots"
	regionLimit  = "no region is pushed beyond its limit"
	leaseEnd     = "nothing is dispatched after the lease"
	leavingRule  = "a leaving target gets no new work"
	atMostOnce   = "a non-idempotent request runs at most once"
	notRunIsTrue = "not run means not run"
	answered     = "every request is answered in time"
)

// machine is one zone with several instances, their shares and faults.
type machine struct {
	mut     mutation
	broken  map[string]bool
	tb      *table.Tables
	now     time.Duration
	cores   []*Core
	shares  []Shares
	leases  []time.Duration
	paused  []bool
	flights []flight
	waiting map[string]*attempt
	running map[string]int
	region  int
	leaving map[string]time.Duration
}

// attempt is a request at one instance.
type attempt struct {
	core *Core
	at   int
	r    *Request
	due  time.Duration
	// mayHaveRun is what the model knows.
	mayHaveRun bool
	// held is set when its instance was paused while it waited.
	held bool
}

type flight struct {
	a *attempt
	d Decision
}

const (
	machineLimit = 9
	leaseTime    = 3 * time.Second
)

func newMachine(mut mutation) *machine {
	f := fixture{regions: []string{"osrednja"}, targets: 4, slots: 3, limit: machineLimit}
	m := &machine{
		mut: mut, broken: map[string]bool{}, tb: f.tables(), waiting: map[string]*attempt{},
		running: map[string]int{}, leaving: map[string]time.Duration{},
	}
	for i := range m.tb.Pools[0].Targets {
		m.tb.Pools[0].Targets[i].Zone = home.Zone
	}
	for i := range 3 {
		m.cores = append(m.cores, m.newInstance(i))
		m.shares = append(m.shares, Shares{Slots: map[string]int{}, Regions: map[string]int{"osrednja": machineLimit / 3}})
		m.leases = append(m.leases, 0)
		m.paused = append(m.paused, false)
		for _, tg := range m.tb.Pools[0].Targets {
			m.shares[i].Slots[tg.Name] = 1
		}
		m.renew(i)
	}
	return m
}

func (m *machine) newInstance(i int) *Core {
	c := New(Self{Instance: fmt.Sprint(i), Zone: home.Zone, Region: home.Region}, rand.NewPCG(uint64(i), 9))
	c.SetTables(at(m.now), m.tb)
	return c
}

// renew gives instance i its shares with a new lease.
func (m *machine) renew(i int) {
	m.leases[i] = m.now + leaseTime
	sh := Shares{Expires: at(m.leases[i]), Slots: map[string]int{}, Regions: map[string]int{"osrednja": m.shares[i].Regions["osrednja"]}}
	for name, n := range m.shares[i].Slots {
		sh.Slots[name] = n
		if m.mut == doublesShares {
			sh.Slots[name] = 2 * n
		}
	}
	if m.mut == ignoresLease {
		sh.Expires = at(time.Hour)
	}
	if m.mut == ignoresRegion {
		sh.Regions["osrednja"] = 100
	}
	m.cores[i].SetShares(at(m.now), sh)
}

// give moves one slot of a target and one of the region from an instance that
// does not use them, as the share ledger does: lower first, then look.
func (m *machine) give(from, to int, target string) {
	a, b := m.shares[from], m.shares[to]
	if a.Slots[target] == 0 || a.Regions["osrednja"] == 0 || m.now >= m.leases[from] || m.now >= m.leases[to] {
		return
	}
	a.Slots[target]--
	a.Regions["osrednja"]--
	m.renew(from)
	d := m.cores[from].Demand()
	for _, t := range d.Targets {
		if t.Target == target && t.InUse > t.Share || d.Regions[0].InUse > d.Regions[0].Share {
			a.Slots[target]++
			a.Regions["osrednja"]++
			m.renew(from)
			return
		}
	}
	b.Slots[target]++
	b.Regions["osrednja"]++
	m.renew(to)
}

func (m *machine) arrive(i int, idempotent bool, timeout time.Duration) {
	r := newRequest(m.tb, at(m.now))
	r.Idempotent = idempotent
	r.Deadline = at(m.now + timeout)
	m.decide(&attempt{core: m.cores[i], at: i, r: r, due: m.now + timeout})
}

func (m *machine) decide(a *attempt) { m.act(a, a.core.Decide(at(m.now), a.r)) }

// act checks and plays a decision.
func (m *machine) act(a *attempt, d Decision) {
	switch d.Verdict {
	case Wait:
		m.waiting[fmt.Sprint(a.at, "/", d.Ticket)] = a
	case Refuse:
		m.end(a, d.Kind)
	case Dispatch:
		a.r.Attempts++
		m.running[d.Target]++
		m.region++
		m.check(targetLimit, m.running[d.Target] <= 3)
		m.check(regionLimit, m.region <= machineLimit)
		m.check(leaseEnd, m.now < m.leases[a.at])
		_, leaving := m.leaving[d.Target]
		m.check(leavingRule, !leaving)
		m.check(atMostOnce, a.r.Idempotent || !a.mayHaveRun)
		m.flights = append(m.flights, flight{a, d})
	}
}

// end checks the final answer.
func (m *machine) end(a *attempt, k fault.Kind) {
	if m.mut != tellsLastKind {
		k = a.r.Answer(k)
	}
	m.check(notRunIsTrue, k.Info().Outcome != fault.OutcomeNotRun || !a.mayHaveRun)
}

// finish ends the flight with index i.
func (m *machine) finish(i int, k fault.Kind) {
	f := m.flights[i]
	m.flights = append(m.flights[:i], m.flights[i+1:]...)
	m.running[f.d.Target]--
	m.region--
	f.a.mayHaveRun = f.a.mayHaveRun || k.Info().Outcome != fault.OutcomeNotRun
	if f.a.core != m.cores[f.a.at] {
		return // The instance has been replaced meanwhile.
	}
	res := Result{Kind: k, Latency: 5 * time.Millisecond}
	m.woken(f.a.at, f.a.core.Done(at(m.now), f.d, res))
	retry := f.a.core.MayRetry(at(m.now), f.a.r, res)
	if m.mut == retriesAlways && k != fault.KindNone && f.a.r.Attempts < maxAttempts {
		retry = true
	}
	if !retry {
		m.end(f.a, k)
		return
	}
	f.a.r.Exclude(f.d.Target)
	m.decide(f.a)
}

func (m *machine) woken(i int, ws []Wakeup) {
	for _, w := range ws {
		key := fmt.Sprint(i, "/", w.Ticket)
		a := m.waiting[key]
		delete(m.waiting, key)
		m.check(answered, a.held || m.now <= a.due+tick)
		m.act(a, w.Decision)
	}
}

const tick = 10 * time.Millisecond

// advance lets time pass, with ticks at the instances that are not paused.
func (m *machine) advance(d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.now += tick
		for i, c := range m.cores {
			if !m.paused[i] && m.mut != neverTicks {
				m.woken(i, c.Tick(at(m.now)))
			}
		}
	}
	for key, a := range m.waiting {
		a.held = a.held || m.paused[a.at]
		m.check(answered, a.held || a.core != m.cores[a.at] || m.now <= a.due)
		if a.core != m.cores[a.at] {
			delete(m.waiting, key)
		}
	}
}

// replace kills instance i and starts it again: its shares come back only
// when its lease has lapsed and its requests have ended.
func (m *machine) replace(i int) {
	for _, f := range m.flights {
		if f.a.at == i && m.mut != forgetsInFlight {
			return
		}
	}
	if m.now < m.leases[i] {
		return
	}
	m.cores[i] = m.newInstance(i)
	m.renew(i)
	for name := range m.leaving {
		m.report(name, true)
	}
}

func (m *machine) report(target string, leaving bool) {
	if _, listed := m.cores[0].state.Load().members[target]; !listed {
		return
	}
	since, ok := m.leaving[target]
	switch {
	case leaving && !ok:
		m.leaving[target] = m.now
	case !leaving && ok && m.now-since > leavingHold:
		delete(m.leaving, target)
	}
	rep := LoadReport{Target: target, At: at(m.now), Leaving: leaving && m.mut != ignoresLeaving, Healthy: true, InFlight: 1000, Slots: 1}
	for _, c := range m.cores {
		c.ObserveLoad(at(m.now), rep)
	}
}

// change puts the next version of the tables in force, with or without a target.
func (m *machine) change(drop bool) {
	next := *m.tb
	next.Version++
	next.Pools = []table.Pool{m.tb.Pools[0]}
	if all := m.tb.Pools[0].Targets; drop && len(all) > 2 {
		next.Pools[0].Targets = all[:len(all)-1]
	} else {
		next.Pools[0].Targets = append(all[:len(all):len(all)], table.Target{
			Name: fmt.Sprintf("osrednja-t%d", len(all)), Address: "127.0.0.1:9", Zone: home.Zone, Slots: 3,
		})
	}
	for name, since := range m.leaving {
		if _, listed := m.cores[0].state.Load().members[name]; !listed && m.now-since > leavingHold {
			delete(m.leaving, name)
		}
	}
	m.tb = &next
	for _, c := range m.cores {
		c.SetTables(at(m.now), m.tb)
	}
	for name := range m.leaving {
		m.report(name, true)
	}
}

func (m *machine) check(name string, ok bool) {
	if !ok {
		m.broken[name] = true
	}
}

// play draws a run with faults, and returns the invariants that it broke.
func play(rt *rapid.T, mut mutation) []string {
	m := newMachine(mut)
	instance := rapid.IntRange(0, 2)
	target := rapid.SampledFrom([]string{"osrednja-t0", "osrednja-t1", "osrednja-t2", "osrednja-t3"})
	ends := rapid.SampledFrom([]fault.Kind{
		fault.KindNone, fault.KindNone, fault.KindTargetRefused, fault.KindTargetShed,
		fault.KindTargetLost, fault.KindTargetTimeout,
	})
	steps := rapid.IntRange(20, 120).Draw(rt, "steps")
	for range steps {
		switch rapid.IntRange(0, 15).Draw(rt, "step") {
		case 0, 1, 2, 3, 4, 5:
			m.arrive(instance.Draw(rt, "at"), rapid.Bool().Draw(rt, "idempotent"), time.Duration(rapid.IntRange(1, 800).Draw(rt, "timeout"))*time.Millisecond)
		case 6, 7, 8:
			if n := len(m.flights); n > 0 {
				m.finish(rapid.IntRange(0, n-1).Draw(rt, "flight"), ends.Draw(rt, "end"))
			}
		case 9:
			m.advance(time.Duration(rapid.IntRange(1, 30).Draw(rt, "ticks")) * tick)
		case 10:
			m.give(instance.Draw(rt, "from"), instance.Draw(rt, "to"), target.Draw(rt, "target"))
		case 11:
			if i := instance.Draw(rt, "renew"); !m.paused[i] {
				m.renew(i)
			}
		case 12:
			i := instance.Draw(rt, "pause")
			m.paused[i] = !m.paused[i]
		case 13:
			m.advance(leaseTime)
			m.replace(instance.Draw(rt, "replace"))
		case 14:
			m.report(target.Draw(rt, "report"), rapid.IntRange(0, 3).Draw(rt, "leaving") == 0)
		case 15:
			m.change(rapid.Bool().Draw(rt, "drop"))
		}
	}
	m.paused = make([]bool, len(m.cores))
	m.advance(time.Second)
	var names []string
	for name := range m.broken {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func TestInvariantsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if broken := play(rt, sound); len(broken) > 0 {
			rt.Fatalf("broken: %v", broken)
		}
	})
}

func TestEveryInvariantCatchesItsMutation(t *testing.T) {
	for mut, want := range map[mutation]string{
		ignoresLease:    leaseEnd,
		doublesShares:   targetLimit,
		ignoresRegion:   regionLimit,
		ignoresLeaving:  leavingRule,
		retriesAlways:   atMostOnce,
		forgetsInFlight: targetLimit,
		neverTicks:      answered,
		tellsLastKind:   notRunIsTrue,
	} {
		t.Run(string(mut), func(t *testing.T) {
			caught := false
			rapid.Check(t, func(rt *rapid.T) {
				for _, name := range play(rt, mut) {
					caught = caught || name == want
				}
			})
			if !caught {
				t.Fatalf("no run broke %q", want)
			}
		})
	}
}
