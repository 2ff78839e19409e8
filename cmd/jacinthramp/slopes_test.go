package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

func TestSlopesUpdatesOnlyMeasuredSlopes(t *testing.T) {
	before, err := os.ReadFile(slopesPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args    []string
		code    int
		changed bool
	}{
		{[]string{"--only", "edit_writes", "--runs", "1"}, 0, true},
		{[]string{"--only", "edit_writes", "--runs", "0"}, fault.ExitUsage, false},
		{[]string{"--only", "process_rss_bytes"}, fault.ExitUsage, false},
		{[]string{"--only", "unknown"}, fault.ExitUsage, false},
	} {
		file := filepath.Join(t.TempDir(), "slopes.yaml")
		if err := os.WriteFile(file, before, 0o600); err != nil {
			t.Fatal(err)
		}
		b := &testbed{t: t}
		out, code := b.run(append([]string{"slopes", "--write", file, "--note", "a trial"}, c.args...)...)
		expectOutput(t, out, code, c.code)
		after, err := os.ReadFile(file)
		if changed := !bytes.Equal(before, after); err != nil || changed != c.changed {
			t.Errorf("%v: file changed %v, %v", c.args, changed, err)
		}
	}
}
