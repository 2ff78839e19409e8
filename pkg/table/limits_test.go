package table

import (
	"math"
	"testing"
)

// TestValuesWithoutEndAreRefused guards against rows with values at the ends of their types:
// sums over rows overflow.
func TestValuesWithoutEndAreRefused(t *testing.T) {
	for name, edit := range map[string]func(*Tables){
		"slots":       func(tb *Tables) { tb.Pools[0].Targets[0].Slots = math.MaxInt },
		"connections": func(tb *Tables) { tb.Pools[0].Targets[0].Connections = math.MaxInt },
		"scope":       func(tb *Tables) { tb.Pools[0].Targets[0].Address = "[fe80::1%eth0]:80" },
		"multicast":   func(tb *Tables) { tb.Pools[0].Targets[0].Address = "224.0.0.1:80" },
		"broadcast":   func(tb *Tables) { tb.Pools[0].Targets[0].Address = "255.255.255.255:80" },
		"cold rate":   func(tb *Tables) { tb.Pools[0].ColdRate = math.Inf(1) },
		"no number":   func(tb *Tables) { tb.Pools[0].ColdRate = math.NaN() },
		"timeout":     func(tb *Tables) { tb.Routes[0].Timeout, tb.Routes[0].TargetLatency = math.MaxInt64, 1 },
		"queue":       func(tb *Tables) { tb.Routes[0].QueueTimeout = math.MaxInt64 },
	} {
		p, err := Parse(&Source{"r", []byte(validRoutes)}, &Source{"p", []byte(validPools)}, &Tables{})
		if err != nil {
			t.Fatal(err)
		}
		edit(p.Tables)
		if got := p.Tables.Problems(); len(got) == 0 {
			t.Errorf("%s: no problem", name)
		}
	}
}
