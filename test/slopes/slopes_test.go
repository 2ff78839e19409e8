// Package slopes measures what needs instances of their own process, which
// only a test starts, and checks that each quantity can be measured:
//
//	go test -count=1 -run TestSlopes ./test/slopes -args -write ../../docs/capacity/slopes.yaml
//
// Without -write it measures small sizes, and checks only that each quantity
// is measured and that each need has its slope listed.
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
	writeFile = flag.String("write", "", "slopes file to bring up to date")
	runs      = flag.Int("runs", 5, "runs of each measurement")
	only      = flag.String("only", "", "name of the only slope to measure")
	note      = flag.String("note", "", "conditions of the run")
)

// process is a jacinthrampd.
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

// starter builds jacinthrampd and returns how to start it.
func starter(t *testing.T) slopes.Starter {
	dir, started := t.TempDir(), 0
	binary := filepath.Join(dir, "jacinthrampd")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/jacinthrampd").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
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
				t.Logf("jacinthrampd: %v\n%s", err, p.log.String())
			}
			close(p.exited)
		}()
		return p, nil
	}
}

func TestSlopes(t *testing.T) {
	o := slopes.Options{Only: *only, Runs: *runs, Note: *note, FullScale: *writeFile != "", Starter: starter(t)}
	if !o.FullScale {
		o.Runs = 1
	}
	list, err := slopes.ReadFile(*writeFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := slopes.Measure(t.Context(), list, o); err != nil {
		t.Error(err)
	}
	if missing := capacity.MissingSlopes(list); len(missing) > 0 && *only == "" {
		t.Errorf("needs without a slope: %v", missing)
	}
	if o.FullScale {
		if err := slopes.WriteFile(*writeFile, list); err != nil {
			t.Fatal(err)
		}
	}
}
