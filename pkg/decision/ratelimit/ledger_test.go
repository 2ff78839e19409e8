package ratelimit

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

var epoch = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

var target = Identity{Name: "t", Incarnation: "1"}

func limited(perSecond float64) Notice { return Notice{State: Limited, PerSecond: perSecond} }

// limitOf returns the limit of target in l at now, or a negative number without one.
func limitOf(l *Ledger, now time.Time) float64 {
	known, ok := l.Limits(now, func(string) (string, bool) { return target.Incarnation, true })[target.Name]
	if !ok {
		return -1
	}
	return known.PerSecond
}

func TestLimitLastsUntilAResponseWithoutIt(t *testing.T) {
	l := NewLedger()
	if !l.Observe(at(0), at(0), target, limited(2)) || l.Observe(at(1), at(1), target, limited(2)) || !l.Observe(at(2), at(2), target, limited(3)) {
		t.Error("want changes from the first announcement and from another limit")
	}
	if got := limitOf(l, at(time.Hour)); got != 3 {
		t.Errorf("limit %v an hour later, want 3", got)
	}
	if l.Observe(at(time.Hour), at(time.Hour), target, Notice{}) || limitOf(l, at(time.Hour)) != 3 {
		t.Error("a response that says nothing changed the limit")
	}
	if !l.Observe(at(time.Hour), at(time.Hour), target, Notice{State: Unlimited}) || limitOf(l, at(time.Hour)) != -1 {
		t.Error("the limit did not end")
	}
	if l.Observe(at(time.Hour+1), at(time.Hour+1), target, Notice{State: Unlimited}) {
		t.Error("the limit ended twice")
	}
}

// TestResponseToAnEarlierRequestEndsNoLimit covers a response that was under way while the
// target announced its limit with a later one.
func TestResponseToAnEarlierRequestEndsNoLimit(t *testing.T) {
	l := NewLedger()
	l.Observe(at(time.Second), at(900*time.Millisecond), target, limited(2))
	if l.Observe(at(2*time.Second), at(800*time.Millisecond), target, Notice{State: Unlimited}) || limitOf(l, at(2*time.Second)) != 2 {
		t.Error("a response to a request sent before the announcement ended the limit")
	}
}

func TestNewerNewsOfPeersCounts(t *testing.T) {
	news := func(perSecond float64, ended bool, age time.Duration) Record {
		return Record{Target: "t", Incarnation: "1", PerSecond: perSecond, Ended: ended, AgeMS: age.Milliseconds()}
	}
	for name, c := range map[string]struct {
		received Record
		want     float64
	}{
		"newer limit":                  {news(5, false, time.Second), 5},
		"older limit":                  {news(5, false, 4*time.Second), 2},
		"newer end":                    {news(0, true, time.Second), -1},
		"end within the message delay": {news(0, true, 2500*time.Millisecond), 2},
		"another incarnation":          {Record{Target: "t", Incarnation: "2", PerSecond: 5}, 2},
		"another target":               {Record{Target: "u", Incarnation: "1", PerSecond: 5}, 2},
		"unknown incarnation":          {Record{Target: "t", PerSecond: 5}, 5},
	} {
		l := NewLedger()
		l.Observe(at(0), at(0), target, limited(2))
		now := at(3 * time.Second)
		if changed := l.Merge(now, c.received, target); limitOf(l, now) != c.want || changed != (c.want != 2) {
			t.Errorf("%s: limit %v, want %v; changed %t", name, limitOf(l, now), c.want, changed)
		}
	}
}

func TestTargetThatStartsAnewHasNoLimit(t *testing.T) {
	l := NewLedger()
	l.Observe(at(0), at(0), target, limited(2))
	next := func(string) (string, bool) { return "2", true }
	if got := l.Limits(at(1), next); len(got) != 0 || l.Len() != 0 {
		t.Errorf("limits %v of another incarnation", got)
	}
}

// TestLimitOutlastsAnExpiredRegistration covers a target that is missing in the tables for a
// moment, because it could not renew its registration in an outage of the store.
func TestLimitOutlastsAnExpiredRegistration(t *testing.T) {
	l := NewLedger()
	l.Observe(at(0), at(0), target, limited(2))
	gone := func(string) (string, bool) { return "", false }
	if got := l.Limits(at(keepGone-1), gone); len(got) != 0 {
		t.Errorf("limits %v of a target that is not in the tables", got)
	}
	if got := limitOf(l, at(keepGone-1)); got != 2 {
		t.Errorf("limit %v after the target's return, want 2", got)
	}
	if l.Limits(at(keepGone), gone); l.Len() != 0 {
		t.Error("the limit of a target that is gone is kept for good")
	}
}

func TestEndIsForgottenLater(t *testing.T) {
	l := NewLedger()
	l.Observe(at(0), at(0), target, limited(2))
	l.Observe(at(1), at(1), target, Notice{State: Unlimited})
	if limitOf(l, at(keepEnded)); l.Len() != 1 {
		t.Error("the end was forgotten too early")
	}
	if limitOf(l, at(keepEnded+time.Second)); l.Len() != 0 {
		t.Error("the end is kept for good")
	}
}

func TestExportRotatesAndEnds(t *testing.T) {
	l := NewLedger()
	const targets = 20
	for i := range targets {
		l.Observe(at(0), at(0), Identity{Name: fmt.Sprintf("t-%d", i), Incarnation: "1"}, limited(2))
	}
	seen := map[string]bool{}
	for s := range 9 {
		recs := l.Export(at(time.Duration(s)*time.Second), nil)
		if Validate(recs) != nil {
			t.Fatalf("an exported list is invalid: %+v", recs)
		}
		for _, r := range recs {
			seen[r.Target] = true
		}
	}
	if len(seen) != targets {
		t.Errorf("%d targets exported in 9 s, want %d", len(seen), targets)
	}
	if recs := l.Export(at(exportFor), nil); len(recs) != 0 {
		t.Errorf("exported %v although no response was received lately", recs)
	}
}

func TestExportOmitsWhatTheReceiverHas(t *testing.T) {
	l := NewLedger()
	l.Observe(at(0), at(0), target, limited(2))
	for name, c := range map[string]struct {
		known Record
		want  int
	}{
		"the same":      {Record{Target: "t", Incarnation: "1", PerSecond: 2, AgeMS: 1000}, 0},
		"another limit": {Record{Target: "t", Incarnation: "1", PerSecond: 3, AgeMS: 1000}, 1},
		"much older":    {Record{Target: "t", Incarnation: "1", PerSecond: 2, AgeMS: 9000}, 1},
	} {
		if got := l.Export(at(time.Second), []Record{c.known}); len(got) != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestValidateRejectsWhatNoInstanceSends(t *testing.T) {
	good := Record{Target: "t", Incarnation: "1", PerSecond: 2}
	for name, edit := range map[string]func(*Record){
		"no name":          func(r *Record) { r.Target = "" },
		"long name":        func(r *Record) { r.Target = strings.Repeat("x", maxNameBytes+1) },
		"long incarnation": func(r *Record) { r.Incarnation = strings.Repeat("x", maxNameBytes+1) },
		"negative limit":   func(r *Record) { r.PerSecond = -1 },
		"not a number":     func(r *Record) { r.PerSecond = math.NaN() },
		"huge limit":       func(r *Record) { r.PerSecond = math.Inf(1) },
		"negative age":     func(r *Record) { r.AgeMS = -1 },
		"old":              func(r *Record) { r.AgeMS = exportFor.Milliseconds() + 1 },
	} {
		bad := good
		edit(&bad)
		if Validate([]Record{bad}) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if Validate([]Record{good}) != nil || Validate(make([]Record, MaxRecords+1)) == nil {
		t.Error("want a good record accepted and too many refused")
	}
}
