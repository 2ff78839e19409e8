// Package settings reads and checks the YAML settings of an instance. It is
// strict: an unknown key, a bad value or a missing required setting is an
// error that names the file, the line, the key and what is accepted.
package settings

import (
	"time"
)

// Settings configures one instance.
type Settings struct {
	// Instance says who and where this instance is. Required.
	Instance Instance `yaml:"instance"`
	// Listen holds the addresses of the listeners. Required.
	Listen Listen `yaml:"listen"`
	// Platform locates the table service, the object store and the list.
	Platform Platform `yaml:"platform"`
	// TLS protects the instances' own protocol, and the admin listener when that
	// is asked for. Off unless the files are all set.
	TLS TLS `yaml:"tls"`
	// Limits bounds what one instance takes in.
	Limits Limits `yaml:"limits"`
	// Probe sets how targets are watched.
	Probe Probe `yaml:"probe"`
	// Leave sets how a planned stop proceeds.
	Leave Leave `yaml:"leave"`
	// Dispatch sets who speaks to targets.
	Dispatch Dispatch `yaml:"dispatch"`
	// Lookup bounds the answers to look-ups.
	Lookup Lookup `yaml:"lookup"`
	// Log sets what is logged.
	Log Log `yaml:"log"`
	// Traces sets where spans go.
	Traces Traces `yaml:"traces"`
}

// Instance is the identity and place of an instance.
type Instance struct {
	// ID is unique over all instances: 1 to 63 letters, digits and "-". Required.
	ID string `yaml:"id"`
	// Zone is the availability zone. Required.
	Zone string `yaml:"zone"`
	// Region is the region of the zone. Required.
	Region string `yaml:"region"`
	// Zones has the region of each availability zone, for platforms whose
	// entries state only zones. Optional.
	Zones []ZoneRegion `yaml:"zones"`
	// Seeds are peer addresses to try while no other instance is known.
	// Optional.
	Seeds []string `yaml:"seeds"`
}

// ZoneRegion says in which region an availability zone lies.
type ZoneRegion struct {
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
}

// Listen holds the IP address and port of each listener.
type Listen struct {
	// Caller serves look-ups and requests. Required.
	Caller string `yaml:"caller"`
	// Hop serves requests passed on by other instances. Required.
	Hop string `yaml:"hop"`
	// Peer serves the instances' own protocol. Required.
	Peer string `yaml:"peer"`
	// PeerAdvertised is where the other instances reach Peer, when a forwarder
	// stands in between. Default: the address of Peer.
	PeerAdvertised string `yaml:"peer_advertised"`
	// Admin serves status, metrics and explanations. Required.
	Admin string `yaml:"admin"`
	// Lookup serves look-ups alone, and Ready readiness alone, on platforms
	// that ask for them at addresses of their own. Optional.
	Lookup string `yaml:"lookup"`
	Ready  string `yaml:"ready"`
}

// Platform locates the platform's services.
type Platform struct {
	// URL is the base of the platform's HTTP interface. Required.
	URL string `yaml:"url"`
	// Timeout bounds one call. Default 2s.
	Timeout Duration `yaml:"timeout"`
	// PollInterval is the time between two reads of the table version and of
	// the list of instances. Default 500ms.
	PollInterval Duration `yaml:"poll_interval"`
}

// TLS names the PEM files with which instances know each other. They are read
// again after they have changed.
type TLS struct {
	// Certificate and Key are this instance's own.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Authority signs the certificates of all instances, of the operators'
	// command, and of the platform when its URL is https.
	Authority string `yaml:"authority"`
	// Admin has the admin listener take only callers with a certificate of the
	// authority. Default false: it serves plain HTTP.
	Admin bool `yaml:"admin"`
}

// Enabled reports whether the files are named.
func (t TLS) Enabled() bool { return t != TLS{} }

// Limits bounds what one instance takes in.
type Limits struct {
	// MaxHeaderBytes bounds the header of a request. Default 65536.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// HeaderTimeout bounds the reading of a request's header. Default 5s.
	HeaderTimeout Duration `yaml:"header_timeout"`
	// IdleTimeout closes callers' connections without requests. Default 60s.
	IdleTimeout Duration `yaml:"idle_timeout"`
	// DialTimeout bounds the opening of a connection. Default 1s.
	DialTimeout Duration `yaml:"dial_timeout"`
	// MaxRetryAfter bounds the time for which a target may ask for no requests.
	// Default 10m.
	MaxRetryAfter Duration `yaml:"max_retry_after"`
	// ResponseHeaderMemory bounds, in bytes, the memory that the headers of all answers
	// of targets may take together beyond the usual size of one. Default 16 MiB.
	ResponseHeaderMemory int `yaml:"answer_headers"`
	// MemoryMB is the memory, in MB, above which the process is ended by whoever
	// runs it. Default 0: there is no such bound.
	MemoryMB int `yaml:"memory_mb"`
}

// Probe sets how targets are watched.
type Probe struct {
	// Interval is the time between two probes of one target. Default 500ms.
	Interval Duration `yaml:"interval"`
	// Timeout bounds one probe. Default 400ms.
	Timeout Duration `yaml:"timeout"`
}

// Leave sets how a planned stop proceeds.
type Leave struct {
	// MinLookupTTL is the shortest time between leaving the look-up answers
	// and refusing new work; the longest time to live of the answers given
	// out counts when it is longer. Default 1s.
	MinLookupTTL Duration `yaml:"min_lookup_ttl"`
	// Limit ends the wait for what is in flight. Default 0: it follows from Grace.
	Limit Duration `yaml:"limit"`
	// Grace is the time from the signal to stop after which whoever sent it kills
	// the process. Default 0: it never does.
	Grace Duration `yaml:"grace"`
}

// graceReserveDivisor is the part of the grace time that is left for the end of the
// process itself: one in so many.
const graceReserveDivisor = 10

// DrainLimit returns how long after the signal what is in flight is waited for, or
// 0 when there is no limit.
func (l Leave) DrainLimit() time.Duration {
	if l.Limit > 0 {
		return l.Limit.Std()
	}
	return l.Grace.Std() - l.Grace.Std()/graceReserveDivisor
}

// The modes of dispatch.
const (
	// DispatchZone: only the instances of a target's zone speak to it, under
	// shares of its slots.
	DispatchZone = "zone"
	// DispatchDirect: every instance speaks to every target. It takes targets
	// that bound their own work and refuse what is too much.
	DispatchDirect = "direct"
)

// Dispatch sets who speaks to targets.
type Dispatch struct {
	// Mode is zone or direct. Default zone.
	Mode string `yaml:"mode"`
	// ShiftCap is the largest change of a region's share of an instance's
	// requests within ShiftWindow. Only for direct. Defaults 0.15 and 2s.
	ShiftCap    float64  `yaml:"shift_cap"`
	ShiftWindow Duration `yaml:"shift_window"`
	// RetryRatio is the largest number of further attempts per request, over
	// all instances, and RetryReserve what is allowed beyond. Only for direct.
	// Defaults 0.1 and 20.
	RetryRatio   float64 `yaml:"retry_ratio"`
	RetryReserve int     `yaml:"retry_reserve"`
}

// Lookup bounds the answers to look-ups.
type Lookup struct {
	// MaxTTL is the longest time to live, in platforms where routes don't state
	// one. Default 2s.
	MaxTTL Duration `yaml:"max_ttl"`
}

// Log sets what is logged.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `yaml:"level"`
}

// Traces sets where spans go.
type Traces struct {
	// Exporter is none, stdout or otlp. Default none.
	Exporter string `yaml:"exporter"`
	// Endpoint is the URL of the OTLP collector; required with otlp.
	Endpoint string `yaml:"endpoint"`
	// SampleRatio is the fraction of new traces that is recorded, from 0 to
	// 1. Traces begun by a caller follow the caller's choice. Default 0.01.
	SampleRatio float64 `yaml:"sample_ratio"`
}

// Duration is a time span written as text such as "500ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText reads text such as "500ms".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Default returns the settings with every optional value filled in.
func Default() Settings {
	return Settings{
		Platform: Platform{
			Timeout:      Duration(2 * time.Second),
			PollInterval: Duration(500 * time.Millisecond),
		},
		Limits: Limits{
			MaxHeaderBytes:       64 << 10,
			HeaderTimeout:        Duration(5 * time.Second),
			IdleTimeout:          Duration(60 * time.Second),
			DialTimeout:          Duration(time.Second),
			MaxRetryAfter:        Duration(10 * time.Minute),
			ResponseHeaderMemory: 16 << 20,
		},
		Probe: Probe{
			Interval: Duration(500 * time.Millisecond),
			Timeout:  Duration(400 * time.Millisecond),
		},
		Leave:    Leave{MinLookupTTL: Duration(time.Second)},
		Dispatch: Dispatch{Mode: DispatchZone, ShiftCap: 0.15, ShiftWindow: Duration(2 * time.Second), RetryRatio: 0.1, RetryReserve: 20},
		Lookup:   Lookup{MaxTTL: Duration(2 * time.Second)},
		Log:      Log{Level: "info"},
		Traces:   Traces{Exporter: "none", SampleRatio: 0.01},
	}
}
