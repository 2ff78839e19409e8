package main

import (
	"os"
	"strings"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const slopesPath = "../../docs/capacity/slopes.yaml"

func TestCapacityPageHoldsTheCommandsOutput(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []string{"today", "letter"} {
		b := &testbed{t: t}
		out, code := b.run("capacity", "--size", "../../docs/capacity/size-"+size+".yaml", "--slopes", slopesPath)
		expectOutput(t, out, code, 0, "### look-up server")
		if !strings.Contains(string(page), out) {
			t.Errorf("docs/CAPACITY.md does not hold the output for the size of %s; see the page for the command", size)
		}
	}
}

func TestCapacityRefusesBadFiles(t *testing.T) {
	b := &testbed{t: t, dir: t.TempDir()}
	bad := b.writeEdited("size.yaml", "../../docs/capacity/size-today.yaml", "daemons: 11", "daemons: many")
	out, code := b.run("capacity", "--size", bad, "--slopes", slopesPath)
	expectOutput(t, out, code, fault.ExitUsage, bad+":4", "a number is accepted")
	out, code = b.run("capacity", "--size", "missing", "--slopes", slopesPath, "--output", "json")
	expectOutput(t, out, code, fault.ExitUsage, `"kind": "invalid-settings"`)
}
