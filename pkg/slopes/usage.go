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

// idleTime is how long an instance is left alone for a measurement.
func (r *run) idleTime() time.Duration {
	if r.full {
		return 2 * time.Second
	}
	return 200 * time.Millisecond
}

// overInstances fits a quantity of idle instances over the targets.
func overInstances(r *run, quantity func(*instance) (float64, error)) (capacity.Line, error) {
	return over(r.sizes([]float64{32, 200}, letterTargets), func(n int) (float64, error) {
		in, err := startInstance(r, n)
		if err != nil {
			return 0, err
		}
		defer in.process.Stop()
		if err := r.pause(r.idleTime()); err != nil {
			return 0, err
		}
		return quantity(in)
	})
}

func processRSS(r *run) (capacity.Line, error) {
	return overInstances(r, (*instance).residentBytes)
}

func idleCPU(r *run) (capacity.Line, error) {
	return overInstances(r, func(in *instance) (float64, error) { return idleRate(r, in) })
}

// idleRate returns the processor time that an instance left alone uses in a
// second, in nanoseconds.
func idleRate(r *run, in *instance) (float64, error) {
	before, err := in.cpu()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if err := r.pause(r.idleTime()); err != nil {
		return 0, err
	}
	after, err := in.cpu()
	return (after - before) / time.Since(start).Seconds(), err
}

// requestCPU returns the processor time that one request costs the instance,
// less what it uses when idle.
func requestCPU(r *run, url func(*instance) string) (capacity.Line, error) {
	in, err := startInstance(r, 32)
	if err != nil {
		return capacity.Line{}, err
	}
	defer in.process.Stop()
	if err := r.pause(r.idleTime()); err != nil {
		return capacity.Line{}, err
	}
	idle, err := idleRate(r, in)
	if err != nil {
		return capacity.Line{}, err
	}
	const clients = 4
	each := 50
	if r.full {
		each = 2000
	}
	before, err := in.cpu()
	if err != nil {
		return capacity.Line{}, err
	}
	start := time.Now()
	if err := sendAll(clients, each, url(in)); err != nil {
		return capacity.Line{}, err
	}
	after, err := in.cpu()
	used := after - before - idle*time.Since(start).Seconds()
	return capacity.Line{Slope: used / float64(clients*each)}, err
}

// sendAll sends requests from several clients at once, each one after another.
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

// get sends one request that must be completed.
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
		return fault.New(fault.KindInvariantBroken, "%s was answered %d", url, resp.StatusCode)
	}
	return nil
}

func lookupCPU(r *run) (capacity.Line, error) {
	return requestCPU(r, func(in *instance) string {
		return "http://" + in.caller + wire.PathLookup + "?route=route-0"
	})
}

func forwardCPU(r *run) (capacity.Line, error) {
	return requestCPU(r, func(in *instance) string { return "http://" + in.caller + "/route-0" })
}
