// Package strict checks that a reader of settings refuses what it does not
// know, and takes what the repository ships.
package strict

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// CheckSettings checks that load refuses each of the texts bad as invalid settings,
// and takes the files good.
func CheckSettings(t *testing.T, load func(path string) error, bad, good []string) {
	t.Helper()
	for _, text := range bad {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := load(path); fault.KindOf(err) != fault.KindInvalidSettings {
			t.Errorf("%q: %v", text, err)
		}
	}
	for _, path := range good {
		if err := load(path); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}
