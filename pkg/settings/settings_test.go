package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const validSettings = `instance:
  id: a-1
  zone: osrednja-a
  region: osrednja
listen:
  caller: 127.0.0.1:1
  hop: 127.0.0.1:2
  peer: 127.0.0.1:3
  admin: 127.0.0.1:4
platform:
  url: http://127.0.0.1:7400
`

func TestParseFillsInDefaults(t *testing.T) {
	s, err := Parse("x.yaml", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Platform.PollInterval != Default().Platform.PollInterval || s.Limits.MaxHeaderBytes != 64<<10 {
		t.Fatalf("Parse did not fill in the defaults: %+v", s)
	}
}

func TestDrainLimitIsDerivedFromTheGraceTime(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"":                                       0,
		"leave: {grace: 10s}":                    9 * time.Second,
		"leave: {grace: 6s}":                     5400 * time.Millisecond,
		"leave: {grace: 10s, limit: 2s}":         2 * time.Second,
		"leave: {min_lookup_ttl: 3s, limit: 1s}": time.Second,
	} {
		s, err := Parse("x.yaml", []byte(validSettings+text+"\n"))
		if err != nil {
			t.Fatal(err)
		}
		if got := s.Leave.DrainLimit(); got != want {
			t.Errorf("%q: drain limit %v, want %v", text, got, want)
		}
	}
}

func TestParseRefusesWithFileLineAndKey(t *testing.T) {
	for name, c := range map[string]struct{ old, replacement, want string }{
		"unknown key":             {"  zone: osrednja-a", "  zonne: osrednja-a", "x.yaml:3: instance.zonne"},
		"negative link speed":     {"  region: osrednja", "  region: osrednja\n  link_mbps: -1", "x.yaml:5: instance.link_mbps: invalid value \"-1\""},
		"missing zone":            {"  zone: osrednja-a\n", "", "x.yaml:2: instance.zone"},
		"invalid address":         {"127.0.0.1:2", "localhost:2", "x.yaml:7: listen.hop"},
		"missing port":            {"127.0.0.1:2", "127.0.0.1", "x.yaml:7: listen.hop"},
		"address used twice":      {"127.0.0.1:2", "127.0.0.1:1", "x.yaml:7: listen.hop"},
		"invalid peer_advertised": {"platform:\n", "  peer_advertised: here\nplatform:\n", "x.yaml:10: listen.peer_advertised"},
		"invalid URL":             {"http://127.0.0.1:7400", "ftp://x", "x.yaml:11: platform.url"},
		"duration without a unit": {"platform:\n", "platform:\n  timeout: 5\n", "x.yaml:11: platform.timeout"},
		"negative duration":       {"platform:\n", "platform:\n  timeout: -5s\n", "x.yaml:11: platform.timeout"},
		"header limit too low":    {"platform:\n", "limits:\n  max_header_bytes: 1\nplatform:\n", "x.yaml:11: limits.max_header_bytes"},
		"unknown mechanism":       {"platform:\n", "dispatch:\n  mode: direct\n  without: [hedges, magic]\nplatform:\n", "x.yaml:12: dispatch.without: invalid value \"magic\""},
		"mechanism of direct":     {"platform:\n", "dispatch:\n  without: [hedges]\nplatform:\n", "x.yaml:11: dispatch.without"},
		"unknown level":           {"platform:\n", "log:\n  level: loud\nplatform:\n", "x.yaml:11: log.level"},
		"otlp without endpoint":   {"platform:\n", "traces:\n  exporter: otlp\nplatform:\n", "traces.endpoint"},
		"certificate alone":       {"platform:\n", "tls:\n  certificate: a.pem\nplatform:\n", "x.yaml:11: tls.key"},
		"not YAML":                {"instance:", "instance: [", "x.yaml:"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validSettings, c.old, c.replacement, 1)
			_, err := Parse("x.yaml", []byte(text))
			if fault.KindOf(err) != fault.KindInvalidSettings {
				t.Fatalf("err = %v, want kind invalid-settings", err)
			}
			if !strings.Contains(err.Error(), c.want) {
				t.Fatalf("err = %v, want it to contain %q", err, c.want)
			}
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/instance*.yaml")
	if err != nil || len(files) < 2 {
		t.Fatalf("example files: found %v, error %v", files, err)
	}
	for _, f := range files {
		if _, err := os.Stat(f); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(f); err != nil {
			t.Errorf("%s: %v", f, err)
		}
	}
}
