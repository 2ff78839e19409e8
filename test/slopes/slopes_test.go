// Package slopes measures the capacity slopes, also those that need instances
// running as separate processes, which only a test starts:
//
//	go test -count=1 -run TestSlopes ./test/slopes -args -write ../../docs/capacity/slopes.yaml
//
// Without -write it measures small sizes, and only checks that each quantity can
// be measured and that a slope is listed for each resource need.
package slopes

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
	"github.com/jacinthramp/jacinthramp/pkg/slopes"
)

var (
	writeFile = flag.String("write", "", "slopes file to update")
	runs      = flag.Int("runs", 5, "runs of each measurement")
	only      = flag.String("only", "", "measure only the slope with this name")
	note      = flag.String("note", "", "conditions of the run, for the slopes file")
)

// process is a running jacinthrampd.
type process struct {
	cmd    *exec.Cmd
	log    bytes.Buffer
	exited chan struct{}
}

func (p *process) PID() int                { return p.cmd.Process.Pid }
func (p *process) Exited() <-chan struct{} { return p.exited }

func (p *process) Stop() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// newStarter builds jacinthrampd and returns a function that starts it with the
// given settings.
func newStarter(t *testing.T) slopes.Starter {
	dir, started := t.TempDir(), 0
	binary := filepath.Join(dir, "jacinthrampd")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/jacinthrampd").CombinedOutput(); err != nil {
		t.Fatalf("build jacinthrampd: %v\n%s", err, out)
	}
	return func(settings string) (slopes.Process, error) {
		started++
		config := filepath.Join(dir, fmt.Sprintf("instance-%d.yaml", started))
		if err := os.WriteFile(config, []byte(settings), 0o600); err != nil {
			return nil, err
		}
		p := &process{cmd: exec.Command(binary, "--config", config), exited: make(chan struct{})}
		p.cmd.Stderr = &p.log
		if err := p.cmd.Start(); err != nil {
			return nil, err
		}
		go func() {
			if err := p.cmd.Wait(); err != nil && p.cmd.ProcessState.Exited() {
				t.Logf("jacinthrampd exited: %v\n%s", err, p.log.String())
			}
			close(p.exited)
		}()
		return p, nil
	}
}

func TestSlopes(t *testing.T) {
	options := slopes.Options{Only: *only, Runs: *runs, Note: *note, FullScale: *writeFile != "", Starter: newStarter(t)}
	if !options.FullScale {
		options.Runs = 1
	}
	list, err := slopes.ReadFile(*writeFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := slopes.Measure(t.Context(), list, options); err != nil {
		t.Error(err)
	}
	if missing := capacity.MissingSlopes(list); len(missing) > 0 && *only == "" {
		t.Errorf("resource needs without a listed slope: %v", missing)
	}
	if options.FullScale {
		if err := slopes.WriteFile(*writeFile, list); err != nil {
			t.Fatal(err)
		}
	}
}
