package departure

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 41, 100) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// mutation is a broken variant of the propagation.
type mutation string

const (
	intact         mutation = ""
	excludesAll    mutation = "excludes all targets of a pool"
	ignoresRestart mutation = "accepts a record of another incarnation"
	ignoresEntry   mutation = "accepts a record older than the catalog entry"
	refreshesAge   mutation = "propagates a record as if it were new"
	unboundedLists mutation = "sends lists of any length"
	dropsRecords   mutation = "accepts no records"
)

// The invariants of the model.
const (
	halfStays         = "half of a pool's usable targets stay in use"
	exclusionHasCause = "an excluded target has sent a notice, in its current incarnation and for its current entry"
	exclusionEnds     = "an exclusion ends at KeepFor after the target's notice"
	propagationEnds   = "no notice is propagated from PropagateFor on"
	listsValid        = "lists are valid"
	noticeReachesAll  = "a notice reaches all instances that exchange messages"
)

// The size of the model.
const (
	modelTargets   = 4
	modelInstances = 3
)

// targetVersion is a target's incarnation and the version of its catalog entry.
type targetVersion struct{ incarnation, entry int }

// knownTarget is a target as one instance knows it.
type knownTarget struct {
	targetVersion
	// leaving is set when the instance itself has received the target's notice.
	leaving bool
}

// notice is the last leaving notice of a target in one incarnation: when it was sent,
// and the latest entry version that any of its receivers knew.
type notice struct {
	at    time.Time
	entry int
}

// model simulates instances that propagate the notices of the targets of one pool.
// New incarnations and entries reach them late.
type model struct {
	mutation mutation
	now      time.Time
	current  [modelTargets]targetVersion
	leaving  [modelTargets]bool
	known    [modelInstances][modelTargets]knownTarget
	ledgers  [modelInstances]*Ledger
	// notices has the notices of the targets by incarnation.
	notices [modelTargets]map[int]notice
	violate func(invariant string)
}

func newModel(m mutation, violate func(string)) *model {
	w := &model{mutation: m, now: epoch, violate: violate}
	for j := range w.current {
		w.current[j], w.notices[j] = targetVersion{1, 1}, map[int]notice{}
	}
	for i := range w.ledgers {
		w.ledgers[i] = NewLedger()
		if m == excludesAll {
			w.ledgers[i].limit = func(n int) int { return n }
		}
		for j := range w.known[i] {
			w.updateKnown(i, j)
		}
	}
	return w
}

// target returns target j as instance i knows it.
func (w *model) target(i, j int) Target {
	k := w.known[i][j]
	return Target{Name: fmt.Sprint("t", j), Incarnation: fmt.Sprint(k.incarnation), Entry: uint64(k.entry), Leaving: k.leaving}
}

// pool returns the targets as instance i knows them.
func (w *model) pool(i int) [][]Target {
	var p []Target
	for j := range w.current {
		p = append(p, w.target(i, j))
	}
	return [][]Target{p}
}

// updateKnown gives instance i the current incarnation and entry of target j.
func (w *model) updateKnown(i, j int) {
	k := &w.known[i][j]
	if k.incarnation != w.current[j].incarnation {
		k.leaving = false
	}
	k.targetVersion = w.current[j]
}

// sendNotice has target j send its notice to instance i, unless it does not leave or
// has sent the notice before.
func (w *model) sendNotice(i, j int) {
	k := &w.known[i][j]
	if !w.leaving[j] || k.leaving || k.incarnation != w.current[j].incarnation {
		return
	}
	k.leaving = true
	last := w.notices[j][k.incarnation]
	w.notices[j][k.incarnation] = notice{w.now, max(last.entry, k.entry)}
	w.ledgers[i].RecordOwn(w.now, w.target(i, j))
}

// restart begins a new entry of target j, and a new incarnation unless entryOnly.
func (w *model) restart(j int, entryOnly bool) {
	w.leaving[j] = false
	w.current[j].entry++
	if !entryOnly {
		w.current[j].incarnation++
	}
}

// send sends the records of instance from to instance to with a message of the given
// kind.
func (w *model) send(from, to int, message Source) {
	w.ledgers[from].Exclude(w.now, w.pool(from))
	recs := w.ledgers[from].Export(w.now, message, nil)
	if w.mutation == unboundedLists {
		for len(recs) > 0 && len(recs) <= MaxRecords {
			recs = append(recs, recs...)
		}
	}
	if Validate(recs) != nil {
		w.violate(listsValid)
	}
	for _, r := range recs {
		w.receive(from, to, message, r)
	}
}

func (w *model) receive(from, to int, message Source, r Record) {
	j := indexOf(r.Target)
	view := w.target(to, j)
	switch w.mutation {
	case dropsRecords:
		return
	case refreshesAge:
		r.AgeMS = 0
	case ignoresRestart:
		r.Incarnation = view.Incarnation
	case ignoresEntry:
		r.Entry = max(r.Entry, view.Entry)
	}
	w.ledgers[to].Merge(w.now, message, fmt.Sprint("i", from), r, view)
}

// indexOf returns the index of the named target.
func indexOf(name string) (j int) {
	_, _ = fmt.Sscanf(name, "t%d", &j)
	return j
}

// check checks the invariants at instance i.
func (w *model) check(i int) {
	excluded := w.ledgers[i].Exclude(w.now, w.pool(i))
	usable := 0
	for _, k := range w.known[i] {
		if !k.leaving {
			usable++
		}
	}
	if 2*len(excluded) > usable {
		w.violate(halfStays)
	}
	for _, e := range excluded {
		j := indexOf(e.Target)
		k := w.known[i][j]
		last, ok := w.notices[j][k.incarnation]
		if !ok || last.entry < k.entry {
			w.violate(exclusionHasCause)
		}
		if w.now.Sub(last.at) >= KeepFor {
			w.violate(exclusionEnds)
		}
	}
	for _, r := range w.ledgers[i].Export(w.now, Reply, nil) {
		j := indexOf(r.Target)
		if w.now.Sub(w.notices[j][w.known[i][j].incarnation].at) >= PropagateFor {
			w.violate(propagationEnds)
		}
	}
}

// propagateToAll has a target send its notice to one instance, and the instances
// exchange messages through the first one. The others must exclude the target then.
func (w *model) propagateToAll() {
	w.leaving[0] = true
	w.sendNotice(1, 0)
	w.send(1, 0, Request)
	for i := 2; i < modelInstances; i++ {
		w.send(0, i, Reply)
	}
	for _, i := range []int{0, 2} {
		if len(w.ledgers[i].Exclude(w.now, w.pool(i))) != 1 {
			w.violate(noticeReachesAll)
		}
	}
}

// run draws and simulates a sequence of events.
func (w *model) run(rt *rapid.T) {
	w.propagateToAll()
	instance, target := rapid.IntRange(0, modelInstances-1), rapid.IntRange(0, modelTargets-1)
	message := rapid.SampledFrom([]Source{Request, Reply})
	pause := rapid.SampledFrom([]time.Duration{time.Second, PropagateFor - time.Millisecond, KeepFor - PropagateFor})
	const steps = 60
	for range steps {
		switch rapid.IntRange(0, 8).Draw(rt, "event") {
		case 0, 1:
			j := target.Draw(rt, "leaves")
			w.leaving[j] = true
			w.sendNotice(instance.Draw(rt, "to"), j)
		case 2:
			w.sendNotice(instance.Draw(rt, "to"), target.Draw(rt, "sends notice"))
		case 3:
			w.restart(target.Draw(rt, "restarts"), rapid.Bool().Draw(rt, "entry only"))
		case 4, 5, 6:
			w.send(instance.Draw(rt, "from"), instance.Draw(rt, "to"), message.Draw(rt, "message"))
		case 7:
			w.updateKnown(instance.Draw(rt, "updates"), target.Draw(rt, "of"))
		case 8:
			w.now = w.now.Add(pause.Draw(rt, "pause"))
		}
		for i := range w.ledgers {
			w.check(i)
		}
	}
}

func TestInvariantsHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		newModel(intact, func(invariant string) { rt.Fatalf("violated: %s", invariant) }).run(rt)
	})
}

// TestEveryInvariantCanFail checks that the broken variants violate the invariants.
func TestEveryInvariantCanFail(t *testing.T) {
	for _, c := range []struct {
		mutation  mutation
		invariant string
	}{
		{excludesAll, halfStays},
		{ignoresRestart, exclusionHasCause},
		{ignoresEntry, exclusionHasCause},
		{refreshesAge, propagationEnds},
		{refreshesAge, exclusionEnds},
		{unboundedLists, listsValid},
		{dropsRecords, noticeReachesAll},
	} {
		violated := map[string]bool{}
		rapid.Check(t, func(rt *rapid.T) {
			newModel(c.mutation, func(invariant string) { violated[invariant] = true }).run(rt)
		})
		if !violated[c.invariant] {
			t.Errorf("a propagation that %s does not violate: %s", c.mutation, c.invariant)
		}
	}
}

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
