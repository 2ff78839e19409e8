package bench

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// The goals for the measured values.
const (
	minFairness      = 0.95
	minUtilisation   = 0.95
	maxAmplification = 1.1
	maxPoisonLosses  = 2
	maxDrain         = 2 * time.Second
	maxRecovery      = 3 * time.Second
)

// steerWithBorrowing is the policy under test.
var steerWithBorrowing = steerPolicy{borrow: true}

// goalRun is the virtual duration of most simulation runs in which a goal is measured.
const goalRun = 5 * time.Second

// checkGoal fails the test unless ok. With -v it also prints got and the value that
// the baseline reaches as a row of a Markdown table.
func checkGoal[F any](t *testing.T, name string, ok bool, got F, baseline func() F) {
	if testing.Verbose() {
		fmt.Printf("| feedlog | %s | %s | %s |\n", name, formatValue(got), formatValue(baseline()))
	}
	if !ok {
		t.Errorf("%s = %v, which does not meet its goal", name, got)
	}
}

func formatValue(v any) string {
	if f, ok := v.(float64); ok {
		return fmt.Sprintf("%.3f", f)
	}
	return fmt.Sprint(v)
}

func TestTargetFairness(t *testing.T) {
	t.Parallel()
	// If all members send equally many requests, they are compared by the number of
	// completed requests. If the first member sends a burst, the others are compared by the
	// completed fraction of their requests.
	measure := func(p policy, members ...float64) float64 {
		sim := newSimulation(feedlog, p, 42)
		sim.memberShares = members
		sim.run(goalRun, constantLoad(1.5))
		burst := members[0] > members[1]
		low, high := math.Inf(1), 0.0
		for i := range members {
			if burst && i == 0 {
				continue
			}
			completed := float64(sim.measured.completedByMember[i])
			if burst {
				completed /= float64(sim.measured.sentByMember[i])
			}
			low, high = min(low, completed), max(high, completed)
		}
		return low / high
	}
	equal := []float64{0.2, 0.2, 0.2, 0.2, 0.2}
	got := measure(steerWithBorrowing, equal...)
	checkGoal(t, "150%, five equal members: smallest / largest admitted", got >= minFairness, got, func() float64 { return measure(roundRobin{}, equal...) })
	burst := []float64{0.6, 0.1, 0.1, 0.1, 0.1}
	got = measure(steerWithBorrowing, burst...)
	checkGoal(t, "150%, one member sends 60%: smallest / largest of the others' admitted parts", got >= minFairness, got, func() float64 { return measure(roundRobin{}, burst...) })
}

func TestTargetBurstOfOneMemberDoesNotAffectOthers(t *testing.T) {
	t.Parallel()
	completedFraction := func(p policy) float64 {
		sim := newSimulation(feedlog, p, 42)
		sim.memberShares = []float64{0.6, 0.1, 0.1, 0.1, 0.1}
		sim.run(goalRun, constantLoad(1.5))
		others := 0
		for i := 1; i < 5; i++ {
			others += sim.measured.completedByMember[i]
		}
		return float64(others) / (0.4 * float64(sim.measured.firstAttempts))
	}
	got := completedFraction(steerWithBorrowing)
	checkGoal(t, "the same: part of the others' requests that completed", got >= 0.95, got, func() float64 { return completedFraction(roundRobin{}) })
}

func TestTargetUtilisationUnderSkewedDemand(t *testing.T) {
	t.Parallel()
	measure := func(p policy) float64 {
		sim := newSimulation(feedlog, p, 42)
		sim.singleEntry = true
		busy, samples := 0, 0
		sim.every(10*time.Millisecond, func() {
			if sim.now >= warmUp {
				for _, n := range sim.measured.inFlightByRegion {
					busy += n
				}
				samples++
			}
		})
		sim.run(goalRun, constantLoad(1.3))
		return float64(busy) / float64(samples*feedlog.targets*feedlog.slots)
	}
	got := measure(steerWithBorrowing)
	checkGoal(t, "130%, one entry instance a region: limits used from 2 s on", got >= minUtilisation, got, func() float64 { return measure(steerPolicy{}) })
}

func TestTargetAmplification(t *testing.T) {
	t.Parallel()
	measure := func(p policy) float64 {
		sim := newSimulation(feedlog, p, 42)
		sim.after(3*time.Second, func() { sim.setRegionDown(sim.svc.regions[0], true) })
		sim.run(goalRun, constantLoad(0.6))
		return float64(sim.measured.attempts) / float64(sim.measured.firstAttempts)
	}
	got := measure(steerWithBorrowing)
	checkGoal(t, "60%, region lost: attempts / first attempts", got <= maxAmplification, got, func() float64 { return measure(retryAlways{maxAttempts: 4}) })
}

func TestTargetPoison(t *testing.T) {
	t.Parallel()
	measure := func(p policy) int {
		sim := newSimulation(feedlog, p, 42)
		sim.after(2*time.Second, func() { sim.sendWithFingerprint(99) })
		sim.run(goalRun, constantLoad(0.3))
		return sim.measured.poisonedTargets
	}
	got := measure(steerWithBorrowing)
	checkGoal(t, "targets lost to one poison request, sent again every 300 ms", got <= maxPoisonLosses, got, func() int { return measure(roundRobin{}) })
}

func TestTargetDrain(t *testing.T) {
	t.Parallel()
	// The baselines ignore the leaving state and send requests until the run ends.
	never := func() time.Duration { return goalRun }
	const leavingAt = 3100 * time.Millisecond
	sim := newSimulation(feedlog, steerWithBorrowing, 42)
	leavingTarget := sim.targets[sim.targetNames[0]]
	sim.after(leavingAt, func() { leavingTarget.leaving = true })
	sim.run(goalRun, constantLoad(0.9))
	got := leavingTarget.lastSent - leavingAt
	checkGoal(t, "90%, target leaves: first sign to its last new request", got <= maxDrain, got, never)
	checkGoal(t, "the same: first sign to empty", leavingTarget.drainedAt > 0, leavingTarget.drainedAt-leavingAt, never)
}

func TestTargetRecovery(t *testing.T) {
	t.Parallel()
	const overloadStart, overloadEnd = 3 * time.Second, 6 * time.Second
	measure := func(p policy) time.Duration {
		sim := newSimulation(feedlog, p, 42)
		sim.run(14*time.Second, func(now time.Duration) float64 {
			if now >= overloadStart && now < overloadEnd {
				return 2
			}
			return 0.7
		})
		for s := int(overloadEnd / time.Second); s < 13; s++ {
			if float64(sim.measured.completedBySecond[s]) >= 0.97*float64(sim.measured.arrivalsBySecond[s]) && float64(sim.measured.completedBySecond[s]) <= 1.03*float64(sim.measured.arrivalsBySecond[s]) {
				return time.Duration(s)*time.Second - overloadEnd
			}
		}
		return 7 * time.Second
	}
	got := measure(steerWithBorrowing)
	checkGoal(t, "200% for 3 s, then 70%: time until all is served again", got <= maxRecovery, got, func() time.Duration { return measure(roundRobin{}) })
}
