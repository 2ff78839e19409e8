package catalog

import (
	"slices"
	"testing"
	"time"
)

// TestRemovalBetweenTwoPagesOfASnapshotIsApplied guards against a removed target that stays in
// use: the row of a later page moved the position past a removal in the pages before it.
func TestRemovalBetweenTwoPagesOfASnapshotIsApplied(t *testing.T) {
	c := withTargets(0)
	// The first page is of version 10. Then t1 is removed (11), and t2 of the second page written (12).
	c.Replace(at(0), Targets, []Entry{target("t1", 5), target("t2", 12)}, 10)
	if got := c.Position()[Targets]; got != 10 {
		t.Errorf("the catalog is complete up to %d, want 10: what follows is only known for the second page", got)
	}
	c.Merge(at(time.Second), Targets, []Entry{removal("t1", 11), target("t2", 12)}, 12)
	if got := activeTargets(c.Assemble()); !slices.Equal(got, []string{"t2"}) {
		t.Errorf("targets %v, want t2 alone", got)
	}
}

// TestEntriesDoNotMoveThePositionOfTheirReceiver is the same for entries from another instance,
// which has them from such a snapshot.
func TestEntriesDoNotMoveThePositionOfTheirReceiver(t *testing.T) {
	first, second := withTargets(1), withTargets(1)
	first.Replace(at(0), Targets, []Entry{target("t1", 2), target("t2", 12)}, 10)
	second.MergeAll(at(0), first.EntriesAfter(at(0), second.Position()), LiveKeys{}, first.Position())
	if got := second.Position()[Targets]; got != 10 {
		t.Errorf("the receiver is complete up to %d, want 10 like the sender", got)
	}
}
