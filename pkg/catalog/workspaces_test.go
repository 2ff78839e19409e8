package catalog

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// withKeys returns an entry with a configuration of five workspaces, the first of which has
// the keys.
func withKeys(version, number uint64, keys ...string) Entry {
	e := config(version, number)
	for i := range 5 {
		e.Config.Workspaces = append(e.Config.Workspaces, table.Workspace{Name: fmt.Sprint("w", i)})
	}
	for _, key := range keys {
		w := &e.Config.Workspaces[0]
		w.Keys = append(w.Keys, table.DigestKey(key))
	}
	return e
}

// keysOf returns the keys of the first workspace of the tables that c has changed to, or nil
// without a change.
func keysOf(c *Catalog) []table.KeyDigest {
	if t := c.Assemble(); t != nil {
		return t.Workspaces[0].Keys
	}
	return nil
}

// TestWithdrawnKeyDoesNotComeBack withdraws a key, and then has the catalog learn what was
// before: an older entry, a patch to one, and the copy of a restored store.
func TestWithdrawnKeyDoesNotComeBack(t *testing.T) {
	old := withKeys(VersionOf(1, 3), 3, "a", "b")
	for name, learn := range map[string]func(c *Catalog){
		"older entry": func(c *Catalog) { c.MergeAll(at(time.Second), []Entry{old}, LiveKeys{}, Position{}) },
		"snapshot":    func(c *Catalog) { c.Replace(at(time.Second), Operators, []Entry{old}, VersionOf(1, 3)) },
		"restore": func(c *Catalog) {
			c.Replace(at(time.Second), Operators, []Entry{withKeys(VersionOf(2, 3), 3, "a", "b")}, VersionOf(2, 4))
		},
		"older patch": func(c *Catalog) {
			base, writer := withKeys(VersionOf(1, 2), 2, "x"), New()
			writer.Merge(at(0), Operators, []Entry{base}, VersionOf(1, 2))
			p := writer.Position()
			writer.Merge(at(0), Operators, []Entry{old}, VersionOf(1, 3))
			if patched, ok := writer.Patched(writer.EntriesAfter(at(0), p), p); ok {
				c.MergeAll(at(time.Second), patched, LiveKeys{}, writer.Position())
			}
		},
	} {
		c := New()
		c.Replace(at(0), Operators, []Entry{old}, VersionOf(1, 3))
		c.Merge(at(0), Operators, []Entry{withKeys(VersionOf(1, 5), 5, "b")}, VersionOf(1, 5))
		if keys := keysOf(c); len(keys) != 1 || keys[0] != table.DigestKey("b") {
			t.Fatalf("keys %v", keys)
		}
		learn(c)
		for _, key := range keysOf(c) {
			if key == table.DigestKey("a") {
				t.Errorf("%s: the key is back", name)
			}
		}
	}
}

// TestPatchWithWorkspacesIsSmallAndNotMisread patches one workspace of five. An instance of an
// earlier release has the configuration without the section.
func TestPatchWithWorkspacesIsSmallAndNotMisread(t *testing.T) {
	base, next := withKeys(3, 3, "a"), withKeys(5, 5, "a", "b")
	writer, learner, earlier := New(), New(), New()
	writer.Merge(at(0), Operators, []Entry{base}, 3)
	learner.Merge(at(0), Operators, []Entry{base}, 3)
	earlier.Merge(at(0), Operators, []Entry{config(3, 3)}, 3)
	position := writer.Position()
	writer.Merge(at(0), Operators, []Entry{next}, 5)
	patched, ok := writer.Patched(writer.EntriesAfter(at(0), position), position)
	if !ok || len(patched[0].Patch.Workspaces.Set) != 1 || !learner.CanApply(patched) {
		t.Fatalf("patched %v: %+v", ok, patched)
	}
	if earlier.CanApply(patched) {
		t.Error("an instance of an earlier release applies the patch")
	}
	learner.MergeAll(at(0), patched, LiveKeys{}, writer.Position())
	if keys := keysOf(learner); len(keys) != 2 {
		t.Errorf("keys %v", keys)
	}
	if old, _ := json.Marshal(config(3, 3).Config); strings.Contains(string(old), "workspaces") {
		t.Errorf("a configuration without the section is %s", old)
	}
	first := &pastConfig{config: config(3, 3).Config}
	if first.patchTo(next.Config) != nil {
		t.Error("the first workspaces come as a patch")
	}
}

// TestSenselessWorkspacesAreRefused checks each field.
func TestSenselessWorkspacesAreRefused(t *testing.T) {
	for name, edit := range map[string]func(w []table.Workspace){
		"no name":            func(w []table.Workspace) { w[1].Name = "" },
		"name with a break":  func(w []table.Workspace) { w[1].Name = "a\r\nb" },
		"name with space":    func(w []table.Workspace) { w[1].Name = " a" },
		"same name":          func(w []table.Workspace) { w[1].Name = w[2].Name },
		"one key of two":     func(w []table.Workspace) { w[1].Keys = w[0].Keys },
		"malformed digest":   func(w []table.Workspace) { w[1].Keys = []table.KeyDigest{"5ecret"} },
		"negative rate":      func(w []table.Workspace) { w[1].Rate = -1 },
		"rate not a number":  func(w []table.Workspace) { w[1].Rate = math.NaN() },
		"rate without end":   func(w []table.Workspace) { w[1].Rate = math.Inf(1) },
		"negative burst":     func(w []table.Workspace) { w[1].Burst = -1 },
		"unknown priority":   func(w []table.Workspace) { w[1].Priority = "top" },
		"very long name":     func(w []table.Workspace) { w[1].Name = strings.Repeat("a", MaxNameBytes+1) },
		"name not printable": func(w []table.Workspace) { w[1].Name = "a\x00" },
	} {
		e := withKeys(3, 3, "a")
		edit(e.Config.Workspaces)
		if err := e.Config.Check(); err == nil || strings.Contains(err.Error(), "5ecret") {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := withKeys(3, 3, "a").Config.Check(); err != nil {
		t.Error(err)
	}
}

// TestKeptConfigurationReachesAnInstanceThatKnowsOnlyTheCopy has an instance start from the
// copy to which the store was restored, and then ask one that has kept a later configuration,
// under the same version of the entry.
func TestKeptConfigurationReachesAnInstanceThatKnowsOnlyTheCopy(t *testing.T) {
	restored := []Entry{withKeys(VersionOf(2, 3), 3, "a")}
	running, started := New(), New()
	running.Merge(at(0), Operators, []Entry{withKeys(VersionOf(1, 5), 5, "b")}, VersionOf(1, 5))
	running.Replace(at(time.Second), Operators, restored, VersionOf(2, 4))
	started.Replace(at(time.Second), Operators, restored, VersionOf(2, 4))
	entries := running.EntriesAfter(at(time.Second), Position{})
	started.MergeAll(at(time.Second), entries, LiveKeys{}, running.Position())
	if keys := keysOf(started); len(keys) != 1 || keys[0] != table.DigestKey("b") {
		t.Errorf("keys %v", keys)
	}
	back := withKeys(VersionOf(2, 3), 3, "a")
	started.MergeAll(at(2*time.Second), []Entry{back}, LiveKeys{}, running.Position())
	if keys := keysOf(started); keys != nil {
		t.Errorf("the copy has put keys %v back", keys)
	}
}
