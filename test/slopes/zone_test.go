package slopes

import (
	"fmt"
	"os"
	"testing"
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
func (in *instance) transferred() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", in.cmd.Process.Pid))
	if err != nil {
		in.t.Fatal(err)
	}
	var read, written float64
	if _, err := fmt.Sscanf(string(data), "rchar: %f\nwchar: %f\n", &read, &written); err != nil {
		in.t.Fatal(err)
	}
	return read + written
}

// measured keeps the zones of a short run, so that each is run once.
var measured = map[int]use{}

// zoneOf returns the use of an idle zone of n instances.
func zoneOf(t *testing.T, full bool, n int) use {
	if u, ok := measured[n]; ok && !full {
		return u
	}
	measured[n] = measureZone(t, full, n)
	return measured[n]
}

// measureZone runs n instances of one zone, idle.
func measureZone(t *testing.T, full bool, n int) use {
	store, url := startPlatform(t, zoneTargets)
	var instances []*instance
	defer func() {
		for _, in := range instances {
			in.stop()
		}
	}()
	for i := range n {
		instances = append(instances, startAt(t, url, i+1))
	}
	// Long enough for the writes of the ledger, which are seconds apart.
	settle := time.Second
	if full {
		settle = 6 * time.Second
	}
	time.Sleep(settle)
	total := func() (sum float64) {
		for _, in := range instances {
			sum += in.transferred()
		}
		return sum
	}
	start, bytes, stats := time.Now(), total(), store.Stats()
	time.Sleep(2 * settle)
	seconds, after := time.Since(start).Seconds(), store.Stats()
	return use{
		controlBytes: (total() - bytes) / float64(n) / seconds,
		storeReads:   float64(after.Reads-stats.Reads) / seconds,
		storeWrites:  float64(after.Writes-stats.Writes) / seconds,
	}
}

// controlBytes fits the bytes of an instance over the instances of its zone.
func controlBytes(t *testing.T, full bool) capacity.Line {
	sizes := []int{1, 2}
	if full {
		sizes = []int{1, 4, 8, 16}
	}
	var points []capacity.Point
	for _, n := range sizes {
		points = append(points, capacity.Point{X: float64(n), Y: zoneOf(t, full, n).controlBytes})
	}
	return capacity.Fit(points)
}

// zoneSize is the number of instances of a zone whose use of the store is
// measured; more instances don't raise it.
func zoneSize(full bool) int {
	if full {
		return 8
	}
	return 2
}

func zoneReads(t *testing.T, full bool) capacity.Line {
	return capacity.Line{Slope: zoneOf(t, full, zoneSize(full)).storeReads}
}

func zoneWrites(t *testing.T, full bool) capacity.Line {
	return capacity.Line{Slope: zoneOf(t, full, zoneSize(full)).storeWrites}
}
