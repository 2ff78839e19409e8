package target

import (
	"os"
	"path/filepath"
	"testing"
)

// loadTarget returns a target, not started, whose settings file has the given
// line besides the required ones.
func loadTarget(t *testing.T, line string) *Target {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := "targets:\n  - name: a\n    address: 127.0.0.1:1\n    " + line + "\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := LoadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	return New(s.Targets[0], NewRecorder(nil))
}

func TestQueueSettingBoundsTheWaitingRequests(t *testing.T) {
	for line, queue := range map[string]int{"": DefaultQueue, "queue: 0": 0, "queue: 1": 1} {
		target := loadTarget(t, line)
		accepted := 0
		for range 2 * (DefaultSlots + DefaultQueue) {
			if target.enqueue() {
				accepted++
			}
		}
		if accepted != DefaultSlots+queue {
			t.Errorf("%q: %d requests accepted at once, want %d", line, accepted, DefaultSlots+queue)
		}
	}
}

func TestLeavingTargetAcceptsRequestsForItsDrainGrace(t *testing.T) {
	for line, accepts := range map[string]bool{"drain_grace: 0s": false, "drain_grace: 1h": true} {
		target := loadTarget(t, line)
		target.StartLeaving()
		if target.drained() == accepts {
			t.Errorf("%q: drained = %v at once, want %v", line, accepts, !accepts)
		}
		if target.enqueue() != accepts {
			t.Errorf("%q: a new request was accepted: %v, want %v", line, !accepts, accepts)
		}
	}
}
