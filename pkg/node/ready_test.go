package node

import (
	"net/http"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/settings"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// readiness returns the status code of the readiness endpoint of inst.
func readiness(t *testing.T, inst *testInstance) int {
	t.Helper()
	resp, err := http.Get("http://" + inst.self.AdminAddress + wire.PathReady)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func TestNotReadyBeforeTheFirstShares(t *testing.T) {
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.cluster.noLease.Store(true)
	inst.run(t, oneTarget("127.0.0.1:1", "osrednja-a"))
	if got := readiness(t, inst); got != http.StatusServiceUnavailable || inst.Ready() {
		t.Errorf("without shares: status %d, ready %v", got, inst.Ready())
	}
	inst.cluster.noLease.Store(false)
	if got := readiness(t, inst); got != http.StatusOK || !inst.Ready() {
		t.Errorf("with shares: status %d, ready %v", got, inst.Ready())
	}
}

func TestDirectDispatchIsReadyWithoutShares(t *testing.T) {
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.settings.Dispatch.Mode = settings.DispatchDirect
	inst.cluster.noLease.Store(true)
	inst.run(t, oneTarget("127.0.0.1:1", "osrednja-a"))
	if !inst.Ready() {
		t.Error("not ready without shares")
	}
}
