package steer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// TestTargetGetsItsRateLimitFromAllInstancesTogether guards against instances that each
// keep the limit of a target for themselves, or not at all.
func TestTargetGetsItsRateLimitFromAllInstancesTogether(t *testing.T) {
	for _, instances := range fleetSizes {
		for _, limit := range []float64{0.3, 2, 3.9, 20} {
			t.Run(fmt.Sprintf("%d instances, %v per second", instances, limit), func(t *testing.T) {
				const target = "osrednja-1"
				r := newLimitReplay(instances, 4, limitFrom(target, time.Second, limit))
				r.run(0, 16*time.Second, 500)
				r.checkLimit(t, target)
			})
		}
	}
}

// limitedName is a target that announces limits in the tests.
const limitedName = "osrednja-1"

// fleetSizes are the numbers of instances at which limits are replayed.
var fleetSizes = []int{11, 84, 300}

// TestLimitHoldsForInstancesThatWereNotToldThemselves counts the requests of all
// instances, also of those to which the target has not announced its limit itself.
func TestLimitHoldsForInstancesThatWereNotToldThemselves(t *testing.T) {
	for _, instances := range fleetSizes {
		r := newLimitReplay(instances, 4, limitFrom(limitedName, time.Second, 2))
		r.loss = 0.2
		r.run(0, 20*time.Second, 500)
		r.checkArrivals(t, limitedName, func(limitedArrival) bool { return true })
	}
}

// TestLimitIsUsed guards against shares that are split so finely that most of them lapse.
// Each instance has about one request in two seconds for the target.
func TestLimitIsUsed(t *testing.T) {
	for _, instances := range fleetSizes {
		for _, limit := range []float64{0.3, 2, 10} {
			r := newLimitReplay(instances, 4, limitFrom(limitedName, time.Second, limit))
			r.run(0, 30*time.Second, max(200, 6*float64(instances)))
			got := r.arrivalRate(limitedName, 8*time.Second, 30*time.Second)
			t.Logf("%d instances: the target gets %.2f requests a second at a limit of %v", instances, got, limit)
			if got < limit/2 || got > limitExcess*limit {
				t.Errorf("want at least half of the limit and at most %v times it", limitExcess)
			}
		}
	}
}

// TestLimitThatRisesAndFalls covers a target whose limit changes while it is in force.
func TestLimitThatRisesAndFalls(t *testing.T) {
	for _, instances := range fleetSizes {
		for _, loss := range []float64{0, 0.3, 1} {
			limits := func(target string, now time.Duration) float64 {
				steps := []float64{-1, 2, 12, 6, 3, 9, 0.5}
				if target != limitedName {
					return -1
				}
				return steps[min(int(now/(8*time.Second)), len(steps)-1)]
			}
			r := newLimitReplay(instances, 4, limits)
			r.loss = loss
			r.run(0, 60*time.Second, 300)
			r.checkLimit(t, limitedName)
		}
	}
}

// TestEndOfALimitIsNoticed has a limit end. Instances that send nothing under it learn
// the end from the others, or, when all messages are lost, by requests of their own.
func TestEndOfALimitIsNoticed(t *testing.T) {
	for _, c := range []struct {
		instances int
		loss      float64
		within    time.Duration
	}{{11, 0, 8 * time.Second}, {84, 0.3, 10 * time.Second}, {300, 0.3, 12 * time.Second}, {11, 1, 45 * time.Second}} {
		const end = 12 * time.Second
		limits := func(target string, now time.Duration) float64 {
			if target == limitedName && now >= 4*time.Second && now < end {
				return 2
			}
			return -1
		}
		r := newLimitReplay(c.instances, 4, limits)
		r.loss = c.loss
		r.run(0, end+c.within+4*time.Second, 300)
		r.checkLimit(t, limitedName)
		before, after := r.arrivalRate(limitedName, 0, 4*time.Second), r.arrivalRate(limitedName, end+c.within, end+c.within+4*time.Second)
		if after < 0.7*before {
			t.Errorf("%d instances, %.0f%% loss: %.1f requests a second %v after the end, %.1f before the limit", c.instances, 100*c.loss, after, c.within, before)
		}
	}
}

// TestLimitHoldsWhileInstancesRestart has instances forget what they knew. One that does
// not know the others yet must not use their shares.
func TestLimitHoldsWhileInstancesRestart(t *testing.T) {
	const joinAfter = 700 * time.Millisecond
	for _, instances := range fleetSizes {
		r := newLimitReplay(instances, 4, limitFrom(limitedName, 0, 2))
		for now := 4 * time.Second; now < 24*time.Second; now += time.Second {
			r.run(now, now+time.Second-joinAfter, 500)
			restarted := r.rnd.Perm(instances)[:instances/8]
			for _, i := range restarted {
				r.restart(i)
			}
			r.run(now+time.Second-joinAfter, now+time.Second, 500)
			for _, i := range restarted {
				r.cores[i].SetInstances(at(now+time.Second), r.members(), true)
			}
		}
		r.checkLimit(t, limitedName)
	}
}

// TestCallersAreRefusedAtOnceWhenAllTargetsLimitTheirRequests checks what callers get
// that no target can take: a refusal with a time to come back, while the targets get what
// they accept.
func TestCallersAreRefusedAtOnceWhenAllTargetsLimitTheirRequests(t *testing.T) {
	for _, instances := range fleetSizes {
		const limit = 2.0
		r := newLimitReplay(instances, 4, func(_ string, now time.Duration) float64 {
			if now >= time.Second {
				return limit
			}
			return -1
		})
		r.run(0, 20*time.Second, 300)
		total := 0.0
		for _, p := range r.tables.Pools {
			for _, tg := range p.Targets {
				r.checkLimit(t, tg.Name)
				total += r.arrivalRate(tg.Name, 8*time.Second, 20*time.Second)
			}
		}
		if want := limit * 12; total < 0.5*want || total > limitExcess*want {
			t.Errorf("%d instances: all targets together get %.1f requests a second, they accept %.1f", instances, total, want)
		}
		for _, after := range r.refusedAfter {
			if after <= 0 || after > 10*time.Second {
				t.Fatalf("%d instances: a refused caller is told to come back after %v", instances, after)
			}
		}
	}
}

// TestReplayNoticesInstancesThatKeepTheLimitForThemselves shows that checkLimit fails for
// the fault that it guards against.
func TestReplayNoticesInstancesThatKeepTheLimitForThemselves(t *testing.T) {
	r := newLimitReplay(11, 4, limitFrom(limitedName, time.Second, 2))
	for i, c := range r.cores {
		c.SetInstances(epoch, membersOf(r.ids[i]), true)
	}
	r.run(0, 16*time.Second, 500)
	if got := r.arrivalRate(limitedName, 6*time.Second, 16*time.Second); got < limitExcess*2 {
		t.Errorf("%.1f requests a second at a limit of 2", got)
	}
}

// TestLimitHoldsWhenTheTargetReturnsToTheTables has the registration of a limited target
// expire for a few seconds.
func TestLimitHoldsWhenTheTargetReturnsToTheTables(t *testing.T) {
	for _, instances := range fleetSizes {
		r := newLimitReplay(instances, 4, limitFrom(limitedName, time.Second, 2))
		r.run(0, 6*time.Second, 500)
		without, again := *r.tables, *r.tables
		without.Version, again.Version = 2, 3
		without.Pools = slices.Clone(r.tables.Pools)
		without.Pools[0].Targets = slices.DeleteFunc(slices.Clone(without.Pools[0].Targets), func(tg table.Target) bool { return tg.Name == limitedName })
		for _, c := range r.cores {
			c.SetTables(at(6*time.Second), &without)
		}
		r.run(6*time.Second, 9*time.Second, 500)
		for _, c := range r.cores {
			c.SetTables(at(9*time.Second), &again)
		}
		r.run(9*time.Second, 16*time.Second, 500)
		r.checkLimit(t, limitedName)
	}
}

// TestRegionsShareALimitByTheirDemand covers regions of equal size, one with fewer targets,
// and one without any, whose callers are spread over the targets of the others.
func TestRegionsShareALimitByTheirDemand(t *testing.T) {
	tb := fleet{perRegion: []int{9, 3, 0}, slots: 4}.tables()
	c := directCore(tb, "a", "osrednja")
	snap := c.snapshot.Load()
	pools := snap.poolsOf("feedlog")
	demand, other := regionDemand(pools, pools[0], c.locationWeights())
	if demand["osrednja"] < 0.9 || demand["stajerska"] < 0.3 || demand["stajerska"] > 0.7 || other != 0.75 {
		t.Errorf("demand %v, other %v; want nearly all of osrednja, about half of stajerska, 0.75 of a region without targets", demand, other)
	}
}
