package catalog

import (
	"cmp"
	"slices"
	"time"
)

// removalGrace is how long after an outage of the platform's store removals of
// targets are deferred. Their entries may have expired during the outage, and live
// targets write them again within about two seconds.
const removalGrace = 2 * time.Second

// Position is, for each topic, the version up to which a catalog is complete.
type Position [TopicCount]uint64

// Behind reports whether p is lower than other in any topic.
func (p Position) Behind(other Position) bool {
	for t := range p {
		if p[t] < other[t] {
			return true
		}
	}
	return false
}

// storedEntry is an entry with the times derived from it by the local clock.
type storedEntry struct {
	Entry
	// coldUntil is when the target is no longer cold.
	coldUntil time.Time
	// removeAt is when a deferred removal takes effect; zero without one.
	removeAt time.Time
}

// at returns the entry with the ColdRemaining that remains at now.
func (s *storedEntry) at(now time.Time) Entry {
	e := s.Entry
	if e.Target == nil || s.coldUntil.IsZero() {
		return e
	}
	target := *e.Target
	target.ColdRemaining = max(0, s.coldUntil.Sub(now))
	e.Target = &target
	return e
}

// Catalog holds the latest entry of each key. It is not safe for concurrent use.
type Catalog struct {
	entries  [TopicCount]map[string]*storedEntry
	position Position
	// deferUntil is, for each topic, when removals are no longer deferred.
	deferUntil [TopicCount]time.Time
	// changed is set when the entries have changed since the last call of Assemble.
	changed bool
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{}
	for t := range c.entries {
		c.entries[t] = make(map[string]*storedEntry)
	}
	return c
}

// Position returns the versions up to which the catalog is complete.
func (c *Catalog) Position() Position { return c.position }

// StoreRecovered records that the platform's store responds again at now after an
// outage in which entries of t may have expired. Removals of targets in t are
// deferred for removalGrace from now on.
func (c *Catalog) StoreRecovered(now time.Time, t Topic) { c.deferUntil[t] = now.Add(removalGrace) }

// Merge applies entries of the topic t, which make the catalog complete up to the
// version upTo.
func (c *Catalog) Merge(now time.Time, t Topic, entries []Entry, upTo uint64) {
	for i := range entries {
		c.apply(now, &entries[i])
	}
	c.position[t] = max(c.position[t], upTo)
}

// MergeAll applies entries of any topics, which make the catalog complete up to the
// position p.
func (c *Catalog) MergeAll(now time.Time, entries []Entry, p Position) {
	for i := range entries {
		c.apply(now, &entries[i])
	}
	for t := range p {
		c.position[t] = max(c.position[t], p[t])
	}
}

// Replace applies a snapshot of the topic t: all its entries as of version.
// Entries that the snapshot lacks are removed. A snapshot older than the catalog's
// position is ignored.
func (c *Catalog) Replace(now time.Time, t Topic, entries []Entry, version uint64) {
	if version < c.position[t] {
		return
	}
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
	}
	for key, stored := range c.entries[t] {
		if !present[key] && !stored.Removed {
			c.apply(now, &Entry{Topic: t, Key: key, Version: version, Removed: true})
		}
	}
	c.Merge(now, t, entries, version)
}

// apply stores e if its version is higher than that of the stored entry of its key.
// The removal of a target is deferred if e has a removal delay or the store has
// just recovered. An entry of an earlier incarnation only raises the version.
func (c *Catalog) apply(now time.Time, e *Entry) {
	c.position[e.Topic] = max(c.position[e.Topic], e.Version)
	old := c.entries[e.Topic][e.Key]
	if old != nil && e.Version <= old.Version {
		return
	}
	if old != nil && old.Target != nil {
		if delay := max(e.RemovalDelay, c.deferUntil[e.Topic].Sub(now)); e.Removed && delay > 0 {
			old.Version = e.Version
			old.removeAt = now.Add(delay)
			return
		}
		if e.Target != nil && e.Target.StartMillis != 0 && e.Target.StartMillis < old.Target.StartMillis {
			// A delayed entry of an earlier incarnation of the target.
			old.Version = e.Version
			return
		}
	}
	stored := &storedEntry{Entry: *e}
	if e.Target != nil && e.Target.ColdRemaining > 0 {
		stored.coldUntil = now.Add(e.Target.ColdRemaining)
	}
	c.entries[e.Topic][e.Key] = stored
	c.changed = true
}

// ApplyDeferredRemovals applies the deferred removals that are due at now.
func (c *Catalog) ApplyDeferredRemovals(now time.Time) {
	for t := range c.entries {
		for _, stored := range c.entries[t] {
			if stored.removeAt.IsZero() || now.Before(stored.removeAt) {
				continue
			}
			stored.Entry = Entry{Topic: stored.Topic, Key: stored.Key, Version: stored.Version, Removed: true}
			stored.removeAt = time.Time{}
			c.changed = true
		}
	}
}

// EntriesAfter returns the entries with versions above p, ordered by topic and
// version, for an instance that does not receive them from the store. A deferred
// removal is returned with the delay that remains at now, and a target with the
// ColdRemaining that remains at now.
func (c *Catalog) EntriesAfter(now time.Time, p Position) []Entry {
	var out []Entry
	for t := range c.entries {
		for _, stored := range c.entries[t] {
			if stored.Version <= p[t] {
				continue
			}
			e := stored.at(now)
			if !stored.removeAt.IsZero() {
				e = Entry{Topic: e.Topic, Key: e.Key, Version: e.Version, Removed: true, RemovalDelay: max(1, stored.removeAt.Sub(now))}
			}
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
	})
	return out
}
