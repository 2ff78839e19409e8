package process

import (
	"syscall"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/load"
)

// hold is how long a fault lasts, or the time between two faults.
const hold = 2 * time.Second

// underLoad plays faults on a system while it is under load for some seconds,
// and checks that no promise was broken and that it serves afterwards.
func underLoad(t *testing.T, seconds int, play func(s *system)) load.Report {
	t.Helper()
	s := newSystem(t)
	p := s.load("load", seconds)
	time.Sleep(hold / 2)
	play(s)
	rep := s.reportAfter(p)
	s.serves("after")
	s.withinSlots()
	return rep
}

// unnoticed checks that callers saw nothing of a planned stop.
func unnoticed(t *testing.T, rep load.Report) {
	t.Helper()
	if rep.CutOff > 0 || rep.TimedOut > 0 || rep.Unknown > 0 {
		t.Errorf("planned stops were noticed: %+v", rep)
	}
}

// pause freezes a process for some time.
func (m *member) pause(d time.Duration) {
	m.proc.signal(syscall.SIGSTOP)
	time.Sleep(d)
	m.proc.signal(syscall.SIGCONT)
}

func TestFourWorkloadsAreServed(t *testing.T) {
	s := newSystem(t)
	s.serves("load")
	s.withinSlots()
}

func TestPlannedStopsCutOffNothing(t *testing.T) {
	rep := underLoad(t, 9, func(s *system) {
		s.instances[1].proc.stop()
		s.startInstance(1)
		time.Sleep(hold / 2)
		s.targets[2].proc.stop()
		s.startTargets(2)
	})
	unnoticed(t, rep)
	if rep.NotRun > 0 {
		t.Errorf("%d requests were not run", rep.NotRun)
	}
}

func TestKilledProcessesBreakNoPromise(t *testing.T) {
	underLoad(t, 9, func(s *system) {
		s.instances[0].proc.kill()
		time.Sleep(hold)
		s.startInstance(0)
		time.Sleep(hold / 2)
		s.targets[1].proc.kill()
		s.fault(`{"down":true}`)
		time.Sleep(hold)
		s.fault(`{"down":false}`)
		s.startTargets(1)
	})
}

func TestFrozenProcessesBreakNoPromise(t *testing.T) {
	underLoad(t, 9, func(s *system) {
		s.instances[3].pause(hold)
		time.Sleep(hold / 2)
		s.targets[0].pause(hold)
	})
}

func TestInstanceAndTargetOfAZoneKilledAtOnce(t *testing.T) {
	underLoad(t, 6, func(s *system) {
		s.instances[2].proc.kill()
		s.targets[3].proc.kill()
		time.Sleep(hold)
		s.startInstance(2)
		s.startTargets(3)
	})
}

func TestZoneCutOffFromThePlatformServes(t *testing.T) {
	underLoad(t, 9, func(s *system) {
		s.links["osrednja-b"].cut(true)
		run(t, "drain", "--platform", s.platform, "--target", "certdesk-0", "--reason", "while a zone is cut off")
		time.Sleep(2 * hold)
		s.links["osrednja-b"].cut(false)
		for _, in := range s.instances {
			eventually(t, "the drain is in force on "+in.name, func() bool { return s.version(in) == 2 })
		}
	})
}

func TestSilentConnectionsAndCrashingTargets(t *testing.T) {
	underLoad(t, 9, func(s *system) {
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
	})
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
	unnoticed(t, underLoad(t, 9, func(s *system) {
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
	}))
}
