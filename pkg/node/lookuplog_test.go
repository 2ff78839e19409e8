package node

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/jacinthramp/jacinthramp/pkg/decision/lookup"
	"github.com/jacinthramp/jacinthramp/pkg/telemetry"
)

// TestLookupsWithoutOwnRegionAreCountedAndLogged checks that the log says why a lookup
// response names no instance of the caller's region, in one line a second, and that the
// metrics count the responses by scope.
func TestLookupsWithoutOwnRegionAreCountedAndLogged(t *testing.T) {
	n := nodeWithCandidates([]lookup.Instance{
		{ID: "a1", Zone: "a", Region: "ra", Leaving: true},
		{ID: "a2", Zone: "a", Region: "ra", Unreachable: true},
		{ID: "b1", Zone: "b", Region: "rb"},
	})
	core, logged := observer.New(zap.InfoLevel)
	now := time.Unix(1000, 0)
	n.log, n.now, n.metrics = zap.New(core), func() time.Time { return now }, telemetry.NewMetrics("b1", "b")
	for range 3 {
		n.InstancesNear("host.example", lookup.Location{Zone: "a", Region: "ra"})
	}
	n.InstancesNear("host.example", lookup.Location{Zone: "b", Region: "rb"})
	now = now.Add(remoteLookupLogInterval)
	n.InstancesNear("host.example", lookup.Location{Zone: "a", Region: "ra"})
	lines := logged.FilterMessage("lookup response without instances of the caller's region").All()
	if len(lines) != 2 {
		t.Fatalf("%d lines, want 2", len(lines))
	}
	fields := lines[0].ContextMap()
	if fields["region"] != "ra" || fields["listed"] != int64(2) || fields["leaving"] != int64(1) || fields["unreachable"] != int64(1) {
		t.Errorf("first line %v", fields)
	}
	if omitted := lines[1].ContextMap()["omitted"]; omitted != int64(2) {
		t.Errorf("%v lines are reported as left out, want 2", omitted)
	}
	exposed := exposedMetrics(t, n.metrics)
	for _, want := range []string{`scope="allowed-regions"} 4`, `scope="own-region"} 1`} {
		if !strings.Contains(exposed, want) {
			t.Errorf("the exposed metrics lack %s:\n%s", want, exposed)
		}
	}
}

// exposedMetrics closes m and returns what it exposes.
func exposedMetrics(t *testing.T, m *telemetry.Metrics) string {
	t.Helper()
	if err := m.Close(); err != nil { // publishes the recorded values
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	b, err := io.ReadAll(w.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}
