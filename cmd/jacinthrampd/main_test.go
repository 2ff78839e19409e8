package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/daemoncmd"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

func TestCheckConfigEndsWithCodeTwoOnInvalidSettings(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	if err := os.WriteFile(bad, []byte("instance:\n  id: A B\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
	}{
		{[]string{"--config", "../../examples/instance-1.yaml", "--check-config"}, 0},
		{[]string{"--config", bad, "--check-config"}, fault.ExitUsage},
		{[]string{"--config", "missing.yaml"}, fault.ExitUsage},
		{[]string{"--check-config"}, fault.ExitUsage},
		{[]string{"--unknown"}, fault.ExitUsage},
	} {
		err := daemoncmd.New(openPlatform).Run(t.Context(), append([]string{"jacinthrampd"}, c.args...))
		code := 0
		if err != nil {
			code = daemoncmd.ExitCode(err)
		}
		if code != c.code {
			t.Errorf("%v: code %d, %v; want %d", c.args, code, err, c.code)
		}
	}
}
