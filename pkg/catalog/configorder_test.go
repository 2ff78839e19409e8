package catalog

import (
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// TestOlderConfigWrittenAgainAfterARestoreIsNotInForce guards against dropped routes and
// withdrawn keys that are back while the operators write their configurations again after a
// restore of the store: each of them is a new row of the present generation.
func TestOlderConfigWrittenAgainAfterARestoreIsNotInForce(t *testing.T) {
	c := New()
	c.Replace(at(0), Operators, []Entry{withKeys(VersionOf(before, 3), 3, "a")}, VersionOf(before, 3))
	for i, number := range []uint64{5, 7, 8} {
		version := VersionOf(before, uint64(4+i))
		c.Merge(at(0), Operators, []Entry{withKeys(version, number, "b")}, version)
	}
	c.Assemble()
	c.Replace(at(time.Second), Operators, []Entry{withKeys(VersionOf(after, 3), 3, "a")}, VersionOf(after, 3))
	for i, number := range []uint64{5, 7, 8} {
		version := VersionOf(after, uint64(4+i))
		c.Merge(at(time.Duration(i+2)*time.Second), Operators, []Entry{withKeys(version, number, "a")}, version)
		if got := c.ConfigVersion(); got != 8 {
			t.Errorf("configuration %d is in force after %d was written again, want 8", got, number)
		}
		if keys := keysOf(c); number < 8 && len(keys) > 0 && keys[0] == table.DigestKey("a") {
			t.Errorf("the withdrawn key is back after configuration %d was written again", number)
		}
	}
	if got := c.EntriesAfter(at(time.Minute), Position{}); len(got) != 1 || got[0].Version != VersionOf(after, 6) {
		t.Errorf("entries %+v, want the configuration under the version of its last row", got)
	}
}

// TestConfigOfAHigherNumberCountsUnderAnyVersion has an instance that has started from the copy
// and read one of the configurations written again learn what another one has kept, which has
// not read that row yet.
func TestConfigOfAHigherNumberCountsUnderAnyVersion(t *testing.T) {
	kept, started := New(), New()
	kept.Replace(at(0), Operators, []Entry{config(VersionOf(before, 8), 8)}, VersionOf(before, 8))
	for _, c := range []*Catalog{kept, started} {
		c.Replace(at(time.Second), Operators, []Entry{config(VersionOf(after, 3), 3)}, VersionOf(after, 3))
	}
	started.Merge(at(time.Second), Operators, []Entry{config(VersionOf(after, 4), 5)}, VersionOf(after, 4))
	started.MergeAll(at(time.Second), kept.EntriesAfter(at(time.Second), Position{}), LiveKeys{}, kept.Position())
	if got := started.ConfigVersion(); got != 8 {
		t.Errorf("configuration %d is in force, want 8", got)
	}
	if got, want := started.EntriesAfter(at(time.Second), Position{})[0].Version, VersionOf(after, 4); got != want {
		t.Errorf("its version is %d, want that of the latest row, %d", got, want)
	}
}

// TestPatchToAHigherNumberIsNotPassedOver is the same for a configuration that comes as a patch
// to one that the receiver does not have.
func TestPatchToAHigherNumberIsNotPassedOver(t *testing.T) {
	writer, learner := New(), New()
	writer.Merge(at(0), Operators, []Entry{routesConfig(3, 3, "a", "b", "c", "d", "e")}, 3)
	base := writer.Position()
	writer.Merge(at(0), Operators, []Entry{routesConfig(5, 8, "a", "b", "c", "d", "x")}, 5)
	patched, ok := writer.Patched(writer.EntriesAfter(at(0), base), base)
	if !ok {
		t.Fatal("no patch")
	}
	learner.Merge(at(0), Operators, []Entry{routesConfig(6, 5, "a")}, 6)
	if learner.CanApply(patched) {
		t.Error("the patch counts as older than the configuration 5, which has a later version")
	}
}

// TestConfigIsNotRemovedByASnapshotThatLacksIt covers a copy of the store from before the first
// configuration, of which two snapshots are read.
func TestConfigIsNotRemovedByASnapshotThatLacksIt(t *testing.T) {
	c := knowing(config(VersionOf(before, 8), 8))
	for i := range uint64(2) {
		c.Replace(at(time.Second), Operators, nil, VersionOf(after, 3+i))
	}
	if got := c.ConfigVersion(); got != 8 {
		t.Errorf("configuration %d is in force, want 8", got)
	}
}
