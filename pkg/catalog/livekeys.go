package catalog

import (
	"slices"
	"time"
)

// LiveKeys lists, for each topic of which an instance may not know all removals since a
// position, the keys that have an entry; nil for the other topics. A snapshot holds no
// removals, so an instance that has read one can tell another what there is now, and not what
// was removed before.
type LiveKeys [TopicCount]*KeyList

// KeyList is a list of keys, which may be empty.
type KeyList struct {
	Keys []string `json:"keys,omitempty"`
}

// IsZero reports whether l lists the keys of no topic.
func (l LiveKeys) IsZero() bool { return l == LiveKeys{} }

// LiveKeysFor returns the keys that a receiver with all entries up to p needs beside the
// entries after p to have all entries of the catalog and no others.
func (c *Catalog) LiveKeysFor(p Position) (live LiveKeys) {
	for t := range p {
		if p[t] >= c.removalsFrom[t] {
			continue
		}
		list := &KeyList{}
		for key, stored := range c.entries[t] {
			if !stored.Removed {
				list.Keys = append(list.Keys, key)
			}
		}
		slices.Sort(list.Keys)
		live[t] = list
	}
	return live
}

// removeUnlisted removes the entries of t that another catalog, which is complete up to
// version, lacks: live and changed hold the keys of what it has. It reports whether version is
// of a later generation of the store than what was known; see StoreRecovered.
func (c *Catalog) removeUnlisted(now time.Time, t Topic, live []string, changed []Entry, version uint64) (restored bool) {
	if restored = c.position[t] > 0 && GenerationOf(version) > GenerationOf(c.position[t]); restored {
		c.StoreRecovered(now, t)
	}
	present := make(map[string]bool, len(live)+len(changed))
	for _, key := range live {
		present[key] = true
	}
	for i := range changed {
		if changed[i].Topic == t {
			present[changed[i].Key] = true
		}
	}
	for key, stored := range c.entries[t] {
		switch {
		case present[key] || stored.Removed:
		case stored.isBeingRemoved() && !restored:
			stored.raise(max(version, stored.Version))
		default:
			c.apply(now, &Entry{Topic: t, Key: key, Version: version, Removed: true})
		}
	}
	return restored
}
