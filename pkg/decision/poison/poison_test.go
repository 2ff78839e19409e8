package poison

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 31, 200) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const fingerprint = 7

// targetsLost sends one poison request to random instances, which exchange
// their records with probability one in exchange after each attempt.
func targetsLost(rt *rapid.T, instances, exchange int) int {
	regs := make([]*Tracker, instances)
	for i := range regs {
		regs[i] = New(string(rune('a' + i)))
	}
	lost := 0
	for step := range 40 {
		now := epoch.Add(time.Duration(step) * time.Second)
		r := regs[rapid.IntRange(0, instances-1).Draw(rt, "instance")]
		if counted, ok := r.Start(now, fingerprint); ok {
			lost++
			r.RecordLoss(now, fingerprint, "t", counted)
		}
		if exchange > 0 && rapid.IntRange(1, exchange).Draw(rt, "exchange") == 1 {
			for _, from := range regs {
				for _, to := range regs {
					to.Merge(now, from.Export(time.Time{}))
				}
			}
		}
	}
	return lost
}

func TestPoisonRequestCostsAtMostTwoTargetsWhenInstancesExchange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if lost := targetsLost(rt, 3, 1); lost > MaxLosses {
			rt.Fatalf("targets lost = %d", lost)
		}
	})
}

func TestPoisonRequestCostsAtMostTwoTargetsForEachInstanceWithoutExchange(t *testing.T) {
	worst := 0
	rapid.Check(t, func(rt *rapid.T) {
		instances := rapid.IntRange(1, 4).Draw(rt, "instances")
		lost := targetsLost(rt, instances, 0)
		if lost > MaxLosses*instances {
			rt.Fatalf("targets lost = %d with %d instances", lost, instances)
		}
		worst = max(worst, lost)
	})
	if worst <= MaxLosses {
		t.Fatal("the bound with exchange was never exceeded without it: the properties can't fail")
	}
}

func TestMergeIsIdempotentAndKeepsNoOrder(t *testing.T) {
	a, b := New("a"), New("b")
	a.RecordLoss(epoch, fingerprint, "t1", false)
	b.RecordLoss(epoch, fingerprint, "t2", false)
	ab, ba := New("x"), New("y")
	ra, rb := a.Export(time.Time{}), b.Export(time.Time{})
	for range 2 {
		ab.Merge(epoch, ra)
		ab.Merge(epoch, rb)
		ba.Merge(epoch, rb)
		ba.Merge(epoch, ra)
	}
	x, y := ab.Export(time.Time{})[0], ba.Export(time.Time{})[0]
	if len(x.Losses) != 2 || len(y.Losses) != 2 || !reflect.DeepEqual(x.LastLoss, y.LastLoss) {
		t.Fatalf("merged = %+v and %+v", x, y)
	}
}

func TestSuspectRunsOnceAtATimeAndIsClearedByAnAnswer(t *testing.T) {
	r := New("a")
	r.RecordLoss(epoch, fingerprint, "t1", false)
	if _, ok := r.Start(epoch, fingerprint); !ok {
		t.Fatal("one loss must not hold the request")
	}
	if _, ok := r.Start(epoch, fingerprint); ok {
		t.Fatal("a suspect ran twice at the same time")
	}
	r.Complete(fingerprint)
	for range 2 {
		if _, ok := r.Start(epoch, fingerprint); !ok {
			t.Fatal("an answered request stayed suspect")
		}
	}
}

func TestHoldEnds(t *testing.T) {
	r := New("a")
	for range MaxLosses {
		r.RecordLoss(epoch, fingerprint, "t", false)
	}
	if _, ok := r.Start(epoch.Add(HoldDuration-1), fingerprint); ok {
		t.Fatal("held request was let through")
	}
	if _, ok := r.Start(epoch.Add(HoldDuration), fingerprint); !ok {
		t.Fatal("the hold did not end")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	r := New("a")
	for i := range uint64(3 * maxEntries) {
		r.RecordLoss(epoch.Add(time.Duration(i)), i+1, "t", false)
	}
	if len(r.entries) > maxEntries {
		t.Fatalf("entries = %d", len(r.entries))
	}
}

func TestExportIsBoundedAndTellsOfTheHeldFirst(t *testing.T) {
	r := New("a")
	const held = 7
	for i := range uint64(500) {
		r.RecordLoss(epoch.Add(time.Duration(i)*time.Millisecond), i+1, "t1", false)
		if i < held {
			r.RecordLoss(epoch.Add(time.Duration(i)*time.Millisecond), i+1, "t2", false)
		}
	}
	recs := r.Export(time.Time{})
	if len(recs) != maxExported {
		t.Fatalf("%d records are exported, want %d", len(recs), maxExported)
	}
	for i, rec := range recs {
		want := uint64(held - i)
		if i >= held {
			want = uint64(500 - (i - held))
		}
		if rec.Fingerprint != want {
			t.Fatalf("record %d is of request %d, want %d", i, rec.Fingerprint, want)
		}
	}
}
