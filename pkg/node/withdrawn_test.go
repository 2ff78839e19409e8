package node

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
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
	var left atomic.Pointer[string]
	o := dialOptions(inst.settings)
	o.Now = func() time.Time {
		now := time.Now()
		for _, d := range inst.core.Demand().Targets {
			if d.InUse > 0 && left.CompareAndSwap(nil, &d.Target) {
				inst.core.ObserveLoad(now, steer.LoadReport{Target: d.Target, At: now, Leaving: true})
			}
		}
		return now
	}
	inst.dialer = upstream.NewDialer(o)
	return &left
}
