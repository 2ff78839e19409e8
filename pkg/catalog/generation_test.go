package catalog

import (
	"testing"
	"time"
)

// The store's versions in these tests: what is known is of generation 1 and has versions up
// to 10; the restored copy is of generation 2 and has versions up to 5.
const (
	before = 1
	after  = 2
)

// targetWith returns the registration of a target with the given version in a generation.
func targetWith(generation, stored uint64, sequence int64, edit func(*Target)) Entry {
	e := target("t1", VersionOf(generation, stored))
	e.Target.Sequence = sequence
	if edit != nil {
		edit(e.Target)
	}
	return e
}

func draining(t *Target) { t.Draining = true }

func evacuation(generation, stored uint64) Entry {
	return Entry{Topic: Operators, Key: "evacuate/a", Version: VersionOf(generation, stored), EvacuatedZone: "a"}
}

func evacuationEnd(generation, stored uint64) Entry {
	return Entry{Topic: Operators, Key: "evacuate/a", Version: VersionOf(generation, stored), Removed: true}
}

// knowing returns a catalog with a configuration that has read the entries one after the
// other, in generation before.
func knowing(entries ...Entry) *Catalog {
	c := New()
	c.Replace(at(0), Operators, []Entry{config(VersionOf(before, 1), 1)}, VersionOf(before, 1))
	c.Replace(at(0), Targets, nil, VersionOf(before, 1))
	for _, e := range entries {
		c.Merge(at(0), e.Topic, []Entry{e}, e.Version)
	}
	c.Assemble()
	return c
}

// restore has c read a topic of the restored copy at a time.
func restore(c *Catalog, now time.Time, t Topic, entries ...Entry) {
	c.Replace(now, t, entries, VersionOf(after, 5))
}

// isUsed reports whether the target t1 is among the active targets after now.
func isUsed(c *Catalog, now time.Time) bool {
	c.ApplyDeferred(now)
	c.changed = true
	return len(activeTargets(c.Assemble())) == 1
}

// isEvacuated reports whether the zone a is evacuated at now.
func isEvacuated(c *Catalog, now time.Time) bool {
	c.ApplyDeferred(now)
	return c.evacuatedZones()["a"]
}

func TestGenerationsOrderBeforeVersions(t *testing.T) {
	if VersionOf(2, 1) <= VersionOf(1, MaxStoredVersion) || GenerationOf(VersionOf(2, 7)) != 2 || StoredVersionOf(VersionOf(2, 7)) != 7 {
		t.Error("a version of a later generation must be higher, and contain both numbers")
	}
	if VersionOf(0, 7) != 7 {
		t.Error("without generations, versions are those of the store")
	}
	if !(Position{VersionOf(1, 9), 0}).Behind(Position{VersionOf(2, 1), 0}) {
		t.Error("a position of an earlier generation must be behind")
	}
}

func TestConfigurationDoesNotGoBackWithTheStore(t *testing.T) {
	c := knowing(config(VersionOf(before, 9), 9))
	restore(c, at(time.Second), Operators, config(VersionOf(after, 3), 3))
	if got := c.ConfigVersion(); got != 9 {
		t.Errorf("configuration %d after the restore, want 9", got)
	}
	if kept, ok := c.TakeKept(); !ok || kept.Configs != 1 {
		t.Errorf("kept %+v", kept)
	}
	c.Merge(at(2*time.Second), Operators, []Entry{config(VersionOf(after, 6), 9)}, VersionOf(after, 6))
	c.Merge(at(3*time.Second), Operators, []Entry{config(VersionOf(after, 7), 12)}, VersionOf(after, 7))
	if got := c.ConfigVersion(); got != 12 {
		t.Errorf("configuration %d after the operators' next one, want 12", got)
	}
}

func TestEvacuationDoesNotGoBackWithTheStore(t *testing.T) {
	c := knowing(evacuation(before, 9))
	restore(c, at(time.Second), Operators, config(VersionOf(after, 1), 1))
	if !isEvacuated(c, at(time.Second)) {
		t.Error("an evacuation that the copy lacks has ended at once")
	}
	rewritten := knowing(evacuation(before, 9))
	restore(rewritten, at(time.Second), Operators, config(VersionOf(after, 1), 1))
	rewritten.Merge(at(2*time.Second), Operators, []Entry{evacuation(after, 6)}, VersionOf(after, 6))
	if !isEvacuated(rewritten, at(time.Minute)) {
		t.Error("an evacuation that was written again has ended")
	}
	if isEvacuated(c, at(time.Second+restoreGrace)) {
		t.Error("an evacuation that was not written again lasts for good")
	}
}

func TestEndOfAnEvacuationDoesNotGoBackWithTheStore(t *testing.T) {
	c := knowing(evacuation(before, 3), evacuationEnd(before, 9))
	restore(c, at(time.Second), Operators, config(VersionOf(after, 1), 1), evacuation(after, 3))
	if isEvacuated(c, at(2*time.Second)) {
		t.Error("an ended evacuation is back with the copy")
	}
	if !isEvacuated(c, at(time.Second+restoreGrace)) {
		t.Error("an evacuation whose end was not written again is ignored for good")
	}
	fresh := knowing(evacuation(before, 3), evacuationEnd(before, 9))
	restore(fresh, at(time.Second), Operators, config(VersionOf(after, 1), 1), evacuation(after, 5))
	if !isEvacuated(fresh, at(time.Second)) {
		t.Error("a new evacuation is taken for the old one")
	}
}

func TestTargetThatTheCopyLacksMayWriteAgain(t *testing.T) {
	c := knowing(targetWith(before, 9, 4, nil))
	restore(c, at(time.Second), Targets)
	if !isUsed(c, at(time.Second+removalGrace-1)) {
		t.Error("a target that the copy lacks was dropped before it could write again")
	}
	c.Merge(at(2*time.Second), Targets, []Entry{targetWith(after, 6, 5, nil)}, VersionOf(after, 6))
	if !isUsed(c, at(time.Minute)) {
		t.Error("a target that has written again is not used")
	}
	gone := knowing(targetWith(before, 9, 4, nil))
	restore(gone, at(time.Second), Targets)
	if isUsed(gone, at(time.Second+removalGrace)) {
		t.Error("a target that has not written again is still used")
	}
}

func TestDepartedTargetsStayAwayAfterARestore(t *testing.T) {
	for name, last := range map[string][]Entry{
		"draining":           {targetWith(before, 3, 3, nil), targetWith(before, 9, 8, draining)},
		"drained":            {targetWith(before, 3, 3, nil), targetWith(before, 8, 8, draining), removal("t1", VersionOf(before, 9))},
		"gone without drain": {targetWith(before, 3, 3, nil), removal("t1", VersionOf(before, 9))},
	} {
		c := knowing(last...)
		restore(c, at(time.Second), Targets, targetWith(after, 3, 3, nil))
		if isUsed(c, at(reappearGrace)) {
			t.Errorf("%s: the target is used again because of the copy", name)
		}
		c.Merge(at(reappearGrace), Targets, []Entry{targetWith(after, 6, 9, nil)}, VersionOf(after, 6))
		if !isUsed(c, at(reappearGrace)) {
			t.Errorf("%s: the target is not used although it has written that it is ready", name)
		}
	}
}

// TestLapsedTargetIsUsedAgainAfterARestore covers a target whose registration had expired
// in an outage, and whose writes since then have changed nothing that the store reports.
func TestLapsedTargetIsUsedAgainAfterARestore(t *testing.T) {
	c := knowing(targetWith(before, 3, 3, nil), removal("t1", VersionOf(before, 9)))
	restore(c, at(time.Second), Targets, targetWith(after, 3, 3, nil))
	if !isUsed(c, at(time.Second+reappearGrace)) {
		t.Error("a registered target is ignored for good")
	}
}

func TestRestartedTargetIsUsedAfterARestore(t *testing.T) {
	c := knowing(targetWith(before, 8, 8, nil), removal("t1", VersionOf(before, 9)))
	restore(c, at(time.Second), Targets, targetWith(after, 5, 1, func(tg *Target) { tg.StartMillis = 2 }))
	if !isUsed(c, at(time.Second)) {
		t.Error("a later incarnation of a target is not used")
	}
}

// TestLateResponseOfTheEarlierGenerationChangesNothing covers reads that overlap a restore.
func TestLateResponseOfTheEarlierGenerationChangesNothing(t *testing.T) {
	c := knowing()
	restore(c, at(time.Second), Targets)
	c.Merge(at(2*time.Second), Targets, []Entry{targetWith(before, 9, 4, nil)}, VersionOf(before, 9))
	if isUsed(c, at(2*time.Second)) {
		t.Error("a target that only the earlier generation has is used")
	}
	if c.Replace(at(2*time.Second), Targets, []Entry{targetWith(before, 9, 4, nil)}, VersionOf(before, 10)); isUsed(c, at(2*time.Second)) {
		t.Error("a snapshot of the earlier generation is in force")
	}
}

// TestInstanceCutOffThroughRestoresLearnsFromAnother has one instance read the copies of two
// restores, and another one learn of both at once from the first.
func TestInstanceCutOffThroughRestoresLearnsFromAnother(t *testing.T) {
	known := []Entry{config(VersionOf(before, 9), 9), evacuation(before, 8), targetWith(before, 9, 8, draining)}
	reader, cutOff := knowing(known...), knowing(known...)
	for generation := uint64(after); generation <= after+1; generation++ {
		now := at(time.Duration(generation) * time.Second)
		reader.Replace(now, Operators, []Entry{config(VersionOf(generation, 3), 3)}, VersionOf(generation, 5))
		reader.Replace(now, Targets, []Entry{targetWith(generation, 3, 3, nil)}, VersionOf(generation, 5))
	}
	now := at(4 * time.Second)
	if !cutOff.Position().Behind(reader.Position()) {
		t.Fatal("the instance that is cut off is not behind")
	}
	cutOff.MergeAll(now, reader.EntriesAfter(now, cutOff.Position()), LiveKeys{}, reader.Position())
	if cutOff.Position() != reader.Position() {
		t.Errorf("positions %v and %v", cutOff.Position(), reader.Position())
	}
	for name, c := range map[string]*Catalog{"reader": reader, "cut off": cutOff} {
		if c.ConfigVersion() != 9 || !isEvacuated(c, now) || isUsed(c, now) {
			t.Errorf("%s: configuration %d, evacuated %t, draining target used %t; want 9, true, false", name, c.ConfigVersion(), isEvacuated(c, now), isUsed(c, now))
		}
	}
}

func TestRestoreIsReportedOnce(t *testing.T) {
	c := New()
	if c.Replace(at(0), Targets, nil, VersionOf(before, 1)) {
		t.Error("the first snapshot counts as a restore")
	}
	if !c.Replace(at(0), Targets, nil, VersionOf(after, 1)) || c.Replace(at(0), Targets, nil, VersionOf(after, 2)) {
		t.Error("want a restore from the first snapshot of a later generation only")
	}
}
