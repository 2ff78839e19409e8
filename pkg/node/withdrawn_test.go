package node

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// TestRequestMovesWhenItsTargetLeavesBeforeItIsSent has the chosen one of two targets
// announce that it leaves once a request has been assigned to it and before its first
// byte is sent. The other target must run the request.
func TestRequestMovesWhenItsTargetLeavesBeforeItIsSent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var a, b drainingTarget
		inst := startInstance(t, "a-1", "osrednja-a")
		left := leaveOnceAssigned(inst)
		inst.run(t, twoTargets(serveTarget(t, a.serve), serveTarget(t, b.serve)))
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
		runs := map[string]int32{"t1": a.runs.Load(), "t2": b.runs.Load()}
		name := *left.Load()
		if string(body) != "ok" || runs[name] != 0 || runs["t1"]+runs["t2"] != 1 {
			t.Errorf("%s: status %d, body %q, %v runs, target %s leaves", method, resp.StatusCode, body, runs, name)
		}
	}
}

// leaveOnceAssigned makes the first target that is assigned a request leave when the
// instance takes a connection for it, and returns the target's name. Call it before
// run.
func leaveOnceAssigned(inst *testInstance) *atomic.Pointer[string] {
	return onceAssigned(inst, func(target string) {
		now := time.Now()
		inst.core.ObserveLoad(now, steer.LoadReport{Target: target, At: now, Leaving: true})
	})
}

// TestRequestMovesWhenTheTablesDropItsTargetBeforeItIsSent has the tables drain, or drop,
// the target of a request while its connection is being opened.
func TestRequestMovesWhenTheTablesDropItsTargetBeforeItIsSent(t *testing.T) {
	for name, leave := range map[string]func(p *table.Pool, target int){
		"drained": func(p *table.Pool, target int) { p.Targets[target].Drain = true },
		"removed": func(p *table.Pool, target int) { p.Targets = slices.Delete(p.Targets, target, target+1) },
	} {
		t.Run(name, func(t *testing.T) {
			var a, b drainingTarget
			tables := twoTargets(serveTarget(t, a.serve), serveTarget(t, b.serve))
			inst := startInstance(t, "a-1", "osrednja-a")
			left := onceAssigned(inst, func(target string) {
				later := *tables
				later.Version, later.Pools = 2, slices.Clone(tables.Pools)
				p := &later.Pools[0]
				p.Targets = slices.Clone(p.Targets)
				leave(p, slices.IndexFunc(p.Targets, func(tg table.Target) bool { return tg.Name == target }))
				inst.core.SetTables(time.Now(), &later)
			})
			inst.run(t, tables)
			_, body := get(t, inst.url()+"/feedlog")
			runs := map[string]int32{"t1": a.runs.Load(), "t2": b.runs.Load()}
			if target := *left.Load(); body != "ok" || runs[target] != 0 || runs["t1"]+runs["t2"] != 1 {
				t.Errorf("body %q, %v runs, %s is %s", body, runs, target, name)
			}
		})
	}
}

// onceAssigned calls f with the name of the first target that is assigned a request when
// the instance takes a connection for it, and returns that name. Call it before run.
func onceAssigned(inst *testInstance, f func(target string)) *atomic.Pointer[string] {
	var assigned atomic.Pointer[string]
	o := dialOptions(inst.settings)
	o.Now = func() time.Time {
		for _, d := range inst.core.Demand().Targets {
			if d.InUse > 0 && assigned.CompareAndSwap(nil, &d.Target) {
				f(d.Target)
			}
		}
		return time.Now()
	}
	inst.dialer = upstream.NewDialer(o)
	return &assigned
}
