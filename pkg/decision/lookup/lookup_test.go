package lookup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 7413, 300) }

func drawInstances(t *rapid.T) []Instance {
	n := rapid.IntRange(0, 40).Draw(t, "instances")
	ins := make([]Instance, n)
	for i := range ins {
		region := rapid.IntRange(0, 2).Draw(t, "region")
		ins[i] = Instance{
			ID:          fmt.Sprint("i", i),
			Region:      fmt.Sprint("r", region),
			Zone:        fmt.Sprint("r", region, "-", rapid.IntRange(0, 1).Draw(t, "zone")),
			Leaving:     rapid.Bool().Draw(t, "leaving"),
			Unreachable: rapid.Bool().Draw(t, "silent"),
		}
	}
	return ins
}

func TestAnswerIsOrderedAndOmitsUnusableInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ins := drawInstances(t)
		byID := make(map[string]Instance)
		usable := 0
		for _, in := range ins {
			byID[in.ID] = in
			if !in.Leaving && !in.Unreachable {
				usable++
			}
		}
		caller := Location{Zone: "r0-0", Region: "r0"}
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		response := BuildResponse(3, &table.Route{Name: "feedlog"}, Select(Query{Caller: caller, Instances: ins, Complete: true}), ScopeOwnRegion, rnd)
		if usable > 0 && len(response.Instances) == 0 {
			t.Fatalf("empty response with %d usable instances", usable)
		}
		lastOrder, seen := 0, make(map[string]int)
		for _, li := range response.Instances {
			in := byID[li.ID]
			want := orderOf(caller, in)
			if in.Leaving || in.Unreachable || li.Order != want || li.Order < lastOrder {
				t.Fatalf("unexpected instance %+v in the response, for %+v", li, in)
			}
			lastOrder = li.Order
			seen[li.ID]++
		}
		for id, n := range seen {
			if n > 1 {
				t.Fatalf("%s is in the response %d times", id, n)
			}
		}
	})
}

func TestTTLNeverExceedsRouteTTL(t *testing.T) {
	r := &table.Route{LookupTTL: table.Duration(10 * time.Second)}
	if got := TTL(r, 0); got != 7*time.Second {
		t.Errorf("shortest TTL = %v, want 7s", got)
	}
	if got := TTL(r, 0.999999); got > 10*time.Second || got < 9900*time.Millisecond {
		t.Errorf("longest TTL = %v, want just below 10s", got)
	}
	if got := TTL(&table.Route{}, 1); got != table.DefaultLookupTTL {
		t.Errorf("default TTL = %v", got)
	}
}

func TestResponsesWithoutOwnRegionExpireSoon(t *testing.T) {
	for scope, want := range map[Scope]time.Duration{
		ScopeOwnRegion: 2 * time.Second, ScopeAllowedRegions: FallbackTTL, ScopeOtherRegions: FallbackTTL, ScopeNone: FallbackTTL,
	} {
		if got := LimitTTL(2*time.Second, scope); got != want {
			t.Errorf("%s: %v, want %v", scope, got, want)
		}
	}
	if got := LimitTTL(FallbackTTL/2, ScopeOtherRegions); got != FallbackTTL/2 {
		t.Errorf("a shorter time to live becomes %v", got)
	}
}

// TestEqualInstancesAreListedFirstEquallyOften checks that each of several instances
// of the same order is first in about as many responses, within 20%.
func TestEqualInstancesAreListedFirstEquallyOften(t *testing.T) {
	ins := make([]Instance, 8)
	for i := range ins {
		ins[i] = Instance{ID: fmt.Sprint("i", i), Zone: "z", Region: "r"}
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	first := make(map[string]int)
	candidates := Select(Query{Caller: Location{"z", "r"}, Instances: ins, Complete: true})
	const responses = 8000
	for range responses {
		first[BuildResponse(1, &table.Route{}, candidates, ScopeOwnRegion, rnd).Instances[0].ID]++
	}
	for id, n := range first {
		if n < responses/8*8/10 || n > responses/8*12/10 {
			t.Errorf("%s is first in %d of %d responses", id, n, responses)
		}
	}
}
