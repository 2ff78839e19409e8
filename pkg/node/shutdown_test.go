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
	m := startInstance(t, "a-1", "osrednja-a")
	m.settings.Platform.Timeout = settings.Duration(time.Hour)
	m.cluster.unresponsive.Store(true)
	m.run(t, oneTarget(startTarget(t, echo), "osrednja-a"))
	get(t, m.url()+"/feedlog")
	m.stop()
	if err := <-m.done; err != nil {
		t.Error(err)
	}
	m.done <- nil
	if m.cluster.leaveCalls.Load() != 1 || m.cluster.returnCalls.Load() != 1 {
		t.Errorf("announced %d times that it leaves, returned its shares %d times, want 1 each", m.cluster.leaveCalls.Load(), m.cluster.returnCalls.Load())
	}
}

// TestDirectDispatchDeregistersBeforeExit stops an instance whose deregistration
// takes longer than the requests in flight.
func TestDirectDispatchDeregistersBeforeExit(t *testing.T) {
	m := startInstance(t, "a-1", "osrednja-a")
	m.settings.Dispatch.Mode = settings.DispatchDirect
	m.cluster.returnDelay = 50 * time.Millisecond
	m.run(t, oneTarget(startTarget(t, echo), "osrednja-a"))
	m.stop()
	if err := <-m.done; err != nil {
		t.Error(err)
	}
	m.done <- nil
	if m.cluster.returnsDone.Load() != 1 {
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
