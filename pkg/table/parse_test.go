package table

import (
	"errors"
	"strings"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const validRoutes = `
version: 3
routes:
  - name: feedlog
    path_prefix: /feedlog
    timeout: 2s
    pools:
      - pool: feedlog-osrednja
        weight: 100
`

const validPools = `
version: 3
regions:
  - name: osrednja
pools:
  - name: feedlog-osrednja
    region: osrednja
    shift_cap: 0.2
    targets:
      - name: f1
        address: 127.0.0.1:7501
        zone: osrednja-a
        slots: 4
`

// parseProblems parses and validates two files and returns the problems.
func parseProblems(t *testing.T, routes, pools string) []Problem {
	t.Helper()
	p, err := Parse(&Source{"routes.yaml", []byte(routes)}, &Source{"pools.yaml", []byte(pools)}, &Tables{})
	if err == nil {
		err = p.Validate()
	}
	if err == nil {
		return nil
	}
	var inv *InvalidError
	if !errors.As(err, &inv) || fault.KindOf(err) != fault.KindInvalidTable {
		t.Fatalf("err = %v", err)
	}
	return inv.Problems
}

func TestValidFilesAreParsed(t *testing.T) {
	if ps := parseProblems(t, validRoutes, validPools); ps != nil {
		t.Fatal(ps)
	}
	p, _ := Parse(&Source{"r", []byte(validRoutes)}, &Source{"p", []byte(validPools)}, &Tables{})
	full := p.Tables.WithDefaults()
	if full.Version != 3 || full.Regions[0].Limit != 4 || full.Routes[0].MaxBodyBytes != DefaultMaxBodyBytes {
		t.Fatalf("tables = %+v", full)
	}
}

func TestProblemsNameFileLineAndAcceptedValues(t *testing.T) {
	for name, c := range map[string]struct {
		routes, pools string // "old => new" replacements
		want          []string
	}{
		"unknown key":      {routes: "timeout: => timeouts:", want: []string{"routes.yaml:6", "routes[0].timeouts", "queue_timeout"}},
		"wrong type":       {pools: "slots: 4 => slots: four", want: []string{"pools.yaml:13", "slots", "whole number"}},
		"bad duration":     {routes: "2s => fast", want: []string{"routes.yaml:6", "timeout", "500ms"}},
		"explicit zero":    {pools: "0.2 => 0", want: []string{"pools.yaml:8", "shift_cap", "default"}},
		"duplicate key":    {pools: "slots: 4 => slots: 4\n        slots: 5", want: []string{"pools.yaml:", "slots"}},
		"not a mapping":    {routes: validRoutes + " => - a", want: []string{"routes.yaml:1", "version, routes"}},
		"empty":            {routes: validRoutes + " => ", want: []string{"routes.yaml:1", "empty"}},
		"no value":         {pools: "slots: 4 => slots:", want: []string{"slots", "no value"}},
		"undefined pool":   {routes: "pool: feedlog-osrednja => pool: elsewhere", want: []string{"routes.yaml:8", "route feedlog", "pools[0].pool", "elsewhere"}},
		"undefined region": {pools: "region: osrednja => region: gogledd", want: []string{"pools.yaml:7", "pool feedlog-osrednja", "region", "gogledd"}},
		"sum of weights":   {routes: "weight: 100 => weight: 0", want: []string{"routes.yaml:8", "route feedlog", "pools", "sum of the weights is not positive"}},
		"host name":        {pools: "127.0.0.1:7501 => target:7501", want: []string{"pools.yaml:11", "targets[0].address", "IP address"}},
		"no slots":         {pools: "slots: 4 => slots: -1", want: []string{"pools.yaml:13", "targets[0].slots", "at least 1"}},
		"cap above one":    {pools: "0.2 => 1.5", want: []string{"pools.yaml:8", "shift_cap", "up to 1"}},
		"versions differ":  {pools: "version: 3 => version: 4", want: []string{"pools.yaml:2", "version", "same"}},
		"unknown value":    {routes: "timeout: 2s => idempotency: maybe", want: []string{"routes.yaml:6", "idempotency", "by-method"}},
	} {
		t.Run(name, func(t *testing.T) {
			ps := parseProblems(t, replaceOnce(validRoutes, c.routes), replaceOnce(validPools, c.pools))
			if len(ps) != 1 {
				t.Fatalf("problems = %v", ps)
			}
			for _, w := range c.want {
				if !strings.Contains(ps[0].String(), w) {
					t.Errorf("%q lacks %q", ps[0], w)
				}
			}
		})
	}
}

// replaceOnce replaces the first occurrence of old in s by new, for the rule
// "old => new". It returns s unchanged for an empty rule.
func replaceOnce(s, rule string) string {
	if old, new, ok := strings.Cut(rule, " => "); ok {
		return strings.Replace(s, old, new, 1)
	}
	return s
}

func TestEveryProblemIsReported(t *testing.T) {
	pools := replaceOnce(replaceOnce(validPools, "slots: 4 => slots: -1"), "0.2 => 1.5")
	ps := parseProblems(t, replaceOnce(validRoutes, "weight: 100 => weight: 0"), pools)
	if len(ps) != 3 {
		t.Fatalf("problems = %v", ps)
	}
}

func TestDuplicatesAreRejected(t *testing.T) {
	p, err := Parse(&Source{"r", []byte(validRoutes)}, &Source{"p", []byte(validPools)}, &Tables{})
	if err != nil {
		t.Fatal(err)
	}
	tb := p.Tables
	tb.Routes = append(tb.Routes, tb.Routes[0])
	tb.Pools = append(tb.Pools, tb.Pools[0])
	tb.Regions = append(tb.Regions, tb.Regions[0])
	var got []string
	for _, pr := range tb.Problems() {
		got = append(got, pr.Row+" "+pr.Field)
	}
	want := "region osrednja name|pool feedlog-osrednja name|pool feedlog-osrednja targets[0].name|" +
		"pool feedlog-osrednja targets[0].address|route feedlog name|route feedlog path_prefix"
	if strings.Join(got, "|") != want {
		t.Fatalf("got %s", strings.Join(got, "|"))
	}
}

func TestParsingOneFileKeepsTheOtherTable(t *testing.T) {
	both, err := Parse(&Source{"r", []byte(validRoutes)}, &Source{"p", []byte(validPools)}, &Tables{})
	if err != nil {
		t.Fatal(err)
	}
	pools := strings.Replace(validPools, "slots: 4", "slots: 7", 1)
	one, err := Parse(nil, &Source{"p", []byte(pools)}, both.Tables)
	if err != nil {
		t.Fatal(err)
	}
	cs := Diff(both.Tables, one.Tables)
	if len(cs) != 2 || cs[1].String() != "pool feedlog-osrednja target f1: slots changed from 4 to 7" {
		t.Fatalf("changes = %v", cs)
	}
}
