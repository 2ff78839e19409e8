// Package process tests the system as processes of their own on loopback: it
// builds the two binaries, starts stand-ins, instances and load, and kills,
// freezes and stops instances and targets under load.
package process

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// longest bounds every wait; it is generous because the machine may be busy.
const longest = 60 * time.Second

// binaries is the directory of the two binaries, built once.
var binaries string

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
		fmt.Fprintf(os.Stderr, "building: %v\n%s", err, out)
		return 1
	}
	binaries = dir
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

// start runs a binary. The process is killed when the test ends.
func start(t *testing.T, dir, name, binary string, args ...string) *process {
	t.Helper()
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: name, cmd: exec.Command(filepath.Join(binaries, binary), args...), log: log, done: make(chan struct{})}
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
			p.showLog()
		}
	})
	return p
}

// showLog prints the end of the process's log.
func (p *process) showLog() {
	const lines = 15
	data, _ := os.ReadFile(p.log.Name())
	all := strings.Split(strings.TrimSpace(string(data)), "\n")
	p.t.Logf("end of the log of %s:\n%s", p.name, strings.Join(all[max(0, len(all)-lines):], "\n"))
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %v to %s: %v", s, p.name, err)
	}
}

// wait waits for the end of the process and returns its exit code.
func (p *process) wait() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(longest):
		p.t.Fatalf("%s did not end", p.name)
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

// stop ends the process as planned; it must end by itself without an error.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	if code := p.wait(); code != 0 {
		p.t.Errorf("planned stop of %s: exit code %d", p.name, code)
	}
}

// kill ends the process without warning.
func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	p.wait()
}

// run runs the operators' command to its end and returns its output.
func run(t *testing.T, args ...string) string {
	t.Helper()
	code, out := command(t, args...)
	if code != 0 {
		t.Fatalf("jacinthramp %s: exit code %d\n%s", strings.Join(args, " "), code, out)
	}
	return out
}

// command runs the operators' command and returns its exit code and output.
func command(t *testing.T, args ...string) (int, string) {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), filepath.Join(binaries, "jacinthramp"), args...).CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatalf("jacinthramp %s: %v", strings.Join(args, " "), err)
	}
	if exit != nil {
		return exit.ExitCode(), string(out)
	}
	return 0, string(out)
}

// eventually polls until ok.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never happened: %s", what)
}

// answers reports whether a GET of url gets status 200.
func answers(url string) bool {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// send sends a request and expects a status.
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
		t.Fatalf("%s %s: status %d", method, url, resp.StatusCode)
	}
}

// The ports that the tests use lie below those that the system gives to
// outgoing connections, so that a process can come back to its own.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// nextPort is the port to try next; tests of other processes start elsewhere.
var (
	nextPort   = firstPort + os.Getpid()*97%(lastPort-firstPort)
	nextPortMu sync.Mutex
)

// isFree reports whether address can be listened on. No process is started
// meanwhile, since until its program runs it would hold the listener too.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return ln.Close() == nil
}

// freeAddresses returns n loopback addresses that nothing listens on, each
// given out once.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	nextPortMu.Lock()
	defer nextPortMu.Unlock()
	var addresses []string
	for range lastPort - firstPort {
		if len(addresses) == n {
			return addresses
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if nextPort++; nextPort >= lastPort {
			nextPort = firstPort
		}
		if isFree(address) {
			addresses = append(addresses, address)
		}
	}
	t.Fatal("no free ports")
	return nil
}
