package node

import (
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/settings"
)

func TestLeavingDoesNotWaitForASilentPlatform(t *testing.T) {
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
		t.Errorf("told %d times of the leaving, handed back %d times", m.cluster.leaveCalls.Load(), m.cluster.returnCalls.Load())
	}
}

func TestDirectDispatchLeavesTheListBeforeItEnds(t *testing.T) {
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
		t.Error("the instance has ended before the platform took it out of the list")
	}
}

func TestNoWaitIsLeftOnceTheTimeOfTheHandBackIsOver(t *testing.T) {
	var wg conc.WaitGroup
	release := make(chan struct{})
	wg.Go(func() { <-release })
	waitTimeout(&wg, -time.Second)
	close(release)
	wg.Wait()
}
