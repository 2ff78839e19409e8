package platform

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/test/virtualtime"
)

// services are the interfaces that the store and the HTTP client implement.
type services interface {
	platform.TableService
	platform.ObjectStore
	platform.InstanceRegistry
}

// testInProcessAndOverHTTP runs test in two subtests: one calls the store in
// process, the other calls it over HTTP.
func testInProcessAndOverHTTP(t *testing.T, test func(t *testing.T, s *Store, c services)) {
	t.Run("in process", func(t *testing.T) {
		s := New(nil)
		test(t, s, s)
	})
	t.Run("over HTTP", func(t *testing.T) {
		s := New(nil)
		srv := httptest.NewServer(Handler(s))
		defer srv.Close()
		c := platform.NewClient(srv.URL, nil)
		defer c.Close()
		test(t, s, c)
	})
}

func wantKind(t *testing.T, err error, want fault.Kind) {
	t.Helper()
	if got := fault.KindOf(err); got != want {
		t.Fatalf("error kind = %v, want %v (%v)", got, want, err)
	}
}

func mustCommit(t *testing.T, c services, writes ...platform.Write) []string {
	t.Helper()
	etags, err := c.Commit(t.Context(), writes)
	wantKind(t, err, fault.KindNone)
	return etags
}

func mustGet(t *testing.T, c services, key string) platform.Row {
	t.Helper()
	row, _, err := c.Get(t.Context(), key, "")
	wantKind(t, err, fault.KindNone)
	return row
}

func TestConditionalGet(t *testing.T) {
	testInProcessAndOverHTTP(t, func(t *testing.T, s *Store, c services) {
		row, changed, err := c.Get(t.Context(), "zones/a b", "")
		if err != nil || changed || row.ETag != "" {
			t.Fatalf("missing row: got %+v, changed %v, error %v", row, changed, err)
		}
		etag := mustCommit(t, c, platform.Write{Key: "zones/a b", Value: []byte("one")})[0]
		row, changed, err = c.Get(t.Context(), "zones/a b", "")
		if err != nil || !changed || string(row.Value) != "one" || row.ETag != etag || row.ModifiedAt.IsZero() {
			t.Fatalf("new row: got %+v, changed %v, error %v", row, changed, err)
		}
		if _, changed, err = c.Get(t.Context(), "zones/a b", etag); err != nil || changed {
			t.Fatalf("unchanged row: changed %v, error %v", changed, err)
		}
		deleted := mustCommit(t, c, platform.Write{Key: "zones/a b", IfMatch: etag, Delete: true})
		if deleted[0] != "" {
			t.Fatalf("ETag of a deleted row = %q", deleted[0])
		}
		if row, changed, err = c.Get(t.Context(), "zones/a b", etag); err != nil || !changed || row.ETag != "" {
			t.Fatalf("deleted row: got %+v, changed %v, error %v", row, changed, err)
		}
		if s.Stats().NotModified != 1 {
			t.Fatalf("stats: %+v", s.Stats())
		}
	})
}

func TestCommitIsAtomic(t *testing.T) {
	testInProcessAndOverHTTP(t, func(t *testing.T, _ *Store, c services) {
		etag := mustCommit(t, c, platform.Write{Key: "tables/current", Value: []byte("1")})[0]
		_, err := c.Commit(t.Context(), []platform.Write{
			{Key: "tables/history/2", Value: []byte("2")},
			{Key: "tables/current", IfMatch: `"other"`, Value: []byte("2")},
		})
		wantKind(t, err, fault.KindEditConflict)
		if row := mustGet(t, c, "tables/history/2"); row.ETag != "" {
			t.Fatal("a transaction with a failed condition wrote a row")
		}
		mustCommit(
			t, c,
			platform.Write{Key: "tables/history/2", Value: []byte("2")},
			platform.Write{Key: "tables/current", IfMatch: etag, Value: []byte("2")},
		)
		rows, err := c.List(t.Context(), "tables/")
		if err != nil || len(rows) != 2 || rows[0].Key != "tables/current" || string(rows[1].Value) != "2" {
			t.Fatalf("rows: got %+v, error %v", rows, err)
		}
	})
}

func TestPutAndGetObject(t *testing.T) {
	testInProcessAndOverHTTP(t, func(t *testing.T, _ *Store, c services) {
		if _, found, err := c.GetObject(t.Context(), "tables/ab"); found || err != nil {
			t.Fatalf("missing object: found %v, error %v", found, err)
		}
		for range 2 {
			wantKind(t, c.PutObject(t.Context(), "tables/ab", []byte("data")), fault.KindNone)
		}
		data, found, err := c.GetObject(t.Context(), "tables/ab")
		if !found || err != nil || string(data) != "data" {
			t.Fatalf("object: got %q, found %v, error %v", data, found, err)
		}
	})
}

func TestLostResponseKeepsWrite(t *testing.T) {
	testInProcessAndOverHTTP(t, func(t *testing.T, s *Store, c services) {
		s.SetFaults(Faults{LoseResponses: 1})
		_, err := c.Commit(t.Context(), []platform.Write{{Key: "k", Value: []byte("v")}})
		wantKind(t, err, fault.KindStoreAmbiguous)
		if row := mustGet(t, c, "k"); string(row.Value) != "v" {
			t.Fatal("a write whose response was lost did not take effect")
		}
		mustCommit(t, c, platform.Write{Key: "other"})
	})
}

func TestLostCommitWritesNothing(t *testing.T) {
	testInProcessAndOverHTTP(t, func(t *testing.T, s *Store, c services) {
		s.SetFaults(Faults{LoseCommits: 1})
		_, err := c.Commit(t.Context(), []platform.Write{{Key: "k", Value: []byte("v")}})
		wantKind(t, err, fault.KindStoreAmbiguous)
		if row := mustGet(t, c, "k"); row.ETag != "" {
			t.Fatal("a lost transaction took effect")
		}
	})
}

func TestDownStoreRefusesCallsWithoutEffect(t *testing.T) {
	testInProcessAndOverHTTP(t, func(t *testing.T, s *Store, c services) {
		s.SetFaults(Faults{Down: true})
		_, err := c.Commit(t.Context(), []platform.Write{{Key: "k"}})
		wantKind(t, err, fault.KindStoreUnavailable)
		_, _, err = c.Get(t.Context(), "k", "")
		wantKind(t, err, fault.KindStoreUnavailable)
		_, err = c.ListInstances(t.Context())
		wantKind(t, err, fault.KindStoreUnavailable)
		s.SetFaults(Faults{})
		if row := mustGet(t, c, "k"); row.ETag != "" {
			t.Fatal("a refused write took effect")
		}
	})
}

func TestCallsToUnresponsiveStoreTimeOut(t *testing.T) {
	testInProcessAndOverHTTP(t, func(t *testing.T, s *Store, c services) {
		s.SetFaults(Faults{Unresponsive: true})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := c.Commit(ctx, []platform.Write{{Key: "k"}})
		wantKind(t, err, fault.KindStoreAmbiguous)
		_, _, err = c.Get(ctx, "k", "")
		wantKind(t, err, fault.KindStoreUnavailable)
	})
}

func TestRefusedConnectionIsNotAmbiguous(t *testing.T) {
	srv := httptest.NewServer(Handler(New(nil)))
	c := platform.NewClient(srv.URL, nil)
	defer c.Close()
	mustCommit(t, c, platform.Write{Key: "k"})
	c.Close()
	srv.Close()
	for range 2 {
		_, err := c.Commit(t.Context(), []platform.Write{{Key: "other"}})
		wantKind(t, err, fault.KindStoreUnavailable)
	}
}

func TestCommitOnClosedIdleConnectionFails(t *testing.T) {
	srv := httptest.NewServer(Handler(New(nil)))
	c := platform.NewClient(srv.URL, nil)
	defer c.Close()
	mustCommit(t, c, platform.Write{Key: "k"})
	srv.Close()
	// The transport may detect the closed connection before or after it writes the
	// request.
	_, err := c.Commit(t.Context(), []platform.Write{{Key: "other"}})
	if k := fault.KindOf(err); k != fault.KindStoreUnavailable && k != fault.KindStoreAmbiguous {
		t.Fatalf("error kind = %v (%v)", k, err)
	}
	_, err = c.Commit(t.Context(), []platform.Write{{Key: "other"}})
	wantKind(t, err, fault.KindStoreUnavailable)
}

func TestCallsAboveRateLimitAreRefused(t *testing.T) {
	now := time.Unix(100, 0)
	s := New(func() time.Time { return now })
	s.SetFaults(Faults{ReadsPerSecond: 2})
	for range 2 {
		mustGet(t, s, "k")
	}
	_, _, err := s.Get(t.Context(), "k", "")
	wantKind(t, err, fault.KindStoreUnavailable)
	now = now.Add(time.Second)
	mustGet(t, s, "k")
	if st := s.Stats(); st.Reads != 4 || st.PeakReads != 3 || st.Refused != 1 {
		t.Fatalf("stats: %+v", st)
	}
}

func TestInstanceListLagsAndFreezes(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := New(nil)
		s.SetFaults(Faults{ListLag: table.Duration(2 * time.Second)})
		register := func(id, incarnation string) {
			wantKind(t, s.Register(t.Context(), platform.Instance{ID: id, Incarnation: incarnation}), fault.KindNone)
		}
		wantLen := func(want int) {
			t.Helper()
			list, err := s.ListInstances(t.Context())
			if err != nil || len(list) != want {
				t.Fatalf("list: got %+v, error %v, want %d entries", list, err, want)
			}
		}
		register("a", "1")
		wantLen(0)
		time.Sleep(2 * time.Second)
		wantLen(1)
		register("b", "1")
		s.EditFaults(func(f *Faults) { f.ListFrozen = true })
		time.Sleep(time.Minute)
		wantLen(1)
		s.EditFaults(func(f *Faults) { f.ListFrozen = false })
		wantLen(2)
		register("a", "2")
		wantKind(t, s.Deregister(t.Context(), "a", "1"), fault.KindNone)
		time.Sleep(time.Minute)
		wantLen(2)
		wantKind(t, s.Deregister(t.Context(), "a", "2"), fault.KindNone)
		time.Sleep(time.Minute)
		wantLen(1)
	})
}

func TestDelayAppliesBeforeAndAfterWrite(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := New(nil)
		s.SetFaults(Faults{Delay: table.Duration(2 * time.Second)})
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		_, err := s.Commit(ctx, []platform.Write{{Key: "k", Value: []byte("v")}})
		wantKind(t, err, fault.KindStoreAmbiguous)
		start := time.Now()
		if row := mustGet(t, s, "k"); string(row.Value) != "v" || time.Since(start) != 2*time.Second {
			t.Fatalf("read %+v in %v, want the abandoned write after 2 s", row, time.Since(start))
		}
	})
}

func TestRegisterAndDeregister(t *testing.T) {
	testInProcessAndOverHTTP(t, func(t *testing.T, _ *Store, c services) {
		instance := platform.Instance{ID: "i-1", Zone: "osrednja-a", Incarnation: "x", PeerAddress: "127.0.0.1:1", Leaving: true}
		wantKind(t, c.Register(t.Context(), instance), fault.KindNone)
		list, err := c.ListInstances(t.Context())
		if err != nil || len(list) != 1 || list[0] != instance {
			t.Fatalf("list after the registration: got %+v, error %v", list, err)
		}
		wantKind(t, c.Deregister(t.Context(), "i-1", "x"), fault.KindNone)
		if list, err = c.ListInstances(t.Context()); err != nil || len(list) != 0 {
			t.Fatalf("list after the deregistration: got %+v, error %v", list, err)
		}
	})
}
