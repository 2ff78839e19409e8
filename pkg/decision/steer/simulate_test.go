package steer

import (
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// simulate draws a run with faults, and returns the invariants that the run
// violated.
func simulate(rt *rapid.T, mut mutation) []string {
	m := newZoneModel(mut)
	instance := rapid.IntRange(0, 2)
	target := rapid.SampledFrom([]string{"osrednja-t0", "osrednja-t1", "osrednja-t2", "osrednja-t3"})
	results := rapid.SampledFrom([]fault.Kind{
		fault.KindNone, fault.KindNone, fault.KindTargetRefused, fault.KindTargetShed,
		fault.KindTargetLost, fault.KindTargetTimeout,
	})
	steps := rapid.IntRange(20, 120).Draw(rt, "steps")
	for range steps {
		switch rapid.IntRange(0, 15).Draw(rt, "step") {
		case 0, 1, 2, 3, 4, 5:
			m.arrive(instance.Draw(rt, "at"), rapid.Bool().Draw(rt, "idempotent"), time.Duration(rapid.IntRange(1, 800).Draw(rt, "timeout"))*time.Millisecond)
		case 6, 7, 8:
			if n := len(m.inFlight); n > 0 {
				i, k, after := rapid.IntRange(0, n-1).Draw(rt, "flight"), results.Draw(rt, "end"), time.Duration(0)
				if k == fault.KindTargetShed {
					after = time.Duration(rapid.IntRange(0, 3000).Draw(rt, "retry after")) * time.Millisecond
				}
				m.finish(i, k, after)
			}
		case 9:
			m.advance(time.Duration(rapid.IntRange(1, 30).Draw(rt, "ticks")) * tick)
		case 10:
			m.lendShare(instance.Draw(rt, "from"), instance.Draw(rt, "to"), target.Draw(rt, "target"))
		case 11:
			if i := instance.Draw(rt, "renew"); !m.paused[i] {
				m.renew(i)
			}
		case 12:
			i := instance.Draw(rt, "pause")
			m.paused[i] = !m.paused[i]
		case 13:
			m.advance(leaseDuration)
			m.restart(instance.Draw(rt, "replace"))
		case 14:
			m.reportLeaving(target.Draw(rt, "report"), rapid.IntRange(0, 3).Draw(rt, "leaving") == 0)
		case 15:
			m.changeTables(rapid.Bool().Draw(rt, "drop"))
		}
	}
	m.paused = make([]bool, len(m.cores))
	m.advance(time.Second)
	var names []string
	for name := range m.violated {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func TestInvariantsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if violated := simulate(rt, noMutation); len(violated) > 0 {
			rt.Fatalf("violated invariants: %v", violated)
		}
	})
}

func TestEveryMutationViolatesItsInvariant(t *testing.T) {
	for mut, want := range map[mutation]string{
		ignoresLease:       leaseEnd,
		doublesShares:      targetLimit,
		ignoresRegionLimit: regionLimit,
		ignoresLeaving:     noRequestsToLeaving,
		ignoresBackoff:     noRequestsInBackoff,
		retriesAlways:      atMostOnce,
		forgetsInFlight:    targetLimit,
		neverTicks:         decidedInTime,
		returnsLastKind:    notRunIsAccurate,
	} {
		t.Run(string(mut), func(t *testing.T) {
			caught := false
			rapid.Check(t, func(rt *rapid.T) {
				for _, name := range simulate(rt, mut) {
					caught = caught || name == want
				}
			})
			if !caught {
				t.Fatalf("no run violated %q", want)
			}
		})
	}
}
