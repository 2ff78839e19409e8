package catalog

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// drawConfig draws a configuration with routes of a few names in any order.
func drawConfig(t *rapid.T, version uint64) Entry {
	e := config(version, version)
	e.Config.Routes = nil
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 11), 0, 12, rapid.ID[int]).Draw(t, "routes")
	for _, name := range names {
		e.Config.Routes = append(e.Config.Routes, table.Route{
			Name: fmt.Sprint("r", name), PathPrefix: fmt.Sprintf("/%d/", name), Timeout: table.Duration(rapid.IntRange(1, 3).Draw(t, "timeout")) * table.Duration(time.Second),
			Regions: rapid.SampledFrom([][]string{nil, {"north"}, {"south"}, {"north", "south"}}).Draw(t, "regions"),
		})
	}
	return e
}

// TestPatchesResultInTheSameConfiguration has one catalog read versions of a configuration
// and another one learn them from it, with patches whenever it can, and at times not at all.
func TestPatchesResultInTheSameConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, learner := New(), New()
		for version := uint64(1); version < 12; version++ {
			reader.Merge(at(0), Operators, []Entry{drawConfig(t, version)}, version)
			if rapid.IntRange(0, 3).Draw(t, "missed") == 0 {
				continue
			}
			base := learner.Position()
			entries := reader.EntriesAfter(at(0), base)
			if patched, ok := reader.Patched(entries, base); ok && learner.CanApply(patched) {
				entries = patched
			}
			learner.MergeAll(at(0), entries, reader.Position())
			if got, want := learner.config(), reader.config(); !reflect.DeepEqual(got, want) {
				t.Fatalf("version %d: learnt %+v, want %+v", version, got, want)
			}
		}
	})
}

// TestPatchForAnotherConfigurationIsNotApplied covers a catalog that has missed the version
// that a patch is for, and one that has a later version.
func TestPatchForAnotherConfigurationIsNotApplied(t *testing.T) {
	patch := Entry{Topic: Operators, Key: "config", Version: 5, Patch: &ConfigPatch{Base: 4, Version: 5}}
	behind, ahead := New(), New()
	behind.Merge(at(0), Operators, []Entry{config(3, 3)}, 3)
	ahead.Merge(at(0), Operators, []Entry{config(6, 6)}, 6)
	if behind.CanApply([]Entry{patch}) || New().CanApply([]Entry{patch}) {
		t.Error("a patch counts as applicable without the configuration that it is for")
	}
	behind.MergeAll(at(0), []Entry{patch}, Position{})
	if got := behind.config().Version; got != 3 || behind.Position()[Operators] != 3 {
		t.Errorf("after a patch that is not for it: configuration %d at %v", got, behind.Position())
	}
	if !ahead.CanApply([]Entry{patch}) {
		t.Error("an outdated patch counts as missing")
	}
	ahead.MergeAll(at(0), []Entry{patch}, Position{5})
	if got := ahead.config().Version; got != 6 {
		t.Errorf("an outdated patch has taken configuration %d in the place of 6", got)
	}
}
