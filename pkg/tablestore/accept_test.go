package tablestore

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// fastRetry retries almost without waiting.
var fastRetry = RetryPolicy{MaxAttempts: 5, InitialInterval: time.Microsecond, MaxInterval: time.Microsecond}

// newEdit returns an edit based on version base whose only target has the given slots.
func newEdit(id string, base uint64, slots int) Edit {
	t := &table.Tables{
		Version: base,
		Routes:  []table.Route{{Name: "feedlog", Pools: []table.PoolWeight{{Pool: "p", Weight: 1}}}},
		Regions: []table.Region{{Name: "osrednja"}},
		Pools: []table.Pool{{Name: "p", Region: "osrednja", Targets: []table.Target{
			{Name: "t", Address: "10.0.0.1:80", Zone: "osrednja-a", Slots: slots},
		}}},
	}
	return Edit{ID: id, Author: "author-" + id, Reason: "reason", Tables: t, Retry: fastRetry}
}

// mustAccept accepts e and fails the test on an error.
func mustAccept(t *testing.T, f *fakePlatform, e Edit) Head {
	t.Helper()
	h, err := Accept(context.Background(), f, f, e)
	if err != nil {
		t.Fatalf("Accept(%s): %v", e.ID, err)
	}
	return h
}

func TestAcceptedTablesAreLoadedWithVersionTimeAndDefaults(t *testing.T) {
	f := newFakePlatform()
	mustAccept(t, f, newEdit("a", 0, 4))
	h, etag, changed, err := ReadHead(context.Background(), f, "")
	if err != nil || !changed || h.Version != 1 || h.EditID != "a" {
		t.Fatalf("head = %+v, %v, %v", h, changed, err)
	}
	if _, _, changed, _ := ReadHead(context.Background(), f, etag); changed {
		t.Fatal("the head changed without an edit")
	}
	got, err := Load(context.Background(), f, h)
	if err != nil {
		t.Fatal(err)
	}
	if got.Version != 1 || !got.AcceptedAt.Equal(f.now) || got.Region("osrednja").Limit != 4 {
		t.Fatalf("tables = %+v, platform's time %v", got, f.now)
	}
}

func TestLostRepliesAreResolvedByReadingBack(t *testing.T) {
	for name, script := range map[string][]commitOutcome{
		"took effect":                   {lostAfterApply},
		"did not take effect":           {lostBeforeApply},
		"twice":                         {lostBeforeApply, lostAfterApply},
		"unavailable, then took effect": {unavailable, lostAfterApply},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakePlatform()
			f.script = script
			if h := mustAccept(t, f, newEdit("a", 0, 4)); h.Version != 1 || h.EditID != "a" {
				t.Fatalf("head = %+v", h)
			}
			if heads, _ := History(context.Background(), f); len(heads) != 1 {
				t.Fatalf("history = %+v", heads)
			}
		})
	}
}

func TestLostReplyIsResolvedAfterLaterVersions(t *testing.T) {
	f := newFakePlatform()
	f.script = []commitOutcome{lostAfterApply}
	first := newEdit("a", 0, 4)
	mustAccept(t, f, first)
	mustAccept(t, f, newEdit("b", 1, 5))
	if h := mustAccept(t, f, first); h.Version != 1 || h.EditID != "a" {
		t.Fatalf("the repeated edit returned %+v", h)
	}
	if heads, _ := History(context.Background(), f); len(heads) != 2 {
		t.Fatalf("history = %+v", heads)
	}
}

func TestConflictReportsBothSides(t *testing.T) {
	f := newFakePlatform()
	mustAccept(t, f, newEdit("a", 0, 4))
	mustAccept(t, f, newEdit("b", 1, 5))
	_, err := Accept(context.Background(), f, f, newEdit("c", 1, 6))
	var c *ConflictError
	if !errors.As(err, &c) || fault.KindOf(err) != fault.KindEditConflict {
		t.Fatalf("err = %v", err)
	}
	if c.Base != 1 || c.Current.Version != 2 || c.Current.Author != "author-b" {
		t.Fatalf("conflict = %+v", c)
	}
	if len(c.Yours) == 0 || c.Yours[len(c.Yours)-1].New != "6" || c.Theirs[len(c.Theirs)-1].New != "5" {
		t.Fatalf("yours = %v, theirs = %v", c.Yours, c.Theirs)
	}
	if !strings.Contains(err.Error(), "author-b") {
		t.Fatalf("message = %s", err)
	}
}

func TestConcurrentCommitIsAConflict(t *testing.T) {
	f := newFakePlatform()
	f.beforeCommit = func() {
		f.beforeCommit = nil
		mustAccept(t, f, newEdit("b", 0, 5))
	}
	_, err := Accept(context.Background(), f, f, newEdit("a", 0, 4))
	var c *ConflictError
	if !errors.As(err, &c) || c.Current.EditID != "b" {
		t.Fatalf("err = %v", err)
	}
}

func TestExhaustedRetriesReportWhetherOutcomeIsUnknown(t *testing.T) {
	f := newFakePlatform()
	f.script = []commitOutcome{unavailable, unavailable, unavailable, unavailable, unavailable}
	if _, err := Accept(context.Background(), f, f, newEdit("a", 0, 4)); fault.KindOf(err) != fault.KindStoreUnavailable {
		t.Fatalf("err = %v", err)
	}
	f.script = []commitOutcome{lostBeforeApply, unavailable, unavailable, unavailable, unavailable}
	if _, err := Accept(context.Background(), f, f, newEdit("a", 0, 4)); fault.KindOf(err) != fault.KindStoreAmbiguous {
		t.Fatalf("err = %v", err)
	}
}

func TestShiftsAreComputedAtPlatformTime(t *testing.T) {
	f := newFakePlatform()
	mustAccept(t, f, newEdit("a", 0, 4))
	var at time.Time
	e := newEdit("b", 1, 5)
	e.ComputeShifts = func(cur *table.Tables, now time.Time) []table.Shift {
		at = now
		return []table.Shift{{Route: "feedlog", Pool: "p", Share: 1}}
	}
	h := mustAccept(t, f, e)
	got, err := Load(context.Background(), f, h)
	if err != nil || len(got.Shifts) != 1 {
		t.Fatalf("shifts = %v, %v", got, err)
	}
	if d := h.AcceptedAt.Sub(at); d < 0 || d > time.Second {
		t.Fatalf("shares computed at %v, accepted at %v", at, h.AcceptedAt)
	}
}

func TestCorruptContentIsRejected(t *testing.T) {
	f := newFakePlatform()
	h := mustAccept(t, f, newEdit("a", 0, 4))
	f.objects[h.Object] = append(f.objects[h.Object], ' ')
	if _, err := Load(context.Background(), f, h); fault.KindOf(err) != fault.KindInvalidTable {
		t.Fatalf("err = %v", err)
	}
	delete(f.objects, h.Object)
	if _, err := Load(context.Background(), f, h); fault.KindOf(err) != fault.KindStoreUnavailable {
		t.Fatalf("err = %v", err)
	}
}
