package capacity

import (
	"math"
	"reflect"
	"strings"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const sizeText = `
name: small
daemons: 10
zones: 2
blocks: 1000
blocks_v6: 400
lookups_per_second: 5000000
budget:
  core_fraction: 0.016
  memory_bytes: 9000
`

const slopesText = `
slopes:
  - name: block_lookup_ns
    unit: ns
    measured: true
    slope: 200
    low: 150
    high: 300
    runs: 3
  - name: block_v4_bytes
    unit: B
    measured: true
    intercept: 100
    slope: 8
    low: 8
    high: 8
  - name: block_v6_bytes
    unit: B
    measured: true
    intercept: 100
    slope: 12
    low: 12
    high: 12
  - name: http_lookup_ns
    unit: ns
    measured: false
    slope: 9
`

// row returns the row of the small size whose need contains what.
func row(t *testing.T, what string) Row {
	t.Helper()
	size, err := ParseSize("size.yaml", []byte(sizeText))
	if err != nil {
		t.Fatal(err)
	}
	slopes, err := ParseSlopes("slopes.yaml", []byte(slopesText))
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range Compute(size, slopes) {
		if strings.Contains(r.Need, what) {
			return r
		}
	}
	t.Fatalf("no row with the need %q", what)
	return Row{}
}

func TestValueMatchesShownArithmetic(t *testing.T) {
	r := row(t, "matching client blocks")
	if math.Abs(r.Value-0.1) > 1e-9 || math.Abs(r.Low-0.075) > 1e-9 || math.Abs(r.High-0.15) > 1e-9 {
		t.Fatalf("row = %+v", r)
	}
	if r.Arithmetic != "(200 × 5e+05 lookups_per_daemon) × 1e-09" || !r.OverBudget() || math.Abs(r.Margin-0.16) > 1e-9 {
		t.Fatalf("row = %+v", r)
	}
	m := row(t, "memory, client blocks")
	if m.Value != 100+8*600+12*400 || m.OverBudget() != (m.Value > 9000) {
		t.Fatalf("row = %+v", m)
	}
}

func TestMissingInputsYieldNoValue(t *testing.T) {
	for what, missing := range map[string]string{
		"HTTP look-ups":    "http_lookup_ns is not measured",
		"accepted edits":   "changes_per_second is not stated",
		"reads, watchers":  "watcher_loads_per_second is not stated",
		"sites":            "sites is not stated",
		"decisions":        "decide_ns is not measured",
		"churn":            "churn_per_second is not stated",
		"with the tables":  "targets is not stated",
		"bytes of one ver": "tables_bytes is not measured",
	} {
		r := row(t, what)
		if r.Known || r.Value != 0 || r.Arithmetic != "" || !strings.Contains(strings.Join(r.Missing, ";"), missing) {
			t.Errorf("%s: %+v", what, r)
		}
	}
}

func TestSlopesRoundTrip(t *testing.T) {
	s, err := ParseSlopes("f", []byte(slopesText))
	if err != nil {
		t.Fatal(err)
	}
	// The YAML form of very large and very small numbers must be readable.
	s["tables_bytes"] = Slope{Name: "tables_bytes", Unit: "B", Measured: true, Slope: 1e-9, Low: 1e6, High: 2.5e21, Points: []Point{{1e6, 1e7}}}
	data, err := s.Format()
	if err != nil {
		t.Fatal(err)
	}
	again, err := ParseSlopes("f", data)
	if err != nil || !reflect.DeepEqual(again, s) {
		t.Fatalf("%v\n%s", err, data)
	}
}

func TestInvalidFilesAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"unknown key": "name: x\ndeamons: 3\n",
		"negative":    "name: x\ndaemons: -3\n",
		"text":        "name: x\ndaemons: many\n",
	} {
		if _, err := ParseSize("f", []byte(text)); fault.KindOf(err) != fault.KindInvalidSettings {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := ParseSlopes("f", []byte(slopesText+slopesText[8:])); fault.KindOf(err) != fault.KindInvalidSettings {
		t.Errorf("duplicate slope: %v", err)
	}
}

func TestFit(t *testing.T) {
	l := Fit([]Point{{1, 5}, {2, 7}, {4, 11}})
	if math.Abs(l.Slope-2) > 1e-9 || math.Abs(l.Intercept-3) > 1e-9 {
		t.Fatalf("line = %+v", l)
	}
}
