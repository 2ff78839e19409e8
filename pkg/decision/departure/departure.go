// Package departure decides what instances tell each other about targets that have
// said that they are leaving, what they believe of it and when they drop it. A target
// says so only with its own responses; without the exchange, each instance learns it
// from a request that it has sent to the target in vain.
//
// A record is tied to one incarnation of the target and to the version of its catalog
// entry. A target with another incarnation or a later entry has been described anew,
// and the record is dropped.
//
// Hearsay never takes more than half of a pool's targets that are otherwise usable:
// a false or outdated list must not empty a service. Of the rest, an instance learns
// by its own requests, which a leaving target refuses by itself.
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
	// TellFor is how long after the target's own notice it is passed on. A notice
	// passes through four messages in a region with relays, which are a second apart
	// each, and some of which are lost.
	TellFor = 10 * time.Second
	// KeepFor is how long after the target's own notice an instance believes what
	// others have told of it. An instance's own record holds at least as long.
	KeepFor = time.Minute
	// maxNameBytes bounds the length of a target's name and of an incarnation.
	maxNameBytes = 128
)

// Record is one target's notice as an instance passes it on.
type Record struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	// Entry is the version of the target's catalog entry at the instance that read
	// the notice, or zero without a catalog.
	Entry uint64 `json:"entry,omitempty"`
	// AgeMS is the time since the notice, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Validate returns an error of kind fault.KindBadRequest for a list that no instance
// sends.
func Validate(recs []Record) error {
	if len(recs) > MaxRecords {
		return fault.New(fault.KindBadRequest, "%d records of leaving targets, at most %d are accepted", len(recs), MaxRecords)
	}
	for _, r := range recs {
		if !isName(r.Target) || !isName(r.Incarnation) || r.AgeMS < 0 || r.AgeMS > TellFor.Milliseconds() {
			return fault.New(fault.KindBadRequest, "invalid record of leaving target %.*q, incarnation %.*q, age %d ms",
				maxNameBytes, r.Target, maxNameBytes, r.Incarnation, r.AgeMS)
		}
	}
	return nil
}

func isName(s string) bool { return s != "" && len(s) <= maxNameBytes }

// Target is a target as this instance knows it without the records of others.
type Target struct {
	Name        string
	Incarnation string
	Entry       uint64
	// Drained is set when the tables exclude the target, Leaving when this instance
	// has its own notice of the target.
	Drained bool
	Leaving bool
}

func (t *Target) usable() bool { return !t.Drained && !t.Leaving }

// Source states how an instance has come by a record.
type Source uint8

const (
	// Own: the target's own response to this instance.
	Own Source = iota
	// Request: a heartbeat that this instance has received.
	Request
	// Reply: the reply to a heartbeat of this instance. Those who reply know it
	// already, so it is not passed on to them.
	Reply
)

// Belief is a target that this instance believes to be leaving without a notice of
// its own.
type Belief struct {
	Target string
	// SaidAt is when the target said so, From the instance that passed it on.
	SaidAt time.Time
	From   string
}

// record is what is kept for one target.
type record struct {
	incarnation string
	entry       uint64
	saidAt      time.Time
	source      Source
	from        string
}

// describes reports whether the record is about t as it is now.
func (r *record) describes(t *Target) bool {
	return t.Incarnation != "" && r.incarnation == t.Incarnation && t.Entry <= r.entry
}

// expired reports whether the record is of no more use at now. This instance's own
// notice is recorded only to pass it on.
func (r *record) expired(now time.Time) bool {
	if r.source == Own {
		return now.Sub(r.saidAt) >= TellFor
	}
	return now.Sub(r.saidAt) >= KeepFor
}

// Ledger holds the records of one instance. It is not safe for concurrent use.
type Ledger struct {
	records map[string]*record
	// limit returns how many of n usable targets of a pool may be believed to leave.
	limit func(n int) int
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{records: make(map[string]*record), limit: maxBelieved}
}

// maxBelieved is half of n usable targets, so that hearsay never empties a pool.
func maxBelieved(n int) int { return n / 2 }

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Targets returns the names of the targets with records, in order.
func (l *Ledger) Targets() []string { return slices.Sorted(maps.Keys(l.records)) }

// Learn records the notice that t has sent to this instance. A notice that others
// have told before is not told for longer than theirs.
func (l *Ledger) Learn(now time.Time, t Target) {
	if !isName(t.Name) || !isName(t.Incarnation) {
		return
	}
	if r := l.records[t.Name]; r != nil && r.describes(&t) && !r.expired(now) {
		r.source = Own
		return
	}
	l.records[t.Name] = &record{incarnation: t.Incarnation, entry: t.Entry, saidAt: now, source: Own}
}

// Hear records what the instance from has told about t. It ignores what is not about
// t as it is known here, and what is known already.
func (l *Ledger) Hear(now time.Time, source Source, from string, told Record, t Target) {
	r := &record{
		incarnation: told.Incarnation, entry: told.Entry, saidAt: now.Add(-time.Duration(told.AgeMS) * time.Millisecond),
		source: source, from: from,
	}
	if told.Target != t.Name || !r.describes(&t) || t.Leaving || r.expired(now) {
		return
	}
	if known := l.records[t.Name]; known != nil && known.describes(&t) && !known.expired(now) {
		return
	}
	l.records[t.Name] = r
}

// Believe drops the records that have expired or no longer describe their target, and
// returns the targets to send no new requests to, in order. pools has the pools of all
// targets with records; targets that it lacks are gone.
func (l *Ledger) Believe(now time.Time, pools [][]Target) []Belief {
	l.drop(now, pools)
	var out []Belief
	for _, p := range pools {
		out = append(out, l.believeIn(p)...)
	}
	slices.SortFunc(out, func(a, b Belief) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// drop drops the records that are of no more use.
func (l *Ledger) drop(now time.Time, pools [][]Target) {
	current := make(map[string]*Target)
	for _, p := range pools {
		for i := range p {
			current[p[i].Name] = &p[i]
		}
	}
	maps.DeleteFunc(l.records, func(name string, r *record) bool {
		t := current[name]
		return t == nil || !r.describes(t) || r.expired(now) || r.source == Own && !t.Leaving
	})
}

// believeIn returns the targets of the pool p to believe to be leaving: those that said
// so first, up to the limit.
func (l *Ledger) believeIn(p []Target) []Belief {
	usable := 0
	var heard []Belief
	for i := range p {
		if !p[i].usable() {
			continue
		}
		usable++
		if r := l.records[p[i].Name]; r != nil {
			heard = append(heard, Belief{Target: p[i].Name, SaidAt: r.saidAt, From: r.from})
		}
	}
	slices.SortFunc(heard, func(a, b Belief) int {
		return cmp.Or(a.SaidAt.Compare(b.SaidAt), cmp.Compare(a.Target, b.Target))
	})
	return heard[:min(len(heard), l.limit(usable))]
}

// Tell returns the records to pass on with a message of this kind: all but those that
// came with a Reply for a Request, and all for a Reply. Records in omit are left out.
// With more than MaxRecords, the messages of successive seconds take turns.
func (l *Ledger) Tell(now time.Time, with Source, omit []Record) []Record {
	var recs []Record
	for _, name := range l.Targets() {
		r := l.records[name]
		age := now.Sub(r.saidAt)
		known := slices.ContainsFunc(omit, func(o Record) bool { return o.Target == name && o.Incarnation == r.incarnation })
		if age >= TellFor || known || with == Request && r.source == Reply {
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
