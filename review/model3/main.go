// Command model3 plays two orders of messages against package catalog, as a model of the exchange
// between instances found them. In both, an instance ends with a target in its tables that the
// platform's store does not list. It exits with 1 if one of them does.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// id is the target that registers, leaves, and in afterSnapshot comes back and leaves again. kept
// is one that stays.
const (
	id   = "i-1"
	kept = "i-2"
)

func main() {
	code := 0
	for _, order := range []struct {
		name string
		play func() []string
	}{
		{"a late announcement after a snapshot", afterSnapshot},
		{"a list of what is there, after a restore of the store", afterRestore},
	} {
		targets := order.play()
		fmt.Printf("%s: the store lists [%s], the instance uses %v\n", order.name, kept, targets)
		if len(targets) != 1 {
			code = 1
		}
	}
	os.Exit(code)
}

// put returns the registration of a target, the start of which is given in seconds.
func put(name string, version uint64, start, sequence int64) catalog.Entry {
	return catalog.Entry{Topic: catalog.Targets, Key: name, Version: version, Target: &catalog.Target{
		ID: name, Service: "ledger", Address: "127.0.0.1:80", Zone: "osr-a", Region: "osrednja", Slots: 4,
		StartMillis: start * 1000, Sequence: sequence,
	}}
}

func removal(name string, version uint64) catalog.Entry {
	return catalog.Entry{Topic: catalog.Targets, Key: name, Version: version, Removed: true}
}

// newCatalog returns a catalog with a configuration.
func newCatalog(now time.Time) *catalog.Catalog {
	c := catalog.New()
	config := &catalog.Config{Version: 1, Services: []catalog.Service{{Name: "ledger"}}, Routes: []table.Route{
		{Name: "book", Host: "x.example", PathPrefix: "/", Pools: []table.PoolWeight{{Pool: "ledger", Weight: 1}}},
	}}
	c.Merge(now, catalog.Operators, []catalog.Entry{{Topic: catalog.Operators, Key: "config", Version: 1, Config: config}}, 1)
	return c
}

// targetsOf returns the targets in the tables.
func targetsOf(c *catalog.Catalog) (names []string) {
	for _, p := range c.Assemble().Pools {
		for i := range p.Targets {
			names = append(names, p.Targets[i].Name)
		}
	}
	return names
}

// afterSnapshot has an instance read a snapshot that lacks a target of which it knows only an
// earlier removal. An announcement of a peer that is behind follows.
func afterSnapshot() []string {
	now := time.Now()
	c, peer := newCatalog(now), newCatalog(now)
	for _, each := range []*catalog.Catalog{c, peer} {
		each.Merge(now, catalog.Targets, []catalog.Entry{put(kept, 1, 1, 1), put(id, 2, 1, 1)}, 2)
		each.Merge(now, catalog.Targets, []catalog.Entry{removal(id, 3)}, 3)
	}
	base := peer.Position()
	peer.Merge(now, catalog.Targets, []catalog.Entry{put(id, 4, 2, 1)}, 4)
	// The store removes the target at version 5; its history is gone.
	c.Replace(now, catalog.Targets, []catalog.Entry{put(kept, 1, 1, 1)}, 5)
	c.MergeAll(now, peer.EntriesAfter(now, base), peer.LiveKeysFor(base), peer.Position())
	c.Merge(now, catalog.Targets, nil, 6)
	return targetsOf(c)
}

// afterRestore has an instance learn from an older copy of the store that a target is there which
// had left. The instance keeps for a while that it has left, and learns meanwhile, from a peer that
// has just started, what is there now.
func afterRestore() []string {
	now := time.Now()
	c := newCatalog(now)
	c.Merge(now, catalog.Targets, []catalog.Entry{put(kept, 1, 1, 1), put(id, 2, 1, 1)}, 2)
	c.Merge(now, catalog.Targets, []catalog.Entry{removal(id, 3)}, 3)
	restored := func(e catalog.Entry) catalog.Entry {
		e.Version = catalog.VersionOf(1, e.Version)
		return e
	}
	c.Merge(now, catalog.Targets, []catalog.Entry{restored(put(kept, 1, 1, 1)), restored(put(id, 2, 1, 1))}, catalog.VersionOf(1, 2))
	// The store removes the target at version 3. The peer has read a snapshot since.
	started := newCatalog(now)
	started.Replace(now, catalog.Targets, []catalog.Entry{restored(put(kept, 1, 1, 1))}, catalog.VersionOf(1, 4))
	have := c.Position()
	c.MergeAll(now, started.EntriesAfter(now, have), started.LiveKeysFor(have), started.Position())
	c.ApplyDeferred(now.Add(time.Minute))
	return targetsOf(c)
}
