package departure

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 41, 100) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// leavingTarget returns target i of a catalog.
func leavingTarget(i int) Target {
	return Target{Name: fmt.Sprintf("t%02d", i), Incarnation: "1", Entry: 7, Leaving: true}
}

func TestExclusionLastsUntilKeepFor(t *testing.T) {
	l := NewLedger()
	pool := [][]Target{{{Name: "t1", Incarnation: "1"}, {Name: "t2", Incarnation: "1"}}}
	l.Merge(epoch, Reply, "i1", Record{Target: "t1", Incarnation: "1", AgeMS: 1000}, pool[0][0])
	noticeAt := epoch.Add(-time.Second)
	want := []Exclusion{{Target: "t1", NoticeAt: noticeAt, ReportedBy: "i1"}}
	if got := l.Exclude(noticeAt.Add(KeepFor-1), pool); !slices.Equal(got, want) {
		t.Errorf("excluded %v, want %v", got, want)
	}
	if got := l.Exclude(noticeAt.Add(KeepFor), pool); got != nil || l.Len() != 0 {
		t.Errorf("excluded %v after KeepFor, %d records", got, l.Len())
	}
}

func TestReportedTargetsAreUsedAgainAsOthersLeave(t *testing.T) {
	l := NewLedger()
	pool := []Target{{Name: "a", Incarnation: "1"}, {Name: "b", Incarnation: "1"}, {Name: "c", Incarnation: "1"}, {Name: "d", Incarnation: "1"}}
	for i, reported := range []string{"a", "b", "c"} {
		l.Merge(epoch, Reply, "i1", Record{Target: reported, Incarnation: "1", AgeMS: int64(10 - i)}, pool[i])
	}
	for own, want := range []int{2, 1, 1, 0} {
		if got := l.Exclude(epoch, [][]Target{pool}); len(got) != want {
			t.Errorf("%d of 4 targets leave by notices of their own: %v excluded, want %d", own, got, want)
		}
		pool[3-own].Leaving = true
	}
}

func TestSingleTargetOfPoolStaysInUse(t *testing.T) {
	l := NewLedger()
	alone := Target{Name: "t1", Incarnation: "1"}
	l.Merge(epoch, Request, "i1", Record{Target: "t1", Incarnation: "1"}, alone)
	if got := l.Exclude(epoch, [][]Target{{alone}}); len(got) != 0 {
		t.Errorf("excluded %v, the only target", got)
	}
}

func TestRecordsOfUnknownIncarnationsAreIgnored(t *testing.T) {
	l := NewLedger()
	l.RecordOwn(epoch, Target{Name: "t1", Leaving: true})
	l.Merge(epoch, Request, "i1", Record{Target: "t1", Incarnation: "1"}, Target{Name: "t1"})
	if l.Len() != 0 {
		t.Errorf("%d records of a target without an incarnation", l.Len())
	}
}

func TestManyRecordsRotateInBoundedLists(t *testing.T) {
	const targets = 5 * MaxRecords
	l, sent := NewLedger(), map[string]bool{}
	for i := range targets {
		l.RecordOwn(epoch, leavingTarget(i))
	}
	for second := range int(PropagateFor / time.Second) {
		recs := l.Export(epoch.Add(time.Duration(second)*time.Second), Request, nil)
		if err := Validate(recs); err != nil || len(recs) != MaxRecords {
			t.Fatalf("%d records, %v", len(recs), err)
		}
		for _, r := range recs {
			sent[r.Target] = true
		}
	}
	if len(sent) != targets {
		t.Errorf("the records of %d of %d targets were sent", len(sent), targets)
	}
	if recs := l.Export(epoch.Add(PropagateFor), Request, nil); recs != nil {
		t.Errorf("sent %v after PropagateFor", recs)
	}
}

func TestRecordsAreNotSentBackToTheirSource(t *testing.T) {
	l := NewLedger()
	received := Record{Target: "t00", Incarnation: "1", Entry: 7}
	known := leavingTarget(0)
	known.Leaving = false
	l.Merge(epoch, Reply, "i1", received, known)
	if recs := l.Export(epoch, Request, nil); recs != nil {
		t.Errorf("sent %v with a heartbeat after it was received with a reply", recs)
	}
	if recs := l.Export(epoch, Reply, []Record{received}); recs != nil {
		t.Errorf("sent %v to the instance that had just sent it", recs)
	}
	if recs := l.Export(epoch, Reply, nil); !slices.Equal(recs, []Record{received}) {
		t.Errorf("sent %v, want %v", recs, received)
	}
}

func TestInvalidListsAreRejected(t *testing.T) {
	good := Record{Target: "t", Incarnation: "1", AgeMS: 5}
	if err := Validate(slices.Repeat([]Record{good}, MaxRecords)); err != nil {
		t.Error(err)
	}
	long := strings.Repeat("x", maxNameBytes+1)
	for name, recs := range map[string][]Record{
		"too many":         slices.Repeat([]Record{good}, MaxRecords+1),
		"no target":        {{Incarnation: "1"}},
		"no incarnation":   {{Target: "t"}},
		"long target":      {{Target: long, Incarnation: "1"}},
		"long incarnation": {{Target: "t", Incarnation: long}},
		"negative age":     {{Target: "t", Incarnation: "1", AgeMS: -1}},
		"old":              {{Target: "t", Incarnation: "1", AgeMS: PropagateFor.Milliseconds() + 1}},
	} {
		if err := Validate(recs); fault.KindOf(err) != fault.KindBadRequest {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestListSize checks the size that the doc comment of MaxRecords states.
func TestListSize(t *testing.T) {
	const maxRecordBytes = 100
	data, err := json.Marshal(Record{Target: "feedlog-osrednja-a-000123", Incarnation: "1764857000000", Entry: 123456789, AgeMS: 9999})
	if err != nil || len(data) > maxRecordBytes {
		t.Errorf("%d bytes, %v", len(data), err)
	}
}
