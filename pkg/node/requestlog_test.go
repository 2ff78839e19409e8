package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/telemetry"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// TestRequestLineHasPathAndStatuses checks that the line of a request shows what was
// matched and what was relayed: without these, a wrong route and a wrong status can't be
// told from a wrong target.
func TestRequestLineHasPathAndStatuses(t *testing.T) {
	address := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		w.WriteHeader(http.StatusTeapot)
	})
	core, logged := observer.New(zap.InfoLevel)
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.log = zap.New(core)
	inst.run(t, oneTarget(address, "osrednja-a"))
	get(t, inst.url()+"/feedlog/a%2Fb?c=d")
	for logged.FilterMessage("request").Len() == 0 { // it is logged after the response
		time.Sleep(time.Millisecond)
	}
	fields := logged.FilterMessage("request").All()[0].ContextMap()
	if fields["path"] != "/feedlog/a%2Fb" || fields["status"] != int64(http.StatusTeapot) {
		t.Errorf("path %v, status %v", fields["path"], fields["status"])
	}
	interim, ok := fields["interim"].([]any)
	if !ok || len(interim) != 1 || interim[0] != http.StatusEarlyHints {
		t.Errorf("interim responses %v", fields["interim"])
	}
}

// TestRequestLineTellsTheTablesOfArrivalDecisionAndSending changes the tables between the
// decision on a request and its first byte: without these versions, a request that was sent
// under newer tables can't be told from tables that came late.
func TestRequestLineTellsTheTablesOfArrivalDecisionAndSending(t *testing.T) {
	tables := oneTarget(startTarget(t, echo), "osrednja-a")
	tables.Routes[0].Regions = []string{"osrednja"}
	core, logged := observer.New(zap.InfoLevel)
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.log = zap.New(core)
	onceAssigned(inst, func(string) {
		later := *tables
		later.Version = 2
		inst.core.SetTables(time.Now(), &later)
	})
	inst.run(t, tables)
	get(t, inst.url()+"/feedlog")
	for logged.FilterMessage("request").Len() == 0 { // it is logged after the response
		time.Sleep(time.Millisecond)
	}
	fields := logged.FilterMessage("request").All()[0].ContextMap()
	for name, want := range map[string]any{"tables": uint64(1), "decided_tables": uint64(1), "sent_tables": uint64(2), "region": "osrednja"} {
		if fields[name] != want {
			t.Errorf("%s is %v, want %v", name, fields[name], want)
		}
	}
	if regions, ok := fields["allowed_regions"].([]any); !ok || len(regions) != 1 || regions[0] != "osrednja" {
		t.Errorf("allowed regions %v", fields["allowed_regions"])
	}
	if _, ok := fields["disallowed"]; ok {
		t.Error("the attempt counts as disallowed")
	}
}

// TestDisallowedAttemptIsCounted records an attempt as sent after its route has left the pool.
func TestDisallowedAttemptIsCounted(t *testing.T) {
	tables := oneTarget(startTarget(t, echo), "osrednja-a")
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.metrics = telemetry.NewMetrics("a-1", "osrednja-a")
	inst.run(t, tables)
	now := time.Now()
	row, version := inst.core.Match("", "/feedlog")
	x := &exchange{node: inst.Node, req: steer.Request{Route: row, TablesVersion: version, Path: "/feedlog", Deadline: now.Add(time.Second)}}
	a := &attempt{x: x, decision: inst.core.Decide(now, &x.req)}
	later := *tables
	later.Version, later.Routes = 2, []table.Route{tables.Routes[0]}
	later.Routes[0].PathPrefix = "/other"
	inst.core.SetTables(now, &later)
	a.recordSent(now)
	inst.core.Done(now, a.decision, steer.Result{Kind: fault.KindTargetRefused})
	if got := a.sentState(); got != (sentState{version: 2, disallowed: true}) {
		t.Errorf("state %+v", got)
	}
	if err := inst.metrics.Close(); err != nil { // publishes the recorded values
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	inst.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, wire.PathMetrics, http.NoBody))
	if want := `jacinthramp_disallowed_attempts{instance="a-1",instance_zone="osrednja-a"} 1`; !strings.Contains(w.Body.String(), want) {
		t.Errorf("the exposed metrics lack %s", want)
	}
}

// TestRequestLineOfWithdrawnAttemptSaysThatNothingWasSent has the tables drain the only target
// between the decision and the first byte.
func TestRequestLineOfWithdrawnAttemptSaysThatNothingWasSent(t *testing.T) {
	tables := oneTarget(startTarget(t, echo), "osrednja-a")
	core, logged := observer.New(zap.InfoLevel)
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.log = zap.New(core)
	onceAssigned(inst, func(string) {
		later := tables.Clone()
		later.Version, later.Pools[0].Targets[0].Drain = 2, true
		inst.core.SetTables(time.Now(), later)
	})
	inst.run(t, tables)
	get(t, inst.url()+"/feedlog")
	for logged.FilterMessage("request").Len() == 0 { // it is logged after the response
		time.Sleep(time.Millisecond)
	}
	fields := logged.FilterMessage("request").All()[0].ContextMap()
	for _, name := range []string{"sent_after", "sent_tables", "disallowed"} {
		if v, ok := fields[name]; ok {
			t.Errorf("%s is %v although nothing was sent", name, v)
		}
	}
	if fields["attempts"] != int64(1) || fields["decided_tables"] != uint64(1) {
		t.Errorf("%v attempts, decided under version %v", fields["attempts"], fields["decided_tables"])
	}
}
