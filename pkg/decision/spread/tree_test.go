package spread

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// cellOf returns the ranked ids of a cell of n instances.
func cellOf(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("instance-%03d", i)
	}
	return Rank("cell", ids)
}

// relayed returns the tree of a cell in which all live that lived lately.
func relayed(ranked []string) Tree { return NewRelayTree(ranked, len(ranked)) }

// reached returns how often each instance is told when the first one of the
// cell tells and the relays pass on.
func reached(t Tree) map[string]int {
	times := map[string]int{}
	for _, id := range t.Recipients(t.ranked[0]) {
		times[id]++
		if t.IsRelay(id) {
			for _, below := range t.Recipients(id) {
				times[below]++
			}
		}
	}
	return times
}

func TestEveryoneIsToldOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := relayed(cellOf(rapid.IntRange(1, 400).Draw(t, "n")))
		times := reached(tree)
		for _, id := range tree.ranked {
			if times[id] != 1 {
				t.Fatalf("%s is told %d times", id, times[id])
			}
		}
	})
}

func TestSmallCellsHaveNoRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranked := cellOf(rapid.IntRange(0, relayedFrom).Draw(t, "n"))
		if tree := relayed(ranked); tree.HasRelays() || !slices.Equal(tree.Watchers(), ranked[:min(WatchersPerCell, len(ranked))]) {
			t.Fatalf("%d instances have relays", len(ranked))
		}
	})
}

func TestACellThatWasLargeKeepsItsRelays(t *testing.T) {
	for n := WatchersPerCell + 1; n <= relayedFrom; n++ {
		if tree := NewRelayTree(cellOf(n), relayedFrom+1); !tree.HasRelays() {
			t.Errorf("%d live instances have no relays", n)
		}
	}
}

func TestNobodyIsReportedToByMany(t *testing.T) {
	const (
		letterCell = 300
		// most is the number of instances whose heartbeats fit 5,000 bytes a
		// second, next to the own ones.
		most = 28
	)
	for _, n := range []int{relayedFrom + 1, 50, 76, 100, 200, letterCell} {
		tree := relayed(cellOf(n))
		if at := len(tree.relays) + WatchersPerCell - 1; at > most {
			t.Errorf("%d instances: %d report to a watcher", n, at)
		}
		for _, r := range tree.relays {
			if at := len(tree.Recipients(r)); at > most {
				t.Errorf("%d instances: %d report to relay %s", n, at, r)
			}
		}
	}
}

// TestFewReportElsewhereWhenOneGoes holds that the loss of an instance moves
// about one relay's part of a cell, not all of it.
func TestFewReportElsewhereWhenOneGoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(relayedFrom+2, 300).Draw(t, "n")
		ranked := cellOf(n)
		before := relayed(ranked)
		gone := ranked[rapid.IntRange(0, n-1).Draw(t, "gone")]
		after := relayed(slices.DeleteFunc(slices.Clone(ranked), func(id string) bool { return id == gone }))
		moved := 0
		for _, id := range after.ranked {
			if before.UsesRelay(id) && after.UsesRelay(id) && before.RelaysOf(id)[0] != after.RelaysOf(id)[0] {
				moved++
			}
		}
		// One relay may leave and one come, each with its part.
		if bound := 2 * 28; moved > bound {
			t.Fatalf("%d of %d report elsewhere", moved, n)
		}
	})
}
