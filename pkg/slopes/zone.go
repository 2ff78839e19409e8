package slopes

import (
	"fmt"
	"os"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
)

// zoneTargets is the number of targets in the tables for measurements of a zone.
const zoneTargets = 32

// zoneUsage holds the use of a zone of idle instances, in units per second.
type zoneUsage struct {
	// controlBytes is the mean number of bytes that an instance reads and writes.
	controlBytes float64
	storeReads   float64
	storeWrites  float64
}

// bytesTransferred returns the number of bytes that the process has read and
// written.
func (in *instance) bytesTransferred() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", in.process.PID()))
	if err != nil {
		return 0, err
	}
	var read, written float64
	_, err = fmt.Sscanf(string(data), "rchar: %f\nwchar: %f\n", &read, &written)
	return read + written, err
}

// zoneUsageCache caches the results of small sizes, so that each zone is run only
// once. At full scale, every run measures again.
type zoneUsageCache struct{ measured map[int]zoneUsage }

// zoneUsageOf returns the use of an idle zone of n instances, from the cache at
// small sizes.
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

// measureZoneUsage starts n instances in one zone and measures their use while
// idle.
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
	// Long enough for the writes of the share ledger, which are seconds apart.
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

// totalBytesTransferred returns the sum of the bytes that the instances have read
// and written.
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

// controlBytes fits the bytes of one instance over the number of instances in its
// zone.
func controlBytes(r *run) (capacity.Line, error) {
	return fitOver(r.sizes([]float64{1, 2}, []float64{1, 4, 8, 16}), func(n int) (float64, error) {
		u, err := zoneUsageOf(r, n)
		return u.controlBytes, err
	})
}

// zoneSize returns the number of instances of the zone whose use of the store is
// measured. Further instances do not increase the use.
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
