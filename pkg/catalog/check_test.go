package catalog

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// senselessTargets change a registration to one that can be read and makes no sense.
var senselessTargets = map[string]func(*Target){
	"no service":            func(t *Target) { t.Service = "" },
	"no zone":               func(t *Target) { t.Zone = "" },
	"no region":             func(t *Target) { t.Region = "" },
	"another ID":            func(t *Target) { t.ID = "t9" },
	"no address":            func(t *Target) { t.Address = "" },
	"port 0":                func(t *Target) { t.Address = "10.0.0.1:0" },
	"scope":                 func(t *Target) { t.Address = "[fe80::1%eth0]:80" },
	"unspecified address":   func(t *Target) { t.Address = "0.0.0.0:80" },
	"unspecified IPv6":      func(t *Target) { t.Address = "[::]:80" },
	"mapped unspecified":    func(t *Target) { t.Address = "[::ffff:0.0.0.0]:80" },
	"multicast":             func(t *Target) { t.Address = "224.0.0.1:80" },
	"broadcast":             func(t *Target) { t.Address = "255.255.255.255:80" },
	"no slots":              func(t *Target) { t.Slots = 0 },
	"negative slots":        func(t *Target) { t.Slots = math.MinInt },
	"slots without end":     func(t *Target) { t.Slots = math.MaxInt },
	"cold for ever":         func(t *Target) { t.ColdRemaining = math.MaxInt64 },
	"cold below 0":          func(t *Target) { t.ColdRemaining = -1 },
	"start far in future":   func(t *Target) { t.StartMillis = math.MaxInt64 },
	"start below 0":         func(t *Target) { t.StartMillis = math.MinInt64 },
	"sequence at its end":   func(t *Target) { t.Sequence = math.MaxInt64 },
	"sequence below 0":      func(t *Target) { t.Sequence = -1 },
	"sequence at its start": func(t *Target) { t.Sequence = math.MinInt64 },
}

// editedTarget returns the registration of a target after edit.
func editedTarget(id string, version uint64, edit func(*Target)) Entry {
	e := target(id, version)
	edit(e.Target)
	return e
}

// TestSenselessEntryDrawsNoTraffic guards against entries with values at the ends of their
// types that are used: sums over slots overflow, and the sound targets get no requests.
func TestSenselessEntryDrawsNoTraffic(t *testing.T) {
	for name, edit := range senselessTargets {
		c := withTargets(2)
		c.Merge(at(time.Second), Targets, []Entry{editedTarget("t3", 9, edit)}, 9)
		got := c.Assemble()
		if used := activeTargets(got); !slices.Equal(used, []string{"t1", "t2"}) || got.Pools[0].TotalSlots() != 8 {
			t.Errorf("%s: targets %v with %d slots", name, used, got.Pools[0].TotalSlots())
		}
		if c.Position()[Targets] != 9 {
			t.Errorf("%s: complete up to %d, want 9", name, c.Position()[Targets])
		}
	}
}

// TestSenselessEntryOfAKnownTargetIsNotUsed covers an entry in place of a sound one.
func TestSenselessEntryOfAKnownTargetIsNotUsed(t *testing.T) {
	for name, edit := range senselessTargets {
		c := withTargets(2)
		c.Merge(at(time.Second), Targets, []Entry{editedTarget("t2", 9, edit)}, 9)
		if used := activeTargets(c.Assemble()); !slices.Equal(used, []string{"t1"}) {
			t.Errorf("%s: targets %v, want t1", name, used)
		}
		c.Merge(at(2*time.Second), Targets, []Entry{target("t2", 10)}, 10)
		if used := activeTargets(c.Assemble()); !slices.Equal(used, []string{"t1", "t2"}) {
			t.Errorf("%s: targets %v after a sound entry, want t1 and t2", name, used)
		}
	}
}

func TestEntriesThatMakeSenseAreUsed(t *testing.T) {
	for name, edit := range map[string]func(*Target){
		"one slot":        func(t *Target) { t.Slots = 1 },
		"most slots":      func(t *Target) { t.Slots = table.MaxSlots },
		"IPv6":            func(t *Target) { t.Address = "[2001:db8::1]:65535" },
		"loopback":        func(t *Target) { t.Address = "127.0.0.1:1" },
		"same address":    func(t *Target) { t.Address = "10.0.0.1:80" },
		"longest cold":    func(t *Target) { t.ColdRemaining = MaxCold },
		"last start":      func(t *Target) { t.StartMillis = MaxStartMillis },
		"last sequence":   func(t *Target) { t.Sequence = MaxSequence },
		"used id again":   func(t *Target) { t.StartMillis, t.Sequence = 2, 0 },
		"shortest of all": func(t *Target) { t.Service, t.Zone, t.Region = "feedlog", "z", "r" },
	} {
		c := withTargets(1)
		c.Merge(at(time.Second), Targets, []Entry{editedTarget("t1", 9, edit)}, 9)
		if used := activeTargets(c.Assemble()); !slices.Equal(used, []string{"t1"}) {
			t.Errorf("%s: targets %v, want t1", name, used)
		}
		if refused, ok := c.TakeRefused(); ok {
			t.Errorf("%s: refused %+v", name, refused)
		}
	}
}

// TestEntryWithoutAStartTakesNoTargetOver guards against an entry of another writer that lacks
// the start: its target seems to be another incarnation, and what is known of it, such as that
// it is leaving, is forgotten.
func TestEntryWithoutAStartTakesNoTargetOver(t *testing.T) {
	withoutStart := func(t *Target) { t.StartMillis = 0 }
	c := withTargets(2)
	c.Merge(at(time.Second), Targets, []Entry{editedTarget("t2", 9, withoutStart)}, 9)
	if used := activeTargets(c.Assemble()); !slices.Equal(used, []string{"t1"}) {
		t.Errorf("targets %v, want t1", used)
	}
	c.Merge(at(2*time.Second), Targets, []Entry{editedTarget("t3", 10, withoutStart), editedTarget("t3", 11, withoutStart)}, 11)
	c.Merge(at(2*time.Second), Targets, []Entry{target("t2", 12)}, 12)
	if used := activeTargets(c.Assemble()); !slices.Equal(used, []string{"t1", "t2", "t3"}) {
		t.Errorf("targets %v: one that never states a start is used, and t2 with its next entry", used)
	}
}

func TestRefusedEntriesAreCounted(t *testing.T) {
	c := withTargets(1)
	for i := range uint64(20) {
		e := editedTarget("t1", 10+i, func(t *Target) { t.Slots = -1 })
		c.Merge(at(time.Second), Targets, []Entry{e}, 10+i)
		c.Merge(at(time.Second), Targets, []Entry{e}, 10+i)
	}
	if refused, ok := c.TakeRefused(); !ok || refused.Count != 20 || len(refused.Keys) != maxRefusedKeys {
		t.Errorf("refused %+v, want 20 and the keys of the first %d", refused, maxRefusedKeys)
	}
	if refused, ok := c.TakeRefused(); ok {
		t.Errorf("refused %+v a second time", refused)
	}
}

// TestUnreadableEntryForgetsNothingOfItsTarget guards against an entry of another writer
// after which a write of the target that the store carries out late counts as its last word.
func TestUnreadableEntryForgetsNothingOfItsTarget(t *testing.T) {
	c := withTargets(1)
	write := func(version uint64, sequence int64, draining bool) {
		e := editedTarget("t1", version, func(t *Target) { t.Sequence, t.Draining = sequence, draining })
		c.Merge(at(time.Second), Targets, []Entry{e}, version)
	}
	write(9, 5, true)
	c.Merge(at(time.Second), Targets, []Entry{{Topic: Targets, Key: "t1", Version: 10, Unreadable: true}}, 10)
	write(11, 4, false)
	if used := activeTargets(c.Assemble()); len(used) > 0 {
		t.Errorf("targets %v are in use: a write of before it was draining counts", used)
	}
	write(12, 6, false)
	if used := activeTargets(c.Assemble()); len(used) != 1 {
		t.Errorf("targets %v after the target's next write, want t1", used)
	}
}

// senselessConfigs change a configuration to one that can be read and makes no sense.
var senselessConfigs = map[string]func(*Config){
	"weight below 0":         func(c *Config) { c.Routes[0].Pools[0].Weight = -1 },
	"weight without end":     func(c *Config) { c.Routes[0].Pools[0].Weight = math.MaxInt },
	"timeout below 0":        func(c *Config) { c.Routes[0].Timeout = -1 },
	"timeout without end":    func(c *Config) { c.Routes[0].Timeout = math.MaxInt64 },
	"latency below 0":        func(c *Config) { c.Routes[0].TargetLatency = math.MinInt64 },
	"attempts below 0":       func(c *Config) { c.Routes[0].MaxAttempts = -1 },
	"body below 0":           func(c *Config) { c.Routes[0].MaxBodyBytes = -1 },
	"connections below 0":    func(c *Config) { c.Services[0].Connections = -1 },
	"connections no end":     func(c *Config) { c.Services[0].Connections = math.MaxInt },
	"cold rate below 0":      func(c *Config) { c.Services[0].ColdRate = -1 },
	"cold rate no end":       func(c *Config) { c.Services[0].ColdRate = math.Inf(1) },
	"cold rate not a number": func(c *Config) { c.Services[0].ColdRate = math.NaN() },
	"cold time below 0":      func(c *Config) { c.Services[0].ColdDuration = -1 },
	"cold time without end":  func(c *Config) { c.Services[0].ColdDuration = math.MaxInt64 },
}

// TestSenselessConfigurationLeavesTheLastInForce guards against a configuration that makes
// no sense and takes the place of the one in force.
func TestSenselessConfigurationLeavesTheLastInForce(t *testing.T) {
	for name, edit := range senselessConfigs {
		c := withTargets(1)
		e := config(9, 2)
		edit(e.Config)
		c.Merge(at(time.Second), Operators, []Entry{e}, 9)
		if got := c.ConfigVersion(); got != 1 {
			t.Errorf("%s: configuration %d in force, want 1", name, got)
		}
	}
}

// TestTargetsAreFollowedBesideAnUnreadableConfiguration guards against tables that stay as
// they are from the first configuration on that can't be read.
func TestTargetsAreFollowedBesideAnUnreadableConfiguration(t *testing.T) {
	c := withTargets(1)
	c.Assemble()
	c.Merge(at(time.Second), Operators, []Entry{{Topic: Operators, Key: "config", Version: 9, Unreadable: true}}, 9)
	c.Merge(at(time.Second), Targets, []Entry{target("t2", 10)}, 10)
	if got := c.Assemble(); got == nil || len(activeTargets(got)) != 2 {
		t.Errorf("tables %+v, want t1 and t2", got)
	}
	c.Merge(at(2*time.Second), Operators, []Entry{config(11, 2)}, 11)
	if got := c.ConfigVersion(); got != 2 {
		t.Errorf("configuration %d after the operators' next one, want 2", got)
	}
}

// TestEntryOfAnUnknownTopicIsIgnored guards against an entry of another instance that ends
// this one.
func TestEntryOfAnUnknownTopicIsIgnored(t *testing.T) {
	for _, topic := range []Topic{-1, TopicCount, math.MaxInt} {
		c := withTargets(1)
		e := target("t2", 9)
		e.Topic = topic
		c.MergeAll(at(time.Second), []Entry{e}, LiveKeys{}, c.Position())
		if used := activeTargets(c.Assemble()); len(used) != 1 {
			t.Errorf("topic %d: targets %v, want t1", topic, used)
		}
	}
}

// TestTargetIsUsedAfterAnEntryAtTheEndOfItsCounts guards against an entry of another writer
// with a start or a count of writes far ahead, after which no entry of the target counts.
func TestTargetIsUsedAfterAnEntryAtTheEndOfItsCounts(t *testing.T) {
	for name, edit := range map[string]func(*Target){
		"start":    func(t *Target) { t.StartMillis = MaxStartMillis },
		"sequence": func(t *Target) { t.Sequence = MaxSequence },
	} {
		c := withTargets(1)
		odd := editedTarget("t1", 9, edit)
		odd.Target.Draining = true
		c.Merge(at(0), Targets, []Entry{odd}, 9)
		used := false
		for second := time.Second; second <= 2*lateWriteWindow && !used; second += time.Second {
			version := 10 + uint64(second/time.Second)
			e := editedTarget("t1", version, func(t *Target) { t.Sequence = int64(second / time.Second) })
			c.Merge(at(second), Targets, []Entry{e}, version)
			tables := c.Assemble()
			used = tables != nil && len(activeTargets(tables)) == 1
		}
		if !used {
			t.Errorf("%s: the target is not used %v after the entry", name, 2*lateWriteWindow)
		}
	}
}
