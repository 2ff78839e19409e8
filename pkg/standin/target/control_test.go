package target

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/test/strict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestControlsApplyToNamedTarget(t *testing.T) {
	g := NewGroup([]Config{{Name: "a", Address: "127.0.0.1:0"}, {Name: "b", Address: "127.0.0.1:0"}}, NewRecorder(nil))
	if err := g.Start(); err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	h := ControlHandler(g)
	call := func(method, path, body string) int {
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body)))
		return rec.Code
	}
	steps := []struct {
		method, path, body string
		want               int
	}{
		{"PUT", "/control/targets/a/faults", `{"shed":true,"delay":"1ms"}`, http.StatusOK},
		{"PUT", "/control/targets/a/faults", `{"hang":true}`, http.StatusOK},
		{"PUT", "/control/targets/a/faults", `{"hung":true}`, http.StatusBadRequest},
		{"GET", "/control/targets/a/faults", "", http.StatusOK},
		{"POST", "/control/targets/c/crash", "", http.StatusNotFound},
		{"POST", "/control/targets/b/crash", "", http.StatusNoContent},
		{"POST", "/control/targets/b/start", "", http.StatusNoContent},
		{"POST", "/control/targets/b/start", "", http.StatusConflict},
		{"POST", "/control/targets/b/silence", "", http.StatusNoContent},
		{"POST", "/control/targets/b/leave", "", http.StatusNoContent},
		{"POST", "/control/targets/a/backoff", `{"for":"1h"}`, http.StatusNoContent},
		{"POST", "/control/targets/a/backoff", `{"for":"0s"}`, http.StatusBadRequest},
		{"POST", "/control/targets/a/backoff", `{"until":"1h"}`, http.StatusBadRequest},
		{"PUT", "/control/targets/a/rate-limit", `{"per_second":2.5}`, http.StatusNoContent},
		{"PUT", "/control/targets/a/rate-limit", `{"per_second":-1}`, http.StatusBadRequest},
		{"PUT", "/control/targets/b/rate-limit", `{"per_second":2.5}`, http.StatusNoContent},
		{"DELETE", "/control/targets/b/rate-limit", "", http.StatusNoContent},
		{"GET", PathTargets, "", http.StatusOK},
		{"GET", PathRuns, "", http.StatusOK},
	}
	for _, s := range steps {
		if got := call(s.method, s.path, s.body); got != s.want {
			t.Errorf("%s %s: %d, want %d", s.method, s.path, got, s.want)
		}
	}
	if f := g.Target("a").Faults(); !f.Shed || !f.Hang || f.Delay == 0 {
		t.Errorf("faults of a: %+v", f)
	}
	if !g.Target("b").Stats().Leaving || g.Target("a").Stats().Leaving {
		t.Errorf("a: %+v, b: %+v", g.Target("a").Stats(), g.Target("b").Stats())
	}
	if !g.Target("a").setRetryAfter(httptest.NewRecorder()) || g.Target("b").setRetryAfter(httptest.NewRecorder()) {
		t.Error("a must be in backoff, and b must not")
	}
	if g.Target("b").Faults() != (Faults{}) || g.Target("b").Stats().Crashes != 1 {
		t.Errorf("stats of b: %+v", g.Target("b").Stats())
	}
}

func TestRunDrainsBeforeItReturns(t *testing.T) {
	s := Settings{Control: "127.0.0.1:0", Targets: []Config{{Name: "a", Address: "127.0.0.1:0", DrainGrace: new(table.Duration(1))}}}
	ctx, cancel := context.WithCancel(t.Context())
	if err := Run(ctx, s, cancel); err != nil {
		t.Fatal(err)
	}
}

func TestLoadSettingsRejectsInvalidFiles(t *testing.T) {
	load := func(path string) error {
		_, err := LoadSettings(path)
		return err
	}
	strict.CheckSettings(t, load, []string{
		"targets: []\n",
		"targets:\n  - name: a\n",
		"targets:\n  - {name: a, address: '192.0.2.1:1'}\n",
		"targets:\n  - {name: a, address: '127.0.0.1:1', solts: 3}\n",
		"targets:\n  - {name: a, address: '127.0.0.1:1', slots: -1}\n",
		"targets:\n  - {name: a, address: '127.0.0.1:1', queue: -1}\n",
		"targets:\n  - {name: a, address: '127.0.0.1:1', cold_factor: 0.5}\n",
		"targets:\n  - {name: a, address: '127.0.0.1:1', service_time: 5ms, service_time_p99: 1ms}\n",
		"targets:\n  - {name: a, address: '127.0.0.1:1'}\n  - {name: a, address: '127.0.0.1:2'}\n",
	}, []string{"../../../examples/target-1.yaml", "../../../examples/target-2.yaml"})
}
