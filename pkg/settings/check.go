package settings

import (
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"github.com/jacinthramp/jacinthramp/pkg/decision/mechanism"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// invalidSetting is a setting with an invalid or missing value.
type invalidSetting struct {
	key      string
	value    string // empty if a required value is missing
	accepted string // describes the valid values
}

// error returns p as an error of kind fault.KindInvalidSettings that names the file
// and the line.
func (p *invalidSetting) error(file string, line int) error {
	if p.value == "" {
		return fault.New(fault.KindInvalidSettings, "%s:%d: %s: required value is missing; accepted: %s", file, line, p.key, p.accepted)
	}
	return fault.New(fault.KindInvalidSettings, "%s:%d: %s: invalid value %q; accepted: %s", file, line, p.key, p.value, p.accepted)
}

const (
	acceptedName        = "1 to 63 lower-case letters, digits and \"-\""
	acceptedAddress     = "an IP address and a port, such as 127.0.0.1:7411"
	acceptedURL         = "an http or https URL, such as http://127.0.0.1:7400"
	acceptedDuration    = "a duration above zero with a unit, such as 500ms"
	acceptedHeaderBytes = "4096 to 1048576 bytes"
)

const (
	minHeaderBytes = 4 << 10
	maxHeaderBytes = 1 << 20
	// minResponseHeaderMemory is enough memory for a few response headers of the
	// largest size at the same time.
	minResponseHeaderMemory = 1 << 20
	maxLinkMbps             = 1e6
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// check returns the first invalid setting, or nil.
func check(s *Settings) *invalidSetting {
	for _, c := range []func(*Settings) *invalidSetting{checkNames, checkAddresses, checkPlatform, checkTLS, checkDispatchAndLeave, checkDurations, checkLimits, checkTelemetry} {
		if p := c(s); p != nil {
			return p
		}
	}
	return nil
}

func checkNames(s *Settings) *invalidSetting {
	for _, f := range []struct{ key, value string }{
		{"instance.id", s.Instance.ID},
		{"instance.zone", s.Instance.Zone},
		{"instance.region", s.Instance.Region},
	} {
		if !namePattern.MatchString(f.value) {
			return &invalidSetting{f.key, f.value, acceptedName}
		}
	}
	if mbps := s.Instance.LinkMbps; !(mbps >= 0 && mbps <= maxLinkMbps) {
		return &invalidSetting{"instance.link_mbps", strconv.FormatFloat(mbps, 'g', -1, 64), "0 to 1000000 Mbit/s"}
	}
	return nil
}

// optionalAddresses contains the keys of the addresses that may be empty.
var optionalAddresses = map[string]bool{"listen.lookup": true, "listen.ready": true, "listen.peer_advertised": true}

func checkAddresses(s *Settings) *invalidSetting {
	seen := make(map[netip.AddrPort]string)
	for _, f := range []struct{ key, value string }{
		{"listen.caller", s.Listen.Caller},
		{"listen.hop", s.Listen.Hop},
		{"listen.peer", s.Listen.Peer},
		{"listen.admin", s.Listen.Admin},
		{"listen.lookup", s.Listen.Lookup},
		{"listen.ready", s.Listen.Ready},
		{"listen.peer_advertised", s.Listen.PeerAdvertised},
	} {
		if f.value == "" && optionalAddresses[f.key] {
			continue
		}
		a, err := netip.ParseAddrPort(f.value)
		if err != nil {
			return &invalidSetting{f.key, f.value, acceptedAddress}
		}
		if other, ok := seen[a]; ok && a.Port() != 0 {
			return &invalidSetting{f.key, f.value, "an address that " + other + " does not use"}
		}
		seen[a] = f.key
	}
	return nil
}

func checkPlatform(s *Settings) *invalidSetting {
	if !isURL(s.Platform.URL) {
		return &invalidSetting{"platform.url", s.Platform.URL, acceptedURL}
	}
	return nil
}

func checkTLS(s *Settings) *invalidSetting {
	for _, f := range []struct{ key, value string }{
		{"tls.certificate", s.TLS.Certificate},
		{"tls.key", s.TLS.Key},
		{"tls.authority", s.TLS.Authority},
	} {
		if s.TLS.Enabled() && f.value == "" {
			return &invalidSetting{f.key, "", "the path of a PEM file; certificate, key and authority are required together"}
		}
	}
	return nil
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

func checkDurations(s *Settings) *invalidSetting {
	for _, f := range []struct {
		key   string
		value Duration
	}{
		{"platform.timeout", s.Platform.Timeout},
		{"platform.poll_interval", s.Platform.PollInterval},
		{"limits.header_timeout", s.Limits.HeaderTimeout},
		{"limits.idle_timeout", s.Limits.IdleTimeout},
		{"limits.dial_timeout", s.Limits.DialTimeout},
		{"limits.max_retry_after", s.Limits.MaxRetryAfter},
		{"probe.interval", s.Probe.Interval},
		{"probe.timeout", s.Probe.Timeout},
		{"leave.min_lookup_ttl", s.Leave.MinLookupTTL},
		{"dispatch.shift_window", s.Dispatch.ShiftWindow},
		{"lookup.max_ttl", s.Lookup.MaxTTL},
	} {
		if f.value <= 0 {
			return &invalidSetting{f.key, f.value.Std().String(), acceptedDuration}
		}
	}
	return nil
}

func checkLimits(s *Settings) *invalidSetting {
	if n := s.Limits.MaxHeaderBytes; n < minHeaderBytes || n > maxHeaderBytes {
		return &invalidSetting{"limits.max_header_bytes", strconv.Itoa(n), acceptedHeaderBytes}
	}
	if n := s.Limits.MemoryMB; n < 0 {
		return &invalidSetting{"limits.memory_mb", strconv.Itoa(n), "a number of MB, 0 or more"}
	}
	if n := s.Limits.ResponseHeaderMemory; n < minResponseHeaderMemory {
		return &invalidSetting{"limits.answer_headers", strconv.Itoa(n), "1048576 bytes or more"}
	}
	return nil
}

func checkTelemetry(s *Settings) *invalidSetting {
	if !isOneOf(s.Log.Level, "debug", "info", "warn", "error") {
		return &invalidSetting{"log.level", s.Log.Level, "debug, info, warn, error"}
	}
	if !isOneOf(s.Traces.Exporter, "none", "stdout", "otlp") {
		return &invalidSetting{"traces.exporter", s.Traces.Exporter, "none, stdout, otlp"}
	}
	if s.Traces.Exporter == "otlp" && !isURL(s.Traces.Endpoint) {
		return &invalidSetting{"traces.endpoint", s.Traces.Endpoint, acceptedURL}
	}
	if r := s.Traces.SampleRatio; !(r >= 0 && r <= 1) {
		return &invalidSetting{"traces.sample_ratio", "out of range", "a fraction from 0 to 1"}
	}
	return nil
}

func isOneOf(v string, accepted ...string) bool {
	for _, a := range accepted {
		if v == a {
			return true
		}
	}
	return false
}

func checkDispatchAndLeave(s *Settings) *invalidSetting {
	d := s.Dispatch
	switch {
	case !isOneOf(d.Mode, DispatchZone, DispatchDirect):
		return &invalidSetting{"dispatch.mode", d.Mode, DispatchZone + ", " + DispatchDirect}
	case !(d.ShiftCap > 0 && d.ShiftCap <= 1):
		return &invalidSetting{"dispatch.shift_cap", strconv.FormatFloat(d.ShiftCap, 'g', -1, 64), "a fraction above 0 and up to 1"}
	case !(d.RetryRatio >= 0 && d.RetryRatio <= 1):
		return &invalidSetting{"dispatch.retry_ratio", strconv.FormatFloat(d.RetryRatio, 'g', -1, 64), "a fraction from 0 to 1"}
	case d.RetryReserve < 0:
		return &invalidSetting{"dispatch.retry_reserve", strconv.Itoa(d.RetryReserve), "a number, 0 or more"}
	case len(d.Without) > 0 && d.Mode != DispatchDirect:
		return &invalidSetting{"dispatch.without", strings.Join(d.Without, ", "), "no entry unless dispatch.mode is " + DispatchDirect}
	case s.Leave.Limit < 0:
		return &invalidSetting{"leave.limit", s.Leave.Limit.Std().String(), "a duration of 0 or more with a unit, such as 5s"}
	case s.Leave.Grace < 0:
		return &invalidSetting{"leave.grace", s.Leave.Grace.Std().String(), "a duration of 0 or more with a unit, such as 10s"}
	}
	if _, unknown, ok := mechanism.ParseSet(d.Without); !ok {
		return &invalidSetting{"dispatch.without", unknown, strings.Join(mechanism.Names(), ", ")}
	}
	return nil
}
