package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of self and the members of the cell that are not
// suspected: their ids and incarnations, and whether they are leaving.
func (v *View) Digest(now time.Time) uint64 {
	var unsuspected []Member
	for _, m := range v.CellMembers(now, v.self.EffectiveCell()) {
		if m.State != Suspect {
			unsuspected = append(unsuspected, m)
		}
	}
	return digestOf(v.withSelf(unsuspected))
}

// ReportSet is a set of reports about members of the sender's cell.
type ReportSet struct {
	// Reports may be omitted when the receiver can identify them by Digest.
	Reports []Report `json:"reports,omitempty"`
	// Digest is the hash of the members reported on and, except in the reports of
	// a relay about its downstream members, of the sender.
	Digest uint64 `json:"digest"`
	// Age is the age of the oldest report, or that of the verdict.
	Age time.Duration `json:"age"`
}

// Reports returns the reports to send to a peer of the cell. They cover only the
// members from which this instance itself has received messages, so that two peers
// do not keep a failed third one alive. A watcher also forwards the reports of
// relays.
func (v *View) Reports(now time.Time) ReportSet {
	if v.relays.inUse(now) && v.relays.isWatcher {
		return v.unsuspected(now)
	}
	reports, members := v.recentReports(now, func(e *entry) time.Time { return e.lastDirect })
	reports.Digest = digestOf(v.withSelf(members))
	return reports
}

// recentReports returns the members of the cell that were last seen, according to
// lastSeen, less than SuspectAfter ago, and the reports about them.
func (v *View) recentReports(now time.Time, lastSeen func(*entry) time.Time) (ReportSet, []Member) {
	var reports ReportSet
	var members []Member
	for _, m := range v.CellMembers(now, v.self.EffectiveCell()) {
		age := now.Sub(lastSeen(v.entries[m.ID]))
		if age >= v.timing.SuspectAfter {
			continue
		}
		members = append(members, m)
		reports.add(m.Info, age)
	}
	return reports, members
}

// add appends a report about one member.
func (s *ReportSet) add(in Info, age time.Duration) {
	s.Reports = append(s.Reports, Report{Info: in, Age: age})
	s.Age = max(s.Age, age)
}

// withSelf returns ms with this instance added, sorted by id.
func (v *View) withSelf(ms []Member) []Member {
	ms = append(ms, Member{Info: v.self})
	sort.Slice(ms, func(i, j int) bool { return ms[i].ID < ms[j].ID })
	return ms
}

// digestOf returns a hash of the members' ids and incarnations, and of whether they
// are leaving. ms must be sorted.
func digestOf(ms []Member) uint64 {
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
