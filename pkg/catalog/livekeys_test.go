package catalog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tell has the receiver merge what the sender tells it.
func tell(now time.Time, sender, receiver *Catalog) {
	p := receiver.Position()
	receiver.MergeAll(now, sender.EntriesAfter(now, p), sender.LiveKeysFor(p), sender.Position())
}

// TestRemovalThatTheSenderNeverSawIsLearntFromIt guards against a removed target that stays in
// use, or an evacuation that does not end, at an instance that is told by one that has just
// started: the snapshot of that one holds no removals.
func TestRemovalThatTheSenderNeverSawIsLearntFromIt(t *testing.T) {
	before, started := withTargets(2), New()
	before.Merge(at(0), Operators, []Entry{evacuation(0, 4)}, 4)
	started.Replace(at(0), Operators, []Entry{config(1, 1)}, 6)
	started.Replace(at(0), Targets, []Entry{target("t2", 3), target("t3", 5)}, 6)
	tell(at(time.Second), started, before)
	if got := activeTargets(before.Assemble()); !slices.Equal(got, []string{"t2", "t3"}) {
		t.Errorf("targets %v are in use, want t2 and t3 in a zone that is not evacuated", got)
	}
	// What it has learnt so is not all that was removed: a third one must learn it too.
	third := withTargets(2)
	third.Merge(at(0), Targets, []Entry{target("t4", 4)}, 4)
	tell(at(2*time.Second), before, third)
	if got := activeTargets(third.Assemble()); !slices.Equal(got, []string{"t2", "t3"}) {
		t.Errorf("targets %v are in use at a third instance, want t2 and t3", got)
	}
}

// TestEvacuationKeptAfterARestoreIsNotEndedByAnInstanceThatKnowsOnlyTheCopy: the operators
// write it again.
func TestEvacuationKeptAfterARestoreIsNotEndedByAnInstanceThatKnowsOnlyTheCopy(t *testing.T) {
	kept, started := knowing(evacuation(before, 9)), New()
	restore(kept, at(time.Second), Operators, config(VersionOf(after, 1), 1))
	started.Replace(at(time.Second), Operators, []Entry{config(VersionOf(after, 1), 1)}, VersionOf(after, 7))
	tell(at(2*time.Second), started, kept)
	if !isEvacuated(kept, at(2*time.Second)) {
		t.Error("the evacuation has ended before it could be written again")
	}
	if isEvacuated(kept, at(time.Second+restoreGrace)) {
		t.Error("an evacuation that was not written again lasts for good")
	}
}

// TestKeysAreListedOnlyForReceiversThatMayLackRemovals: the keys of all targets cost bytes.
func TestKeysAreListedOnlyForReceiversThatMayLackRemovals(t *testing.T) {
	c := New()
	c.Replace(at(0), Targets, []Entry{target("t1", 2)}, 10)
	c.Merge(at(0), Targets, []Entry{removal("t1", 11)}, 11)
	if keys := c.LiveKeysFor(Position{Targets: 10}); !keys.IsZero() {
		t.Errorf("keys %v for a receiver that has what the snapshot held", keys)
	}
	if keys := c.LiveKeysFor(Position{Targets: 9}); keys[Targets] == nil || len(keys[Targets].Keys) != 0 || keys[Operators] != nil {
		t.Errorf("keys %v, want an empty list of targets", keys)
	}
}

// TestCatalogsThatTellEachOtherAgreeWithTheStore starts instances anew at any moment, of
// which each reads snapshots, changes of the store, or what another one tells it.
func TestCatalogsThatTellEachOtherAgreeWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances, keys = 3, 4
		store, version := map[string]Entry{}, uint64(0)
		var history []Entry
		snapshot := func() (out []Entry) {
			for _, e := range store {
				if !e.Removed {
					out = append(out, e)
				}
			}
			return out
		}
		var catalogs [instances]*Catalog
		start := func(i int) {
			catalogs[i] = New()
			catalogs[i].Replace(at(0), Targets, snapshot(), version)
		}
		read := func(i int) {
			c := catalogs[i]
			c.Merge(at(0), Targets, history[c.Position()[Targets]:], version)
		}
		for i := range catalogs {
			start(i)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				version++
				e := target(fmt.Sprintf("t%d", rapid.IntRange(1, keys).Draw(t, "key")), version)
				e.Target.Sequence = int64(version)
				if rapid.Bool().Draw(t, "removed") {
					e = removal(e.Key, version)
				}
				store[e.Key] = e
				history = append(history, e)
			case 1:
				start(i)
			case 2:
				read(i)
			case 3:
				catalogs[i].Replace(at(0), Targets, snapshot(), version)
			case 4:
				tell(at(0), catalogs[i], catalogs[(i+1)%instances])
			}
			checkAgreement(t, catalogs[:], history)
		}
	})
}

// checkAgreement checks that each catalog holds what the history says up to its position.
func checkAgreement(t *rapid.T, catalogs []*Catalog, history []Entry) {
	for i, c := range catalogs {
		known := map[string]bool{}
		for _, e := range history[:c.Position()[Targets]] {
			known[e.Key] = !e.Removed
		}
		for key, stored := range c.entries[Targets] {
			if stored.Target != nil && !known[key] {
				t.Fatalf("catalog %d is complete up to %d and holds %s, which was removed before", i, c.Position()[Targets], key)
			}
			delete(known, key)
		}
		for key, live := range known {
			if live {
				t.Fatalf("catalog %d is complete up to %d and lacks %s", i, c.Position()[Targets], key)
			}
		}
	}
}
