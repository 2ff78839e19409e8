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

// mutation is a broken variant of the exchange.
type mutation string

const (
	intact            mutation = ""
	believesAll       mutation = "believes that all targets of a pool leave"
	ignoresRestart    mutation = "believes a record of another incarnation"
	ignoresEntry      mutation = "believes a record that the catalog has outdated"
	refreshesAge      mutation = "passes a record on as if it were new"
	tellsEverything   mutation = "sends lists of any length"
	forgetsDepartures mutation = "believes nothing"
)

// The invariants of the model.
const (
	halfStays    = "half of a pool's usable targets stay in use"
	soundBelief  = "a believed target has said so, in its present incarnation and after its entry"
	beliefEnds   = "a belief ends a while after the target has said so"
	tellingEnds  = "nothing is passed on for long after it was said"
	listsBounded = "lists are valid"
	newsTravels  = "what a target said reaches all instances that exchange messages"
)

// The size of the model.
const (
	modelTargets   = 4
	modelInstances = 3
)

// start is one state of a target: its incarnation and the version of its entry.
type start struct{ incarnation, entry int }

// knownTarget is a target as one instance knows it.
type knownTarget struct {
	start
	// leaving is set when the target itself has told the instance that it leaves.
	leaving bool
}

// notice is the last time at which a target has said, in one incarnation, that it
// leaves, and the latest entry that was known to the one it told.
type notice struct {
	at    time.Time
	entry int
}

// model plays instances that exchange records about the targets of one pool. They
// learn late of new incarnations and entries.
type model struct {
	mutation mutation
	now      time.Time
	starts   [modelTargets]start
	leaving  [modelTargets]bool
	known    [modelInstances][modelTargets]knownTarget
	ledgers  [modelInstances]*Ledger
	// said has the notices of the targets by incarnation.
	said    [modelTargets]map[int]notice
	violate func(invariant string)
}

func newModel(m mutation, violate func(string)) *model {
	w := &model{mutation: m, now: epoch, violate: violate}
	for j := range w.starts {
		w.starts[j], w.said[j] = start{1, 1}, map[int]notice{}
	}
	for i := range w.ledgers {
		w.ledgers[i] = NewLedger()
		if m == believesAll {
			w.ledgers[i].limit = func(n int) int { return n }
		}
		for j := range w.known[i] {
			w.learnStart(i, j)
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
	for j := range w.starts {
		p = append(p, w.target(i, j))
	}
	return [][]Target{p}
}

// learnStart lets instance i learn the present incarnation and entry of target j.
func (w *model) learnStart(i, j int) {
	k := &w.known[i][j]
	if k.incarnation != w.starts[j].incarnation {
		k.leaving = false
	}
	k.start = w.starts[j]
}

// say lets target j tell instance i that it leaves.
func (w *model) say(i, j int) {
	k := &w.known[i][j]
	if !w.leaving[j] || k.leaving || k.incarnation != w.starts[j].incarnation {
		return
	}
	k.leaving = true
	last := w.said[j][k.incarnation]
	w.said[j][k.incarnation] = notice{w.now, max(last.entry, k.entry)}
	w.ledgers[i].Learn(w.now, w.target(i, j))
}

// restart begins a new entry of target j, and a new incarnation unless entryOnly.
func (w *model) restart(j int, entryOnly bool) {
	w.leaving[j] = false
	w.starts[j].entry++
	if !entryOnly {
		w.starts[j].incarnation++
	}
}

// send passes on what instance from knows to instance to.
func (w *model) send(from, to int, with Source) {
	w.ledgers[from].Believe(w.now, w.pool(from))
	recs := w.ledgers[from].Tell(w.now, with, nil)
	if w.mutation == tellsEverything {
		for len(recs) > 0 && len(recs) <= MaxRecords {
			recs = append(recs, recs...)
		}
	}
	if Validate(recs) != nil {
		w.violate(listsBounded)
	}
	for _, r := range recs {
		w.receive(from, to, with, r)
	}
}

func (w *model) receive(from, to int, with Source, r Record) {
	j := indexOf(r.Target)
	view := w.target(to, j)
	switch w.mutation {
	case forgetsDepartures:
		return
	case refreshesAge:
		r.AgeMS = 0
	case ignoresRestart:
		r.Incarnation = view.Incarnation
	case ignoresEntry:
		r.Entry = max(r.Entry, view.Entry)
	}
	w.ledgers[to].Hear(w.now, with, fmt.Sprint("i", from), r, view)
}

// indexOf returns the index of the named target.
func indexOf(name string) (j int) {
	_, _ = fmt.Sscanf(name, "t%d", &j)
	return j
}

// check checks the invariants at instance i.
func (w *model) check(i int) {
	believed := w.ledgers[i].Believe(w.now, w.pool(i))
	usable := 0
	for _, k := range w.known[i] {
		if !k.leaving {
			usable++
		}
	}
	if 2*len(believed) > usable {
		w.violate(halfStays)
	}
	for _, b := range believed {
		j := indexOf(b.Target)
		k := w.known[i][j]
		said, ok := w.said[j][k.incarnation]
		if !ok || said.entry < k.entry {
			w.violate(soundBelief)
		}
		if w.now.Sub(said.at) >= KeepFor {
			w.violate(beliefEnds)
		}
	}
	for _, r := range w.ledgers[i].Tell(w.now, Reply, nil) {
		j := indexOf(r.Target)
		if w.now.Sub(w.said[j][w.known[i][j].incarnation].at) >= TellFor {
			w.violate(tellingEnds)
		}
	}
}

// exchangeAll lets a target speak to one instance, and the instances exchange messages
// through the first one. All must believe it then.
func (w *model) exchangeAll() {
	w.leaving[0] = true
	w.say(1, 0)
	w.send(1, 0, Request)
	for i := 2; i < modelInstances; i++ {
		w.send(0, i, Reply)
	}
	for _, i := range []int{0, 2} {
		if len(w.ledgers[i].Believe(w.now, w.pool(i))) != 1 {
			w.violate(newsTravels)
		}
	}
}

// play draws a course of events.
func (w *model) play(rt *rapid.T) {
	w.exchangeAll()
	instance, target := rapid.IntRange(0, modelInstances-1), rapid.IntRange(0, modelTargets-1)
	with := rapid.SampledFrom([]Source{Request, Reply})
	pause := rapid.SampledFrom([]time.Duration{time.Second, TellFor - time.Millisecond, KeepFor - TellFor})
	const steps = 60
	for range steps {
		switch rapid.IntRange(0, 8).Draw(rt, "event") {
		case 0, 1:
			j := target.Draw(rt, "leaves")
			w.leaving[j] = true
			w.say(instance.Draw(rt, "to"), j)
		case 2:
			w.say(instance.Draw(rt, "to"), target.Draw(rt, "says"))
		case 3:
			w.restart(target.Draw(rt, "restarts"), rapid.Bool().Draw(rt, "entry only"))
		case 4, 5, 6:
			w.send(instance.Draw(rt, "from"), instance.Draw(rt, "to"), with.Draw(rt, "with"))
		case 7:
			w.learnStart(instance.Draw(rt, "learns"), target.Draw(rt, "of"))
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
		newModel(intact, func(invariant string) { rt.Fatalf("violated: %s", invariant) }).play(rt)
	})
}

// TestEveryInvariantCanFail checks that the broken variants violate the invariants.
func TestEveryInvariantCanFail(t *testing.T) {
	for _, c := range []struct {
		mutation  mutation
		invariant string
	}{
		{believesAll, halfStays},
		{ignoresRestart, soundBelief},
		{ignoresEntry, soundBelief},
		{refreshesAge, tellingEnds},
		{refreshesAge, beliefEnds},
		{tellsEverything, listsBounded},
		{forgetsDepartures, newsTravels},
	} {
		violated := map[string]bool{}
		rapid.Check(t, func(rt *rapid.T) {
			newModel(c.mutation, func(invariant string) { violated[invariant] = true }).play(rt)
		})
		if !violated[c.invariant] {
			t.Errorf("an exchange that %s does not violate: %s", c.mutation, c.invariant)
		}
	}
}

// leavingTarget returns target i of a catalog.
func leavingTarget(i int) Target {
	return Target{Name: fmt.Sprintf("t%02d", i), Incarnation: "1", Entry: 7, Leaving: true}
}

func TestBeliefLastsUntilKeepFor(t *testing.T) {
	l := NewLedger()
	pool := [][]Target{{{Name: "t1", Incarnation: "1"}, {Name: "t2", Incarnation: "1"}}}
	l.Hear(epoch, Reply, "i1", Record{Target: "t1", Incarnation: "1", AgeMS: 1000}, pool[0][0])
	saidAt := epoch.Add(-time.Second)
	want := []Belief{{Target: "t1", SaidAt: saidAt, From: "i1"}}
	if got := l.Believe(saidAt.Add(KeepFor-1), pool); !slices.Equal(got, want) {
		t.Errorf("believed %v, want %v", got, want)
	}
	if got := l.Believe(saidAt.Add(KeepFor), pool); got != nil || l.Len() != 0 {
		t.Errorf("believed %v after KeepFor, %d records", got, l.Len())
	}
}

func TestHearsayIsReleasedAsTheOthersLeave(t *testing.T) {
	l := NewLedger()
	pool := []Target{{Name: "a", Incarnation: "1"}, {Name: "b", Incarnation: "1"}, {Name: "c", Incarnation: "1"}, {Name: "d", Incarnation: "1"}}
	for i, heard := range []string{"a", "b", "c"} {
		l.Hear(epoch, Reply, "i1", Record{Target: heard, Incarnation: "1", AgeMS: int64(10 - i)}, pool[i])
	}
	for own, want := range []int{2, 1, 1, 0} {
		if got := l.Believe(epoch, [][]Target{pool}); len(got) != want {
			t.Errorf("%d of 4 targets leave by own knowledge: %v believed, want %d", own, got, want)
		}
		pool[3-own].Leaving = true
	}
}

func TestSingleTargetOfPoolStaysInUse(t *testing.T) {
	l := NewLedger()
	alone := Target{Name: "t1", Incarnation: "1"}
	l.Hear(epoch, Request, "i1", Record{Target: "t1", Incarnation: "1"}, alone)
	if got := l.Believe(epoch, [][]Target{{alone}}); len(got) != 0 {
		t.Errorf("believed %v of the only target", got)
	}
}

func TestRecordsOfUnknownIncarnationsAreIgnored(t *testing.T) {
	l := NewLedger()
	l.Learn(epoch, Target{Name: "t1", Leaving: true})
	l.Hear(epoch, Request, "i1", Record{Target: "t1", Incarnation: "1"}, Target{Name: "t1"})
	if l.Len() != 0 {
		t.Errorf("%d records of a target without an incarnation", l.Len())
	}
}

func TestManyRecordsTakeTurnsInBoundedLists(t *testing.T) {
	const targets = 5 * MaxRecords
	l, told := NewLedger(), map[string]bool{}
	for i := range targets {
		l.Learn(epoch, leavingTarget(i))
	}
	for second := range int(TellFor / time.Second) {
		recs := l.Tell(epoch.Add(time.Duration(second)*time.Second), Request, nil)
		if err := Validate(recs); err != nil || len(recs) != MaxRecords {
			t.Fatalf("%d records, %v", len(recs), err)
		}
		for _, r := range recs {
			told[r.Target] = true
		}
	}
	if len(told) != targets {
		t.Errorf("%d of %d targets were told", len(told), targets)
	}
	if recs := l.Tell(epoch.Add(TellFor), Request, nil); recs != nil {
		t.Errorf("told %v after TellFor", recs)
	}
}

func TestRecordsAreNotToldBackToWhereTheyCameFrom(t *testing.T) {
	l := NewLedger()
	told := Record{Target: "t00", Incarnation: "1", Entry: 7}
	heard := leavingTarget(0)
	heard.Leaving = false
	l.Hear(epoch, Reply, "i1", told, heard)
	if recs := l.Tell(epoch, Request, nil); recs != nil {
		t.Errorf("told %v with a heartbeat after it came with a reply", recs)
	}
	if recs := l.Tell(epoch, Reply, []Record{told}); recs != nil {
		t.Errorf("told %v to the instance that had just told it", recs)
	}
	if recs := l.Tell(epoch, Reply, nil); !slices.Equal(recs, []Record{told}) {
		t.Errorf("told %v, want %v", recs, told)
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
		"old":              {{Target: "t", Incarnation: "1", AgeMS: TellFor.Milliseconds() + 1}},
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
