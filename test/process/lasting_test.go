package process

import (
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

func TestInstanceFrozenBeyondItsLeaseOvershootsNothing(t *testing.T) {
	s := newSystem(t)
	timing := allowance.DefaultTiming()
	frozen := timing.Lease + timing.GracePeriod + 2*hold
	// Close to what the slots carry, so that shares used twice would show.
	p := s.loadAt("load", int((frozen+2*hold)/time.Second), 2*normalRate)
	time.Sleep(hold)
	s.instances[0].pause(frozen)
	s.reportAfter(p)
	s.withinSlots()
	s.serves("after")
	s.withinSlots()
}

func TestRollingRestartCutsOffNothing(t *testing.T) {
	s := newSystem(t)
	p := s.load("load", 24)
	for i, in := range s.instances {
		time.Sleep(hold / 4)
		in.proc.stop()
		s.startInstance(i)
		eventually(t, in.name+" is ready again", func() bool { return answers("http://" + in.addrs[3] + "/v1/ready") })
	}
	rep := s.reportAfter(p)
	unnoticed(t, rep)
	s.serves("after")
	s.withinSlots()
}

func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	s := newSystem(t)
	for round, lost := range []string{`{}`, `{"lose_answers":1}`, `{"lose_answers":2}`, `{"lose_commits":1,"lose_answers":1}`} {
		version := round + 1
		codes := make([]int, 2)
		var race conc.WaitGroup
		s.fault(lost)
		for i := range codes {
			// Each edit differs from the version it is made against.
			ttl := fmt.Sprintf("%dms", 600+10*(2*round+i))
			routes, pools := s.tableFiles("edit-"+ttl, version, ttl)
			race.Go(func() {
				codes[i], _ = command(t, "apply", "--platform", s.platform, "--reason", ttl, "--routes", routes, "--pools", pools)
			})
		}
		race.Wait()
		if codes[0]+codes[1] != fault.ExitConflict || codes[0]*codes[1] != 0 {
			t.Errorf("with %s: exit codes %v, not one winner and one conflict", lost, codes)
		}
		s.fault(`{"lose_commits":0,"lose_answers":0}`)
		for _, in := range s.instances {
			eventually(t, in.name+" has the winner's version", func() bool { return s.version(in) >= uint64(version+1) })
			if v := s.version(in); v != uint64(version+1) {
				t.Errorf("with %s: %s has version %d, not %d", lost, in.name, v, version+1)
			}
		}
	}
	s.serves("after")
}
