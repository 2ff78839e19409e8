// Package capacity computes what each role of the system needs at a given
// size, as arithmetic on measured slopes: need = intercept + slope × driver.
// It is pure.
package capacity

import (
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/strictyaml"
)

// Size describes a federation. A number that is not stated is left out; what
// depends on it is then reported as not stated.
type Size struct {
	Name string `yaml:"name"`
	// Instances is the number of instances.
	Instances *float64 `yaml:"daemons"`
	Regions   *float64 `yaml:"regions"`
	Zones     *float64 `yaml:"zones"`
	// Sites is the number of places that client blocks are mapped to.
	Sites *float64 `yaml:"sites"`
	// Targets, Pools and Routes count the rows of the tables.
	Targets *float64 `yaml:"targets"`
	// Blocks is the number of client blocks, BlocksV6 those of IPv6 among them.
	Blocks   *float64 `yaml:"blocks"`
	BlocksV6 *float64 `yaml:"blocks_v6"`
	// LookupsPerSecond and RequestsPerSecond are over all daemons.
	LookupsPerSecond  *float64 `yaml:"lookups_per_second"`
	RequestsPerSecond *float64 `yaml:"requests_per_second"`
	// ChangesPerDay counts accepted edits; BlocksPerChange the client blocks
	// that one of them changes.
	ChangesPerDay   *float64 `yaml:"changes_per_day"`
	BlocksPerChange *float64 `yaml:"blocks_per_change"`
	// FailuresPerDay and ReplacementsPerDay count instances.
	FailuresPerDay     *float64 `yaml:"failures_per_day"`
	ReplacementsPerDay *float64 `yaml:"replacements_per_day"`
	// WatchersPerZone is the number of instances of a zone that watch the store.
	WatchersPerZone *float64 `yaml:"watchers_per_zone"`
	// PollSeconds is the pause between two reads of a watcher.
	PollSeconds *float64 `yaml:"poll_seconds"`
	Budget      Budget   `yaml:"budget"`
}

// Budget is what each role must stay within.
type Budget struct {
	// CoreFraction is processor time per second of one instance.
	CoreFraction float64 `yaml:"core_fraction"`
	MemoryBytes  float64 `yaml:"memory_bytes"`
	// ControlBytesPerSecond is the traffic of one instance that is not its
	// callers'.
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
			return Size{}, fault.New(fault.KindInvalidSettings, "%s: %s: %v is below 0", file, name, v)
		}
	}
	return s, nil
}

// problemsError returns an error that lists the problems, or nil.
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

// secondsPerDay converts rates.
const secondsPerDay = 86_400

// statedDrivers returns the numbers that are stated, by driver name.
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

// drivers are the numbers that needs grow with.
type drivers map[string]float64

func (d drivers) set(name string, v *float64) {
	if v != nil {
		d[name] = *v
	}
}

// derive adds a driver when all that it is computed from are stated.
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

// allDrivers returns the stated numbers and those derived from them.
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
