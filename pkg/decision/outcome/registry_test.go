package outcome

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

var t0 = time.UnixMilli(1_900_000_000_000)

func newID(n int) ID { return ID{Instance: "a", Incarnation: "i", IssuedAt: t0, Suffix: fmt.Sprint(n)} }

func TestRepeatGetsWhatIsKnown(t *testing.T) {
	for name, c := range map[string]struct {
		res  Result
		want Decision
	}{
		"not run may run again":  {Result{Kind: fault.KindTargetShed}, Decision{Action: Run}},
		"unknown stays unknown":  {Result{Kind: fault.KindTargetLost}, Decision{Kind: fault.KindTargetLost}},
		"completed, not kept":    {Result{}, Decision{Kind: fault.KindAnswerGone}},
		"completed and too long": {Result{Response: &Response{Body: make([]byte, 200)}}, Decision{Kind: fault.KindAnswerGone}},
	} {
		t.Run(name, func(t *testing.T) {
			l := DefaultLimits()
			l.MaxResponseBytes = 100
			g := NewRegistry("a", "i", l)
			if v := g.Admit(t0, newID(1)); v.Action != Run {
				t.Fatalf("first: %+v", v)
			}
			if v := g.Admit(t0, newID(1)); v.Action != Wait {
				t.Fatalf("while running: %+v", v)
			}
			g.Finish(t0, newID(1), c.res)
			if v := g.Admit(t0, newID(1)); v != c.want {
				t.Errorf("repeat: %+v, want %+v", v, c.want)
			}
		})
	}
}

func TestRegistryStaysWithinItsBounds(t *testing.T) {
	l := Limits{Validity: time.Minute, MaxSkew: time.Second, MaxRecords: 10, MaxResponseBytes: 35}
	g := NewRegistry("a", "i", l)
	for i := range 10 {
		g.Admit(t0, newID(i))
		g.Finish(t0, newID(i), Result{Response: &Response{Body: make([]byte, 10)}})
	}
	if g.bytes > l.MaxResponseBytes {
		t.Errorf("%d bytes of answers", g.bytes)
	}
	if v := g.Admit(t0, newID(99)); v.Kind != fault.KindOverloaded {
		t.Errorf("beyond the records: %+v", v)
	}
	if v := g.Admit(t0, newID(9)); v.Action != Replay {
		t.Errorf("the latest answer: %+v", v)
	}
	if v := g.Admit(t0, newID(0)); v.Kind != fault.KindAnswerGone {
		t.Errorf("the oldest answer: %+v", v)
	}
	late := t0.Add(time.Minute)
	if v := g.Admit(late, newID(0)); v.Kind != fault.KindHomeGone {
		t.Errorf("expired id: %+v", v)
	}
	if g.Len() != 0 || g.bytes != 0 || len(g.kept) != 0 {
		t.Errorf("after expiry: %d records, %d bytes, %d kept", g.Len(), g.bytes, len(g.kept))
	}
	future := newID(1)
	future.IssuedAt = late.Add(2 * time.Second)
	if v := g.Admit(late, future); v.Kind != fault.KindBadRequestID {
		t.Errorf("stamp in the future: %+v", v)
	}
}

func TestRunningRecordOutlivesItsID(t *testing.T) {
	g := NewRegistry("a", "i", Limits{Validity: time.Minute, MaxRecords: 1, MaxResponseBytes: 1})
	g.Admit(t0, newID(1))
	if v := g.Admit(t0.Add(3*time.Minute), newID(1)); v.Action != Wait {
		t.Errorf("verdict = %+v, want Join", v)
	}
}
