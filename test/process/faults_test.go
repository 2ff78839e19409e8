package process

import (
	"syscall"
	"testing"
	"time"
)

// hold is how long a fault lasts, or the time between two faults.
const hold = 2 * time.Second

func TestFourWorkloadsAreServed(t *testing.T) {
	s := newSystem(t)
	s.serves("load")
}

func TestPlannedStopsCutOffNothing(t *testing.T) {
	s := newSystem(t)
	p := s.load("load", 9)
	time.Sleep(hold / 2)
	s.instances[1].proc.stop()
	s.startInstance(1)
	time.Sleep(hold / 2)
	s.targets[2].proc.stop()
	s.startTargets(2)
	rep := s.reportAfter(p)
	if rep.CutOff > 0 || rep.Unanswered > 0 || rep.Unknown > 0 || rep.NotRun > 0 {
		t.Errorf("planned stops were noticed: %+v", rep)
	}
	s.serves("after")
}

func TestKilledProcessesBreakNoPromise(t *testing.T) {
	s := newSystem(t)
	p := s.load("load", 9)
	time.Sleep(hold / 2)
	s.instances[0].proc.kill()
	time.Sleep(hold)
	s.startInstance(0)
	time.Sleep(hold / 2)
	s.targets[1].proc.kill()
	s.fault(`{"down":true}`)
	time.Sleep(hold)
	s.fault(`{"down":false}`)
	s.startTargets(1)
	s.reportAfter(p)
	s.serves("after")
}

func TestFrozenProcessesBreakNoPromise(t *testing.T) {
	s := newSystem(t)
	p := s.load("load", 9)
	time.Sleep(hold / 2)
	s.instances[3].proc.signal(syscall.SIGSTOP)
	time.Sleep(hold)
	s.instances[3].proc.signal(syscall.SIGCONT)
	time.Sleep(hold / 2)
	s.targets[0].proc.signal(syscall.SIGSTOP)
	time.Sleep(hold)
	s.targets[0].proc.signal(syscall.SIGCONT)
	s.reportAfter(p)
	s.serves("after")
}

func TestInstanceAndTargetOfAZoneKilledAtOnce(t *testing.T) {
	s := newSystem(t)
	p := s.load("load", 6)
	time.Sleep(hold / 2)
	s.instances[2].proc.kill()
	s.targets[3].proc.kill()
	time.Sleep(hold)
	s.startInstance(2)
	s.startTargets(3)
	s.reportAfter(p)
	s.serves("after")
}
