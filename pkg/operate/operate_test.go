package operate

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"github.com/jacinthramp/jacinthramp/pkg/decision/shift"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/operator"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// twoPools returns tables with one route over two pools of n targets each. All
// weight is on the first pool.
func twoPools(n int) *table.Tables {
	t := &table.Tables{Regions: []table.Region{{Name: "osrednja"}}}
	r := table.Route{Name: "feedlog"}
	for i, name := range []string{"p", "q"} {
		p := table.Pool{Name: name, Region: "osrednja"}
		for j := range n {
			p.Targets = append(p.Targets, table.Target{Name: fmt.Sprintf("%s%d", name, j), Address: fmt.Sprintf("10.0.%d.%d:80", i, j+1), Zone: "osrednja-a", Slots: 4})
		}
		t.Pools = append(t.Pools, p)
		r.Pools = append(r.Pools, table.PoolWeight{Pool: name, Weight: 1 - i})
	}
	t.Routes = []table.Route{r}
	return t
}

// newSession returns a session on a platform that holds tb as version 1.
func newSession(t *testing.T, tb *table.Tables) (*Session, *standin.Store) {
	t.Helper()
	store := standin.New(time.Now)
	s := &Session{Tables: store, Objects: store, Instances: store, Admin: operator.NewClient(nil)}
	t.Cleanup(s.Admin.Close)
	if _, err := s.accept(t.Context(), tb, EditMetadata{EditID: "first"}); err != nil {
		t.Fatal(err)
	}
	return s, store
}

// addInstance registers an instance whose admin endpoint returns status().
func addInstance(t *testing.T, store *standin.Store, id string, status func() wire.Status) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(status()) }))
	t.Cleanup(server.Close)
	in := platform.Instance{ID: id, Zone: "osrednja-a", Region: "osrednja", AdminAddress: server.Listener.Addr().String()}
	if err := store.Register(t.Context(), in); err != nil {
		t.Fatal(err)
	}
}

func TestConcurrentDrainsAreEachAppliedOnce(t *testing.T) {
	const operators = 4
	s, store := newSession(t, twoPools(operators+1))
	store.EditFaults(func(f *standin.Faults) { f.LoseResponses, f.LoseCommits = 3, 2 })
	var wg conc.WaitGroup
	for i := range operators {
		wg.Go(func() {
			if out, err := s.Drain(context.Background(), DrainRequest{Target: fmt.Sprintf("p%d", i), Author: fmt.Sprint(i)}); err != nil || !out.Accepted {
				t.Errorf("drain of p%d: %+v, %v", i, out, err)
			}
		})
	}
	wg.Wait()
	exported, err := s.Export(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	for i, tg := range exported.Tables.Pools[0].Targets {
		if tg.Drain != (i < operators) {
			t.Errorf("target %s: drain = %v", tg.Name, tg.Drain)
		}
	}
	entries, err := s.History(t.Context(), 100, true)
	if err != nil || len(entries) != operators+1 {
		t.Fatalf("history = %+v, %v", entries, err)
	}
	for _, e := range entries[:operators] {
		if len(e.Changes) != 1 {
			t.Errorf("version %d changed %v", e.Version, e.Changes)
		}
	}
}

func TestLimitIsComparedWithTheLargestOfSeveralCounts(t *testing.T) {
	s, store := newSession(t, twoPools(2))
	var calls atomic.Int32
	addInstance(t, store, "i1", func() wire.Status {
		n := 0
		if calls.Add(1) == 3 {
			n = 6
		}
		return wire.Status{Pools: []wire.PoolStatus{{Pool: "p", InFlight: n}}}
	})
	s.Sleep = func(context.Context, time.Duration) error { return nil }
	_, old, err := s.readCurrent(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	next := old.Clone()
	next.Regions[0].Limit = 5
	problems, unchecked := s.checkInFlight(t.Context(), old, next)
	if len(problems) != 1 || len(unchecked) != 0 || !strings.Contains(problems[0].String(), "region osrednja: limit: 5 is below the 6") {
		t.Fatalf("problems = %v, unchecked %v", problems, unchecked)
	}
	next.Regions[0].Limit = 6
	if problems, _ := s.checkInFlight(t.Context(), old, next); len(problems) != 0 {
		t.Fatalf("problems = %v", problems)
	}
}

func TestUnresponsiveInstancesAreNamed(t *testing.T) {
	s, store := newSession(t, twoPools(2))
	if err := store.Register(t.Context(), platform.Instance{ID: "gone", Region: "osrednja", AdminAddress: "127.0.0.1:1"}); err != nil {
		t.Fatal(err)
	}
	snap, _, err := s.Snapshot(t.Context(), nil)
	if err != nil || snap.InForce || len(snap.Instances) != 1 || snap.Instances[0].Error == "" {
		t.Fatalf("snapshot = %+v, %v", snap, err)
	}
	_, old, _ := s.readCurrent(t.Context())
	next := old.Clone()
	next.Regions[0].Limit = 1
	if _, unchecked := s.checkInFlight(t.Context(), old, next); len(unchecked) != 1 || !strings.Contains(unchecked[0], "gone") {
		t.Fatalf("unchecked = %v", unchecked)
	}
}

func TestWatchContinuesWhileThePlatformIsDown(t *testing.T) {
	s, store := newSession(t, twoPools(2))
	addInstance(t, store, "i1", func() wire.Status { return wire.Status{ID: "i1", Version: 1} })
	_, list, err := s.Snapshot(t.Context(), nil)
	if err != nil {
		t.Fatal(err)
	}
	store.EditFaults(func(f *standin.Faults) { f.Down = true })
	snap, _, err := s.Snapshot(t.Context(), list)
	if err != nil || snap.StoreError == "" || snap.InForce || snap.Instances[0].Version != 1 {
		t.Fatalf("snapshot = %+v, %v", snap, err)
	}
	if _, _, err := s.Snapshot(t.Context(), nil); fault.KindOf(err) != fault.KindStoreUnavailable {
		t.Fatalf("err = %v", err)
	}
}

func TestOnlyShiftingRoutesKeepTheirShares(t *testing.T) {
	s, store := newSession(t, twoPools(2))
	_, old, err := s.readCurrent(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	same := old.Clone()
	same.Pools[0].Targets[0].Slots = 9
	head, err := s.accept(t.Context(), same, EditMetadata{EditID: "same weights"})
	if err != nil {
		t.Fatal(err)
	}
	got, err := tablestore.Load(t.Context(), store, head)
	if err != nil || len(got.Shifts) != 0 {
		t.Fatalf("shifts = %v, %v", got, err)
	}
	moved := got.Clone()
	moved.Routes[0].Pools[0].Weight, moved.Routes[0].Pools[1].Weight = 0, 1
	if head, err = s.accept(t.Context(), moved, EditMetadata{EditID: "moved"}); err != nil {
		t.Fatal(err)
	}
	if got, err = tablestore.Load(t.Context(), store, head); err != nil || len(got.Shifts) != 2 {
		t.Fatalf("shifts = %v, %v", got, err)
	}
	for _, sh := range shift.PlannedShares(got, &got.Routes[0], got.AcceptedAt) {
		if want := map[string]float64{"p": 1, "q": 0}[sh.Pool]; sh.Share != want {
			t.Errorf("pool %s starts at %v, want %v", sh.Pool, sh.Share, want)
		}
	}
}
