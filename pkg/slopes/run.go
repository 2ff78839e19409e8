package slopes

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// run holds the state of one run of a measurement.
type run struct {
	ctx        context.Context
	fullScale  bool
	starter    Starter
	zoneUsages *zoneUsageCache
	// cleanups are called in reverse order at the end of the run.
	cleanups []func()
}

// addCleanup registers f to be called at the end of the run.
func (r *run) addCleanup(f func()) { r.cleanups = append(r.cleanups, f) }

// close calls the cleanups.
func (r *run) close() {
	for i := len(r.cleanups) - 1; i >= 0; i-- {
		r.cleanups[i]()
	}
	r.cleanups = nil
}

// headerTimeout is the time limit for reading the header of a request to a
// server of the run.
const headerTimeout = 10 * time.Second

// serve serves h on loopback until the end of the run, and returns its address.
func (r *run) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", fault.Wrap(fault.KindInvariantBroken, err, "cannot listen on a loopback port")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(ln) })
	r.addCleanup(func() {
		_ = server.Close()
		wg.Wait()
	})
	return ln.Addr().String(), nil
}

// anyPort lets the operating system choose a free loopback port.
const anyPort = "127.0.0.1:0"

// sizes returns the sizes at which a quantity is measured: fullScale for runs at
// full scale, otherwise small.
func (r *run) sizes(small, fullScale []float64) []float64 {
	if r.fullScale {
		return fullScale
	}
	return small
}

// pause waits for d. It returns an error if the context ends first.
func (r *run) pause(d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}
