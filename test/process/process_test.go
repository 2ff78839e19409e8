// Package process tests the system as separate processes on loopback. It builds
// the two binaries, starts stand-ins, instances and load generators, and kills,
// suspends and stops instances and targets under load.
package process

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/test/ports"
)

// maxWait limits every wait. It is long because the machine may be busy.
const maxWait = 60 * time.Second

// binaryDir is the directory of the two binaries, which are built once.
var binaryDir string

// portBlock allocates the addresses of the processes.
var portBlock *ports.Block

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "jacinthramp-process")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/jacinthrampd", "./cmd/jacinthramp")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build jacinthrampd and jacinthramp: %v\n%s", err, out)
		return 1
	}
	binaryDir = dir
	if portBlock, err = ports.Reserve(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// process is a process that the test started.
type process struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	output bytes.Buffer
	log    *os.File
	done   chan struct{}
	err    error
}

// startProcess starts a binary, with its standard error in a log file in dir. The
// process is killed when the test ends.
func startProcess(t *testing.T, dir, name, binary string, args ...string) *process {
	t.Helper()
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: name, cmd: exec.Command(filepath.Join(binaryDir, binary), args...), log: log, done: make(chan struct{})}
	p.cmd.Stdout = &p.output
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			p.printLogTail()
		}
	})
	return p
}

// printLogTail prints the last lines of the process's log.
func (p *process) printLogTail() {
	const lines = 15
	data, _ := os.ReadFile(p.log.Name())
	all := strings.Split(strings.TrimSpace(string(data)), "\n")
	p.t.Logf("end of the log of %s:\n%s", p.name, strings.Join(all[max(0, len(all)-lines):], "\n"))
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("send signal %v to %s: %v", s, p.name, err)
	}
}

// wait waits until the process exits and returns its exit code.
func (p *process) wait() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(maxWait):
		p.t.Fatalf("%s did not exit in time", p.name)
	}
	var exit *exec.ExitError
	if errors.As(p.err, &exit) {
		return exit.ExitCode()
	}
	if p.err != nil {
		p.t.Fatalf("%s: %v", p.name, p.err)
	}
	return 0
}

// stop sends SIGTERM and checks that the process exits with code 0.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	if code := p.wait(); code != 0 {
		p.t.Errorf("planned shutdown of %s: exit code %d", p.name, code)
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	p.wait()
}

// mustRunCommand runs the operators' command and returns its output. It fails the
// test if the exit code is not 0.
func mustRunCommand(t *testing.T, args ...string) string {
	t.Helper()
	code, out := runCommand(t, args...)
	if code != 0 {
		t.Fatalf("jacinthramp %s: exit code %d\n%s", strings.Join(args, " "), code, out)
	}
	return out
}

// runCommand runs the operators' command and returns its exit code and output.
func runCommand(t *testing.T, args ...string) (int, string) {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), filepath.Join(binaryDir, "jacinthramp"), args...).CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatalf("jacinthramp %s: %v", strings.Join(args, " "), err)
	}
	if exit != nil {
		return exit.ExitCode(), string(out)
	}
	return 0, string(out)
}

// eventually polls ok until it returns true, and fails the test after maxWait.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

// respondsOK reports whether a GET of url returns status 200.
func respondsOK(url string) bool {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// send sends a request and fails the test if the status is not want.
func send(t *testing.T, method, url, body string, want int) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != want {
		t.Fatalf("%s %s: unexpected status %d", method, url, resp.StatusCode)
	}
}
