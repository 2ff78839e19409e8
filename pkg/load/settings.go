// Package load is an open-loop load generator for a running system on loopback.
// Like a caller, it sends lookups first and caches the responses for their time
// to live. It checks every response against its request and measures latency
// from the time at which each request was due, so that a slow system cannot
// hide its delay by slowing down the load (coordinated omission).
package load

import (
	"net/http"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/standin"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// Settings describes one load run.
type Settings struct {
	// Entries are the loopback addresses of the instances that receive the first
	// lookups. Required.
	Entries []string `yaml:"entries"`
	// TargetControls are the addresses of the target stand-ins' control
	// endpoints, from which the run counts are read at the end. Default none:
	// duplicate runs are then not counted.
	TargetControls []string `yaml:"target_controls"`
	// RunLogs are run logs that target stand-ins wrote. They are read at the end
	// instead of TargetControls. Default none.
	RunLogs []string `yaml:"run_logs"`
	// Rate is the number of requests per second. Default 100, at most MaxRate.
	Rate float64 `yaml:"rate"`
	// Duration is the time for which requests are sent. Default 10s, at most
	// MaxDuration.
	Duration table.Duration `yaml:"duration"`
	// MaxInFlight is the largest number of requests in flight. Further requests
	// wait, and their wait counts as latency. Default 256, at most
	// MaxInFlightLimit.
	MaxInFlight int `yaml:"max_in_flight"`
	// Seed seeds the random choice of requests. Default 1.
	Seed uint64 `yaml:"seed"`
	// Mix lists the kinds of requests. Required, at least one.
	Mix []RequestKind `yaml:"mix"`
	// Members are the members that the load is divided among. Default one member
	// without a name.
	Members []Member `yaml:"members"`
}

// RequestKind is one kind of request of the mix.
type RequestKind struct {
	// Route is the name of the route in the routes table. Required.
	Route string `yaml:"route"`
	// Weight is relative to the sum of the mix's weights. Default 1.
	Weight int `yaml:"weight"`
	// Host is the value of the Host header. Default the instance's address.
	Host string `yaml:"host"`
	// Path is the prefix of the request's path. Each request appends a unique
	// segment. Default "/".
	Path string `yaml:"path"`
	// Method is the HTTP method. Default GET.
	Method string `yaml:"method"`
	// NonIdempotent marks requests that must not run twice. Default false.
	NonIdempotent bool `yaml:"once"`
	// BodyBytes and ResponseBytes are the sizes of the request and response
	// bodies. Default 0.
	BodyBytes     int64 `yaml:"body_bytes"`
	ResponseBytes int64 `yaml:"answer_bytes"`
	// ResponseTimeout is the time limit for the complete response. Default 5s.
	ResponseTimeout table.Duration `yaml:"deadline"`
}

// Member is a member and its share of the load.
type Member struct {
	// Name is sent with each request; an empty name is not sent.
	Name string `yaml:"name"`
	// Weight is relative to the sum of the members' weights. Default 1.
	Weight int `yaml:"weight"`
	// Key is the key of the member's workspace, which its requests carry. Default none.
	Key Key `yaml:"key"`
}

// Key is the key of a workspace.
type Key string

// Secret keeps the key out of messages about the settings; see strictyaml.Secret.
func (Key) Secret() {}

// SetHeader sets the field with the key, unless it is empty.
func (k Key) SetHeader(h http.Header) {
	if k != "" {
		h.Set(wire.HeaderAuthorization, wire.SchemeBearer+" "+string(k))
	}
}

// Defaults and bounds of the settings.
const (
	DefaultRate        = 100
	DefaultDuration    = 10 * time.Second
	DefaultMaxInFlight = 256
	DefaultTimeout     = 5 * time.Second
	// MaxRate is in requests per second.
	MaxRate     = 50_000
	MaxDuration = 10 * time.Minute
	// MaxInFlightLimit is the largest accepted value of MaxInFlight.
	MaxInFlightLimit = 10_000
)

// LoadSettings reads the YAML file at path, applies the defaults and validates
// the result.
func LoadSettings(path string) (Settings, error) {
	var s Settings
	if err := standin.LoadSettings(path, &s); err != nil {
		return Settings{}, err
	}
	s = s.WithDefaults()
	return s, s.Validate()
}

// WithDefaults returns s with its zero fields set to their defaults.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Rate, DefaultRate)
	setDefault(&s.Duration, table.Duration(DefaultDuration))
	setDefault(&s.MaxInFlight, DefaultMaxInFlight)
	setDefault(&s.Seed, 1)
	s.Mix = append([]RequestKind(nil), s.Mix...)
	for i := range s.Mix {
		k := &s.Mix[i]
		setDefault(&k.Weight, 1)
		setDefault(&k.Path, "/")
		setDefault(&k.Method, http.MethodGet)
		setDefault(&k.ResponseTimeout, table.Duration(DefaultTimeout))
	}
	s.Members = append([]Member(nil), s.Members...)
	if len(s.Members) == 0 {
		s.Members = []Member{{}}
	}
	for i := range s.Members {
		setDefault(&s.Members[i].Weight, 1)
	}
	return s
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Validate returns an error for the first invalid value of s. Error:
// fault.KindInvalidSettings.
func (s Settings) Validate() error {
	if len(s.Entries) == 0 {
		return fault.New(fault.KindInvalidSettings, "entries: at least one address is required")
	}
	for _, a := range append(append([]string(nil), s.Entries...), s.TargetControls...) {
		if err := standin.RequireLoopback(a); err != nil {
			return err
		}
	}
	switch {
	case s.Rate <= 0 || s.Rate > MaxRate:
		return fault.New(fault.KindInvalidSettings, "rate: must be above 0 and at most %d requests per second", MaxRate)
	case s.Duration <= 0 || s.Duration.Std() > MaxDuration:
		return fault.New(fault.KindInvalidSettings, "duration: must be above 0s and at most %v", MaxDuration)
	case s.MaxInFlight < 1 || s.MaxInFlight > MaxInFlightLimit:
		return fault.New(fault.KindInvalidSettings, "max_in_flight: must be from 1 to %d", MaxInFlightLimit)
	case len(s.Mix) == 0:
		return fault.New(fault.KindInvalidSettings, "mix: at least one kind of request is required")
	}
	for _, k := range s.Mix {
		if k.Route == "" || k.Weight < 0 || k.BodyBytes < 0 || k.ResponseBytes < 0 || k.ResponseTimeout < 0 {
			return fault.New(fault.KindInvalidSettings, "mix: each kind of request needs a route and must have no negative value")
		}
	}
	for _, m := range s.Members {
		if m.Weight < 0 {
			return fault.New(fault.KindInvalidSettings, "members: the weight of %q is negative", m.Name)
		}
	}
	return nil
}
