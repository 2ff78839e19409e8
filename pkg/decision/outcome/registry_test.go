package outcome

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

var t0 = time.UnixMilli(1_900_000_000_000)

func newID(n int) ID { return ID{Instance: "a", Incarnation: "i", IssuedAt: t0, Suffix: fmt.Sprint(n)} }

func TestRepeatReceivesRecordedOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		res  Result
		want Decision
	}{
		"not run may be run again":            {Result{Kind: fault.KindTargetShed}, Decision{Action: Run}},
		"unknown stays unknown":               {Result{Kind: fault.KindTargetLost}, Decision{Kind: fault.KindTargetLost}},
		"completed without recorded response": {Result{}, Decision{Kind: fault.KindAnswerGone}},
		"completed with too large a response": {Result{Response: &Response{Body: make([]byte, 200)}}, Decision{Kind: fault.KindAnswerGone}},
	} {
		t.Run(name, func(t *testing.T) {
			l := DefaultLimits()
			l.MaxResponseBytes = 100
			g := NewRegistry("a", "i", l)
			if d := g.Admit(t0, newID(1)); d.Action != Run {
				t.Fatalf("first submission: %+v", d)
			}
			if d := g.Admit(t0, newID(1)); d.Action != Wait {
				t.Fatalf("while running: %+v", d)
			}
			g.Finish(t0, newID(1), c.res)
			if d := g.Admit(t0, newID(1)); d != c.want {
				t.Errorf("repeated submission: %+v, want %+v", d, c.want)
			}
		})
	}
}

func TestRegistryEnforcesLimits(t *testing.T) {
	l := Limits{Validity: time.Minute, MaxSkew: time.Second, MaxRecords: 10, MaxResponseBytes: 35}
	g := NewRegistry("a", "i", l)
	for i := range 10 {
		g.Admit(t0, newID(i))
		g.Finish(t0, newID(i), Result{Response: &Response{Body: make([]byte, 10)}})
	}
	if g.responseBytes > l.MaxResponseBytes {
		t.Errorf("%d bytes of responses exceed the limit", g.responseBytes)
	}
	if d := g.Admit(t0, newID(99)); d.Kind != fault.KindOverloaded {
		t.Errorf("submission beyond MaxRecords: %+v", d)
	}
	if d := g.Admit(t0, newID(9)); d.Action != Replay {
		t.Errorf("latest response: %+v", d)
	}
	if d := g.Admit(t0, newID(0)); d.Kind != fault.KindAnswerGone {
		t.Errorf("oldest response: %+v", d)
	}
	late := t0.Add(time.Minute)
	if d := g.Admit(late, newID(0)); d.Kind != fault.KindHomeGone {
		t.Errorf("expired id: %+v", d)
	}
	if g.Len() != 0 || g.responseBytes != 0 || len(g.withResponse) != 0 {
		t.Errorf("after expiry: %d records, %d bytes, %d records with a response", g.Len(), g.responseBytes, len(g.withResponse))
	}
	future := newID(1)
	future.IssuedAt = late.Add(2 * time.Second)
	if d := g.Admit(late, future); d.Kind != fault.KindBadRequestID {
		t.Errorf("id issued in the future: %+v", d)
	}
}

func TestRunningRecordOutlivesIDValidity(t *testing.T) {
	g := NewRegistry("a", "i", Limits{Validity: time.Minute, MaxRecords: 1, MaxResponseBytes: 1})
	g.Admit(t0, newID(1))
	if d := g.Admit(t0.Add(3*time.Minute), newID(1)); d.Action != Wait {
		t.Errorf("decision = %+v, want Wait", d)
	}
}

// TestHeadersOfRecordedResponsesCount records responses with large headers and no body.
func TestHeadersOfRecordedResponsesCount(t *testing.T) {
	const numResponses, valueBytes = 100, 1000
	l := DefaultLimits()
	l.MaxResponseBytes = 10 * valueBytes
	g := NewRegistry("a", "i", l)
	for i := range numResponses {
		g.Admit(t0, newID(i))
		g.Finish(t0, newID(i), Result{Response: &Response{Header: map[string][]string{"A": {strings.Repeat("x", valueBytes)}}}})
	}
	kept := 0
	for i := range numResponses {
		if g.Admit(t0, newID(i)).Action == Replay {
			kept++
		}
	}
	if kept == 0 || kept*valueBytes > l.MaxResponseBytes {
		t.Errorf("%d responses of more than %d bytes are kept, the limit is %d bytes", kept, valueBytes, l.MaxResponseBytes)
	}
}
