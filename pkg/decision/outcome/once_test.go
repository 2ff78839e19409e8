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

// reply is what one submission learnt. run is the number of the run whose
// answer was given, from 1, with the outcome completed.
type reply struct {
	outcome fault.Outcome
	run     int
}

// onceModel says which histories of one id are allowed: all completed answers
// are of the same single run, and "not run" is only said before it.
var onceModel = (&porcupine.NondeterministicModel{
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

// policy is the part of the system that a mutation may break.
type policy struct {
	// runElsewhere runs a request at another instance when its home is gone.
	runElsewhere bool
	// forgetUnknown lets a repeat run after an unknown outcome.
	forgetUnknown bool
	// claimNotRun answers "not run" when the home can't be reached.
	claimNotRun bool
}

// simInstance is one instance of the simulation.
type simInstance struct {
	incarnation int
	registry    *Registry
}

// submission is one call in progress.
type submission struct {
	op         int
	start      int64
	home       *Registry
	dispatched bool
	joined     bool
}

// sim drives instances, callers and a target through one id's submissions.
type sim struct {
	t         *rapid.T
	p         policy
	now       time.Time
	clock     int64
	instances [3]*simInstance
	id        ID
	runs      int
	open      []*submission
	history   []porcupine.Operation
}

func newSim(t *rapid.T, p policy) *sim {
	s := &sim{t: t, p: p, now: t0}
	for i := range s.instances {
		s.instances[i] = &simInstance{}
		s.restart(i)
	}
	s.id = ID{Instance: "n0", Incarnation: "i1", Stamp: t0, Suffix: "order"}
	return s
}

func (s *sim) restart(i int) {
	in := s.instances[i]
	in.incarnation++
	in.registry = NewRegistry(fmt.Sprint("n", i), fmt.Sprint("i", in.incarnation), DefaultLimits())
}

// submit sends the id to instance via.
func (s *sim) submit(via int) {
	s.clock++
	sub := &submission{op: len(s.history) + len(s.open), start: s.clock}
	s.open = append(s.open, sub)
	home := s.instances[0]
	switch {
	case home.registry.Names(s.id):
		s.atHome(sub, home.registry)
	case s.p.runElsewhere:
		sub.home = nil
	case s.p.claimNotRun:
		s.end(sub, reply{outcome: fault.OutcomeNotRun})
	default:
		s.end(sub, reply{outcome: s.instances[via].registry.Admit(s.now, s.id).Kind.Info().Outcome})
	}
}

// atHome lets the registry decide.
func (s *sim) atHome(sub *submission, g *Registry) {
	v := g.Admit(s.now, s.id)
	switch v.Action {
	case Run:
		sub.home = g
	case Join:
		sub.home, sub.joined = g, true
	case Replay:
		s.end(sub, reply{outcome: fault.OutcomeCompleted, run: v.Answer.Status})
	default:
		s.end(sub, reply{outcome: v.Kind.Info().Outcome})
	}
}

// advance takes an open submission one step further.
func (s *sim) advance(sub *submission, fate int) {
	switch {
	case sub.joined:
		s.join(sub)
	case !sub.dispatched && fate == 0:
		s.finish(sub, Result{Kind: fault.KindTargetRefused}, reply{outcome: fault.OutcomeNotRun})
	case !sub.dispatched:
		s.runs++
		sub.dispatched = true
	case fate == 0:
		s.finish(sub, Result{Kind: fault.KindTargetLost}, reply{outcome: fault.OutcomeUnknown})
	default:
		s.finish(sub, Result{Answer: &Answer{Status: s.runs}}, reply{outcome: fault.OutcomeCompleted, run: s.runs})
	}
}

// join asks again on behalf of a submission that waits for the first.
func (s *sim) join(sub *submission) {
	v := sub.home.Admit(s.now, s.id)
	switch v.Action {
	case Join:
	case Run:
		sub.joined = false
	case Replay:
		s.end(sub, reply{outcome: fault.OutcomeCompleted, run: v.Answer.Status})
	default:
		s.end(sub, reply{outcome: v.Kind.Info().Outcome})
	}
}

func (s *sim) finish(sub *submission, res Result, r reply) {
	if sub.home != nil {
		if s.p.forgetUnknown && res.Kind == fault.KindTargetLost {
			res.Kind = fault.KindTargetRefused
		}
		sub.home.Finish(s.now, s.id, res)
	}
	s.end(sub, r)
}

// end writes the submission into the history.
func (s *sim) end(sub *submission, r reply) {
	s.clock++
	s.history = append(s.history, porcupine.Operation{ClientId: sub.op, Call: sub.start, Output: r, Return: s.clock})
	for i, o := range s.open {
		if o == sub {
			s.open = append(s.open[:i], s.open[i+1:]...)
			return
		}
	}
}

// crash restarts an instance; the submissions in it lose their answer.
func (s *sim) crash(i int) {
	g := s.instances[i].registry
	s.restart(i)
	for _, sub := range append([]*submission(nil), s.open...) {
		if sub.home == g {
			s.end(sub, reply{outcome: fault.OutcomeUnknown})
		}
	}
}

// play takes a number of random steps and reports a broken promise.
func (s *sim) play() error {
	for range rapid.IntRange(1, 40).Draw(s.t, "steps") {
		switch step := rapid.IntRange(0, 9).Draw(s.t, "step"); {
		case step < 4:
			s.submit(rapid.IntRange(0, 2).Draw(s.t, "via"))
		case step < 8 && len(s.open) > 0:
			i := rapid.IntRange(0, len(s.open)-1).Draw(s.t, "open")
			s.advance(s.open[i], rapid.IntRange(0, 2).Draw(s.t, "fate"))
		case step == 8:
			s.crash(rapid.IntRange(0, 2).Draw(s.t, "instance"))
		case step == 9:
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(s.t, "seconds")) * time.Second)
		}
	}
	if s.runs > 1 {
		return fmt.Errorf("the request ran %d times", s.runs)
	}
	if !porcupine.CheckOperations(onceModel, s.history) {
		return fmt.Errorf("no order of the submissions explains their answers: %+v", s.history)
	}
	return nil
}

func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newSim(t, policy{}).play(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestAtMostOnceCheckCatchesBrokenPolicies(t *testing.T) {
	for name, p := range map[string]policy{
		"runs elsewhere when the home is gone": {runElsewhere: true},
		"forgets unknown outcomes":             {forgetUnknown: true},
		"claims not run for a home gone":       {claimNotRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			caught := 0
			rapid.Check(t, func(t *rapid.T) {
				if newSim(t, p).play() != nil {
					caught++
				}
			})
			if caught == 0 {
				t.Error("no history was caught")
			}
			t.Logf("caught in %d histories", caught)
		})
	}
}
