// Package strict tests that a function that loads settings rejects invalid files,
// such as files with unknown keys, and accepts valid ones, such as the examples.
package strict

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// CheckSettings checks that load rejects a file with each of invalidTexts as invalid
// settings, and accepts the files at validPaths.
func CheckSettings(t *testing.T, load func(path string) error, invalidTexts, validPaths []string) {
	t.Helper()
	for _, text := range invalidTexts {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := load(path); fault.KindOf(err) != fault.KindInvalidSettings {
			t.Errorf("load a file with %q: got error %v, want invalid settings", text, err)
		}
	}
	for _, path := range validPaths {
		if err := load(path); err != nil {
			t.Errorf("load %s: %v", path, err)
		}
	}
}
