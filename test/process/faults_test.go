package process

import (
	"syscall"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/load"
)

// faultDuration is the usual duration of a fault and the time between faults.
const faultDuration = 2 * time.Second

// runUnderLoad injects faults into a new system that is under load for the given
// seconds. It checks that no invariant was violated and that the system serves
// every request afterwards.
func runUnderLoad(t *testing.T, seconds int, injectFaults func(s *system)) load.Report {
	t.Helper()
	s := newSystem(t)
	p := s.startLoad("load", seconds)
	time.Sleep(faultDuration / 2)
	injectFaults(s)
	rep := s.reportAfter(p)
	s.checkServes("after")
	s.checkSlotLimits()
	return rep
}

// checkNoDisruption checks that no request was affected by planned shutdowns.
func checkNoDisruption(t *testing.T, rep load.Report) {
	t.Helper()
	if rep.AbortedSubmissions > 0 || rep.TimedOut > 0 || rep.Unknown > 0 {
		t.Errorf("planned shutdowns affected requests: %+v", rep)
	}
}

// pause suspends the component's process for d.
func (c *component) pause(d time.Duration) {
	c.proc.signal(syscall.SIGSTOP)
	time.Sleep(d)
	c.proc.signal(syscall.SIGCONT)
}

func TestFourWorkloadsAreServed(t *testing.T) {
	s := newSystem(t)
	s.checkServes("load")
	s.checkSlotLimits()
}

func TestPlannedStopsCutOffNothing(t *testing.T) {
	rep := runUnderLoad(t, 9, func(s *system) {
		s.instances[1].proc.stop()
		s.startInstance(1)
		time.Sleep(faultDuration / 2)
		s.targets[2].proc.stop()
		s.startTargets(2)
	})
	checkNoDisruption(t, rep)
	if rep.NotRun > 0 {
		t.Errorf("%d requests were not run during planned shutdowns", rep.NotRun)
	}
}

func TestKilledProcessesBreakNoPromise(t *testing.T) {
	runUnderLoad(t, 9, func(s *system) {
		s.instances[0].proc.kill()
		time.Sleep(faultDuration)
		s.startInstance(0)
		time.Sleep(faultDuration / 2)
		s.targets[1].proc.kill()
		s.setFaults(`{"down":true}`)
		time.Sleep(faultDuration)
		s.setFaults(`{"down":false}`)
		s.startTargets(1)
	})
}

func TestFrozenProcessesBreakNoPromise(t *testing.T) {
	runUnderLoad(t, 9, func(s *system) {
		s.instances[3].pause(faultDuration)
		time.Sleep(faultDuration / 2)
		s.targets[0].pause(faultDuration)
	})
}

func TestInstanceAndTargetOfAZoneKilledAtOnce(t *testing.T) {
	runUnderLoad(t, 6, func(s *system) {
		s.instances[2].proc.kill()
		s.targets[3].proc.kill()
		time.Sleep(faultDuration)
		s.startInstance(2)
		s.startTargets(3)
	})
}

func TestZoneCutOffFromThePlatformServes(t *testing.T) {
	runUnderLoad(t, 9, func(s *system) {
		s.links["osrednja-b"].setDown(true)
		mustRunCommand(t, "drain", "--platform", s.platform, "--target", "certdesk-0", "--reason", "while a zone is cut off")
		time.Sleep(2 * faultDuration)
		s.links["osrednja-b"].setDown(false)
		for _, instance := range s.instances {
			eventually(t, "the drain is in force on "+instance.name, func() bool { return s.tablesVersion(instance) == 2 })
		}
	})
}

func TestSilentConnectionsAndCrashingTargets(t *testing.T) {
	runUnderLoad(t, 9, func(s *system) {
		for _, w := range workloads {
			s.controlTarget(0, w.name, "silence")
			s.controlTarget(3, w.name, "silence")
		}
		time.Sleep(faultDuration)
		for _, w := range workloads {
			s.controlTarget(1, w.name, "crash")
			s.controlTarget(2, w.name, "silence")
		}
		time.Sleep(faultDuration)
	})
}

func TestLostAnswersOfTheStoreMakeOneEditEach(t *testing.T) {
	s := newSystem(t)
	for i, faults := range []string{`{"lose_answers":1}`, `{"lose_commits":1}`, `{"lose_answers":2}`} {
		s.setFaults(faults)
		action := []string{"drain", "undrain"}[i%2]
		mustRunCommand(t, action, "--platform", s.platform, "--target", "certdesk-0", "--reason", "a response is lost", "--wait", maxWait.String())
		for _, instance := range s.instances {
			if v := s.tablesVersion(instance); v != uint64(i+2) {
				t.Errorf("%s has version %d after edit %d", instance.name, v, i+2)
			}
		}
	}
	s.checkServes("after")
	s.checkSlotLimits()
}

func TestPlannedStopsDuringAnOutageCutOffNothing(t *testing.T) {
	checkNoDisruption(t, runUnderLoad(t, 9, func(s *system) {
		s.setFaults(`{"down":true}`)
		s.instances[1].proc.signal(syscall.SIGTERM)
		s.targets[2].proc.signal(syscall.SIGTERM)
		for _, c := range []*component{s.instances[1], s.targets[2]} {
			if code := c.proc.wait(); code != 0 {
				t.Errorf("planned shutdown of %s: exit code %d", c.name, code)
			}
		}
		s.setFaults(`{"down":false}`)
		s.startInstance(1)
		s.startTargets(2)
	}))
}
