package node

import (
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/settings"
)

// TestLeaveDoesNotWaitForUnresponsivePlatform stops an instance while the call of
// Leave blocks for the platform's timeout of an hour.
func TestLeaveDoesNotWaitForUnresponsivePlatform(t *testing.T) {
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.settings.Platform.Timeout = settings.Duration(time.Hour)
	inst.cluster.unresponsive.Store(true)
	inst.run(t, oneTarget(startTarget(t, echo), "osrednja-a"))
	get(t, inst.url()+"/feedlog")
	inst.stop()
	if err := <-inst.done; err != nil {
		t.Error(err)
	}
	inst.done <- nil
	if inst.cluster.leaveCalls.Load() != 1 || inst.cluster.returnCalls.Load() != 1 {
		t.Errorf("announced %d times that it leaves, returned its shares %d times, want 1 each", inst.cluster.leaveCalls.Load(), inst.cluster.returnCalls.Load())
	}
}

// TestDirectDispatchDeregistersBeforeExit stops an instance whose deregistration
// takes longer than the requests in flight.
func TestDirectDispatchDeregistersBeforeExit(t *testing.T) {
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.settings.Dispatch.Mode = settings.DispatchDirect
	inst.cluster.returnDelay = 50 * time.Millisecond
	inst.run(t, oneTarget(startTarget(t, echo), "osrednja-a"))
	inst.stop()
	if err := <-inst.done; err != nil {
		t.Error(err)
	}
	inst.done <- nil
	if inst.cluster.returnsDone.Load() != 1 {
		t.Error("the instance stopped before the platform removed it from the list")
	}
}

func TestWaitTimeoutReturnsAtOncePastItsLimit(t *testing.T) {
	var wg conc.WaitGroup
	release := make(chan struct{})
	wg.Go(func() { <-release })
	waitTimeout(&wg, -time.Second)
	close(release)
	wg.Wait()
}
