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
	s.withinSlots()
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
	s.withinSlots()
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
	s.withinSlots()
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
	s.withinSlots()
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
	s.withinSlots()
}

func TestZoneCutOffFromThePlatformServes(t *testing.T) {
	s := newSystem(t)
	p := s.load("load", 9)
	time.Sleep(hold / 2)
	s.links["osrednja-b"].cut(true)
	run(t, "drain", "--platform", s.platform, "--target", "certdesk-0", "--reason", "while a zone is cut off")
	time.Sleep(2 * hold)
	s.links["osrednja-b"].cut(false)
	s.reportAfter(p)
	for _, in := range s.instances {
		eventually(t, "the drain is in force on "+in.name, func() bool { return s.version(in) == 2 })
	}
	s.serves("after")
	s.withinSlots()
}

func TestSilentConnectionsAndCrashingTargets(t *testing.T) {
	s := newSystem(t)
	p := s.load("load", 9)
	time.Sleep(hold / 2)
	for _, w := range workloads {
		s.control(0, w.name, "silence")
		s.control(3, w.name, "silence")
	}
	time.Sleep(hold)
	for _, w := range workloads {
		s.control(1, w.name, "crash")
		s.control(2, w.name, "silence")
	}
	time.Sleep(hold)
	s.reportAfter(p)
	s.serves("after")
	s.withinSlots()
}

func TestLostAnswersOfTheStoreMakeOneEditEach(t *testing.T) {
	s := newSystem(t)
	for i, fault := range []string{`{"lose_answers":1}`, `{"lose_commits":1}`, `{"lose_answers":2}`} {
		s.fault(fault)
		action := []string{"drain", "undrain"}[i%2]
		run(t, action, "--platform", s.platform, "--target", "certdesk-0", "--reason", "the answer is lost", "--wait", longest.String())
		for _, in := range s.instances {
			if v := s.version(in); v != uint64(i+2) {
				t.Errorf("%s has version %d after edit %d", in.name, v, i+2)
			}
		}
	}
	s.serves("after")
	s.withinSlots()
}

func TestPlannedStopsDuringAnOutageCutOffNothing(t *testing.T) {
	s := newSystem(t)
	p := s.load("load", 9)
	time.Sleep(hold / 2)
	s.fault(`{"down":true}`)
	s.instances[1].proc.signal(syscall.SIGTERM)
	s.targets[2].proc.signal(syscall.SIGTERM)
	for _, m := range []*member{s.instances[1], s.targets[2]} {
		if code := m.proc.wait(); code != 0 {
			t.Errorf("planned stop of %s: exit code %d", m.name, code)
		}
	}
	s.fault(`{"down":false}`)
	s.startInstance(1)
	s.startTargets(2)
	rep := s.reportAfter(p)
	if rep.CutOff > 0 || rep.Unanswered > 0 || rep.Unknown > 0 {
		t.Errorf("planned stops were noticed: %+v", rep)
	}
	s.serves("after")
	s.withinSlots()
}
