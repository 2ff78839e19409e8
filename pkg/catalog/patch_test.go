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
	e.Config.Workspaces = drawWorkspaces(t)
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 11), 0, 12, rapid.ID[int]).Draw(t, "routes")
	for _, name := range names {
		e.Config.Routes = append(e.Config.Routes, table.Route{
			Name: fmt.Sprint("r", name), PathPrefix: fmt.Sprintf("/%d/", name), Timeout: table.Duration(rapid.IntRange(1, 3).Draw(t, "timeout")) * table.Duration(time.Second),
			Regions: rapid.SampledFrom([][]string{nil, {"north"}, {"south"}, {"north", "south"}}).Draw(t, "regions"),
		})
	}
	return e
}

// drawWorkspaces draws workspaces of a few names, each with some of its own keys.
func drawWorkspaces(t *rapid.T) (workspaces []table.Workspace) {
	for _, name := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 6, rapid.ID[int]).Draw(t, "workspaces") {
		w := table.Workspace{Name: fmt.Sprint("w", name), Rate: rapid.SampledFrom([]float64{0, 10}).Draw(t, "rate")}
		for _, key := range rapid.SliceOfNDistinct(rapid.IntRange(0, 2), 0, 2, rapid.ID[int]).Draw(t, "keys") {
			w.Keys = append(w.Keys, table.DigestKey(fmt.Sprint(name, key)))
		}
		workspaces = append(workspaces, w)
	}
	return workspaces
}

// TestPatchesResultInTheSameConfiguration has one catalog read versions of a configuration,
// and rows that can't be read, and another one learn them from it, with patches whenever it can, and at times not at all.
func TestPatchesResultInTheSameConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, learner := New(), New()
		for version := uint64(1); version < 12; version++ {
			e := drawConfig(t, version)
			if version > 1 && rapid.IntRange(0, 4).Draw(t, "unreadable") == 0 {
				e = Entry{Topic: Operators, Key: e.Key, Version: version, Unreadable: true}
			}
			reader.Merge(at(0), Operators, []Entry{e}, version)
			if rapid.IntRange(0, 3).Draw(t, "missed") == 0 {
				continue
			}
			base := learner.Position()
			entries := reader.EntriesAfter(at(0), base)
			if patched, ok := reader.Patched(entries, base); ok && learner.CanApply(patched) {
				entries = patched
			}
			learner.MergeAll(at(0), entries, LiveKeys{}, reader.Position())
			if got, want := learner.config(), reader.config(); !reflect.DeepEqual(got, want) {
				t.Fatalf("version %d: learnt %+v, want %+v", version, got, want)
			}
		}
	})
}

// TestPatchForAnotherConfigurationIsNotApplied covers a catalog that has missed the version
// that a patch is for, and one that has a later version.
func TestPatchForAnotherConfigurationIsNotApplied(t *testing.T) {
	base := config(4, 4)
	patch := Entry{Topic: Operators, Key: "config", Version: 5, Patch: &ConfigPatch{Base: digestOf(base.Config), Version: 5}}
	behind, ahead := New(), New()
	behind.Merge(at(0), Operators, []Entry{config(3, 3)}, 3)
	ahead.Merge(at(0), Operators, []Entry{config(6, 6)}, 6)
	if behind.CanApply([]Entry{patch}) || New().CanApply([]Entry{patch}) {
		t.Error("a patch counts as applicable without the configuration that it is for")
	}
	behind.MergeAll(at(0), []Entry{patch}, LiveKeys{}, Position{})
	if got := behind.config().Version; got != 3 || behind.Position()[Operators] != 3 {
		t.Errorf("after a patch that is not for it: configuration %d at %v", got, behind.Position())
	}
	if !ahead.CanApply([]Entry{patch}) {
		t.Error("an outdated patch counts as missing")
	}
	ahead.MergeAll(at(0), []Entry{patch}, LiveKeys{}, Position{5})
	if got := ahead.config().Version; got != 6 {
		t.Errorf("an outdated patch has taken configuration %d in the place of 6", got)
	}
}

// routesConfig returns an entry that holds a configuration with routes of the given names.
func routesConfig(version, number uint64, names ...string) Entry {
	e := config(version, number)
	e.Config.Routes = nil
	for _, name := range names {
		e.Config.Routes = append(e.Config.Routes, table.Route{Name: name, PathPrefix: "/" + name + "/"})
	}
	return e
}

// TestPatchDoesNotMixConfigurationsAfterARestore has one catalog keep what is later than the
// restored copy of the store, and another one know only the copy, under the same version.
func TestPatchDoesNotMixConfigurationsAfterARestore(t *testing.T) {
	restored := []Entry{routesConfig(VersionOf(2, 3), 4, "a", "old", "c", "d", "e")}
	for _, writerKnowsLater := range []bool{true, false} {
		running, started := New(), New()
		running.Replace(at(0), Operators, []Entry{routesConfig(VersionOf(1, 3), 4, "a", "old", "c", "d", "e")}, VersionOf(1, 3))
		running.Merge(at(time.Second), Operators, []Entry{routesConfig(VersionOf(1, 50), 5, "a", "new", "c", "d", "e")}, VersionOf(1, 50))
		running.Replace(at(2*time.Second), Operators, restored, VersionOf(2, 4))
		started.Replace(at(2*time.Second), Operators, restored, VersionOf(2, 4))
		writer, learner := started, running
		if writerKnowsLater {
			writer, learner = running, started
		}
		base := writer.Position()
		writer.Merge(at(4*time.Second), Operators, []Entry{routesConfig(VersionOf(2, 5), 6, "a", "new", "c", "d", "f")}, VersionOf(2, 5))
		patched, ok := writer.Patched(writer.EntriesAfter(at(4*time.Second), base), base)
		if ok && learner.CanApply(patched) {
			learner.MergeAll(at(4*time.Second), patched, LiveKeys{}, writer.Position())
			t.Errorf("writer knows the later one: %v: a patch results in %+v, want %+v", writerKnowsLater, learner.config(), writer.config())
		}
	}
}

// TestVersionWithoutAChangeNeedsNoWholeConfiguration has a row that can't be read raise the
// version of the configuration.
func TestVersionWithoutAChangeNeedsNoWholeConfiguration(t *testing.T) {
	reader, learner := New(), New()
	for _, c := range []*Catalog{reader, learner} {
		c.Replace(at(0), Operators, []Entry{routesConfig(3, 3, "a", "b", "c", "d", "e")}, 3)
		c.Merge(at(0), Operators, []Entry{routesConfig(5, 5, "a", "b", "c", "d", "f")}, 5)
	}
	base := reader.Position()
	reader.Merge(at(time.Second), Operators, []Entry{{Topic: Operators, Key: "config", Version: 7, Unreadable: true}}, 7)
	patched, ok := reader.Patched(reader.EntriesAfter(at(time.Second), base), base)
	if !ok || !learner.CanApply(patched) {
		t.Fatalf("patched %v: an instance that has all entries before needs the whole configuration", ok)
	}
	learner.MergeAll(at(time.Second), patched, LiveKeys{}, reader.Position())
	if got := learner.config(); !reflect.DeepEqual(got, reader.config()) || learner.Position() != reader.Position() {
		t.Errorf("%+v at %v, want %+v at %v", got, learner.Position(), reader.config(), reader.Position())
	}
}

// TestPatchesReachInstancesSomeVersionsBehind has several versions come while one is being
// delivered: an instance that has missed some must not need the whole configuration.
func TestPatchesReachInstancesSomeVersionsBehind(t *testing.T) {
	for behind := 1; behind <= maxPastConfigs; behind++ {
		reader, learner := New(), New()
		for version := uint64(1); version <= 8; version++ {
			e := []Entry{routesConfig(version, version, "a", "b", "c", "d", fmt.Sprint("e", version))}
			reader.Merge(at(0), Operators, e, version)
			if version <= 8-uint64(behind) {
				learner.Merge(at(0), Operators, e, version)
			}
		}
		base := learner.Position()
		patched, ok := reader.Patched(reader.EntriesAfter(at(0), base), base)
		if !ok || !learner.CanApply(patched) {
			t.Fatalf("%d versions behind: patched %v, and not applicable", behind, ok)
		}
		learner.MergeAll(at(0), patched, LiveKeys{}, reader.Position())
		if !reflect.DeepEqual(learner.config(), reader.config()) {
			t.Errorf("%d versions behind: %+v, want %+v", behind, learner.config(), reader.config())
		}
	}
}
