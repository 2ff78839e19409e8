package steer

import (
	"net/http"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// waitingFixture has one slot in the instance's zone for each region's pool.
var waitingFixture = fixture{regions: []string{"osrednja", "stajerska"}, targets: 1, slots: 1, shiftCap: 1, window: 10 * time.Second}

// localTables returns the version n of the tables of waitingFixture, with all targets in the
// instance's zone and the route on the first pool.
func localTables(n uint64, change func(t *table.Tables)) *table.Tables {
	t := waitingFixture.tables()
	t.Version = n
	for i := range t.Pools {
		t.Pools[i].Targets[0].Zone = testSelf.Zone
	}
	t.Routes[0].PathPrefix = "/"
	t.Routes[0].Pools = t.Routes[0].Pools[:1]
	change(t)
	return t
}

// waiting is a queued request.
type waiting struct {
	r      *Request
	ticket uint64
}

// queueAll fills the slot of the first pool and queues a request for each object there. pool
// is set in the requests if another instance has forwarded them.
func queueAll(t *testing.T, c *Core, tb *table.Tables, pool string) (running Decision, queued []waiting) {
	t.Helper()
	request := func(path string) *Request {
		r := newRequest(tb, at(time.Second))
		r.TablesVersion, r.Path, r.Pool, r.Deadline = tb.Version, path, pool, at(time.Minute)
		return r
	}
	path := "/read"
	if pool != "" {
		path = ""
	}
	running = mustDispatch(t, c.Decide(at(time.Second), request(path)))
	for range objects {
		r := request(path)
		d := c.Decide(at(time.Second), r)
		if d.Verdict != Wait {
			t.Fatalf("decision %+v, want a wait", d)
		}
		queued = append(queued, waiting{r, d.Ticket})
	}
	return running, queued
}

// queueTimeout is long enough for all requests of queueAll to wait.
const queueTimeout = table.Duration(20 * time.Second)

func TestQueuedRequestsLeaveThePoolThatTheirRouteHasLeft(t *testing.T) {
	keep := func(t *table.Tables) { t.Routes[0].QueueTimeout = queueTimeout }
	for name, tc := range map[string]struct {
		change func(t *table.Tables)
		pool   string
		want   fault.Kind
	}{
		"moved to another pool":            {func(t *table.Tables) { t.Routes[0].Pools[0].Pool = t.Pools[1].Name }, "", fault.KindTargetLeaving},
		"moved to another pool, forwarded": {func(t *table.Tables) { t.Routes[0].Pools[0].Pool = t.Pools[1].Name }, "feedlog-osrednja", fault.KindNoTarget},
		"removed":                          {func(t *table.Tables) { t.Routes[0].PathPrefix = "/other" }, "", fault.KindNoTarget},
	} {
		t.Run(name, func(t *testing.T) {
			v1 := localTables(1, keep)
			c := newCore(v1)
			running, queued := queueAll(t, c, v1, tc.pool)
			v2 := localTables(2, func(t *table.Tables) { keep(t); tc.change(t) })
			c.SetTables(at(2*time.Second), v2)
			dispatched, refused := 0, 0
			for _, w := range append(c.Tick(at(2*time.Second)), c.Done(at(2*time.Second), running, Result{Latency: time.Millisecond})...) {
				switch {
				case w.Decision.Verdict == Dispatch:
					dispatched++
				case w.Decision.Kind == tc.want:
					refused++
				}
			}
			if dispatched != 0 || refused != objects {
				t.Errorf("of %d requests %d were dispatched to the pool and %d refused with %v", objects, dispatched, refused, tc.want)
			}
			if tc.want == fault.KindTargetLeaving {
				if d := mustDispatch(t, c.Decide(at(2*time.Second), queued[0].r)); d.Pool != v2.Pools[1].Name {
					t.Errorf("the next decision names pool %s", d.Pool)
				}
			}
		})
	}
}

func TestQueuedRequestsKeepWaitingWhileTheirRouteHasThePool(t *testing.T) {
	keep := func(t *table.Tables) { t.Routes[0].QueueTimeout = queueTimeout }
	for _, pool := range []string{"", "feedlog-osrednja"} {
		v1 := localTables(1, keep)
		c := newCore(v1)
		running, _ := queueAll(t, c, v1, pool)
		c.SetTables(at(2*time.Second), localTables(2, func(t *table.Tables) {
			keep(t)
			t.Routes[0].Pools = append(t.Routes[0].Pools, table.PoolWeight{Pool: t.Pools[1].Name, Weight: 1})
		}))
		if w := c.Tick(at(2 * time.Second)); len(w) != 0 {
			t.Errorf("%d requests no longer wait, the first is decided %+v", len(w), w[0].Decision)
		}
		wakeups := c.Done(at(2*time.Second), running, Result{Latency: time.Millisecond})
		if len(wakeups) != 1 || wakeups[0].Decision.Verdict != Dispatch || wakeups[0].Decision.TablesVersion != 2 {
			t.Errorf("decisions after a slot is free: %+v", wakeups)
		}
	}
}

// A further attempt that waits must not be made once the tables forbid it.
func TestQueuedFurtherAttemptsAreRefusedOnceTheTablesForbidThem(t *testing.T) {
	keep := func(t *table.Tables) { t.Routes[0].QueueTimeout = queueTimeout }
	for name, change := range map[string]func(row *table.Route){
		"fewer attempts": func(row *table.Route) { row.MaxAttempts = 1 },
		"not idempotent": func(row *table.Route) { row.Idempotency = table.IdempotentNever },
	} {
		v1 := localTables(1, keep)
		c := newCore(v1)
		running, queued := queueAll(t, c, v1, "")
		for _, w := range queued {
			w.r.Attempts, w.r.mayHaveRun, w.r.Method = 1, true, http.MethodPost
		}
		c.SetTables(at(2*time.Second), localTables(2, func(t *table.Tables) { keep(t); change(&t.Routes[0]) }))
		dispatched, refused := 0, 0
		for _, w := range append(c.Tick(at(2*time.Second)), c.Done(at(2*time.Second), running, Result{Latency: time.Millisecond})...) {
			if w.Decision.Verdict == Dispatch {
				dispatched++
			} else {
				refused++
			}
		}
		if dispatched != 0 || refused != objects {
			t.Errorf("%s: of %d requests %d were dispatched and %d refused", name, objects, dispatched, refused)
		}
	}
}
