// Package capacity computes the resource needs of each role of the system at a
// given size from measured slopes: need = intercept + slope × driver. It performs
// no I/O.
package capacity

import (
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/strictyaml"
)

// Size describes the size of a federation. A nil number is not stated, and the
// needs that depend on it are reported as unknown.
type Size struct {
	Name string `yaml:"name"`
	// Instances is the number of instances.
	Instances *float64 `yaml:"daemons"`
	Regions   *float64 `yaml:"regions"`
	Zones     *float64 `yaml:"zones"`
	// Sites is the number of sites that callers' blocks are mapped to.
	Sites *float64 `yaml:"sites"`
	// Targets is the number of targets in the tables.
	Targets *float64 `yaml:"targets"`
	// Blocks is the number of callers' blocks of both IP versions, BlocksV6 the
	// number of IPv6 blocks among them.
	Blocks   *float64 `yaml:"blocks"`
	BlocksV6 *float64 `yaml:"blocks_v6"`
	// LookupsPerSecond and RequestsPerSecond are totals over all instances.
	LookupsPerSecond  *float64 `yaml:"lookups_per_second"`
	RequestsPerSecond *float64 `yaml:"requests_per_second"`
	// ChangesPerDay is the number of accepted edits per day, BlocksPerChange the
	// number of callers' blocks that one edit changes.
	ChangesPerDay   *float64 `yaml:"changes_per_day"`
	BlocksPerChange *float64 `yaml:"blocks_per_change"`
	// FailuresPerDay and ReplacementsPerDay are numbers of instances per day.
	FailuresPerDay     *float64 `yaml:"failures_per_day"`
	ReplacementsPerDay *float64 `yaml:"replacements_per_day"`
	// WatchersPerZone is the number of instances in each zone that poll the store.
	WatchersPerZone *float64 `yaml:"watchers_per_zone"`
	// PollSeconds is the interval between two reads of a watcher.
	PollSeconds *float64 `yaml:"poll_seconds"`
	Budget      Budget   `yaml:"budget"`
}

// Budget holds the limits for the needs of each role. Zero means no limit.
type Budget struct {
	// CoreFraction is the processor time of one instance in cores.
	CoreFraction float64 `yaml:"core_fraction"`
	MemoryBytes  float64 `yaml:"memory_bytes"`
	// ControlBytesPerSecond is the traffic of one instance other than its
	// callers' traffic.
	ControlBytesPerSecond float64 `yaml:"control_bytes_per_second"`
	StoreReadsPerSecond   float64 `yaml:"store_reads_per_second"`
	StoreWritesPerSecond  float64 `yaml:"store_writes_per_second"`
	InForceSeconds        float64 `yaml:"in_force_seconds"`
}

// ParseSize reads a size file. Error: fault.KindInvalidSettings.
func ParseSize(file string, data []byte) (Size, error) {
	var s Size
	_, problems := strictyaml.Decode(file, data, &s)
	if err := problemsError(problems); err != nil {
		return Size{}, err
	}
	for name, v := range s.statedDrivers() {
		if v < 0 {
			return Size{}, fault.New(fault.KindInvalidSettings, "%s: %s: %v is negative", file, name, v)
		}
	}
	return s, nil
}

// problemsError returns an error that lists the problems, or nil if there are none.
func problemsError(problems []strictyaml.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	text := ""
	for _, p := range problems {
		text += "\n  " + p.String()
	}
	return fault.New(fault.KindInvalidSettings, "the file is not valid%s", text)
}

// secondsPerDay converts rates per day to rates per second.
const secondsPerDay = 86_400

// statedDrivers returns the numbers that s states, by driver name.
func (s Size) statedDrivers() drivers {
	d := drivers{}
	d.set("daemons", s.Instances)
	d.set("regions", s.Regions)
	d.set("zones", s.Zones)
	d.set("sites", s.Sites)
	d.set("targets", s.Targets)
	d.set("blocks", s.Blocks)
	d.set("blocks_v6", s.BlocksV6)
	d.set("lookups_per_second", s.LookupsPerSecond)
	d.set("requests_per_second", s.RequestsPerSecond)
	d.set("changes_per_day", s.ChangesPerDay)
	d.set("blocks_per_change", s.BlocksPerChange)
	d.set("failures_per_day", s.FailuresPerDay)
	d.set("replacements_per_day", s.ReplacementsPerDay)
	d.set("watchers_per_zone", s.WatchersPerZone)
	d.set("poll_seconds", s.PollSeconds)
	return d
}

// drivers holds the quantities that needs grow with, by name.
type drivers map[string]float64

func (d drivers) set(name string, v *float64) {
	if v != nil {
		d[name] = *v
	}
}

// derive adds a driver that is computed from others, if all of these are known.
func (d drivers) derive(name string, compute func(v []float64) float64, from ...string) {
	values := make([]float64, 0, len(from))
	for _, f := range from {
		v, ok := d[f]
		if !ok {
			return
		}
		values = append(values, v)
	}
	d[name] = compute(values)
}

// allDrivers returns the stated drivers of s and those derived from them.
func allDrivers(s Size) drivers {
	d := s.statedDrivers()
	quotient := func(v []float64) float64 { return v[0] / v[1] }
	product := func(v []float64) float64 { return v[0] * v[1] }
	d.derive("blocks_v4", func(v []float64) float64 { return v[0] - v[1] }, "blocks", "blocks_v6")
	d.derive("lookups_per_daemon", quotient, "lookups_per_second", "daemons")
	d.derive("requests_per_daemon", quotient, "requests_per_second", "daemons")
	d.derive("zone_daemons", quotient, "daemons", "zones")
	d.derive("zone_targets", quotient, "targets", "zones")
	d.derive("changes_per_second", func(v []float64) float64 { return v[0] / secondsPerDay }, "changes_per_day")
	d.derive("block_changes_per_second", product, "changes_per_second", "blocks_per_change")
	d.derive("churn_per_second", func(v []float64) float64 { return (v[0] + v[1]) / secondsPerDay }, "failures_per_day", "replacements_per_day")
	d.derive("watchers", product, "zones", "watchers_per_zone")
	d.derive("polls_per_watcher", func(v []float64) float64 { return 1 / v[0] }, "poll_seconds")
	d.derive("target_loads_per_second", product, "targets", "changes_per_second")
	d.derive("watcher_loads_per_second", product, "watchers", "changes_per_second")
	return d
}
