// Package departure propagates the leaving notices of targets between instances. It
// decides which notices an instance sends to its peers, which of the received ones it
// acts on, and when it drops them. A target sends its notice only with its own
// responses; without the propagation, each instance would need a refused request of
// its own to receive it.
//
// A record is tied to one incarnation of the target and to the version of its catalog
// entry. A target with another incarnation or a later entry is described anew by the
// catalog, and the record is dropped.
//
// The reports of peers exclude at most half of a pool's targets that are otherwise
// usable: a false or outdated list must not leave a service without targets. The other
// half stays in use until it responds to this instance with notices of its own; a
// leaving target refuses requests by itself.
package departure

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const (
	// MaxRecords is the largest number of records in a message. A record takes up to
	// about 100 bytes before compression, and the watchers reply to the heartbeats of a
	// whole region every second.
	MaxRecords = 4
	// PropagateFor is how long after the target sent a notice instances propagate it.
	// In a region with relays, a notice needs four messages, which are a second apart
	// each, and some of which are lost.
	PropagateFor = 10 * time.Second
	// KeepFor is how long after the target sent a notice an instance acts on a peer's
	// report of it. A notice that the instance itself has received is in force at
	// least as long.
	KeepFor = time.Minute
	// maxNameBytes bounds the length of a target's name and of an incarnation.
	maxNameBytes = 128
)

// Record is one target's leaving notice as instances propagate it.
type Record struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	// Entry is the version of the target's catalog entry at the instance that received
	// the notice from the target, or zero without a catalog.
	Entry uint64 `json:"entry,omitempty"`
	// AgeMS is the time since the target sent the notice, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Validate returns an error of kind fault.KindBadRequest for a list that no instance
// sends.
func Validate(recs []Record) error {
	if len(recs) > MaxRecords {
		return fault.New(fault.KindBadRequest, "%d records of leaving targets, at most %d are accepted", len(recs), MaxRecords)
	}
	for _, r := range recs {
		if !isName(r.Target) || !isName(r.Incarnation) || r.AgeMS < 0 || r.AgeMS > PropagateFor.Milliseconds() {
			return fault.New(fault.KindBadRequest, "invalid record of leaving target %.*q, incarnation %.*q, age %d ms",
				maxNameBytes, r.Target, maxNameBytes, r.Incarnation, r.AgeMS)
		}
	}
	return nil
}

func isName(s string) bool { return s != "" && len(s) <= maxNameBytes }

// Target is a target as this instance knows it without the reports of peers.
type Target struct {
	Name        string
	Incarnation string
	Entry       uint64
	// Drained is set when the tables exclude the target, Leaving when this instance
	// itself has received the target's notice.
	Drained bool
	Leaving bool
}

func (t *Target) usable() bool { return !t.Drained && !t.Leaving }

// Source states how an instance has received a record. Request and Reply also name
// the kind of message that a record is sent with.
type Source uint8

const (
	// Own: the target's own response to this instance.
	Own Source = iota
	// Request: a heartbeat that this instance has received.
	Request
	// Reply: the reply to a heartbeat of this instance. The receivers of its
	// heartbeats have such a record already, so it is not sent to them.
	Reply
)

// Exclusion is a target that this instance excludes from new requests because a peer
// has reported its notice. The instance itself has not received the notice.
type Exclusion struct {
	Target string
	// NoticeAt is when the target sent the notice, ReportedBy the peer.
	NoticeAt   time.Time
	ReportedBy string
}

// storedRecord is the record that a Ledger holds of one target's notice. reportedBy
// is the peer whose report was recorded, or empty without one.
type storedRecord struct {
	incarnation string
	entry       uint64
	noticeAt    time.Time
	source      Source
	reportedBy  string
}

// describes reports whether the record is about t as this instance knows it now: about
// its incarnation, and no older than its entry.
func (r *storedRecord) describes(t *Target) bool {
	return t.Incarnation != "" && r.incarnation == t.Incarnation && t.Entry <= r.entry
}

// expired reports whether the record is of no more use at now. A record of a notice
// that this instance itself has received serves only to propagate it.
func (r *storedRecord) expired(now time.Time) bool {
	if r.source == Own {
		return now.Sub(r.noticeAt) >= PropagateFor
	}
	return now.Sub(r.noticeAt) >= KeepFor
}

// Ledger holds the records of one instance. It is not safe for concurrent use.
type Ledger struct {
	records map[string]*storedRecord
	// limit returns how many of n usable targets of a pool the reports of peers may
	// exclude.
	limit func(n int) int
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{records: make(map[string]*storedRecord), limit: maxExcluded}
}

// maxExcluded is half of n usable targets, so that the reports of peers never exclude
// all targets of a pool.
func maxExcluded(n int) int { return n / 2 }

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Targets returns the names of the targets with records, in order.
func (l *Ledger) Targets() []string { return slices.Sorted(maps.Keys(l.records)) }

// RecordOwn records the notice that t has sent to this instance. If a peer has reported
// it before, the time of that notice stays, so that it is not propagated for longer.
func (l *Ledger) RecordOwn(now time.Time, t Target) {
	if !isName(t.Name) || !isName(t.Incarnation) {
		return
	}
	if r := l.records[t.Name]; r != nil && r.describes(&t) && !r.expired(now) {
		r.source = Own
		return
	}
	l.records[t.Name] = &storedRecord{incarnation: t.Incarnation, entry: t.Entry, noticeAt: now, source: Own}
}

// Merge records the notice of t that the peer reportedBy has sent. It ignores a record
// that does not describe t as this instance knows it, has expired or is already here,
// and all records of a target whose notice this instance itself has received.
func (l *Ledger) Merge(now time.Time, source Source, reportedBy string, received Record, t Target) {
	r := &storedRecord{
		incarnation: received.Incarnation, entry: received.Entry, noticeAt: now.Add(-time.Duration(received.AgeMS) * time.Millisecond),
		source: source, reportedBy: reportedBy,
	}
	if received.Target != t.Name || !r.describes(&t) || t.Leaving || r.expired(now) {
		return
	}
	if known := l.records[t.Name]; known != nil && known.describes(&t) && !known.expired(now) {
		return
	}
	l.records[t.Name] = r
}

// Exclude drops obsolete records and returns the targets to send no new requests to
// because of peers' reports, in the order of their names.
// pools has the pools of all targets with records; targets that it lacks are gone.
func (l *Ledger) Exclude(now time.Time, pools [][]Target) []Exclusion {
	l.dropObsolete(now, pools)
	var out []Exclusion
	for _, p := range pools {
		out = append(out, l.excludeFrom(p)...)
	}
	slices.SortFunc(out, func(a, b Exclusion) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// dropObsolete drops the records that have expired or no longer describe their target,
// and those of notices to this instance that are no longer in force.
func (l *Ledger) dropObsolete(now time.Time, pools [][]Target) {
	current := make(map[string]*Target)
	for _, p := range pools {
		for i := range p {
			current[p[i].Name] = &p[i]
		}
	}
	maps.DeleteFunc(l.records, func(name string, r *storedRecord) bool {
		t := current[name]
		return t == nil || !r.describes(t) || r.expired(now) || r.source == Own && !t.Leaving
	})
}

// excludeFrom returns the targets of the pool p to exclude because of peers' reports:
// those with the earliest notices, up to the limit.
func (l *Ledger) excludeFrom(p []Target) []Exclusion {
	usable := 0
	var reported []Exclusion
	for i := range p {
		if !p[i].usable() {
			continue
		}
		usable++
		if r := l.records[p[i].Name]; r != nil {
			reported = append(reported, Exclusion{Target: p[i].Name, NoticeAt: r.noticeAt, ReportedBy: r.reportedBy})
		}
	}
	slices.SortFunc(reported, func(a, b Exclusion) int {
		return cmp.Or(a.NoticeAt.Compare(b.NoticeAt), cmp.Compare(a.Target, b.Target))
	})
	return reported[:min(len(reported), l.limit(usable))]
}

// Export returns the records to send with a message of the given kind: for a Reply all,
// for a Request all except those received with a Reply. Records in omit are left out.
// Of more than MaxRecords, the messages of successive seconds contain different ones,
// in rotation.
func (l *Ledger) Export(now time.Time, message Source, omit []Record) []Record {
	var recs []Record
	for _, name := range l.Targets() {
		r := l.records[name]
		age := now.Sub(r.noticeAt)
		omitted := slices.ContainsFunc(omit, func(o Record) bool { return o.Target == name && o.Incarnation == r.incarnation })
		if age >= PropagateFor || omitted || message == Request && r.source == Reply {
			continue
		}
		recs = append(recs, Record{Target: name, Incarnation: r.incarnation, Entry: r.entry, AgeMS: max(0, age.Milliseconds())})
	}
	if len(recs) <= MaxRecords {
		return recs
	}
	start := int(now.Unix()*MaxRecords) % len(recs)
	return append(recs[start:], recs[:start]...)[:MaxRecords]
}
