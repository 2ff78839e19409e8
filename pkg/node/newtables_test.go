package node

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/settings"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// setTables puts tables in force at inst and waits until they are.
func (inst *testInstance) setTables(tables *table.Tables) {
	inst.cluster.tables.Store(tables.WithDefaults())
	inst.cluster.updates <- struct{}{}
	for inst.core.Tables().Version != tables.Version {
		time.Sleep(time.Millisecond)
	}
}

// losesFirst is the handler of targets. The first request that any of them receives waits for
// release and then loses its connection; the others get an answer at once.
type losesFirst struct {
	requests         atomic.Int32
	started, release chan struct{}
}

func newLosesFirst() *losesFirst {
	return &losesFirst{started: make(chan struct{}), release: make(chan struct{})}
}

func (l *losesFirst) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if l.requests.Add(1) == 1 {
		close(l.started)
		<-l.release
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "old")
}

// getAside is get in a goroutine of its own.
func getAside(t *testing.T, url string) (body chan string) {
	body = make(chan string, 1)
	go func() {
		resp, err := http.Get(url)
		if err != nil {
			t.Error(err)
			body <- ""
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		body <- string(b)
	}()
	return body
}

// twoRegions returns the version n of the tables of a service with two targets in each of
// two regions, of which the route allows one.
func twoRegions(n uint64, region string, addresses map[string]string) *table.Tables {
	t := oneTarget("", "osrednja-a")
	t.Version, t.Pools, t.Regions = n, nil, nil
	row := &t.Routes[0]
	row.Pools, row.Regions = nil, []string{region}
	for _, name := range []string{"osrednja", "stajerska"} {
		p := table.Pool{Name: "feedlog." + name, Service: "feedlog", Region: name, ShiftCap: 1}
		for _, suffix := range []string{"1", "2"} {
			p.Targets = append(p.Targets, table.Target{Name: name + suffix, Address: addresses[name+suffix], Zone: name + "-a", Slots: 8})
		}
		t.Pools = append(t.Pools, p)
		t.Regions = append(t.Regions, table.Region{Name: name})
		row.Pools = append(row.Pools, table.PoolWeight{Pool: p.Name, Weight: 1})
	}
	return t
}

func directMode(s *settings.Settings) { s.Dispatch.Mode = settings.DispatchDirect }

// answerNew answers "new".
func answerNew(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "new") }

// A request whose target is lost after its route has moved to another region must be sent
// there, not to the region that only the tables at its arrival allowed.
func TestFurtherAttemptGoesToTheRegionThatIsAllowedByThen(t *testing.T) {
	l := newLosesFirst()
	addresses := map[string]string{
		"osrednja1": startTarget(t, l.serve), "osrednja2": startTarget(t, l.serve),
		"stajerska1": startTarget(t, answerNew), "stajerska2": startTarget(t, answerNew),
	}
	inst := startInstanceWith(t, "a-1", "osrednja-a", directMode)
	inst.run(t, twoRegions(1, "osrednja", addresses))
	body := getAside(t, inst.url()+"/feedlog")
	<-l.started
	inst.setTables(twoRegions(2, "stajerska", addresses))
	close(l.release)
	if got := <-body; got != "new" || l.requests.Load() != 1 {
		t.Errorf("response %q, %d requests in the region that is not allowed any more", got, l.requests.Load())
	}
}

// A request whose connection is being opened when its route moves to another region must be
// sent there.
func TestPlacedRequestGoesToTheRegionThatIsAllowedWhenItIsSent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var old atomic.Int32
		count := func(w http.ResponseWriter, _ *http.Request) { old.Add(1) }
		addresses := map[string]string{
			"osrednja1": startTarget(t, count), "osrednja2": startTarget(t, count),
			"stajerska1": startTarget(t, answerNew), "stajerska2": startTarget(t, answerNew),
		}
		inst := startInstanceWith(t, "a-1", "osrednja-a", directMode)
		onceAssigned(inst, func(string) { inst.core.SetTables(time.Now(), twoRegions(2, "stajerska", addresses).WithDefaults()) })
		inst.run(t, twoRegions(1, "osrednja", addresses))
		r, err := http.NewRequestWithContext(t.Context(), method, inst.url()+"/feedlog", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if string(body) != "new" || old.Load() != 0 {
			t.Errorf("%s: status %d, response %q, %d requests in the region that is not allowed any more", method, resp.StatusCode, body, old.Load())
		}
	}
}

// A further attempt may go to a target that the tables at the arrival did not have.
func TestFurtherAttemptReachesTargetThatHasJoinedSince(t *testing.T) {
	l := newLosesFirst()
	v1 := oneTarget(startTarget(t, l.serve), "osrednja-a")
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.run(t, v1)
	body := getAside(t, inst.url()+"/feedlog")
	<-l.started
	v2 := *v1
	v2.Version, v2.Pools = 2, slices.Clone(v1.Pools)
	v2.Pools[0].Targets = []table.Target{{Name: "t2", Address: startTarget(t, answerNew), Zone: "osrednja-a", Slots: 8}}
	inst.setTables(&v2)
	close(l.release)
	if got := <-body; got != "new" {
		t.Errorf("response %q", got)
	}
}

// An instance whose tables are newer than those of the instance that forwards a request must
// not run the request in a pool that its route has left.
func TestForwardedRequestIsNotRunInAPoolThatItsRouteHasLeft(t *testing.T) {
	var runs atomic.Int32
	v1 := oneTarget(startTarget(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) }), "osrednja-b")
	v2 := *v1
	v2.Version, v2.Routes, v2.Pools = 2, slices.Clone(v1.Routes), slices.Clone(v1.Pools)
	v2.Pools = append(v2.Pools, table.Pool{Name: "other", Region: "osrednja", ShiftCap: 1, Targets: []table.Target{{Name: "t2", Address: startTarget(t, answerNew), Zone: "osrednja-b", Slots: 8}}})
	v2.Routes[0].Pools = []table.PoolWeight{{Pool: "other", Weight: 1}}
	a, b := startInstance(t, "a-1", "osrednja-a"), startInstance(t, "b-1", "osrednja-b")
	a.run(t, v1, a.self, b.self)
	b.run(t, &v2, a.self, b.self)
	resp, _ := get(t, a.url()+"/feedlog")
	if resp.Header.Get(wire.HeaderOutcome) != "not-run" || runs.Load() != 0 {
		t.Errorf("status %d, outcome %q, %d runs in the pool that the route has left", resp.StatusCode, resp.Header.Get(wire.HeaderOutcome), runs.Load())
	}
}

// A request that waits for a slot of a pool that its route leaves must go to the new pool at
// once.
func TestWaitingRequestFollowsItsRouteToAnotherPool(t *testing.T) {
	inst, started, release := startOneSlot(t, 5*time.Second)
	first, second := make(chan struct{}), make(chan string, 1)
	go func() {
		_, _, _ = post(t.Context(), inst, "/feedlog/1")
		close(first)
	}()
	<-started
	go func() {
		_, body, _ := post(t.Context(), inst, "/feedlog/2")
		second <- body
	}()
	for inst.core.PoolViews(time.Now())[0].Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	v2 := inst.core.Tables().Clone()
	v2.Version++
	v2.Routes[0].Pools[0].Pool = "other"
	v2.Pools = append(v2.Pools, table.Pool{
		Name: "other", Region: "osrednja", ShiftCap: 1,
		Targets: []table.Target{{Name: "t2", Address: startTarget(t, answerNew), Zone: "osrednja-a", Slots: 8}},
	})
	v2.Regions[0].Limit = 0 // the default, which covers both pools
	inst.setTables(v2)
	select {
	case body := <-second:
		if body != "new" {
			t.Errorf("response %q", body)
		}
	case <-time.After(time.Second):
		t.Error("the request still waits for the pool that its route has left")
	}
	release <- struct{}{}
	<-first
	if len(started) != 0 {
		t.Error("the pool that the route has left runs the request")
		release <- struct{}{}
	}
}
