package slopes

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// letterZones is the number of zones that the targets are spread over.
const letterZones = 79

// buildDir holds the binary under measurement.
var buildDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		panic(err)
	}
	buildDir = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// binary builds jacinthrampd once.
var binary = sync.OnceValues(func() (string, error) {
	path := filepath.Join(buildDir, "jacinthrampd")
	out, err := exec.Command("go", "build", "-o", path, "../../cmd/jacinthrampd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// instance is a running jacinthrampd with tables in force.
type instance struct {
	t      *testing.T
	cmd    *exec.Cmd
	caller string
	admin  string
	// exited is closed when the process has ended.
	exited chan struct{}
}

// spread gives the targets of tb zones of the letter's number; those of the
// instance's own zone are served.
func spread(t *testing.T, tb *table.Tables) {
	i := 0
	for p := range tb.Pools {
		for j := range tb.Pools[p].Targets {
			tg := &tb.Pools[p].Targets[j]
			tg.Zone = fmt.Sprintf("zone-%d", i%letterZones)
			if i%letterZones == 0 {
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
				t.Cleanup(s.Close)
				tg.Address = s.Listener.Addr().String()
			}
			i++
		}
	}
}

// startPlatform serves a platform on loopback with tables of n targets.
func startPlatform(t *testing.T, n int) (store *standin.Store, url string) {
	store = standin.New(time.Now)
	tb := tables(n)
	spread(t, tb)
	if _, err := tablestore.Accept(context.Background(), store, store, tablestore.Edit{ID: "e", Tables: tb}); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(standin.Handler(store))
	t.Cleanup(server.Close)
	return store, server.URL
}

// startInstance starts an instance alone in its zone, with tables of n targets.
func startInstance(t *testing.T, n int) *instance {
	_, url := startPlatform(t, n)
	return startAt(t, url, 1)
}

// startAt starts the i-th instance of zone-0. Its addresses are free when they
// are chosen; when another process takes one first, others are chosen.
func startAt(t *testing.T, url string, i int) *instance {
	const tries = 3
	var log string
	for range tries {
		var in *instance
		if in, log = tryStart(t, url, i); in != nil {
			return in
		}
	}
	t.Fatalf("the instance did not become ready:\n%s", log)
	return nil
}

// tryStart starts an instance, or returns its log when it does not get ready.
func tryStart(t *testing.T, url string, i int) (*instance, string) {
	in := &instance{t: t, caller: freeAddress(t), admin: freeAddress(t), exited: make(chan struct{})}
	text := fmt.Sprintf("instance: {id: i-%d, zone: zone-0, region: osrednja}\nlisten: {caller: %q, hop: %q, peer: %q, admin: %q}\nplatform: {url: %q}\n",
		i, in.caller, freeAddress(t), freeAddress(t), in.admin, url)
	config := filepath.Join(t.TempDir(), fmt.Sprintf("instance-%d.yaml", i))
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	path, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	in.cmd = exec.Command(path, "--config", config)
	var log bytes.Buffer
	in.cmd.Stderr = &log
	if err := in.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = in.cmd.Wait()
		close(in.exited)
	}()
	if !in.ready() {
		in.stop()
		return nil, log.String()
	}
	return in, ""
}

// ready waits until the tables are in force. It reports false when the process
// ends, or for too long a wait.
func (in *instance) ready() bool {
	const tries = 600
	for range tries {
		select {
		case <-in.exited:
			return false
		default:
		}
		if resp, err := http.Get("http://" + in.admin + wire.PathReady); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// stop kills the instance: what it leaves behind is not measured.
func (in *instance) stop() {
	_ = in.cmd.Process.Kill()
	<-in.exited
}

// cpu returns the nanoseconds of processor time that the process has used.
func (in *instance) cpu() float64 {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", in.cmd.Process.Pid))
	if err != nil || len(files) == 0 {
		in.t.Fatalf("no processor time to read: %v", err)
	}
	sum := 0.0
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			continue
		}
		ns, err := strconv.ParseFloat(strings.Fields(string(data))[0], 64)
		if err != nil {
			in.t.Fatal(err)
		}
		sum += ns
	}
	return sum
}

// residentBytes returns the resident size of the process.
func (in *instance) residentBytes() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", in.cmd.Process.Pid))
	if err != nil {
		in.t.Fatal(err)
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	if err != nil {
		in.t.Fatal(err)
	}
	return pages * float64(os.Getpagesize())
}

func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// idleTime is how long an instance is left alone for a measurement.
func idleTime(full bool) time.Duration {
	if full {
		return 2 * time.Second
	}
	return 200 * time.Millisecond
}

// overInstances fits a quantity of idle instances over the targets.
func overInstances(t *testing.T, full bool, quantity func(*instance) float64) capacity.Line {
	sizes := []float64{32, 200}
	if full {
		sizes = []float64{32, 500, 1000, 2000}
	}
	var points []capacity.Point
	for _, n := range sizes {
		in := startInstance(t, int(n))
		points = append(points, capacity.Point{X: n, Y: quantity(in)})
		in.stop()
	}
	return capacity.Fit(points)
}

func processRSS(t *testing.T, full bool) capacity.Line {
	return overInstances(t, full, func(in *instance) float64 {
		time.Sleep(idleTime(full))
		return in.residentBytes()
	})
}

func idleCPU(t *testing.T, full bool) capacity.Line {
	return overInstances(t, full, func(in *instance) float64 {
		time.Sleep(idleTime(full))
		before, start := in.cpu(), time.Now()
		time.Sleep(idleTime(full))
		return (in.cpu() - before) / time.Since(start).Seconds()
	})
}

// requestCPU returns the processor time that one request costs the instance,
// less what it uses when idle.
func requestCPU(t *testing.T, full bool, url func(*instance) string) capacity.Line {
	in := startInstance(t, 32)
	defer in.stop()
	time.Sleep(idleTime(full))
	before, start := in.cpu(), time.Now()
	time.Sleep(idleTime(full))
	idle := (in.cpu() - before) / time.Since(start).Seconds()
	const clients = 4
	each := 50
	if full {
		each = 2000
	}
	before, start = in.cpu(), time.Now()
	var wg conc.WaitGroup
	for range clients {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for range each {
				in.get(client, url(in))
			}
		})
	}
	wg.Wait()
	used := in.cpu() - before - idle*time.Since(start).Seconds()
	return capacity.Line{Slope: used / float64(clients*each)}
}

// get sends one request that must be completed.
func (in *instance) get(client *http.Client, url string) {
	resp, err := client.Get(url)
	if err != nil {
		in.t.Error(err)
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		in.t.Errorf("%s was answered %d", url, resp.StatusCode)
	}
}

func lookupCPU(t *testing.T, full bool) capacity.Line {
	return requestCPU(t, full, func(in *instance) string {
		return "http://" + in.caller + wire.PathLookup + "?route=route-0"
	})
}

func forwardCPU(t *testing.T, full bool) capacity.Line {
	return requestCPU(t, full, func(in *instance) string { return "http://" + in.caller + "/route-0" })
}
