package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 20261204, 300) }

func TestVersionInForceNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var v VersionState
		var highest uint64
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			announced := uint64(rapid.IntRange(0, 9).Draw(t, "version"))
			if !v.ShouldFetch(announced) {
				if announced > highest {
					t.Fatalf("ShouldFetch(%d) = false above version %d", announced, highest)
				}
				continue
			}
			if rapid.Bool().Draw(t, "readable") {
				v.Accept(announced)
				highest = max(highest, announced)
			} else {
				v.Reject(announced)
			}
			if v.InForce() != highest {
				t.Fatalf("version in force = %d, want %d", v.InForce(), highest)
			}
			if r := v.Rejected(); r != 0 && r <= v.InForce() {
				t.Fatalf("Rejected() = %d, not above the version in force %d", r, v.InForce())
			}
		}
	})
}

func TestRemovalKeepsOrderOfRemainingIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "n")
		ids := make([]string, n)
		for i := range ids {
			ids[i] = fmt.Sprintf("instance-%d", i)
		}
		removed := ids[rapid.IntRange(0, n-1).Draw(t, "gone")]
		before := Rank("zone", ids)
		without := func(list []string) []string {
			return slices.DeleteFunc(slices.Clone(list), func(id string) bool { return id == removed })
		}
		if after := Rank("zone", without(ids)); !slices.Equal(after, without(before)) {
			t.Fatalf("rank changed from %v to %v", before, after)
		}
	})
}

func TestStoreReadsStayWithinBudget(t *testing.T) {
	const instances, zones, budget = 6000, 79, 2000
	timing := DefaultTiming()
	meanInterval := func(s ReadConditions) float64 {
		sum := time.Duration(0)
		for i := range 100 {
			sum += timing.NextInterval(s, float64(i)/100)
		}
		return sum.Seconds() / 100
	}
	watchers := float64(zones * WatchersPerCell)
	reads := watchers/meanInterval(ReadConditions{IsWatcher: true, HasTables: true}) +
		(instances-watchers)/meanInterval(ReadConditions{HasTables: true})
	if reads > budget/2 {
		t.Errorf("%.0f reads per second, more than half of the budget of %d", reads, budget)
	}
	fallbackReads := instances / meanInterval(ReadConditions{HasTables: true, SinceConfirmed: time.Minute})
	if fallbackReads > budget {
		t.Errorf("%.0f reads per second without watchers, budget %d", fallbackReads, budget)
	}
}

func TestFasterLinksRankFirst(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f"}
	mbps := map[string]int{"b": 200, "e": 1000, "c": 10, "d": 12, "f": -3}
	ranked := RankByLink("r", ids, mbps)
	if ranked[0] != "e" || ranked[1] != "b" {
		t.Errorf("ranked %v, want the links of 1,000 and 200 Mbit/s first", ranked)
	}
	if c, d := Position(ranked, "c"), Position(ranked, "d"); max(c, d) != 3 || (c < d) != (Position(Rank("r", ids), "c") < Position(Rank("r", ids), "d")) {
		t.Errorf("ranked %v, want links of 10 and 12 Mbit/s next, in the order of Rank", ranked)
	}
	if got, want := RankByLink("r", ids, nil), Rank("r", ids); !slices.Equal(got, want) {
		t.Errorf("without speeds: %v, want %v", got, want)
	}
}
