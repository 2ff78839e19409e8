package process

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/standin/exchange"
	"github.com/jacinthramp/jacinthramp/pkg/standin/target"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// crashCount returns the number of crashes of all targets.
func (s *system) crashCount() int {
	n := 0
	for _, c := range s.targets {
		var all []target.Stats
		getJSON("http://"+c.addrs[len(workloads)]+target.PathTargets, &all)
		for _, st := range all {
			n += st.Crashes
		}
	}
	return n
}

// sendCrash sends a request that crashes the target that runs it, and returns the
// error kind of the response.
func (s *system) sendCrash(instance *component, method string) string {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+instance.addrs[0]+"/feedlog/crash", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	req.Close = true
	req.Header.Set(exchange.HeaderCrash, "true")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.Header.Get(wire.HeaderOutcome) == string(fault.OutcomeCompleted) {
		s.t.Errorf("a request that crashes its target completed with status %d", resp.StatusCode)
	}
	return resp.Header.Get(wire.HeaderKind)
}

func TestRequestThatCrashesTargetsIsHeldBack(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			s := newSystem(t)
			// Each instance holds the request after MaxLosses lost targets of its
			// own; records from other instances only make it hold sooner.
			maxCrashes := poison.MaxLosses * len(s.instances)
			rounds := poison.MaxLosses + 3
			var kinds []string
			for round := range rounds {
				for _, instance := range s.instances {
					kind := s.sendCrash(instance, method)
					kinds = append(kinds, kind)
					if last := round == rounds-1; last && kind != fault.KindPoisonHeld.String() {
						t.Errorf("the last response of %s has error kind %s", instance.name, kind)
					}
				}
				time.Sleep(faultDuration / 2)
			}
			crashes := s.crashCount()
			t.Logf("%d target crashes, error kinds of the responses %v", crashes, kinds)
			if crashes == 0 || crashes > maxCrashes {
				t.Errorf("%d target crashes, want 1 to %d", crashes, maxCrashes)
			}
			s.checkServes(fmt.Sprintf("after-%s", method))
		})
	}
}
