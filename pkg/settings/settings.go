// Package settings reads and validates the YAML settings of an instance. An
// unknown key, an invalid value or a missing required setting is an error that
// names the file, the line, the key and the accepted values.
package settings

import (
	"time"
)

// Settings configures one instance.
type Settings struct {
	// Instance is the id and location of the instance. Required.
	Instance Instance `yaml:"instance"`
	// Listen holds the addresses of the listeners. Required.
	Listen Listen `yaml:"listen"`
	// Platform locates the table service, the object store and the list of
	// instances.
	Platform Platform `yaml:"platform"`
	// TLS secures the protocol between instances and, with TLS.Admin, the admin
	// listener. Optional; if any of its settings is set, all of its files are
	// required.
	TLS TLS `yaml:"tls"`
	// Limits bounds the requests, connections and memory of the instance.
	Limits Limits `yaml:"limits"`
	// Probe configures the health probes of targets.
	Probe Probe `yaml:"probe"`
	// Leave configures a planned shutdown.
	Leave Leave `yaml:"leave"`
	// Dispatch sets which instances send requests to targets, and limits shifts of
	// traffic and retries.
	Dispatch Dispatch `yaml:"dispatch"`
	// Lookup bounds the time to live of lookup responses.
	Lookup Lookup `yaml:"lookup"`
	// Log sets the level of log output.
	Log Log `yaml:"log"`
	// Traces configures the export of spans.
	Traces Traces `yaml:"traces"`
}

// Instance is the identity and location of an instance.
type Instance struct {
	// ID is unique over all instances: 1 to 63 lower-case letters, digits and "-".
	// Required.
	ID string `yaml:"id"`
	// Zone is the availability zone. Required.
	Zone string `yaml:"zone"`
	// Region is the region of the zone. Required.
	Region string `yaml:"region"`
	// Zones maps each availability zone to its region, for platforms whose list of
	// instances states only zones. Optional.
	Zones []ZoneRegion `yaml:"zones"`
	// Seeds are peer addresses that are tried while no other instance is known.
	// Optional.
	Seeds []string `yaml:"seeds"`
	// LinkMbps is the speed of the instance's link in Mbit/s. Instances with fast links
	// read the platform's feeds for the others of their region. Optional.
	LinkMbps float64 `yaml:"link_mbps"`
}

// ZoneRegion maps an availability zone to its region.
type ZoneRegion struct {
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
}

// Listen holds the IP address and port of each listener.
type Listen struct {
	// Caller serves lookups and requests. Required.
	Caller string `yaml:"caller"`
	// Hop serves requests that other instances forward. Required.
	Hop string `yaml:"hop"`
	// Peer serves the protocol between instances. Required.
	Peer string `yaml:"peer"`
	// PeerAdvertised is the address at which other instances reach Peer, if a
	// proxy is in between. Default: the address of Peer.
	PeerAdvertised string `yaml:"peer_advertised"`
	// Admin serves status, metrics and explanations of decisions. Required.
	Admin string `yaml:"admin"`
	// Lookup serves only lookups and Ready only readiness, for platforms that
	// require separate addresses for them. Optional.
	Lookup string `yaml:"lookup"`
	Ready  string `yaml:"ready"`
}

// Platform locates the platform's services.
type Platform struct {
	// URL is the base URL of the platform's HTTP interface. Required.
	URL string `yaml:"url"`
	// Timeout bounds one call. Default 2s.
	Timeout Duration `yaml:"timeout"`
	// PollInterval is the time between two reads of the tables' version and of the
	// list of instances. Default 500ms.
	PollInterval Duration `yaml:"poll_interval"`
}

// TLS holds the paths of the PEM files with which instances authenticate each other.
// The files are reloaded when they change.
type TLS struct {
	// Certificate and Key are those of this instance.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Authority is the certificate of the authority that signs the certificates of
	// all instances, of the operators' command and, with an https URL, of the
	// platform.
	Authority string `yaml:"authority"`
	// Admin makes the admin listener accept only clients with a certificate that
	// the authority has signed. Default false: it serves plain HTTP.
	Admin bool `yaml:"admin"`
}

// Enabled reports whether TLS is configured, that is, any field is set.
func (t TLS) Enabled() bool { return t != TLS{} }

// Limits bounds the requests, connections and memory of an instance.
type Limits struct {
	// MaxHeaderBytes bounds the size of a request's header. Default 65536.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// HeaderTimeout bounds the time to read a request's header. Default 5s.
	HeaderTimeout Duration `yaml:"header_timeout"`
	// IdleTimeout is the time after which idle connections of callers are closed.
	// Default 60s.
	IdleTimeout Duration `yaml:"idle_timeout"`
	// DialTimeout bounds the time to open a connection. Default 1s.
	DialTimeout Duration `yaml:"dial_timeout"`
	// MaxRetryAfter bounds the backoff that a target may request. Default 10m.
	MaxRetryAfter Duration `yaml:"max_retry_after"`
	// ResponseHeaderMemory bounds, in bytes, the memory that the headers of all
	// targets' responses may take together beyond the usual size of each. Default
	// 16 MiB.
	ResponseHeaderMemory int `yaml:"answer_headers"`
	// MemoryMB is the memory, in MB, above which the environment kills the process.
	// Default 0: there is no such limit.
	MemoryMB int `yaml:"memory_mb"`
}

// Probe configures the health probes of targets.
type Probe struct {
	// Interval is the time between two probes of one target. Default 500ms.
	Interval Duration `yaml:"interval"`
	// Timeout bounds one probe. Default 400ms.
	Timeout Duration `yaml:"timeout"`
}

// Leave configures a planned shutdown.
type Leave struct {
	// MinLookupTTL is the shortest time between the removal of the instance from
	// lookup responses and the refusal of new requests. If its lookup responses have
	// a longer time to live, that applies instead. Default 1s.
	MinLookupTTL Duration `yaml:"min_lookup_ttl"`
	// Limit bounds the wait for requests in flight. Default 0: derived from Grace.
	Limit Duration `yaml:"limit"`
	// Grace is the time after which the sender of the stop signal kills the
	// process, counted from the signal. Default 0: it never does.
	Grace Duration `yaml:"grace"`
}

// graceReserveDivisor determines the part of the grace time that is reserved for the
// exit of the process after the drain: 1/graceReserveDivisor.
const graceReserveDivisor = 10

// DrainLimit returns how long after the signal the instance waits for requests in
// flight, or 0 when there is no limit.
func (l Leave) DrainLimit() time.Duration {
	if l.Limit > 0 {
		return l.Limit.Std()
	}
	return l.Grace.Std() - l.Grace.Std()/graceReserveDivisor
}

// The modes of dispatch.
const (
	// DispatchZone: only the instances of a target's zone send requests to it,
	// each within its share of the target's slots.
	DispatchZone = "zone"
	// DispatchDirect: every instance sends requests to every target. It requires
	// targets that limit their own concurrency and refuse requests beyond it.
	DispatchDirect = "direct"
)

// Dispatch sets which instances send requests to targets, and limits shifts of
// traffic and retries.
type Dispatch struct {
	// Mode is zone or direct. Default zone.
	Mode string `yaml:"mode"`
	// ShiftCap is the largest change of a region's share of an instance's requests
	// within ShiftWindow. Only used in mode direct. Defaults 0.15 and 2s.
	ShiftCap    float64  `yaml:"shift_cap"`
	ShiftWindow Duration `yaml:"shift_window"`
	// RetryRatio is the largest number of additional attempts per request, over all
	// instances. RetryReserve is the number of attempts permitted beyond it. Only
	// used in mode direct. Defaults 0.1 and 20.
	RetryRatio   float64 `yaml:"retry_ratio"`
	RetryReserve int     `yaml:"retry_reserve"`
	// Without lists the mechanisms of mode direct that are switched off, by their
	// names in package mechanism. Default none.
	Without []string `yaml:"without"`
}

// Lookup bounds the time to live of lookup responses.
type Lookup struct {
	// MaxTTL is the longest time to live of a lookup response on platforms whose
	// routes do not state one. Default 2s.
	MaxTTL Duration `yaml:"max_ttl"`
}

// Log sets the level of log output.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `yaml:"level"`
}

// Traces configures the export of spans.
type Traces struct {
	// Exporter is none, stdout or otlp. Default none.
	Exporter string `yaml:"exporter"`
	// Endpoint is the URL of the OTLP collector. Required with otlp.
	Endpoint string `yaml:"endpoint"`
	// SampleRatio is the fraction of new traces that is recorded, from 0 to 1.
	// For a trace that a caller started, the caller's sampling decision applies.
	// Default 0.01.
	SampleRatio float64 `yaml:"sample_ratio"`
}

// Duration is a time.Duration that settings files state as text, such as "500ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Default returns settings with every optional value at its default. Required
// values are empty.
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
