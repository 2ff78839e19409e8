package slopes

import (
	"fmt"
	"os"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
)

// zoneTargets is the number of targets in the tables of a measured zone.
const zoneTargets = 32

// use is what a zone of idle instances uses in a second.
type use struct {
	// controlBytes is the mean of what an instance reads and writes.
	controlBytes float64
	storeReads   float64
	storeWrites  float64
}

// transferred returns the bytes that the process has read and written.
func (in *instance) transferred() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", in.process.PID()))
	if err != nil {
		return 0, err
	}
	var read, written float64
	_, err = fmt.Sscanf(string(data), "rchar: %f\nwchar: %f\n", &read, &written)
	return read + written, err
}

// zones keeps the zones of small sizes, so that each is run once.
type zones struct{ measured map[int]use }

// zoneOf returns the use of an idle zone of n instances.
func zoneOf(r *run, n int) (use, error) {
	if u, ok := r.zones.measured[n]; ok && !r.full {
		return u, nil
	}
	u, err := measureZone(r, n)
	if err == nil {
		r.zones.measured[n] = u
	}
	return u, err
}

// measureZone runs n instances of one zone, idle.
func measureZone(r *run, n int) (use, error) {
	store, url, err := startPlatform(r, zoneTargets)
	if err != nil {
		return use{}, err
	}
	var instances []*instance
	defer func() {
		for _, in := range instances {
			in.process.Stop()
		}
	}()
	for i := range n {
		in, err := startAt(r, url, i+1)
		if err != nil {
			return use{}, err
		}
		instances = append(instances, in)
	}
	// Long enough for the writes of the ledger, which are seconds apart.
	settle := time.Second
	if r.full {
		settle = 6 * time.Second
	}
	if err := r.pause(settle); err != nil {
		return use{}, err
	}
	start, stats := time.Now(), store.Stats()
	bytes, err := transferred(instances)
	if err != nil {
		return use{}, err
	}
	if err := r.pause(2 * settle); err != nil {
		return use{}, err
	}
	seconds, after := time.Since(start).Seconds(), store.Stats()
	total, err := transferred(instances)
	return use{
		controlBytes: (total - bytes) / float64(n) / seconds,
		storeReads:   float64(after.Reads-stats.Reads) / seconds,
		storeWrites:  float64(after.Writes-stats.Writes) / seconds,
	}, err
}

// transferred adds up the bytes that the instances have read and written.
func transferred(instances []*instance) (float64, error) {
	sum := 0.0
	for _, in := range instances {
		n, err := in.transferred()
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// controlBytes fits the bytes of an instance over the instances of its zone.
func controlBytes(r *run) (capacity.Line, error) {
	return over(r.sizes([]float64{1, 2}, []float64{1, 4, 8, 16}), func(n int) (float64, error) {
		u, err := zoneOf(r, n)
		return u.controlBytes, err
	})
}

// zoneSize is the number of instances of a zone whose use of the store is
// measured; more instances don't raise it.
func (r *run) zoneSize() int {
	if r.full {
		return 8
	}
	return 2
}

func zoneReads(r *run) (capacity.Line, error) {
	u, err := zoneOf(r, r.zoneSize())
	return capacity.Line{Slope: u.storeReads}, err
}

func zoneWrites(r *run) (capacity.Line, error) {
	u, err := zoneOf(r, r.zoneSize())
	return capacity.Line{Slope: u.storeWrites}, err
}
