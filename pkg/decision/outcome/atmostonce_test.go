package outcome

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 7411, 400) }

// reply is the result of one submission as its caller receives it. When the outcome
// is completed, run is the number, from 1, of the run that produced the response.
type reply struct {
	outcome fault.Outcome
	run     int
}

// atMostOnceModel specifies the allowed histories of one id: all completed replies
// come from the same single run, and "not run" is reported only before it.
var atMostOnceModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, _, output any) []any {
		ran, r := state.(int), output.(reply)
		switch r.outcome {
		case fault.OutcomeCompleted:
			if (ran == 0 && r.run == 1) || (ran == 1 && r.run == 1) {
				return []any{1}
			}
			return nil
		case fault.OutcomeNotRun:
			if ran == 0 {
				return []any{0}
			}
			return nil
		}
		return []any{ran, 1}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// mutation selects deliberate faults that the check must detect. The zero value is
// the correct system.
type mutation struct {
	// runElsewhere runs a request at another instance when its home is gone.
	runElsewhere bool
	// rerunUnknown runs a repeated submission after an unknown outcome.
	rerunUnknown bool
	// reportNotRun reports "not run" when the home instance is gone.
	reportNotRun bool
}

// simInstance is one simulated instance.
type simInstance struct {
	incarnation int
	registry    *Registry
}

// submission is one submission in progress.
type submission struct {
	// op is the operation's client in the history, start its logical start time.
	op    int
	start int64
	// home is the registry that admitted the submission, or nil.
	home       *Registry
	dispatched bool
	// waiting is set while the submission waits for the first one to end.
	waiting bool
}

// sim simulates instances, callers and a target that handle submissions of one id.
type sim struct {
	t           *rapid.T
	mutation    mutation
	now         time.Time
	logicalTime int64
	instances   [3]*simInstance
	id          ID
	runs        int
	pending     []*submission
	history     []porcupine.Operation
}

func newSim(t *rapid.T, m mutation) *sim {
	s := &sim{t: t, mutation: m, now: t0}
	for i := range s.instances {
		s.instances[i] = &simInstance{}
		s.restart(i)
	}
	s.id = ID{Instance: "n0", Incarnation: "i1", IssuedAt: t0, Suffix: "order"}
	return s
}

// restart replaces an instance by a new incarnation with an empty registry.
func (s *sim) restart(i int) {
	in := s.instances[i]
	in.incarnation++
	in.registry = NewRegistry(fmt.Sprint("n", i), fmt.Sprint("i", in.incarnation), DefaultLimits())
}

// submit starts a submission of the id at instance via.
func (s *sim) submit(via int) {
	s.logicalTime++
	sub := &submission{op: len(s.history) + len(s.pending), start: s.logicalTime}
	s.pending = append(s.pending, sub)
	home := s.instances[0]
	switch {
	case home.registry.Owns(s.id):
		s.admitAtHome(sub, home.registry)
	case s.mutation.runElsewhere:
		sub.home = nil
	case s.mutation.reportNotRun:
		s.complete(sub, reply{outcome: fault.OutcomeNotRun})
	default:
		s.complete(sub, reply{outcome: s.instances[via].registry.Admit(s.now, s.id).Kind.Info().Outcome})
	}
}

// admitAtHome applies the decision of the home instance's registry g.
func (s *sim) admitAtHome(sub *submission, g *Registry) {
	d := g.Admit(s.now, s.id)
	switch d.Action {
	case Run:
		sub.home = g
	case Wait:
		sub.home, sub.waiting = g, true
	case Replay:
		s.complete(sub, reply{outcome: fault.OutcomeCompleted, run: d.Response.Status})
	default:
		s.complete(sub, reply{outcome: d.Kind.Info().Outcome})
	}
}

// advance performs the next step of a pending submission; event selects among the
// possible steps.
func (s *sim) advance(sub *submission, event int) {
	switch {
	case sub.waiting:
		s.pollRunning(sub)
	case !sub.dispatched && event == 0:
		s.finish(sub, Result{Kind: fault.KindTargetRefused}, reply{outcome: fault.OutcomeNotRun})
	case !sub.dispatched:
		s.runs++
		sub.dispatched = true
	case event == 0:
		s.finish(sub, Result{Kind: fault.KindTargetLost}, reply{outcome: fault.OutcomeUnknown})
	default:
		s.finish(sub, Result{Response: &Response{Status: s.runs}}, reply{outcome: fault.OutcomeCompleted, run: s.runs})
	}
}

// pollRunning submits again for a submission that waits for the first one to end.
func (s *sim) pollRunning(sub *submission) {
	d := sub.home.Admit(s.now, s.id)
	switch d.Action {
	case Wait:
	case Run:
		sub.waiting = false
	case Replay:
		s.complete(sub, reply{outcome: fault.OutcomeCompleted, run: d.Response.Status})
	default:
		s.complete(sub, reply{outcome: d.Kind.Info().Outcome})
	}
}

// finish records the result of a run at its home instance and completes sub.
func (s *sim) finish(sub *submission, res Result, r reply) {
	if sub.home != nil {
		if s.mutation.rerunUnknown && res.Kind == fault.KindTargetLost {
			res.Kind = fault.KindTargetRefused
		}
		sub.home.Finish(s.now, s.id, res)
	}
	s.complete(sub, r)
}

// complete moves sub from the pending submissions to the history.
func (s *sim) complete(sub *submission, r reply) {
	s.logicalTime++
	s.history = append(s.history, porcupine.Operation{ClientId: sub.op, Call: sub.start, Output: r, Return: s.logicalTime})
	for i, o := range s.pending {
		if o == sub {
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			return
		}
	}
}

// crash restarts an instance. The outcome of the submissions running there becomes
// unknown.
func (s *sim) crash(i int) {
	g := s.instances[i].registry
	s.restart(i)
	for _, sub := range append([]*submission(nil), s.pending...) {
		if sub.home == g {
			s.complete(sub, reply{outcome: fault.OutcomeUnknown})
		}
	}
}

// run performs random steps and returns an error when the request ran more than once
// or the history violates atMostOnceModel.
func (s *sim) run() error {
	for range rapid.IntRange(1, 40).Draw(s.t, "steps") {
		switch step := rapid.IntRange(0, 9).Draw(s.t, "step"); {
		case step < 4:
			s.submit(rapid.IntRange(0, 2).Draw(s.t, "via"))
		case step < 8 && len(s.pending) > 0:
			i := rapid.IntRange(0, len(s.pending)-1).Draw(s.t, "open")
			s.advance(s.pending[i], rapid.IntRange(0, 2).Draw(s.t, "fate"))
		case step == 8:
			s.crash(rapid.IntRange(0, 2).Draw(s.t, "instance"))
		case step == 9:
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(s.t, "seconds")) * time.Second)
		}
	}
	if s.runs > 1 {
		return fmt.Errorf("the request ran %d times", s.runs)
	}
	if !porcupine.CheckOperations(atMostOnceModel, s.history) {
		return fmt.Errorf("no linearization of the submissions explains their replies: %+v", s.history)
	}
	return nil
}

func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newSim(t, mutation{}).run(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestAtMostOnceCheckDetectsMutations(t *testing.T) {
	for name, m := range map[string]mutation{
		"runs elsewhere when the home instance is gone":  {runElsewhere: true},
		"runs again after an unknown outcome":            {rerunUnknown: true},
		"reports not run when the home instance is gone": {reportNotRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			detected := 0
			rapid.Check(t, func(t *rapid.T) {
				if newSim(t, m).run() != nil {
					detected++
				}
			})
			if detected == 0 {
				t.Error("no violation was detected")
			}
			t.Logf("violations detected in %d histories", detected)
		})
	}
}
