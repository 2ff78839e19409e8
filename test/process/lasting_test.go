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
	pauseTime := timing.Lease + timing.GracePeriod + 2*faultDuration
	// The load is close to the capacity of the slots, so that shares in use at
	// two instances would overload a target.
	p := s.startLoadAt("load", int((pauseTime+2*faultDuration)/time.Second), 2*normalRate)
	time.Sleep(faultDuration)
	s.instances[0].pause(pauseTime)
	s.reportAfter(p)
	s.checkSlotLimits()
	s.checkServes("after")
	s.checkSlotLimits()
}

func TestRollingRestartCutsOffNothing(t *testing.T) {
	s := newSystem(t)
	p := s.startLoad("load", 24)
	for i, instance := range s.instances {
		time.Sleep(faultDuration / 4)
		instance.proc.stop()
		s.startInstance(i)
		eventually(t, instance.name+" is ready again", func() bool { return respondsOK("http://" + instance.addrs[3] + "/v1/ready") })
	}
	rep := s.reportAfter(p)
	checkNoDisruption(t, rep)
	s.checkServes("after")
	s.checkSlotLimits()
}

func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	s := newSystem(t)
	for round, faults := range []string{`{}`, `{"lose_answers":1}`, `{"lose_answers":2}`, `{"lose_commits":1,"lose_answers":1}`} {
		version := round + 1
		codes := make([]int, 2)
		var operators conc.WaitGroup
		s.setFaults(faults)
		for i := range codes {
			// Each edit differs from the version it is based on.
			ttl := fmt.Sprintf("%dms", 600+10*(2*round+i))
			routes, pools := s.tableFiles("edit-"+ttl, version, ttl)
			operators.Go(func() {
				codes[i], _ = runCommand(t, "apply", "--platform", s.platform, "--reason", ttl, "--routes", routes, "--pools", pools)
			})
		}
		operators.Wait()
		if codes[0]+codes[1] != fault.ExitConflict || codes[0]*codes[1] != 0 {
			t.Errorf("with faults %s: exit codes %v, want one success and one conflict", faults, codes)
		}
		s.setFaults(`{"lose_commits":0,"lose_answers":0}`)
		for _, instance := range s.instances {
			eventually(t, instance.name+" has the version of the successful edit", func() bool { return s.tablesVersion(instance) >= uint64(version+1) })
			if v := s.tablesVersion(instance); v != uint64(version+1) {
				t.Errorf("with faults %s: %s has version %d, want %d", faults, instance.name, v, version+1)
			}
		}
	}
	s.checkServes("after")
}
