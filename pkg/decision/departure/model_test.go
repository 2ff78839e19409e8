package departure

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

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
