package slopes

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// fullScaleZones is the number of zones that the targets are distributed over.
const fullScaleZones = 79

// Starter starts an instance as a separate process with the given YAML settings.
type Starter func(settings string) (Process, error)

// Process is a started instance.
type Process interface {
	// PID returns the process id.
	PID() int
	// Exited returns a channel that is closed when the process has ended.
	Exited() <-chan struct{}
	// Stop kills the process and waits for its end. The shutdown is not part of
	// any measurement.
	Stop()
}

// instance is a running jacinthrampd process with tables in force.
type instance struct {
	process       Process
	callerAddress string
	adminAddress  string
}

// assignZones distributes the targets of tb over fullScaleZones zones. It starts
// a server for each target in zone-0, the zone of the measured instances.
func assignZones(r *run, tb *table.Tables) error {
	i := 0
	for p := range tb.Pools {
		for j := range tb.Pools[p].Targets {
			tg := &tb.Pools[p].Targets[j]
			tg.Zone = fmt.Sprintf("zone-%d", i%fullScaleZones)
			if i%fullScaleZones == 0 {
				address, err := r.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
				if err != nil {
					return err
				}
				tg.Address = address
			}
			i++
		}
	}
	return nil
}

// startPlatform starts a stand-in for the platform on loopback, with tables of n
// targets. It returns its store and its URL.
func startPlatform(r *run, n int) (store *standin.Store, url string, err error) {
	store = standin.New(time.Now)
	tb := tables(n)
	if err := assignZones(r, tb); err != nil {
		return nil, "", err
	}
	if _, err := tablestore.Accept(r.ctx, store, store, tablestore.Edit{ID: "e", Tables: tb}); err != nil {
		return nil, "", err
	}
	address, err := r.serve(standin.Handler(store))
	return store, "http://" + address, err
}

// startInstance starts an instance alone in its zone, with tables of n targets.
func startInstance(r *run, n int) (*instance, error) {
	_, url, err := startPlatform(r, n)
	if err != nil {
		return nil, err
	}
	return startInZone(r, url, 1)
}

// startInZone starts the i-th instance of zone-0. It retries with other addresses
// because another process may bind a chosen address before the instance does.
func startInZone(r *run, url string, i int) (in *instance, err error) {
	const tries = 3
	for range tries {
		if in, err = startOnce(r, url, i); err == nil {
			return in, nil
		}
	}
	return nil, err
}

// startOnce starts an instance on free addresses and waits until it is ready.
func startOnce(r *run, url string, i int) (*instance, error) {
	var addresses [4]string
	for j := range addresses {
		var err error
		if addresses[j], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	in := &instance{callerAddress: addresses[0], adminAddress: addresses[3]}
	settings := fmt.Sprintf("instance: {id: i-%d, zone: zone-0, region: osrednja}\nlisten: {caller: %q, hop: %q, peer: %q, admin: %q}\nplatform: {url: %q}\n",
		i, addresses[0], addresses[1], addresses[2], addresses[3], url)
	var err error
	if in.process, err = r.starter(settings); err != nil {
		return nil, err
	}
	if err := in.awaitReady(r); err != nil {
		in.process.Stop()
		return nil, err
	}
	return in, nil
}

// awaitReady waits until the tables are in force. It returns an error if the
// process ends or does not become ready after 600 checks, about 30 seconds.
func (in *instance) awaitReady(r *run) error {
	const tries = 600
	for range tries {
		select {
		case <-in.process.Exited():
			return fault.New(fault.KindNotReady, "the instance exited before it became ready")
		default:
		}
		if resp, err := http.Get("http://" + in.adminAddress + wire.PathReady); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := r.pause(50 * time.Millisecond); err != nil {
			return err
		}
	}
	return fault.New(fault.KindNotReady, "the instance did not become ready in time")
}

// cpuTime returns the processor time that the process has used, in nanoseconds.
func (in *instance) cpuTime() (float64, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", in.process.PID()))
	if err != nil || len(files) == 0 {
		return 0, fault.New(fault.KindInvariantBroken, "cannot read the processor time of the instance: %v", err)
	}
	sum := 0.0
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			continue
		}
		ns, err := strconv.ParseFloat(strings.Fields(string(data))[0], 64)
		if err != nil {
			return 0, err
		}
		sum += ns
	}
	return sum, nil
}

// residentBytes returns the resident set size of the process.
func (in *instance) residentBytes() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", in.process.PID()))
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize()), err
}

// freeAddress returns a loopback address with a port that is currently free.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", fault.Wrap(fault.KindNotReady, err, "cannot listen on a loopback port")
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
