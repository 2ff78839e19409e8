package steer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// mutation is a deliberate fault that an invariant must catch.
type mutation string

const (
	noMutation         mutation = ""
	ignoresLease       mutation = "ignores the lease"
	doublesShares      mutation = "doubles its shares"
	ignoresRegionLimit mutation = "ignores the region's limit"
	ignoresLeaving     mutation = "ignores leaving targets"
	ignoresBackoff     mutation = "ignores targets that ask for no requests"
	retriesAlways      mutation = "retries requests that may have run"
	forgetsInFlight    mutation = "forgets requests in flight"
	neverTicks         mutation = "never ticks"
	returnsLastKind    mutation = "returns the kind of the last attempt"
)

// The invariants that the model checks.
const (
	targetLimit         = "a target never runs more than its slots"
	regionLimit         = "no region runs more than its limit"
	leaseEnd            = "nothing is dispatched after the end of the lease"
	noRequestsToLeaving = "a leaving target gets no new requests"
	noRequestsInBackoff = "a target gets no requests from an instance that it has asked for none"
	atMostOnce          = "a non-idempotent request runs at most once"
	notRunIsAccurate    = "a request reported as not run has not run"
	decidedInTime       = "every request gets its final decision in time"
)

// zoneModel models one zone with several instances, their shares and faults.
type zoneModel struct {
	mutation       mutation
	violated       map[string]bool
	tb             *table.Tables
	now            time.Duration
	cores          []*Core
	shares         []Shares
	leases         []time.Duration
	paused         []bool
	inFlight       []flight
	queued         map[string]*attempt
	running        map[string]int
	regionInFlight int
	leaving        map[string]time.Duration
	// backoffs holds the ends of the times for which targets have asked for no
	// requests.
	backoffs map[backoffKey]time.Duration
}

// backoffKey is an instance, since its last start, and a target.
type backoffKey struct {
	core   *Core
	target string
}

// attempt is a request at one instance.
type attempt struct {
	core     *Core
	instance int
	r        *Request
	deadline time.Duration
	// mayHaveRun is the model's own record.
	mayHaveRun bool
	// delayed is set when the instance was paused while the request was queued.
	delayed bool
}

type flight struct {
	attempt  *attempt
	decision Decision
}

const (
	modelRegionLimit = 9
	leaseDuration    = 3 * time.Second
)

func newZoneModel(mut mutation) *zoneModel {
	f := fixture{regions: []string{"osrednja"}, targets: 4, slots: 3, limit: modelRegionLimit}
	m := &zoneModel{
		mutation: mut, violated: map[string]bool{}, tb: f.tables(), queued: map[string]*attempt{},
		running: map[string]int{}, leaving: map[string]time.Duration{},
		backoffs: map[backoffKey]time.Duration{},
	}
	for i := range m.tb.Pools[0].Targets {
		m.tb.Pools[0].Targets[i].Zone = testSelf.Zone
	}
	for i := range 3 {
		m.cores = append(m.cores, m.newInstance(i))
		m.shares = append(m.shares, Shares{Slots: map[string]int{}, Regions: map[string]int{"osrednja": modelRegionLimit / 3}})
		m.leases = append(m.leases, 0)
		m.paused = append(m.paused, false)
		for _, tg := range m.tb.Pools[0].Targets {
			m.shares[i].Slots[tg.Name] = 1
		}
		m.renew(i)
	}
	return m
}

func (m *zoneModel) newInstance(i int) *Core {
	c := New(Self{Instance: fmt.Sprint(i), Zone: testSelf.Zone, Region: testSelf.Region}, rand.NewPCG(uint64(i), 9))
	c.SetTables(at(m.now), m.tb)
	return c
}

// renew renews the lease of instance i on its shares.
func (m *zoneModel) renew(i int) {
	m.leases[i] = m.now + leaseDuration
	sh := Shares{Expires: at(m.leases[i]), Slots: map[string]int{}, Regions: map[string]int{"osrednja": m.shares[i].Regions["osrednja"]}}
	for name, n := range m.shares[i].Slots {
		sh.Slots[name] = n
		if m.mutation == doublesShares {
			sh.Slots[name] = 2 * n
		}
	}
	if m.mutation == ignoresLease {
		sh.Expires = at(time.Hour)
	}
	if m.mutation == ignoresRegionLimit {
		sh.Regions["osrednja"] = 100
	}
	m.cores[i].SetShares(at(m.now), sh)
}

// lendShare moves one unused slot of a target and of the region between
// instances, as the share ledger does: it reduces the share first, then checks
// its use.
func (m *zoneModel) lendShare(from, to int, target string) {
	lender, borrower := m.shares[from], m.shares[to]
	if lender.Slots[target] == 0 || lender.Regions["osrednja"] == 0 || m.now >= m.leases[from] || m.now >= m.leases[to] {
		return
	}
	lender.Slots[target]--
	lender.Regions["osrednja"]--
	m.renew(from)
	d := m.cores[from].Demand()
	for _, t := range d.Targets {
		if t.Target == target && t.InUse > t.Share || d.Regions[0].InUse > d.Regions[0].Share {
			lender.Slots[target]++
			lender.Regions["osrednja"]++
			m.renew(from)
			return
		}
	}
	borrower.Slots[target]++
	borrower.Regions["osrednja"]++
	m.renew(to)
}

func (m *zoneModel) arrive(i int, idempotent bool, timeout time.Duration) {
	r := newRequest(m.tb, at(m.now))
	r.Idempotent = idempotent
	r.Deadline = at(m.now + timeout)
	m.decide(&attempt{core: m.cores[i], instance: i, r: r, deadline: m.now + timeout})
}

func (m *zoneModel) decide(a *attempt) { m.apply(a, a.core.Decide(at(m.now), a.r)) }

// apply checks a decision and carries it out.
func (m *zoneModel) apply(a *attempt, d Decision) {
	switch d.Verdict {
	case Wait:
		m.queued[fmt.Sprint(a.instance, "/", d.Ticket)] = a
	case Refuse:
		m.checkFinalKind(a, d.Kind)
	case Dispatch:
		a.r.Attempts++
		m.running[d.Target]++
		m.regionInFlight++
		m.check(targetLimit, m.running[d.Target] <= 3)
		m.check(regionLimit, m.regionInFlight <= modelRegionLimit)
		m.check(leaseEnd, m.now < m.leases[a.instance])
		_, leaving := m.leaving[d.Target]
		m.check(noRequestsToLeaving, !leaving)
		m.check(noRequestsInBackoff, m.now >= m.backoffs[backoffKey{a.core, d.Target}])
		m.check(atMostOnce, a.r.Idempotent || !a.mayHaveRun)
		m.inFlight = append(m.inFlight, flight{a, d})
	}
}

// checkFinalKind checks the error kind that the caller receives.
func (m *zoneModel) checkFinalKind(a *attempt, k fault.Kind) {
	if m.mutation != returnsLastKind {
		k = a.r.ResponseKind(k)
	}
	m.check(notRunIsAccurate, k.Info().Outcome != fault.OutcomeNotRun || !a.mayHaveRun)
}

// deliverRetryAfter delivers the Retry-After of the target of f to the instance.
func (m *zoneModel) deliverRetryAfter(f flight, after time.Duration) {
	key := backoffKey{f.attempt.core, f.decision.Target}
	m.backoffs[key] = max(m.backoffs[key], m.now+after)
	if m.mutation != ignoresBackoff {
		f.attempt.core.ObserveNotice(at(m.now), f.decision, Notice{RetryAfter: after})
	}
}

// finish ends the attempt in flight with index i. after is the Retry-After of the
// target's response, or 0.
func (m *zoneModel) finish(i int, k fault.Kind, after time.Duration) {
	f := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	m.running[f.decision.Target]--
	m.regionInFlight--
	f.attempt.mayHaveRun = f.attempt.mayHaveRun || k.Info().Outcome != fault.OutcomeNotRun
	if f.attempt.core != m.cores[f.attempt.instance] {
		return // The instance has been restarted since.
	}
	if after > 0 {
		m.deliverRetryAfter(f, after)
	}
	res := Result{Kind: k, Latency: 5 * time.Millisecond}
	m.applyWakeups(f.attempt.instance, f.attempt.core.Done(at(m.now), f.decision, res))
	retry := f.attempt.core.AllowRetry(at(m.now), f.attempt.r, res)
	if m.mutation == retriesAlways && k != fault.KindNone && f.attempt.r.Attempts < maxAttempts {
		retry = true
	}
	if !retry {
		m.checkFinalKind(f.attempt, k)
		return
	}
	f.attempt.r.Exclude(f.decision.Target)
	m.decide(f.attempt)
}

func (m *zoneModel) applyWakeups(i int, ws []Wakeup) {
	for _, w := range ws {
		key := fmt.Sprint(i, "/", w.Ticket)
		a := m.queued[key]
		delete(m.queued, key)
		m.check(decidedInTime, a.delayed || m.now <= a.deadline+tick)
		m.apply(a, w.Decision)
	}
}

const tick = 10 * time.Millisecond

// advance lets d pass, with ticks at the instances that are not paused.
func (m *zoneModel) advance(d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.now += tick
		for i, c := range m.cores {
			if !m.paused[i] && m.mutation != neverTicks {
				m.applyWakeups(i, c.Tick(at(m.now)))
			}
		}
	}
	for key, a := range m.queued {
		a.delayed = a.delayed || m.paused[a.instance]
		m.check(decidedInTime, a.delayed || a.core != m.cores[a.instance] || m.now <= a.deadline)
		if a.core != m.cores[a.instance] {
			delete(m.queued, key)
		}
	}
}

// restart terminates instance i and starts it again. It gets its shares back
// only after its lease has expired and its requests have ended.
func (m *zoneModel) restart(i int) {
	for _, f := range m.inFlight {
		if f.attempt.instance == i && m.mutation != forgetsInFlight {
			return
		}
	}
	if m.now < m.leases[i] {
		return
	}
	m.cores[i] = m.newInstance(i)
	m.renew(i)
	for name := range m.leaving {
		m.reportLeaving(name, true)
	}
}

func (m *zoneModel) reportLeaving(target string, leaving bool) {
	if _, listed := m.cores[0].snapshot.Load().targets[target]; !listed {
		return
	}
	since, ok := m.leaving[target]
	switch {
	case leaving && !ok:
		m.leaving[target] = m.now
	case !leaving && ok && m.now-since > leavingHold:
		delete(m.leaving, target)
	}
	rep := LoadReport{Target: target, At: at(m.now), Leaving: leaving && m.mutation != ignoresLeaving, Healthy: true, InFlight: 1000, Slots: 1}
	for _, c := range m.cores {
		c.ObserveLoad(at(m.now), rep)
	}
}

// changeTables puts the next version of the tables in force, with one target
// removed or added.
func (m *zoneModel) changeTables(drop bool) {
	next := *m.tb
	next.Version++
	next.Pools = []table.Pool{m.tb.Pools[0]}
	if all := m.tb.Pools[0].Targets; drop && len(all) > 2 {
		next.Pools[0].Targets = all[:len(all)-1]
	} else {
		next.Pools[0].Targets = append(all[:len(all):len(all)], table.Target{
			Name: fmt.Sprintf("osrednja-t%d", len(all)), Address: "127.0.0.1:9", Zone: testSelf.Zone, Slots: 3,
		})
	}
	for name, since := range m.leaving {
		if _, listed := m.cores[0].snapshot.Load().targets[name]; !listed && m.now-since > leavingHold {
			delete(m.leaving, name)
		}
	}
	m.tb = &next
	for _, c := range m.cores {
		c.SetTables(at(m.now), m.tb)
	}
	for name := range m.leaving {
		m.reportLeaving(name, true)
	}
}

func (m *zoneModel) check(name string, ok bool) {
	if !ok {
		m.violated[name] = true
	}
}
