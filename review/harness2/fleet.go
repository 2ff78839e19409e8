// Command harness2 plays the scripted cases of the second review: it starts instances of
// jacinthramp as separate processes on loopback, with stand-ins for the store, the servers
// and the clients, and checks what these see.
package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/platform/standin"
)

// Bounds of the small deployments on the users' pages.
const (
	// heartbeat is the interval of the servers' status reports (HeartbeatS).
	heartbeat = 1500 * time.Millisecond
	// stableWindow is StableWindowS: a machine is in touch that long after its start.
	stableWindow = 4 * time.Second
	// readyTimeout is how long an instance may take to become ready.
	readyTimeout = 15 * time.Second
	// The ports of instances lie between minPort and maxPort.
	minPort, maxPort = 12000, 32000
	maxPortTries     = 1000
)

// settingsTemplate holds what deploy/settings.yaml.tmpl makes of the settings of a machine.
const settingsTemplate = `instance:
  id: %s
  zone: %s
  region: %s
  zones: [{zone: osr-a, region: osrednja},{zone: osr-b, region: osrednja}]
  seeds: [%s]
  link_mbps: 1000.0
listen:
  caller: %s
  hop: %s
  peer: %s
  admin: %s
  lookup: %s
  ready: %s
platform:
  url: http://%s
limits:
  dial_timeout: 400ms
  memory_mb: 284
probe:
  interval: 500ms
  timeout: 300ms
leave:
  min_lookup_ttl: 3s
  grace: 6s
dispatch:
  mode: direct
  shift_cap: 0.15
  shift_window: 2s
  retry_ratio: 0.12
  retry_reserve: 20
lookup:
  max_ttl: 2s
`

// instance is one process of the system.
type instance struct {
	id, zone                             string
	front, hop, peer, admin, lookup, rdy string
	settings, log                        string
	cmd                                  *exec.Cmd
	exited                               chan struct{}
	// startedAt is when the process was started last, in Unix nanoseconds.
	startedAt atomic.Int64
	exitErr   error
}

// inTouch reports whether the process had run for StableWindowS at a time.
func (in *instance) inTouch(at time.Time) bool {
	return at.UnixNano()-in.startedAt.Load() >= stableWindow.Nanoseconds()
}

// world holds the processes and stand-ins of one case.
type world struct {
	dir, binary string
	trouble     bool
	start       time.Time
	record      *os.File
	store       *standin.Store
	storeAddr   string
	instances   []*instance
	// usedPorts are those given to instances, which may not listen on them yet.
	usedPorts map[string]bool

	// storeMu guards storeAway, which is set while the store refuses all calls.
	storeMu   sync.RWMutex
	storeAway bool

	mu      sync.Mutex
	closers []func()
}

// newWorld returns a world with a store and no instance. trouble is whether the case has its
// disruption.
func newWorld(record string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, trouble: trouble, start: time.Now(), record: f, store: standin.NewStore(), usedPorts: map[string]bool{}}
	w.binary = "target/jacinthrampd"
	if _, err := os.Stat(w.binary); err != nil {
		return nil, err
	}
	w.storeAddr, err = w.serve(pagedStore{w.store})
	return w, err
}

// serve serves h on a free loopback port until close.
func (w *world) serve(h http.Handler) (address string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(ln) }()
	w.onClose(func() { _ = s.Close() })
	return ln.Addr().String(), nil
}

func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// logf writes one line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, in := range w.instances {
		if in.cmd != nil && in.cmd.Process != nil {
			_ = in.cmd.Process.Kill()
			<-in.exited
		}
	}
	for _, f := range w.closers {
		f()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// freePorts returns n free loopback addresses. Their ports are below those that the system
// gives to outgoing connections, one of which could take the port of a process that restarts.
func (w *world) freePorts(n int) ([]string, error) {
	var out []string
	for range maxPortTries {
		address := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort))
		ln, err := net.Listen("tcp", address)
		if err != nil || w.usedPorts[address] {
			continue
		}
		_ = ln.Close()
		w.usedPorts[address] = true
		if out = append(out, address); len(out) == n {
			return out, nil
		}
	}
	return nil, errors.New("no free ports")
}

// addInstance adds an instance with free ports, without starting it.
func (w *world) addInstance(id, zone string) (*instance, error) {
	p, err := w.freePorts(6)
	if err != nil {
		return nil, err
	}
	in := &instance{id: id, zone: zone, front: p[0], hop: p[1], peer: p[2], admin: p[3], lookup: p[4], rdy: p[5]}
	in.settings, in.log = filepath.Join(w.dir, id+".yaml"), filepath.Join(w.dir, id+".log")
	w.instances = append(w.instances, in)
	return in, nil
}

// startInstance starts the process of in.
func (w *world) startInstance(in *instance) error {
	var seeds []string
	for _, other := range w.instances {
		seeds = append(seeds, `"`+other.peer+`"`)
	}
	text := fmt.Sprintf(settingsTemplate, in.id, in.zone, "osrednja", strings.Join(seeds, ","), in.front, in.hop, in.peer, in.admin, in.lookup, in.rdy, w.storeAddr)
	if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(w.binary, "--config", in.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	in.cmd, in.exited = cmd, exited
	in.startedAt.Store(time.Now().UnixNano())
	go func() {
		in.exitErr = cmd.Wait()
		close(exited)
	}()
	w.logf("instance %s started, front %s", in.id, in.front)
	return nil
}

// awaitReady waits until in says that it is ready.
func (w *world) awaitReady(in *instance) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + in.rdy + "/api/ready")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			w.logf("instance %s is ready", in.id)
			return nil
		}
	}
	return fmt.Errorf("instance %s did not become ready", in.id)
}

// startInstances starts n instances, alternately in two zones, and waits until they are ready.
func (w *world) startInstances(n int) error {
	for i := range n {
		if _, err := w.addInstance(fmt.Sprintf("front-%d", i+1), []string{"osr-a", "osr-b"}[i%2]); err != nil {
			return err
		}
	}
	for _, in := range w.instances {
		if err := w.startInstance(in); err != nil {
			return err
		}
	}
	for _, in := range w.instances {
		if err := w.awaitReady(in); err != nil {
			return err
		}
	}
	return nil
}
