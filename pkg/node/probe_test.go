package node

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/jacinthramp/jacinthramp/pkg/decision/departure"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// drainingTarget is a target that reports that it is leaving once leaving is set.
type drainingTarget struct {
	leaving atomic.Bool
	runs    atomic.Int32
	// leavingReports counts the load reports that state that the target is leaving.
	leavingReports atomic.Int32
}

func (d *drainingTarget) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case wire.PathTargetHealth:
	case wire.PathTargetLoad:
		leaving := d.leaving.Load()
		writeJSON(w, wire.TargetLoad{Slots: 8, Leaving: leaving, Incarnation: "t"})
		if leaving {
			d.leavingReports.Add(1)
		}
	default:
		d.runs.Add(1)
		io.WriteString(w, "ok")
	}
}

// twoTargets returns tables with two targets of one pool.
func twoTargets(a, b string) *table.Tables {
	t := oneTarget(a, "osrednja-a")
	t.Pools[0].Targets = append(t.Pools[0].Targets, table.Target{Name: "t2", Address: b, Zone: "osrednja-a", Slots: 8})
	return t
}

// TestLeavingTargetGetsNoNewRequests has one of two targets report in its load that
// it is leaving.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	var a, b drainingTarget
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.run(t, twoTargets(serveTarget(t, a.serve), serveTarget(t, b.serve)))
	for a.runs.Load() == 0 {
		get(t, inst.url()+"/feedlog")
	}
	a.leaving.Store(true)
	for a.leavingReports.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	before := a.runs.Load()
	for range 20 {
		if resp, _ := get(t, inst.url()+"/feedlog"); resp.Header.Get(wire.HeaderOutcome) != "completed" {
			t.Errorf("outcome is not completed in header %v", resp.Header)
		}
	}
	if n := a.runs.Load(); n != before {
		t.Errorf("the leaving target ran %d more requests", n-before)
	}
}

// TestLeavingFieldOfResponseStopsNewRequests has one of two targets shed a request
// with a response that states that it is leaving. The request must be retried at the
// other target, and few more may reach the first one.
func TestLeavingFieldOfResponseStopsNewRequests(t *testing.T) {
	var b drainingTarget
	var runs atomic.Int32
	first := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set(wire.HeaderTargetLeaving, "true")
		w.Header().Set(wire.HeaderTargetShed, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.run(t, twoTargets(first, startTarget(t, b.serve)))
	for range 20 {
		r, _ := http.NewRequest("POST", inst.url()+"/feedlog", http.NoBody)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.Header.Get(wire.HeaderOutcome) != "completed" {
			t.Errorf("a request that the target shed was not retried: header %v", resp.Header)
		}
	}
	if n := runs.Load(); n > 3 {
		t.Errorf("the leaving target got %d requests, want at most 3", n)
	}
}

// TestPeerReportIsLoggedWithItsSource reports the leaving notice of one of two targets
// as a peer would.
func TestPeerReportIsLoggedWithItsSource(t *testing.T) {
	logged, lines := observer.New(zap.InfoLevel)
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.log = zap.New(logged)
	inst.run(t, twoTargets(startTarget(t, echo), startTarget(t, echo)))
	reported := []departure.Record{{Target: "t1", Incarnation: "t", AgeMS: 1000}}
	notices := func() []observer.LoggedEntry { return lines.FilterMessage("target notice").All() }
	for len(notices()) == 0 { // until a probe has reported the incarnation
		inst.core.MergeLeaving(time.Now(), departure.Reply, "a-2", reported)
		time.Sleep(time.Millisecond)
	}
	fields := notices()[0].ContextMap()
	if fields["notice"] != "leaving" || fields["target"] != "t1" || fields["reported_by"] != "a-2" {
		t.Errorf("logged %v", fields)
	}
	var e wire.Explanation
	getJSON(t, inst, wire.PathExplain+"?route=feedlog", &e)
	if got := e.Pools[0].Targets[0].Excluded; !strings.Contains(got, "reported by a-2") {
		t.Errorf("t1 is excluded as %q", got)
	}
	for range 10 {
		checkServing(t, inst)
	}
}
