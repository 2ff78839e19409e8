package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies the members of this zone that are not suspected, with
// their states and self.
func (v *View) Digest(now time.Time) uint64 {
	var used []Member
	for _, m := range v.CellMembers(now, v.self.EffectiveCell()) {
		if m.State != Suspect {
			used = append(used, m)
		}
	}
	return digest(v.withSelf(used))
}

// ReportSet is what an instance tells of members of its cell.
type ReportSet struct {
	// Reports may be left out when the receiver knows them by their digest.
	Reports []Report `json:"reports,omitempty"`
	// Digest equals that of a view in which just these are not suspected.
	Digest uint64 `json:"digest"`
	// Age is that of the oldest report.
	Age time.Duration `json:"age"`
}

// Reports returns what to tell a peer of the cell. Only what this instance has
// heard itself is passed on, so that two peers don't keep a third alive; a
// watcher passes on what it has heard from relays as well.
func (v *View) Reports(now time.Time) ReportSet {
	if v.relays.inUse(now) && v.relays.watching {
		return v.used(now)
	}
	w, heard := v.witnessed(now, func(e *entry) time.Time { return e.direct })
	w.Digest = digest(v.withSelf(heard))
	return w
}

// witnessed returns the members of the cell that were heard from lately.
func (v *View) witnessed(now time.Time, last func(*entry) time.Time) (ReportSet, []Member) {
	var w ReportSet
	var heard []Member
	for _, m := range v.CellMembers(now, v.self.EffectiveCell()) {
		age := now.Sub(last(v.entries[m.ID]))
		if age >= v.timing.SuspectAfter {
			continue
		}
		heard = append(heard, m)
		w.add(m.Info, age)
	}
	return w, heard
}

// add adds the report of one member.
func (w *ReportSet) add(in Info, age time.Duration) {
	w.Reports = append(w.Reports, Report{Info: in, Age: age})
	w.Age = max(w.Age, age)
}

// withSelf adds this instance to ms, by id.
func (v *View) withSelf(ms []Member) []Member {
	ms = append(ms, Member{Info: v.self})
	sort.Slice(ms, func(i, j int) bool { return ms[i].ID < ms[j].ID })
	return ms
}

func digest(ms []Member) uint64 {
	d := xxhash.New()
	for _, m := range ms {
		_, _ = d.WriteString(m.ID + "\x00" + m.Incarnation)
		if m.Leaving {
			_, _ = d.WriteString("\x00leaving")
		}
		_, _ = d.WriteString("\n")
	}
	return d.Sum64()
}
