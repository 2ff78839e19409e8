package catalog

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 31, 200) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time d after the start of a test.
func at(d time.Duration) time.Time { return epoch.Add(d) }

// target returns the registration of a target with the given version.
func target(id string, version uint64) Entry {
	return Entry{Topic: Targets, Key: id, Version: version, Target: &Target{
		ID: id, Service: "feedlog", Address: "10.0.0.1:80", Zone: "a", Region: "r", Slots: 4, StartMillis: 1,
	}}
}

// removal returns the removal of a target with the given version.
func removal(id string, version uint64) Entry {
	return Entry{Topic: Targets, Key: id, Version: version, Removed: true}
}

// config returns an entry with the given version that holds the configuration with
// the operators' version number.
func config(version, number uint64) Entry {
	return Entry{Topic: Operators, Key: "config", Version: version, Config: &Config{
		Version:  number,
		Routes:   []table.Route{{Name: "read", PathPrefix: "/read/", Pools: []table.PoolWeight{{Pool: "feedlog", Weight: 3}}}},
		Services: []Service{{Name: "feedlog", HealthPath: "/health", Connections: 100, ColdRate: 4}},
	}}
}

// withTargets returns a catalog with a configuration and the targets t1 to tn.
func withTargets(n int) *Catalog {
	c := New()
	c.Merge(at(0), Operators, []Entry{config(1, 1)}, 1)
	for i := range n {
		c.Merge(at(0), Targets, []Entry{target(fmt.Sprintf("t%d", i+1), uint64(i+2))}, uint64(i+2))
	}
	return c
}

// activeTargets returns the names of the targets of t that are not draining.
func activeTargets(t *table.Tables) []string {
	var out []string
	for _, p := range t.Pools {
		for _, tg := range p.Targets {
			if !tg.Drain {
				out = append(out, tg.Name)
			}
		}
	}
	return out
}

func TestAssembleCombinesConfigurationAndTargets(t *testing.T) {
	got := withTargets(2).Assemble()
	if len(got.Routes) != 1 || !reflect.DeepEqual(got.Routes[0].Pools, []table.PoolWeight{{Pool: "feedlog.r", Weight: 3}}) {
		t.Errorf("routes %+v", got.Routes)
	}
	if p := got.Pools[0]; p.Service != "feedlog" || p.ColdRate != 4 || len(p.Targets) != 2 || p.Targets[0].HealthPath != "/health" {
		t.Errorf("pool %+v", p)
	}
}

func TestAssembledTargetsStateTheVersionOfTheirEntry(t *testing.T) {
	c := withTargets(2)
	c.Merge(at(0), Targets, []Entry{target("t1", 9)}, 9)
	var got []uint64
	for _, tg := range c.Assemble().Pools[0].Targets {
		got = append(got, tg.EntryVersion)
	}
	if !reflect.DeepEqual(got, []uint64{9, 3}) {
		t.Errorf("versions %v of t1 and t2, want 9 and 3", got)
	}
}

func TestNothingIsAssembledWithoutConfigurationOrChange(t *testing.T) {
	c := New()
	c.Merge(at(0), Targets, []Entry{target("t1", 1)}, 1)
	if c.Assemble() != nil {
		t.Error("got tables without a configuration")
	}
	c = withTargets(1)
	c.Assemble()
	c.Merge(at(1), Targets, nil, 9)
	if c.Assemble() != nil {
		t.Error("got tables without a change")
	}
}

func TestEvacuatedZoneIsDrainedUntilRestored(t *testing.T) {
	c := withTargets(1)
	c.Merge(at(1), Operators, []Entry{{Topic: Operators, Key: "evacuate/a", Version: 5, EvacuatedZone: "a"}}, 5)
	if got := activeTargets(c.Assemble()); len(got) != 0 {
		t.Errorf("targets %v of an evacuated zone, want none", got)
	}
	c.Merge(at(2), Operators, []Entry{{Topic: Operators, Key: "evacuate/a", Version: 6, Removed: true}}, 6)
	if got := activeTargets(c.Assemble()); len(got) != 1 {
		t.Errorf("targets %v after the evacuation, want one", got)
	}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	c := New()
	c.Merge(at(0), Operators, []Entry{config(7, 4)}, 7)
	c.Merge(at(1), Operators, []Entry{config(3, 2)}, 3)
	if got := c.ConfigVersion(); got != 4 {
		t.Errorf("configuration version %d, want 4", got)
	}
}

func TestLateEntryOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	c := withTargets(1)
	later, earlier := target("t1", 10), target("t1", 11)
	later.Target.StartMillis, earlier.Target.StartMillis, earlier.Target.Draining = 5, 4, true
	c.Merge(at(1), Targets, []Entry{later, earlier}, 11)
	if got := activeTargets(c.Assemble()); len(got) != 1 {
		t.Errorf("targets %v, want that of the later incarnation", got)
	}
}

// TestRemovalAfterOutageIsDeferred removes two targets whose entries expired in an
// outage of the store. The one that registers again must stay in use throughout, and
// the other must be removed once the delay has passed.
func TestRemovalAfterOutageIsDeferred(t *testing.T) {
	c := withTargets(2)
	c.Assemble()
	c.StoreRecovered(at(10*time.Second), Targets)
	c.Merge(at(10*time.Second), Targets, []Entry{removal("t1", 10), removal("t2", 11)}, 11)
	if c.Assemble() != nil {
		t.Error("a target whose removal is deferred was removed at once")
	}
	c.Merge(at(11*time.Second), Targets, []Entry{target("t1", 12)}, 12)
	c.ApplyDeferred(at(12*time.Second + time.Millisecond))
	if got := activeTargets(c.Assemble()); !reflect.DeepEqual(got, []string{"t1"}) {
		t.Errorf("targets %v, want only t1, which registered again", got)
	}
}

func TestRemovalWithoutOutageTakesEffectAtOnce(t *testing.T) {
	c := withTargets(2)
	c.Merge(at(1), Targets, []Entry{removal("t1", 10)}, 10)
	if got := activeTargets(c.Assemble()); !reflect.DeepEqual(got, []string{"t2"}) {
		t.Errorf("targets %v, want t2", got)
	}
}

func TestReplaceRemovesMissingEntries(t *testing.T) {
	c := withTargets(2)
	c.Replace(at(1), Targets, []Entry{target("t2", 3)}, 20)
	if got := activeTargets(c.Assemble()); !reflect.DeepEqual(got, []string{"t2"}) {
		t.Errorf("targets %v, want t2", got)
	}
	c.Replace(at(2), Targets, nil, 19)
	if got := c.Position()[Targets]; got != 20 {
		t.Errorf("an older snapshot changed the position to %d, want 20", got)
	}
}

func TestUnreadableEntryRemovesItsTarget(t *testing.T) {
	c := withTargets(1)
	c.Merge(at(1), Targets, []Entry{{Topic: Targets, Key: "t1", Version: 9}}, 9)
	if got := activeTargets(c.Assemble()); len(got) != 0 {
		t.Errorf("targets %v, want none", got)
	}
}

// TestCatalogsThatExchangeEntriesConverge delivers one history to two catalogs: to
// one completely, to the other in overlapping and repeated pieces and the rest from
// the first catalog. Both must end with the same targets and positions.
func TestCatalogsThatExchangeEntriesConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var history []Entry
		for v := uint64(1); v <= uint64(rapid.IntRange(1, 30).Draw(rt, "length")); v++ {
			id := rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(rt, "id")
			if rapid.Bool().Draw(rt, "gone") {
				history = append(history, removal(id, v))
			} else {
				history = append(history, target(id, v))
			}
		}
		whole, parts := New(), New()
		whole.Merge(at(0), Operators, []Entry{config(1, 1)}, 1)
		whole.Merge(at(0), Targets, history, uint64(len(history)))
		for range rapid.IntRange(0, 4).Draw(rt, "pieces") {
			n := rapid.IntRange(0, len(history)).Draw(rt, "to")
			var to uint64
			if n > 0 {
				to = history[n-1].Version
			}
			parts.Merge(at(0), Targets, history[:n], to)
		}
		for top := range TopicCount {
			var entries []Entry
			for _, e := range whole.EntriesAfter(at(0), parts.Position()) {
				if e.Topic == top {
					entries = append(entries, e)
				}
			}
			parts.Merge(at(0), top, entries, whole.Position()[top])
		}
		a, b := whole.Assemble(), parts.Assemble()
		if !reflect.DeepEqual(activeTargets(a), activeTargets(b)) || whole.Position() != parts.Position() {
			rt.Fatalf("targets %v and %v, positions %v and %v", activeTargets(a), activeTargets(b), whole.Position(), parts.Position())
		}
	})
}

// TestDeferredRemovalIsDeferredByReceivers passes a deferred removal to another
// catalog, which has not observed the outage. It must apply the delay that remains.
func TestDeferredRemovalIsDeferredByReceivers(t *testing.T) {
	first, second := withTargets(1), withTargets(1)
	second.Assemble()
	first.StoreRecovered(at(10*time.Second), Targets)
	first.Merge(at(10*time.Second), Targets, []Entry{removal("t1", 10)}, 10)
	now := at(11 * time.Second)
	second.MergeAll(now, first.EntriesAfter(now, second.Position()), LiveKeys{}, first.Position())
	second.ApplyDeferred(now)
	if second.Assemble() != nil {
		t.Error("the target whose removal is deferred was removed at once")
	}
	second.ApplyDeferred(at(12*time.Second + time.Millisecond))
	if got := activeTargets(second.Assemble()); len(got) != 0 {
		t.Errorf("targets %v after the removal delay, want none", got)
	}
}

// TestReceiversKnowHowLongATargetStaysCold passes the entry of a cold target to
// another catalog later. Both must let the target be cold until the same time.
func TestReceiversKnowHowLongATargetStaysCold(t *testing.T) {
	for name, delay := range map[string]time.Duration{"still cold": 3 * time.Second, "no longer cold": 12 * time.Second} {
		t.Run(name, func(t *testing.T) {
			first, second := withTargets(1), withTargets(1)
			cold := target("t1", 10)
			cold.Target.ColdRemaining = 10 * time.Second
			first.Merge(at(0), Targets, []Entry{cold}, 10)
			now := at(delay)
			second.MergeAll(now, first.EntriesAfter(now, second.Position()), LiveKeys{}, first.Position())
			want, got := at(10*time.Second), second.Assemble().Pools[0].Targets[0].ColdUntil
			if delay > cold.Target.ColdRemaining {
				want = time.Time{}
			}
			if !got.Equal(want) {
				t.Errorf("the receiver lets the target be cold until %v, want %v", got, want)
			}
			if cold.Target.ColdRemaining != 10*time.Second {
				t.Errorf("the stored entry was changed to %v", cold.Target.ColdRemaining)
			}
		})
	}
}

// TestRemovedColdTargetIsPassedAsRemoved passes on the removal of a target that
// was cold until its deferred removal took effect.
func TestRemovedColdTargetIsPassedAsRemoved(t *testing.T) {
	c := withTargets(1)
	cold := target("t1", 10)
	cold.Target.ColdRemaining = 10 * time.Second
	c.Merge(at(0), Targets, []Entry{cold}, 10)
	c.StoreRecovered(at(0), Targets)
	c.Merge(at(0), Targets, []Entry{removal("t1", 11)}, 11)
	now := at(removalGrace + time.Second)
	c.ApplyDeferred(now)
	entries := c.EntriesAfter(now, Position{Operators: 1, Targets: 10})
	if !reflect.DeepEqual(entries, []Entry{removal("t1", 11)}) {
		t.Errorf("entries %v, want the removal of t1", entries)
	}
}

// TestAgeOfEntriesGrowsUntilTheyArePassedOn covers how long a change has been in the store
// by the time that it reaches an instance over others.
func TestAgeOfEntriesGrowsUntilTheyArePassedOn(t *testing.T) {
	reader, member := New(), New()
	e := target("t1", 2)
	e.Age = 100 * time.Millisecond
	reader.Merge(at(0), Targets, []Entry{e}, 2)
	passedOn := reader.EntriesAfter(at(time.Second), Position{})
	if len(passedOn) != 1 || passedOn[0].Age != 1100*time.Millisecond {
		t.Fatalf("passed on %+v, want one entry with an age of 1.1 s", passedOn)
	}
	member.MergeAll(at(3*time.Second), passedOn, LiveKeys{}, reader.Position())
	if since, ok := member.TakeOldestChange(); !ok || since != at(1900*time.Millisecond) {
		t.Errorf("oldest change %v, %v; want 1.1 s before it was applied", since, ok)
	}
	if since, ok := member.TakeOldestChange(); ok {
		t.Errorf("the same change at %v again", since)
	}
}

// TestReportThatTheStoreCarriesOutLateChangesNothing has the store carry out a write of a
// target after a later one of the same target: a target that leaves must not seem ready
// again, and one that is gone not come back.
func TestReportThatTheStoreCarriesOutLateChangesNothing(t *testing.T) {
	report := func(version uint64, sequence int64, draining bool) Entry {
		e := target("t1", version)
		e.Target.Sequence, e.Target.Draining = sequence, draining
		return e
	}
	for name, gone := range map[string]bool{"leaving": false, "gone": true} {
		t.Run(name, func(t *testing.T) {
			c := withTargets(0)
			c.Merge(at(0), Targets, []Entry{report(10, 5, false)}, 10)
			c.Merge(at(0), Targets, []Entry{report(11, 7, true)}, 11)
			if gone {
				c.Merge(at(0), Targets, []Entry{removal("t1", 12)}, 12)
			}
			c.Assemble()
			c.Merge(at(time.Second), Targets, []Entry{report(13, 6, false)}, 13)
			if got := c.Assemble(); got != nil {
				t.Errorf("the late report changes the tables: active targets %v", activeTargets(got))
			}
			if got := c.Position()[Targets]; got != 13 {
				t.Errorf("position %d, want that of the late report", got)
			}
			c.Merge(at(2*time.Second), Targets, []Entry{report(14, 8, false)}, 14)
			if got := activeTargets(c.Assemble()); len(got) != 1 {
				t.Errorf("active targets %v after a newer report, want t1", got)
			}
		})
	}
}
