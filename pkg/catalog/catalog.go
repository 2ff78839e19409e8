package catalog

import (
	"cmp"
	"slices"
	"time"
)

// removalGrace is how long after the return of the platform's store a target
// whose entry has lapsed meanwhile is still used: live targets write their
// entries again within about two seconds.
const removalGrace = 2 * time.Second

// Position is how far a catalog has followed each topic.
type Position [TopicCount]uint64

// Behind reports whether p lacks something that other has.
func (p Position) Behind(other Position) bool {
	for t := range p {
		if p[t] < other[t] {
			return true
		}
	}
	return false
}

// storedEntry is an entry with what this instance has made of it.
type storedEntry struct {
	Entry
	// coldUntil ends the coldness that the entry told of.
	coldUntil time.Time
	// removeAt is when a removal that is held back counts; zero without one.
	removeAt time.Time
}

// Catalog holds the newest entry of each key. It is not safe for use from
// several goroutines at once.
type Catalog struct {
	entries  [TopicCount]map[string]*storedEntry
	position Position
	// deferUntil ends the time in which removals of a topic are held back.
	deferUntil [TopicCount]time.Time
	// changed is set when the tables have to be assembled anew.
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

// Position returns how far the catalog has come.
func (c *Catalog) Position() Position { return c.position }

// StoreRecovered tells that the platform's store answers again at now after an
// outage in which entries may have lapsed.
func (c *Catalog) StoreRecovered(now time.Time, t Topic) { c.deferUntil[t] = now.Add(removalGrace) }

// Merge takes in entries of one topic, and that nothing of the topic up to
// the version upTo is missing then.
func (c *Catalog) Merge(now time.Time, t Topic, entries []Entry, upTo uint64) {
	for i := range entries {
		c.apply(now, &entries[i])
	}
	c.position[t] = max(c.position[t], upTo)
}

// MergeAll takes in entries of any topics that together reach the position p.
func (c *Catalog) MergeAll(now time.Time, entries []Entry, p Position) {
	for i := range entries {
		c.apply(now, &entries[i])
	}
	for t := range p {
		c.position[t] = max(c.position[t], p[t])
	}
}

// Replace takes in all entries of one topic as of the version at: what is not
// among them has been removed.
func (c *Catalog) Replace(now time.Time, t Topic, entries []Entry, at uint64) {
	if at < c.position[t] {
		return
	}
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
	}
	for key, h := range c.entries[t] {
		if !present[key] && !h.Removed {
			c.apply(now, &Entry{Topic: t, Key: key, Version: at, Removed: true})
		}
	}
	c.Merge(now, t, entries, at)
}

// apply replaces the entry of the same key when e is newer.
func (c *Catalog) apply(now time.Time, e *Entry) {
	c.position[e.Topic] = max(c.position[e.Topic], e.Version)
	old := c.entries[e.Topic][e.Key]
	if old != nil && e.Version <= old.Version {
		return
	}
	if old != nil && old.Target != nil {
		if hold := max(e.RemovalDelay, c.deferUntil[e.Topic].Sub(now)); e.Removed && hold > 0 {
			old.Version = e.Version
			old.removeAt = now.Add(hold)
			return
		}
		if e.Target != nil && e.Target.StartMillis != 0 && e.Target.StartMillis < old.Target.StartMillis {
			// A late entry of an earlier incarnation.
			old.Version = e.Version
			return
		}
	}
	h := &storedEntry{Entry: *e}
	if e.Target != nil && e.Target.ColdRemaining > 0 {
		h.coldUntil = now.Add(e.Target.ColdRemaining)
	}
	c.entries[e.Topic][e.Key] = h
	c.changed = true
}

// ApplyDeferredRemovals applies the removals that have been held back long enough.
func (c *Catalog) ApplyDeferredRemovals(now time.Time) {
	for t := range c.entries {
		for _, h := range c.entries[t] {
			if h.removeAt.IsZero() || now.Before(h.removeAt) {
				continue
			}
			h.Entry = Entry{Topic: h.Topic, Key: h.Key, Version: h.Version, Removed: true}
			h.removeAt = time.Time{}
			c.changed = true
		}
	}
}

// EntriesAfter returns the entries above p, by topic and version, for an instance
// that does not get them from the store.
func (c *Catalog) EntriesAfter(now time.Time, p Position) []Entry {
	var out []Entry
	for t := range c.entries {
		for _, h := range c.entries[t] {
			if h.Version <= p[t] {
				continue
			}
			e := h.Entry
			if !h.removeAt.IsZero() {
				e = Entry{Topic: e.Topic, Key: e.Key, Version: e.Version, Removed: true, RemovalDelay: max(1, h.removeAt.Sub(now))}
			}
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
	})
	return out
}
