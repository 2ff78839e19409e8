package node

import (
	"net/http"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/settings"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// readiness returns the status code of the readiness endpoint of m.
func readiness(t *testing.T, m *testInstance) int {
	t.Helper()
	resp, err := http.Get("http://" + m.self.AdminAddress + wire.PathReady)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func TestNotReadyBeforeTheFirstShares(t *testing.T) {
	m := startInstance(t, "a-1", "osrednja-a")
	m.cluster.noLease.Store(true)
	m.run(t, oneTarget("127.0.0.1:1", "osrednja-a"))
	if got := readiness(t, m); got != http.StatusServiceUnavailable || m.Ready() {
		t.Errorf("without shares: status %d, ready %v", got, m.Ready())
	}
	m.cluster.noLease.Store(false)
	if got := readiness(t, m); got != http.StatusOK || !m.Ready() {
		t.Errorf("with shares: status %d, ready %v", got, m.Ready())
	}
}

func TestDirectDispatchIsReadyWithoutShares(t *testing.T) {
	m := startInstance(t, "a-1", "osrednja-a")
	m.settings.Dispatch.Mode = settings.DispatchDirect
	m.cluster.noLease.Store(true)
	m.run(t, oneTarget("127.0.0.1:1", "osrednja-a"))
	if !m.Ready() {
		t.Error("not ready without shares")
	}
}
