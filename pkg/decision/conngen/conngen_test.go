package conngen

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 7412, 500) }

// tracker is what the properties check; a mutation replaces parts of it.
type tracker interface {
	Current() Generation
	RecordStall(Generation)
	RecordResumed(Generation)
	RecordResponse(Generation)
	IsRetired(Generation) bool
	Usable(Generation, time.Duration, bool) bool
}

// link is a connection of the model.
type link struct {
	generation Generation
	lost       bool
	silent     bool
}

// play opens, loses and uses connections. It returns an error when a lost
// connection is usable although a newer one has answered during its silence,
// or when a connection is retired without any silence.
func play(t *rapid.T, tr tracker) error {
	links := []*link{{generation: tr.Current()}}
	silences := 0
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		l := links[rapid.IntRange(0, len(links)-1).Draw(t, "link")]
		switch rapid.IntRange(0, 4).Draw(t, "step") {
		case 0:
			links = append(links, &link{generation: tr.Current()})
		case 1: // something between the ends loses all present connections
			for _, l := range links {
				l.lost = true
			}
		case 2:
			if !l.silent {
				l.silent = true
				silences++
				tr.RecordStall(l.generation)
			}
		case 3:
			if l.silent && !l.lost {
				l.silent = false
				tr.RecordResumed(l.generation)
			}
		case 4:
			if !l.lost && !l.silent {
				tr.RecordResponse(l.generation)
				if err := afterAnswer(tr, links, l); err != nil {
					return err
				}
			}
		}
		if silences == 0 && (tr.IsRetired(l.generation) || !tr.Usable(l.generation, 0, false)) {
			return fmt.Errorf("generation %d is doubted without a silence", l.generation)
		}
	}
	return nil
}

// afterAnswer checks the connections older than the one that has answered.
func afterAnswer(tr tracker, links []*link, answered *link) error {
	for _, l := range links {
		if l.silent && l.generation < answered.generation && (!tr.IsRetired(l.generation) || tr.Usable(l.generation, 0, false)) {
			return fmt.Errorf("generation %d is silent, %d answers, and the former is not retired", l.generation, answered.generation)
		}
	}
	return nil
}

func TestSilentGenerationIsRetiredWhenANewerAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := play(t, New(DefaultLimits())); err != nil {
			t.Fatal(err)
		}
	})
}

// neverRetires ignores answers of newer connections.
type neverRetires struct{ *Tracker }

func (neverRetires) RecordResponse(Generation) {}

// retiresOnAnswer retires without a silence.
type retiresOnAnswer struct{ *Tracker }

func (r retiresOnAnswer) RecordResponse(g Generation) { r.retired = g }

func TestGenerationCheckCatchesBrokenTrackers(t *testing.T) {
	for name, broken := range map[string]func() tracker{
		"never retires":             func() tracker { return neverRetires{New(DefaultLimits())} },
		"retires without a silence": func() tracker { return retiresOnAnswer{New(DefaultLimits())} },
	} {
		t.Run(name, func(t *testing.T) {
			caught := 0
			rapid.Check(t, func(t *rapid.T) {
				if play(t, broken()) != nil {
					caught++
				}
			})
			if caught == 0 {
				t.Error("no run was caught")
			}
		})
	}
}

func TestIdleConnectionIsUsableOnlyWhileFresh(t *testing.T) {
	l := DefaultLimits()
	tr := New(l)
	g := tr.Current()
	if !tr.Usable(g, l.MaxIdle-1, false) || tr.Usable(g, l.MaxIdle, false) {
		t.Error("freshness is not bounded by FreshFor")
	}
	if !tr.Usable(g, l.MaxIdleNonIdempotent-1, true) || tr.Usable(g, l.MaxIdleNonIdempotent, true) {
		t.Error("freshness is not bounded by FreshForOnce for a request that must not run twice")
	}
	if tr.IsStalled(l.StallTimeout-1) || !tr.IsStalled(l.StallTimeout) {
		t.Error("silence does not begin at SilentAfter")
	}
}
