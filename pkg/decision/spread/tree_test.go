package spread

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// rankedCell returns the ids of a cell of n instances in the order of Rank.
func rankedCell(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("instance-%03d", i)
	}
	return Rank("cell", ids)
}

// allLiveTree returns the tree of a cell that has not lost any instances recently.
func allLiveTree(ranked []string) Tree { return NewRelayTree(ranked, len(ranked)) }

// countDeliveries returns how many times each instance receives an announcement
// that the first instance of the cell sends and the relays forward.
func countDeliveries(t Tree) map[string]int {
	deliveries := map[string]int{}
	for _, id := range t.Recipients(t.ranked[0]) {
		deliveries[id]++
		if t.IsRelay(id) {
			for _, member := range t.Recipients(id) {
				deliveries[member]++
			}
		}
	}
	return deliveries
}

func TestEveryMemberReceivesEachAnnouncementOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := allLiveTree(rankedCell(rapid.IntRange(1, 400).Draw(t, "n")))
		deliveries := countDeliveries(tree)
		for _, id := range tree.ranked {
			if deliveries[id] != 1 {
				t.Fatalf("%s receives the announcement %d times", id, deliveries[id])
			}
		}
	})
}

// TestFailingRelaysAreBypassed checks that with failing instances, an announcement
// of the first instance still reaches each of the others once.
func TestFailingRelaysAreBypassed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := allLiveTree(rankedCell(rapid.IntRange(1, 400).Draw(t, "n")))
		failing := rapid.SliceOfDistinct(rapid.SampledFrom(tree.ranked), rapid.ID).Draw(t, "failing")
		isFailing := func(id string) bool { return slices.Contains(failing, id) }
		deliveries := map[string]int{}
		for _, id := range tree.Bypassing(tree.Recipients(tree.ranked[0]), isFailing) {
			deliveries[id]++
			if tree.IsRelay(id) {
				for _, member := range tree.Bypassing(tree.Recipients(id), isFailing) {
					deliveries[member]++
				}
			}
		}
		for _, id := range tree.ranked {
			if want := !isFailing(id); (deliveries[id] == 1) != want || deliveries[id] > 1 {
				t.Fatalf("%s, failing: %v, receives the announcement %d times", id, !want, deliveries[id])
			}
		}
	})
}

func TestSmallCellsHaveNoRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranked := rankedCell(rapid.IntRange(0, maxFlatCell).Draw(t, "n"))
		if tree := allLiveTree(ranked); tree.HasRelays() || !slices.Equal(tree.Watchers(), ranked[:min(WatchersPerCell, len(ranked))]) {
			t.Fatalf("%d instances have relays", len(ranked))
		}
	})
}

func TestShrunkenCellKeepsItsRelays(t *testing.T) {
	for n := WatchersPerCell + 1; n <= maxFlatCell; n++ {
		if tree := NewRelayTree(rankedCell(n), maxFlatCell+1); !tree.HasRelays() {
			t.Errorf("%d live instances have no relays", n)
		}
	}
}

func TestReportersPerInstanceAreBounded(t *testing.T) {
	const (
		largestCell = 300
		// maxReporters is the number of instances whose heartbeats fit into 5,000
		// bytes per second together with the receiver's own.
		maxReporters = 28
	)
	for _, n := range []int{maxFlatCell + 1, 50, 76, 100, 200, largestCell} {
		tree := allLiveTree(rankedCell(n))
		if reporters := len(tree.relays) + WatchersPerCell - 1; reporters > maxReporters {
			t.Errorf("%d instances: %d report to a watcher", n, reporters)
		}
		for _, r := range tree.relays {
			if reporters := len(tree.Recipients(r)); reporters > maxReporters {
				t.Errorf("%d instances: %d report to relay %s", n, reporters, r)
			}
		}
	}
}

// TestRemovalMovesFewMembersToOtherRelays checks that the loss of an instance
// reassigns about one relay's members, not those of the whole cell.
func TestRemovalMovesFewMembersToOtherRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(maxFlatCell+2, 300).Draw(t, "n")
		ranked := rankedCell(n)
		before := allLiveTree(ranked)
		removed := ranked[rapid.IntRange(0, n-1).Draw(t, "gone")]
		after := allLiveTree(slices.DeleteFunc(slices.Clone(ranked), func(id string) bool { return id == removed }))
		moved := 0
		for _, id := range after.ranked {
			if before.UsesRelay(id) && after.UsesRelay(id) && before.RelaysOf(id)[0] != after.RelaysOf(id)[0] {
				moved++
			}
		}
		// One relay may be removed and one added, each with its members.
		if bound := 2 * 28; moved > bound {
			t.Fatalf("%d of %d instances report to another relay", moved, n)
		}
	})
}
