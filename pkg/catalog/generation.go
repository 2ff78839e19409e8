package catalog

import "time"

// The versions of a catalog combine the generation of the platform's store with the
// version of the store's row. The generation rises when the store is restored from an
// older copy, after which it gives out versions again; so an entry of a later generation
// is newer, whatever its version in the store.
const (
	// storedVersionBits is the number of bits of a version that hold the version in the
	// store.
	storedVersionBits = 40
	// MaxGeneration is the largest generation.
	MaxGeneration = 1<<(64-storedVersionBits) - 1
	// MaxStoredVersion is the largest version in the store.
	MaxStoredVersion = 1<<storedVersionBits - 1
)

// VersionOf returns the version of a row that has the version stored in a generation of the
// store.
func VersionOf(generation, stored uint64) uint64 {
	return min(generation, MaxGeneration)<<storedVersionBits | min(stored, MaxStoredVersion)
}

// GenerationOf returns the generation of the store in which version was given out.
func GenerationOf(version uint64) uint64 { return version >> storedVersionBits }

// StoredVersionOf returns the row's version in the store.
func StoredVersionOf(version uint64) uint64 { return version & MaxStoredVersion }

// restoreGrace is how long after a restore what is known is kept where the store's copy
// says something else: operators and targets write again what the copy lacks. Within it,
// and not after it, the copy's word does not count as theirs.
const restoreGrace = 2500 * time.Millisecond

// reappearGrace is how long a target that is known to be gone stays so although the copy
// has its registration. The store drops the registration of a target that has been silent
// for three of its intervals, and a target that lives writes again.
const reappearGrace = 6 * time.Second

// Kept counts what a catalog has kept against an older copy of the store, or against older
// configurations that are written again.
type Kept struct {
	Configs, Evacuations, Targets int
}

func (k Kept) total() int { return k.Configs + k.Evacuations + k.Targets }

// reconcile decides on e, the first word of a later generation of the store about the key
// of old. It reports true if e is only what the older copy says, and what is known stays:
//
//   - a target's state that the target has written later than that of the copy,
//   - that a target is gone, for reappearGrace, unless it has written since,
//   - an evacuation that the copy lacks, or its end if the copy still has the same one, for
//     restoreGrace.
//
// A target that the copy lacks is kept for removalGrace by apply.
func (c *Catalog) reconcile(now time.Time, old *storedEntry, e *Entry) (keep bool) {
	switch {
	case old.EvacuatedZone != "" && e.Removed:
		c.kept.Evacuations++
		old.deferTo(*e, now.Add(restoreGrace))
		return true
	case old.Removed && e.EvacuatedZone != "" && StoredVersionOf(e.Version) == old.lastPut:
		c.kept.Evacuations++
		old.deferTo(*e, now.Add(restoreGrace))
		return true
	case old.Removed && e.Target != nil && old.lastTarget != nil && !old.lastTarget.olderThan(e.Target):
		c.kept.Targets++
		old.deferTo(*e, now.Add(reappearGrace))
		return true
	case old.Target != nil && e.Target != nil && e.Target.olderThan(old.Target):
		c.kept.Targets++
		return true
	}
	return false
}

// hasOlderConfigThan reports whether s and e hold configurations and that of e has the higher
// number. After a restore of the store, the versions of their entries don't tell that: instances
// keep a later configuration than that of the copy under the version of its entry, and the
// operators write those that the copy lacks again, each as a new row.
func (s *storedEntry) hasOlderConfigThan(e *Entry) bool {
	return e.Config != nil && s.Config != nil && e.Config.Version > s.Config.Version
}

// olderThan reports whether the target wrote t before o. Registrations without a start
// time can't be compared.
func (t *Target) olderThan(o *Target) bool {
	if t.StartMillis == 0 || o.StartMillis == 0 {
		return false
	}
	if t.StartMillis != o.StartMillis {
		return t.StartMillis < o.StartMillis
	}
	return t.Sequence < o.Sequence
}

// TakeKept returns what has been kept against an older copy of the store since the last
// call, and whether there was anything.
func (c *Catalog) TakeKept() (k Kept, ok bool) {
	k, c.kept = c.kept, Kept{}
	return k, k.total() > 0
}
