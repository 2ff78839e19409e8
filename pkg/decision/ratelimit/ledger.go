package ratelimit

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const (
	// MaxRecords is the largest number of records in a message.
	MaxRecords = 6
	// exportFor is how long after the target's last response that showed it, instances
	// send a record to each other.
	exportFor = 10 * time.Second
	// resendAfter is how much newer an unchanged record must be to be sent to an
	// instance that has it.
	resendAfter = 3 * time.Second
	// keepEnded is how long the end of a limit is kept, so that older records of the
	// limit are recognized.
	keepEnded = 30 * time.Second
	// keepGone is how long the limit of a target is kept that is not in the tables. Its
	// registration may have expired in an outage of the platform's store.
	keepGone = 30 * time.Second
	// endMargin is how much later than the last known announcement a peer must have
	// seen the end. Messages take a while, and the age in a record does not include it.
	endMargin = time.Second
	// maxNameBytes bounds the length of a target's name and of an incarnation.
	maxNameBytes = 128
)

// Record is what a target has last said of its limit, as instances exchange it.
type Record struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation,omitempty"`
	// PerSecond is the limit in requests per second. Ended is set when the target no
	// longer has one.
	PerSecond float64 `json:"per_second,omitempty"`
	Ended     bool    `json:"ended,omitempty"`
	// AgeMS is the time since the target's response, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Validate returns an error of kind fault.KindBadRequest for a list that no instance
// sends.
func Validate(recs []Record) error {
	if len(recs) > MaxRecords {
		return fault.New(fault.KindBadRequest, "%d records of rate limits, at most %d are accepted", len(recs), MaxRecords)
	}
	for _, r := range recs {
		badName := r.Target == "" || len(r.Target) > maxNameBytes || len(r.Incarnation) > maxNameBytes
		badLimit := math.IsNaN(r.PerSecond) || r.PerSecond < 0 || r.PerSecond > MaxPerSecond
		if badName || badLimit || r.AgeMS < 0 || r.AgeMS > exportFor.Milliseconds() {
			return fault.New(fault.KindBadRequest, "invalid record of a rate limit: target %.*q, %v per second, age %d ms", maxNameBytes, r.Target, r.PerSecond, r.AgeMS)
		}
	}
	return nil
}

// Identity is the name of a target and its incarnation as this instance knows it.
type Identity struct {
	Name        string
	Incarnation string
}

// Known is the limit of a target that a Ledger knows.
type Known struct {
	PerSecond float64
	// HeardAt is when any instance last received a response that announced it.
	HeardAt time.Time
}

// storedRecord is the record that a Ledger holds of one target.
type storedRecord struct {
	incarnation string
	perSecond   float64
	ended       bool
	// at is when the target's response was received.
	at time.Time
}

// Ledger holds what one instance knows about the limits of targets: from their responses
// and from the records of other instances. It is not safe for concurrent use.
type Ledger struct{ records map[string]*storedRecord }

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{records: make(map[string]*storedRecord)} }

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Observe records what a response of t says, to a request that was sent at sentAt. It
// reports whether the limit has changed. A response without a limit ends one only if the
// request was sent after the limit had last been announced: responses can overtake each
// other.
func (l *Ledger) Observe(now, sentAt time.Time, t Identity, n Notice) (changed bool) {
	known := l.find(t)
	switch n.State {
	case Limited:
		l.records[t.Name] = &storedRecord{incarnation: t.Incarnation, perSecond: n.PerSecond, at: now}
		return known == nil || known.ended || known.perSecond != n.PerSecond
	case Unlimited:
		if known == nil || sentAt.Before(known.at) {
			return false
		}
		changed = !known.ended
		known.ended, known.perSecond, known.at = true, 0, now
	}
	return changed
}

// find returns the record of t's present incarnation, or nil.
func (l *Ledger) find(t Identity) *storedRecord {
	if r := l.records[t.Name]; r != nil && sameIncarnation(r.incarnation, t.Incarnation) {
		return r
	}
	return nil
}

// sameIncarnation reports whether a and b may be the same incarnation of a target; an
// empty one is unknown.
func sameIncarnation(a, b string) bool { return a == b || a == "" || b == "" }

// Merge records what another instance has sent about t, if it is newer than what is
// known. It reports whether the limit has changed.
func (l *Ledger) Merge(now time.Time, received Record, t Identity) (changed bool) {
	if received.Target != t.Name || !sameIncarnation(received.Incarnation, t.Incarnation) {
		return false
	}
	at := now.Add(-time.Duration(received.AgeMS) * time.Millisecond)
	known := l.find(t)
	newerThan := time.Time{}
	if known != nil {
		newerThan = known.at
		if received.Ended && !known.ended {
			newerThan = newerThan.Add(endMargin)
		}
	}
	if !at.After(newerThan) {
		return false
	}
	l.records[t.Name] = &storedRecord{incarnation: t.Incarnation, perSecond: received.PerSecond, ended: received.Ended, at: at}
	if known == nil {
		return !received.Ended
	}
	return known.ended != received.Ended || known.perSecond != received.PerSecond
}

// Limits drops obsolete records and returns the limits in force by target name.
// incarnationOf returns the present incarnation of a target, and false for a target that
// is not in the tables. A target that starts anew has no limit until it announces one.
func (l *Ledger) Limits(now time.Time, incarnationOf func(name string) (string, bool)) map[string]Known {
	limits := make(map[string]Known)
	for name, r := range l.records {
		incarnation, present := incarnationOf(name)
		switch age := now.Sub(r.at); {
		case present && !sameIncarnation(incarnation, r.incarnation), !present && age >= keepGone, r.ended && age >= keepEnded:
			delete(l.records, name)
		case present && !r.ended:
			limits[name] = Known{PerSecond: r.perSecond, HeardAt: r.at}
		}
	}
	return limits
}

// Export returns the records to send with a message, without those that omit holds. Of
// more than MaxRecords, the messages of successive seconds contain different ones, in
// rotation.
func (l *Ledger) Export(now time.Time, omit []Record) []Record {
	var recs []Record
	for _, name := range slices.Sorted(maps.Keys(l.records)) {
		r := l.records[name]
		out := Record{Target: name, Incarnation: r.incarnation, PerSecond: r.perSecond, Ended: r.ended, AgeMS: max(0, now.Sub(r.at).Milliseconds())}
		if now.Sub(r.at) < exportFor && !slices.ContainsFunc(omit, out.sameNews) {
			recs = append(recs, out)
		}
	}
	if len(recs) <= MaxRecords {
		return recs
	}
	start := int(now.Unix()*MaxRecords) % len(recs)
	return append(recs[start:], recs[:start]...)[:MaxRecords]
}

// sameNews reports whether a receiver that has sent o learns nothing of use from r.
func (r Record) sameNews(o Record) bool {
	same := r.Target == o.Target && r.Incarnation == o.Incarnation && r.Ended == o.Ended && r.PerSecond == o.PerSecond
	return same && r.AgeMS+resendAfter.Milliseconds() >= o.AgeMS
}
