package cluster

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/departure"
	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/test/seeded"
	"github.com/jacinthramp/jacinthramp/test/virtualtime"
)

func TestMain(m *testing.M) {
	seeded.FixSeed(20261204, 5)
	goleak.VerifyTestMain(m)
}

// targetCounter counts the requests in flight at the targets and in the region
// of one zone, and records the first time that a limit is exceeded.
type targetCounter struct {
	mu        sync.Mutex
	slots     map[string]int
	inFlight  map[string]int
	violation string
}

func (c *targetCounter) add(now time.Time, name string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[name] += n
	if c.inFlight[name] > c.slots[name] && c.violation == "" {
		c.violation = fmt.Sprintf("at %v: %d requests in flight at %s, limit %d", now, c.inFlight[name], name, c.slots[name])
	}
}

// simulatedLoad is a Core that dispatches requests of random duration.
type simulatedLoad struct {
	noRateLimits
	targets *targetCounter
	mu      sync.Mutex
	shares  steer.Shares
	inUse   map[string]int
	want    int
	stopped bool
	running []runningRequest
}

type runningRequest struct {
	endsAt time.Time
	name   string
}

const region = "osrednja"

func (l *simulatedLoad) SetShares(_ time.Time, sh steer.Shares) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares = sh
}

func (l *simulatedLoad) Demand() steer.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	var d steer.Demand
	busy := l.inUse[region]
	for name := range l.targets.slots {
		if name != region {
			d.Targets = append(d.Targets, steer.TargetDemand{Target: name, Pool: "feedlog", Share: l.shares.Slots[name], InUse: l.inUse[name]})
		}
	}
	d.Pools = []steer.PoolDemand{{Pool: "feedlog", Waiting: max(l.want-busy, 0)}}
	d.Regions = []steer.RegionDemand{{Region: region, Share: l.shares.Regions[region], InUse: busy, Waiting: max(l.want-busy, 0)}}
	return d
}

func (l *simulatedLoad) Summaries(time.Time) []steer.ZoneSummary    { return nil }
func (l *simulatedLoad) PoisonRecords(time.Time) []poison.Record    { return nil }
func (l *simulatedLoad) MergePoison(_ time.Time, _ []poison.Record) {}

func (l *simulatedLoad) LeavingRecords(time.Time, departure.Source, []departure.Record) []departure.Record {
	return nil
}

func (l *simulatedLoad) MergeLeaving(time.Time, departure.Source, string, []departure.Record) {}

// advance ends the requests that are due and starts new ones within the shares.
func (l *simulatedLoad) advance(now time.Time, rnd *rand.Rand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var running []runningRequest
	for _, e := range l.running {
		if now.Before(e.endsAt) {
			running = append(running, e)
			continue
		}
		l.count(now, e.name, -1)
	}
	l.running = running
	for name := range l.targets.slots {
		free := name != region && l.inUse[name] < l.shares.Slots[name] && l.inUse[region] < l.shares.Regions[region]
		if !l.stopped && free && l.inUse[region] < l.want && now.Before(l.shares.Expires) {
			l.count(now, name, 1)
			l.running = append(l.running, runningRequest{endsAt: now.Add(time.Duration(rnd.IntN(400)) * time.Millisecond), name: name})
		}
	}
}

func (l *simulatedLoad) count(now time.Time, name string, n int) {
	l.inUse[name] += n
	l.inUse[region] += n
	l.targets.add(now, name, n)
	l.targets.add(now, region, n)
}

// abort ends all requests at once, as the termination of the process does.
func (l *simulatedLoad) abort(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	for _, e := range l.running {
		l.count(now, e.name, -1)
	}
	l.running = nil
}

// chaos is a test cluster of one zone under load and injected faults.
type chaos struct {
	*testCluster
	targets          *targetCounter
	loads            map[*testNode]*simulatedLoad
	lastVersions     map[*testNode]uint64
	outboundCutUntil map[string]time.Time
	inboundCutUntil  map[string]time.Time
	rnd              *rand.Rand
	version          uint64
}

func newChaos(seed uint64, n int, loss float64, overrides allowance.SafetyOverrides) *chaos {
	c := &chaos{
		testCluster: newTestCluster(seed),
		targets:     &targetCounter{slots: map[string]int{"feedlog-0": 4, "feedlog-1": 4, region: 6}, inFlight: map[string]int{}},
		loads:       map[*testNode]*simulatedLoad{}, lastVersions: map[*testNode]uint64{},
		outboundCutUntil: map[string]time.Time{}, inboundCutUntil: map[string]time.Time{},
		rnd: rand.New(rand.NewPCG(seed, 3)),
	}
	c.net.loss = loss
	c.net.cut = func(from, to string) bool {
		now := time.Now()
		return now.Before(c.outboundCutUntil[from]) || now.Before(c.inboundCutUntil[to])
	}
	c.overrides = overrides
	c.acceptEdit()
	for i := range n {
		c.startLoaded(fmt.Sprintf("instance-%d", i))
	}
	return c
}

func (c *chaos) acceptEdit() {
	c.version++
	t := testTables(c.version, 1)
	t.Regions[0].Limit = c.targets.slots[region]
	c.store.accept(t)
}

func (c *chaos) startLoaded(id string) {
	l := &simulatedLoad{targets: c.targets, inUse: map[string]int{}}
	n := c.startWith(id, zoneName(0, 1), l)
	c.loads[n] = l
}

func (c *chaos) terminate(n *testNode) {
	c.kill(n)
	c.loads[n].abort(time.Now())
	delete(c.loads, n)
}

// run runs the load for d and returns the first violated invariant, or "".
func (c *chaos) run(d time.Duration) string {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		now := time.Now()
		for _, n := range c.nodes {
			l := c.loads[n]
			if c.rnd.IntN(50) == 0 {
				l.mu.Lock()
				l.want = c.rnd.IntN(8)
				l.mu.Unlock()
			}
			l.advance(now, c.rnd)
			if t := n.Tables(); t != nil {
				if t.Version < c.lastVersions[n] {
					return fmt.Sprintf("%s returned from version %d of the tables to %d", n.addr, c.lastVersions[n], t.Version)
				}
				c.lastVersions[n] = t.Version
			}
		}
		if c.targets.violation != "" {
			return c.targets.violation
		}
	}
	return ""
}

// injectFault injects one fault at instance i: a loss of its outbound (0),
// inbound (1) or all messages (2) for d, the start or end of a store outage (3),
// its replacement under the same id (4) or another one (6), or an edit of the
// tables (5).
func (c *chaos) injectFault(kind int, i int, d time.Duration) {
	n := c.nodes[i%len(c.nodes)]
	until := time.Now().Add(d)
	c.net.mu.Lock()
	switch kind {
	case 0:
		c.outboundCutUntil[n.addr] = until
	case 1:
		c.inboundCutUntil[n.addr] = until
	case 2:
		c.outboundCutUntil[n.addr], c.inboundCutUntil[n.addr] = until, until
	}
	c.net.mu.Unlock()
	switch kind {
	case 3:
		c.store.setDown(!c.store.isDown())
	case 4:
		c.terminate(n)
		c.startLoaded(n.addr)
	case 5:
		c.acceptEdit()
	case 6:
		c.terminate(n)
		c.startLoaded(fmt.Sprintf("instance-%d", 10+c.started))
	}
}

// injectedFault is one fault of a plan, and the time to the next.
type injectedFault struct {
	Kind, Instance  int
	Duration, Pause time.Duration
}

// faultPlan is the random input of one run.
type faultPlan struct {
	Seed      uint64
	Instances int
	Loss      float64
	Faults    []injectedFault
	Overrides allowance.SafetyOverrides
}

func drawPlan(t *rapid.T) faultPlan {
	seconds := func(lo, hi int, label string) time.Duration {
		return time.Duration(rapid.IntRange(lo, hi).Draw(t, label)) * time.Second
	}
	one := rapid.Custom(func(t *rapid.T) injectedFault {
		return injectedFault{
			Kind: rapid.IntRange(0, 6).Draw(t, "kind"), Instance: rapid.IntRange(0, 4).Draw(t, "instance"),
			Duration: seconds(1, 25, "for"), Pause: seconds(0, 12, "then"),
		}
	})
	return faultPlan{
		Seed: rapid.Uint64().Draw(t, "seed"), Instances: rapid.IntRange(1, 5).Draw(t, "instances"),
		Loss:   float64(rapid.SampledFrom([]int{0, 5, 20}).Draw(t, "loss")) / 100,
		Faults: rapid.SliceOfN(one, 0, 8).Draw(t, "strikes"),
	}
}

// runFaultPlan runs p, ends all faults, and returns the first violated invariant,
// or "". At the end all instances must have the newest tables, and all shares of
// target feedlog-0 must be usable again.
func runFaultPlan(p faultPlan) string {
	c := newChaos(p.Seed, p.Instances, p.Loss, p.Overrides)
	defer c.stop()
	violation := c.run(3 * time.Second)
	for _, f := range p.Faults {
		if violation != "" {
			return violation
		}
		c.injectFault(f.Kind, f.Instance, f.Duration)
		violation = c.run(f.Pause)
	}
	c.store.setDown(false)
	c.net.mu.Lock()
	c.net.loss = 0
	c.net.mu.Unlock()
	if violation == "" {
		violation = c.run(45 * time.Second)
	}
	if violation == "" && !c.allInForce(c.version) {
		violation = fmt.Sprintf("version %d of the tables is not in force at all instances after the faults", c.version)
	}
	if violation != "" {
		return violation
	}
	for _, l := range c.loads {
		l.mu.Lock()
		l.want = 0
		l.stopped = true
		l.mu.Unlock()
	}
	time.Sleep(10 * time.Second)
	if got := c.usableShares("feedlog-0"); got != 4 {
		return fmt.Sprintf("%d of 4 shares are usable after the faults", got)
	}
	return ""
}

// TestInvariantsHoldUnderFaultsAndLoad checks with random fault plans that requests
// in flight never exceed a limit, that no instance returns to an older version of
// the tables, and that the zone recovers.
func TestInvariantsHoldUnderFaultsAndLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		violation := ""
		virtualtime.Test(t, func(*testing.T) { violation = runFaultPlan(p) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// TestLendingWithoutSubtractingIsDetected checks that runFaultPlan detects a broken
// rule: lenders that keep using the shares that they have lent.
func TestLendingWithoutSubtractingIsDetected(t *testing.T) {
	for seed := range uint64(5) {
		violation := ""
		virtualtime.Test(t, func(*testing.T) {
			violation = runFaultPlan(faultPlan{Seed: seed, Instances: 3, Overrides: allowance.SafetyOverrides{KeepLentShares: true}})
		})
		if violation != "" {
			t.Logf("detected: %s", violation)
			return
		}
	}
	t.Fatal("no violation detected although lenders keep using lent shares")
}
