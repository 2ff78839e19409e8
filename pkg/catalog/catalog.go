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

// lateWriteWindow is how long after a write of a target the store may still carry out an
// earlier one. After it, an entry that seems earlier shows that what is known was not the
// target's, or that its clock has been set back.
const lateWriteWindow = 30 * time.Second

// Position is, for each topic, the version up to which a catalog is complete. Entries may be
// of later versions: those of the later pages of a snapshot are.
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
	// writtenAfter is a time at which the store did not hold the entry yet; zero if none
	// is known.
	writtenAfter time.Time
	// appliedAt is when the entry was applied.
	appliedAt time.Time
	// coldUntil is when the target is no longer cold.
	coldUntil time.Time
	// deferred takes the place of the entry at deferredUntil; nil without one.
	deferred      *Entry
	deferredUntil time.Time
	// lastTarget is the latest registration of the target, also once it is removed, and
	// lastPut the version in the store of the last entry that was not removed.
	lastTarget *Target
	lastPut    uint64
	// past are the configurations before this one, the latest first.
	past []*pastConfig
	// configDigest is the digest of Config; zero until it is needed.
	configDigest uint64
}

// deferTo makes e take the place of the entry at the given time.
func (s *storedEntry) deferTo(e Entry, at time.Time) {
	s.deferred, s.deferredUntil = &e, at
}

// isBeingRemoved reports whether the entry is kept only for a while.
func (s *storedEntry) isBeingRemoved() bool { return s.deferred != nil && s.deferred.Removed }

// at returns the entry with its Age and the ColdRemaining that remains at now.
func (s *storedEntry) at(now time.Time) Entry {
	e := s.Entry
	e.Age = 0
	if !s.writtenAfter.IsZero() {
		e.Age = now.Sub(s.writtenAfter)
	}
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
	// removalsFrom is, for each topic, the version of the last snapshot, of the store or of
	// another catalog: the entries hold all removals after it.
	removalsFrom Position
	// changed is set when the entries have changed since the last call of Assemble.
	changed bool
	// oldestChange is a time at which the store held none of the changes since the last
	// call of TakeOldestChange; zero if none is known.
	oldestChange time.Time
	kept         Kept
	refused      Refused
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

// MergeAll applies entries of any topics from another catalog, which make the catalog complete
// up to the position p. Of the topics in live, it removes what the other catalog lacks.
func (c *Catalog) MergeAll(now time.Time, entries []Entry, live LiveKeys, p Position) {
	for t, list := range live {
		if list != nil {
			c.removeUnlisted(now, Topic(t), list.Keys, entries, p[t])
		}
	}
	for i := range entries {
		c.apply(now, &entries[i])
	}
	for t := range p {
		c.position[t] = max(c.position[t], p[t])
		if live[t] != nil {
			c.removalsFrom[t] = max(c.removalsFrom[t], p[t])
		}
	}
}

// Replace applies a snapshot of the topic t: all its entries as of version, some of which may
// have been replaced by later ones. Entries that the snapshot lacks are removed. A snapshot
// older than the catalog's position is ignored. It reports whether the snapshot is of a later
// generation of the store than what was known.
func (c *Catalog) Replace(now time.Time, t Topic, entries []Entry, version uint64) (restored bool) {
	if version < c.position[t] {
		return false
	}
	restored = c.removeUnlisted(now, t, nil, entries, version)
	c.Merge(now, t, entries, version)
	c.removalsFrom[t] = version
	return restored
}

// apply stores e if its version is higher than that of the stored entry of its key.
// The removal of a target is deferred if e has a removal delay or the store has
// just recovered. An entry that its target wrote before the one stored, or that only an
// older copy of the store contains, only raises the version, as does one of the operators
// that is unreadable. Of two configurations the one with the higher number counts, whatever
// the versions of their entries. An entry of no topic is ignored, and so is a patch that is
// not for the configuration of the catalog; see CanApply.
func (c *Catalog) apply(now time.Time, e *Entry) {
	if !e.Topic.valid() {
		c.refused.add(e.Key)
		return
	}
	e, ok := c.withConfig(e)
	if !ok {
		return
	}
	old := c.entries[e.Topic][e.Key]
	e = checked(e, old)
	switch {
	case old == nil && e.Version < c.removalsFrom[e.Topic]:
		// The snapshot lacked the key: e is a late response of before.
		return
	case old != nil && e.Version <= old.Version && !old.hasOlderConfigThan(e):
		return
	}
	if e.Unreadable {
		c.refused.add(e.Key)
	}
	if old != nil && !c.replaces(now, old, e) {
		old.raise(e.Version)
		return
	}
	stored := &storedEntry{Entry: *e, appliedAt: now, lastTarget: e.Target, lastPut: StoredVersionOf(e.Version)}
	if old != nil {
		stored.Version = max(e.Version, old.Version)
	}
	if (e.Removed || e.Unreadable) && old != nil {
		stored.lastTarget, stored.lastPut = old.lastTarget, old.lastPut
	}
	if e.Config != nil && old != nil && old.Config != nil {
		stored.past = old.pastWith()
	}
	if e.Age > 0 {
		stored.writtenAfter = now.Add(-e.Age)
		if c.oldestChange.IsZero() || stored.writtenAfter.Before(c.oldestChange) {
			c.oldestChange = stored.writtenAfter
		}
	}
	if e.Target != nil && e.Target.ColdRemaining > 0 {
		stored.coldUntil = now.Add(e.Target.ColdRemaining)
	}
	c.entries[e.Topic][e.Key] = stored
	c.changed = true
}

// replaces reports whether e, which has a higher version or a configuration of a higher
// number, takes the place of old now.
func (c *Catalog) replaces(now time.Time, old *storedEntry, e *Entry) bool {
	switch {
	case e.Unreadable && e.Topic == Operators:
		return false
	case old.Config != nil && (e.Config == nil || e.Config.Version < old.Config.Version):
		c.kept.Configs++
		return false
	}
	if GenerationOf(e.Version) > GenerationOf(old.Version) && c.reconcile(now, old, e) {
		return false
	}
	if old.Target == nil {
		return e.Target == nil || old.lastTarget == nil || !old.overtakes(now, e.Target, old.lastTarget)
	}
	if delay := max(e.RemovalDelay, c.deferUntil[e.Topic].Sub(now)); e.Removed && delay > 0 {
		old.deferTo(*e, now.Add(delay))
		return false
	}
	// The store may carry out a write long after a later one of the same target.
	return e.Target == nil || !old.overtakes(now, e.Target, old.Target)
}

// overtakes reports whether the target wrote t before known, which has overtaken it in the
// store.
func (s *storedEntry) overtakes(now time.Time, t, known *Target) bool {
	return t.olderThan(known) && now.Sub(s.appliedAt) < lateWriteWindow
}

// TakeOldestChange returns a time at which the store held none of the entries applied
// since the last call, and whether one is known. Deferred entries don't count.
func (c *Catalog) TakeOldestChange() (at time.Time, ok bool) {
	at, c.oldestChange = c.oldestChange, time.Time{}
	return at, !at.IsZero()
}

// ApplyDeferred applies the deferred entries that are due at now.
func (c *Catalog) ApplyDeferred(now time.Time) {
	for t := range c.entries {
		for _, stored := range c.entries[t] {
			if stored.deferred == nil || now.Before(stored.deferredUntil) {
				continue
			}
			version := stored.Version
			stored.Entry, stored.deferred = *stored.deferred, nil
			stored.Version, stored.RemovalDelay = version, 0
			c.changed = true
		}
	}
}

// EntriesAfter returns the entries with versions above p, ordered by topic and
// version, for an instance that does not receive them from the store; see LiveKeysFor for
// removals that they don't hold. A deferred removal is returned with the delay that remains
// at now, and a target with the ColdRemaining that remains at now. The Age of a deferred
// entry is not known.
func (c *Catalog) EntriesAfter(now time.Time, p Position) []Entry {
	var out []Entry
	for t := range c.entries {
		for _, stored := range c.entries[t] {
			if stored.Version <= p[t] {
				continue
			}
			e := stored.at(now)
			if d := stored.deferred; d != nil {
				e = *d
				e.Version, e.Age = stored.Version, 0
				if e.Removed {
					e.RemovalDelay = max(1, stored.deferredUntil.Sub(now))
				}
			}
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
	})
	return out
}
