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

// crashes counts the crashes of all targets.
func (s *system) crashes() int {
	n := 0
	for _, m := range s.targets {
		var all []target.Stats
		getJSON("http://"+m.addrs[len(workloads)]+target.PathTargets, &all)
		for _, st := range all {
			n += st.Crashes
		}
	}
	return n
}

// crash sends a request that crashes the target that runs it, and returns the
// error kind of the answer.
func (s *system) crash(in *member, method string) string {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+in.addrs[0]+"/feedlog/crash", nil)
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
			// Each instance holds the request back by itself after MaxLost
			// targets; what it learns from others only makes that sooner.
			bound := poison.MaxLosses * len(s.instances)
			rounds := poison.MaxLosses + 3
			var kinds []string
			for round := range rounds {
				for _, in := range s.instances {
					kind := s.crash(in, method)
					kinds = append(kinds, kind)
					if last := round == rounds-1; last && kind != fault.KindPoisonHeld.String() {
						t.Errorf("%s answers %s", in.name, kind)
					}
				}
				time.Sleep(hold / 2)
			}
			lost := s.crashes()
			t.Logf("%d targets lost, answers %v", lost, kinds)
			if lost == 0 || lost > bound {
				t.Errorf("%d targets lost, the bound is %d", lost, bound)
			}
			s.serves(fmt.Sprintf("after-%s", method))
		})
	}
}
