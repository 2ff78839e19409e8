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

// simulateLosses sends one poison request to random instances and returns the
// number of targets lost. After each attempt the instances exchange records with
// probability 1/exchange, or never if exchange is 0.
func simulateLosses(rt *rapid.T, instances, exchange int) int {
	trackers := make([]*Tracker, instances)
	for i := range trackers {
		trackers[i] = New(string(rune('a' + i)))
	}
	lost := 0
	for step := range 40 {
		now := epoch.Add(time.Duration(step) * time.Second)
		tracker := trackers[rapid.IntRange(0, instances-1).Draw(rt, "instance")]
		if counted, ok := tracker.Start(now, fingerprint); ok {
			lost++
			tracker.RecordLoss(now, fingerprint, "t", counted)
		}
		if exchange > 0 && rapid.IntRange(1, exchange).Draw(rt, "exchange") == 1 {
			for _, from := range trackers {
				for _, to := range trackers {
					to.Merge(now, from.Export(time.Time{}))
				}
			}
		}
	}
	return lost
}

func TestPoisonRequestLosesAtMostTwoTargetsWithExchange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if lost := simulateLosses(rt, 3, 1); lost > MaxLosses {
			rt.Fatalf("targets lost = %d", lost)
		}
	})
}

func TestPoisonRequestLosesAtMostTwoTargetsPerInstanceWithoutExchange(t *testing.T) {
	worst := 0
	rapid.Check(t, func(rt *rapid.T) {
		instances := rapid.IntRange(1, 4).Draw(rt, "instances")
		lost := simulateLosses(rt, instances, 0)
		if lost > MaxLosses*instances {
			rt.Fatalf("targets lost = %d with %d instances", lost, instances)
		}
		worst = max(worst, lost)
	})
	if worst <= MaxLosses {
		t.Fatal("without exchange, the bound with exchange was never exceeded, so the property with exchange cannot fail")
	}
}

func TestMergeIsIdempotentAndCommutative(t *testing.T) {
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

func TestSuspectRunsOneAttemptAtATimeAndIsClearedByResponse(t *testing.T) {
	tracker := New("a")
	tracker.RecordLoss(epoch, fingerprint, "t1", false)
	if _, ok := tracker.Start(epoch, fingerprint); !ok {
		t.Fatal("a request with one loss was refused")
	}
	if _, ok := tracker.Start(epoch, fingerprint); ok {
		t.Fatal("a second attempt of a request with a loss started while the first was in progress")
	}
	tracker.Complete(fingerprint)
	for range 2 {
		if _, ok := tracker.Start(epoch, fingerprint); !ok {
			t.Fatal("a request that got a response was still limited to one attempt")
		}
	}
}

func TestHoldEnds(t *testing.T) {
	tracker := New("a")
	for range MaxLosses {
		tracker.RecordLoss(epoch, fingerprint, "t", false)
	}
	if _, ok := tracker.Start(epoch.Add(HoldDuration-1), fingerprint); ok {
		t.Fatal("a held request was allowed")
	}
	if _, ok := tracker.Start(epoch.Add(HoldDuration), fingerprint); !ok {
		t.Fatal("a request was still held after HoldDuration")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	tracker := New("a")
	for i := range uint64(3 * maxEntries) {
		tracker.RecordLoss(epoch.Add(time.Duration(i)), i+1, "t", false)
	}
	if len(tracker.entries) > maxEntries {
		t.Fatalf("%d entries, more than maxEntries", len(tracker.entries))
	}
}

func TestExportIsBoundedAndListsHeldFingerprintsFirst(t *testing.T) {
	// The held fingerprints are fewer than an export has records, or more.
	for _, held := range []int{maxExportedRecords / 2, maxExportedRecords + 3} {
		tracker := New("a")
		const fingerprints = 500
		for i := range fingerprints {
			at, fp := epoch.Add(time.Duration(i)*time.Millisecond), uint64(i+1)
			tracker.RecordLoss(at, fp, "t1", false)
			if i < held {
				tracker.RecordLoss(at, fp, "t2", false)
			}
		}
		recs := tracker.Export(time.Time{})
		if len(recs) != maxExportedRecords {
			t.Fatalf("%d held: exported %d records, want %d", held, len(recs), maxExportedRecords)
		}
		for i, rec := range recs {
			want := uint64(held - i)
			if i >= held {
				want = uint64(fingerprints - (i - held))
			}
			if rec.Fingerprint != want {
				t.Fatalf("%d held: record %d has fingerprint %d, want %d", held, i, rec.Fingerprint, want)
			}
		}
	}
}
