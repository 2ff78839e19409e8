// Package target is a stand-in for targets. It simulates slots with a short
// queue, cold starts, shedding, draining, lagging and false reports, cancellation,
// deadlines, crashes and stalled connections. A Recorder counts every run, so
// that duplicate runs are detected whatever their cause.
package target

import (
	"math"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/standin"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Settings configures one process that serves target stand-ins.
type Settings struct {
	// Control is the loopback address of the control endpoints. Default
	// DefaultControl.
	Control string `yaml:"control"`
	// RunLog is the path of a file to which every run is appended, so that the
	// counts survive the end of the process. Default none.
	RunLog string `yaml:"run_log"`
	// Targets are the targets of this process. Required, at least one.
	Targets []Config `yaml:"targets"`
}

// Config describes one target.
type Config struct {
	// Name is the target's name in the pools table. Required, unique.
	Name string `yaml:"name"`
	// Address is a loopback IP address and port. Required.
	Address string `yaml:"address"`
	// Slots is the number of requests that run at once. Default 4.
	Slots int `yaml:"slots"`
	// Queue is the number of requests that may wait for a slot; any others are
	// shed. With 0 none may wait. Default 2.
	Queue *int `yaml:"queue"`
	// ServiceTime is the median service time of a request. Default 5ms.
	ServiceTime table.Duration `yaml:"service_time"`
	// ServiceTimeP99 is the 99th percentile of the service times, which have a
	// log-normal distribution. Default ServiceTime, which means no variation.
	ServiceTimeP99 table.Duration `yaml:"service_time_p99"`
	// ColdFactor multiplies the service time of a target that has just started.
	// It decreases to 1 over WarmRequests requests. Default 1.
	ColdFactor float64 `yaml:"cold_factor"`
	// WarmRequests is the number of requests after which a target is warm. Default 100.
	WarmRequests int `yaml:"warm_requests"`
	// DrainGrace is how long a leaving target accepts new requests before it
	// sheds them. With 0s it sheds them at once. Default 3s.
	DrainGrace *table.Duration `yaml:"drain_grace"`
	// RestartAfter is the time after which a crashed target restarts. Default
	// 0s, which means never.
	RestartAfter table.Duration `yaml:"restart_after"`
	// Seed is the seed of the service times, which makes them reproducible. Default 1.
	Seed uint64 `yaml:"seed"`
	// Faults are the faults at the start. Default none.
	Faults Faults `yaml:"faults"`
}

// Defaults of the settings.
const (
	DefaultControl      = "127.0.0.1:7500"
	DefaultSlots        = 4
	DefaultQueue        = 2
	DefaultServiceTime  = 5 * time.Millisecond
	DefaultWarmRequests = 100
	DefaultDrainGrace   = 3 * time.Second
)

// LoadSettings reads the settings from the YAML file at path, validates them
// and sets the defaults.
func LoadSettings(path string) (Settings, error) {
	s := Settings{Control: DefaultControl}
	if err := standin.LoadSettings(path, &s); err != nil {
		return Settings{}, err
	}
	if err := standin.RequireLoopback(s.Control); err != nil {
		return Settings{}, err
	}
	if len(s.Targets) == 0 {
		return Settings{}, fault.New(fault.KindInvalidSettings, "%s: targets: at least one is required", path)
	}
	seen := map[string]bool{}
	for i := range s.Targets {
		c := s.Targets[i].withDefaults()
		if err := c.validate(); err != nil {
			return Settings{}, err
		}
		if seen[c.Name] {
			return Settings{}, fault.New(fault.KindInvalidSettings, "%s: targets: duplicate name %q", path, c.Name)
		}
		seen[c.Name] = true
		s.Targets[i] = c
	}
	return s, nil
}

// withDefaults returns c with the defaults in place of zero values.
func (c Config) withDefaults() Config {
	setDefault(&c.Slots, DefaultSlots)
	setDefault(&c.Queue, new(DefaultQueue))
	setDefault(&c.ServiceTime, table.Duration(DefaultServiceTime))
	setDefault(&c.ServiceTimeP99, c.ServiceTime)
	setDefault(&c.ColdFactor, 1)
	setDefault(&c.WarmRequests, DefaultWarmRequests)
	setDefault(&c.DrainGrace, new(table.Duration(DefaultDrainGrace)))
	setDefault(&c.Seed, 1)
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// validate returns an error of kind fault.KindInvalidSettings for the first invalid
// value of c, which has its defaults set.
func (c Config) validate() error {
	switch {
	case c.Name == "":
		return fault.New(fault.KindInvalidSettings, "targets: name is required")
	case c.Slots < 1 || *c.Queue < 0 || c.WarmRequests < 1:
		return fault.New(fault.KindInvalidSettings, "target %s: slots and warm_requests must be 1 or more, queue 0 or more", c.Name)
	case c.ColdFactor < 1 || math.IsInf(c.ColdFactor, 0):
		return fault.New(fault.KindInvalidSettings, "target %s: cold_factor must be 1 or more", c.Name)
	case c.ServiceTime < 0 || c.ServiceTimeP99 < c.ServiceTime:
		return fault.New(fault.KindInvalidSettings, "target %s: service_time_p99 must not be below service_time", c.Name)
	}
	return standin.RequireLoopback(c.Address)
}
