// Package strict tests that a loader of settings rejects invalid files, such as
// ones with unknown keys, and accepts the files that the repository ships.
package strict

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// CheckSettings checks that load rejects each of the texts in bad as invalid
// settings, and accepts the files at the paths in good.
func CheckSettings(t *testing.T, load func(path string) error, bad, good []string) {
	t.Helper()
	for _, text := range bad {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := load(path); fault.KindOf(err) != fault.KindInvalidSettings {
			t.Errorf("load %q: got error %v, want invalid settings", text, err)
		}
	}
	for _, path := range good {
		if err := load(path); err != nil {
			t.Errorf("load %s: %v", path, err)
		}
	}
}
