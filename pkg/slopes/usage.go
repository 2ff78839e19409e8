package slopes

import (
	"io"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// idlePeriod returns how long an instance is left idle, both before a measurement
// and during one of its idle use.
func (r *run) idlePeriod() time.Duration {
	if r.fullScale {
		return 2 * time.Second
	}
	return 200 * time.Millisecond
}

// fitOverInstances fits a quantity of an idle instance over the number of targets.
func fitOverInstances(r *run, quantity func(*instance) (float64, error)) (capacity.Line, error) {
	return fitOver(r.sizes([]float64{32, 200}, fullScaleTargets), func(n int) (float64, error) {
		in, err := startInstance(r, n)
		if err != nil {
			return 0, err
		}
		defer in.process.Stop()
		if err := r.pause(r.idlePeriod()); err != nil {
			return 0, err
		}
		return quantity(in)
	})
}

func residentMemory(r *run) (capacity.Line, error) {
	return fitOverInstances(r, (*instance).residentBytes)
}

func idleCPU(r *run) (capacity.Line, error) {
	return fitOverInstances(r, func(in *instance) (float64, error) { return idleRate(r, in) })
}

// idleRate returns the processor time that an idle instance uses, in nanoseconds
// per second.
func idleRate(r *run, in *instance) (float64, error) {
	before, err := in.cpuTime()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if err := r.pause(r.idlePeriod()); err != nil {
		return 0, err
	}
	after, err := in.cpuTime()
	return (after - before) / time.Since(start).Seconds(), err
}

// requestCPU measures the instance's processor time per request to the given URL,
// less its use when idle, in nanoseconds.
func requestCPU(r *run, url func(*instance) string) (capacity.Line, error) {
	in, err := startInstance(r, 32)
	if err != nil {
		return capacity.Line{}, err
	}
	defer in.process.Stop()
	if err := r.pause(r.idlePeriod()); err != nil {
		return capacity.Line{}, err
	}
	idle, err := idleRate(r, in)
	if err != nil {
		return capacity.Line{}, err
	}
	const clients = 4
	each := 50
	if r.fullScale {
		each = 2000
	}
	before, err := in.cpuTime()
	if err != nil {
		return capacity.Line{}, err
	}
	start := time.Now()
	if err := sendAll(clients, each, url(in)); err != nil {
		return capacity.Line{}, err
	}
	after, err := in.cpuTime()
	used := after - before - idle*time.Since(start).Seconds()
	return capacity.Line{Slope: used / float64(clients*each)}, err
}

// sendAll sends requests from several concurrent clients. Each client sends the
// given number of requests one after another.
func sendAll(clients, each int, url string) error {
	p := pool.New().WithErrors()
	for range clients {
		p.Go(func() error {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for range each {
				if err := get(client, url); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return p.Wait()
}

// get sends one request. It returns an error unless the status is 200.
func get(client *http.Client, url string) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.KindInvariantBroken, "GET %s returned status %d", url, resp.StatusCode)
	}
	return nil
}

func lookupCPU(r *run) (capacity.Line, error) {
	return requestCPU(r, func(in *instance) string {
		return "http://" + in.callerAddress + wire.PathLookup + "?route=route-0"
	})
}

func forwardCPU(r *run) (capacity.Line, error) {
	return requestCPU(r, func(in *instance) string { return "http://" + in.callerAddress + "/route-0" })
}
