package slopes

import (
	"fmt"
	"os"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
)

// zoneTargets is the number of targets in the tables of a measured zone.
const zoneTargets = 32

// zoneUsage is what a zone of idle instances uses in a second.
type zoneUsage struct {
	// controlBytes is the mean of what an instance reads and writes.
	controlBytes float64
	storeReads   float64
	storeWrites  float64
}

// bytesTransferred returns the bytes that the process has read and written.
func (in *instance) bytesTransferred() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", in.process.PID()))
	if err != nil {
		return 0, err
	}
	var read, written float64
	_, err = fmt.Sscanf(string(data), "rchar: %f\nwchar: %f\n", &read, &written)
	return read + written, err
}

// zoneUsageCache keeps the zones of small sizes, so that each is run once.
type zoneUsageCache struct{ measured map[int]zoneUsage }

// zoneUsageOf returns the use of an idle zone of n instances.
func zoneUsageOf(r *run, n int) (zoneUsage, error) {
	if u, ok := r.zoneUsages.measured[n]; ok && !r.fullScale {
		return u, nil
	}
	u, err := measureZoneUsage(r, n)
	if err == nil {
		r.zoneUsages.measured[n] = u
	}
	return u, err
}

// measureZoneUsage runs n instances of one zone, idle.
func measureZoneUsage(r *run, n int) (zoneUsage, error) {
	store, url, err := startPlatform(r, zoneTargets)
	if err != nil {
		return zoneUsage{}, err
	}
	var instances []*instance
	defer func() {
		for _, in := range instances {
			in.process.Stop()
		}
	}()
	for i := range n {
		in, err := startInZone(r, url, i+1)
		if err != nil {
			return zoneUsage{}, err
		}
		instances = append(instances, in)
	}
	// Long enough for the writes of the ledger, which are seconds apart.
	settlingTime := time.Second
	if r.fullScale {
		settlingTime = 6 * time.Second
	}
	if err := r.pause(settlingTime); err != nil {
		return zoneUsage{}, err
	}
	start, stats := time.Now(), store.Stats()
	bytes, err := totalBytesTransferred(instances)
	if err != nil {
		return zoneUsage{}, err
	}
	if err := r.pause(2 * settlingTime); err != nil {
		return zoneUsage{}, err
	}
	seconds, after := time.Since(start).Seconds(), store.Stats()
	total, err := totalBytesTransferred(instances)
	return zoneUsage{
		controlBytes: (total - bytes) / float64(n) / seconds,
		storeReads:   float64(after.Reads-stats.Reads) / seconds,
		storeWrites:  float64(after.Writes-stats.Writes) / seconds,
	}, err
}

// totalBytesTransferred adds up the bytes that the instances have read and written.
func totalBytesTransferred(instances []*instance) (float64, error) {
	sum := 0.0
	for _, in := range instances {
		n, err := in.bytesTransferred()
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// controlBytes fits the bytes of an instance over the instances of its zone.
func controlBytes(r *run) (capacity.Line, error) {
	return fitOver(r.sizes([]float64{1, 2}, []float64{1, 4, 8, 16}), func(n int) (float64, error) {
		u, err := zoneUsageOf(r, n)
		return u.controlBytes, err
	})
}

// zoneSize is the number of instances of a zone whose use of the store is
// measured; more instances don't raise it.
func (r *run) zoneSize() int {
	if r.fullScale {
		return 8
	}
	return 2
}

func zoneReads(r *run) (capacity.Line, error) {
	u, err := zoneUsageOf(r, r.zoneSize())
	return capacity.Line{Slope: u.storeReads}, err
}

func zoneWrites(r *run) (capacity.Line, error) {
	u, err := zoneUsageOf(r, r.zoneSize())
	return capacity.Line{Slope: u.storeWrites}, err
}
