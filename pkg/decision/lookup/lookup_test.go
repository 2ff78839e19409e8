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

func TestAnswerIsOrderedAndLeavesOutLeavingAndSilentInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ins := drawInstances(t)
		byID := make(map[string]Instance)
		live := 0
		for _, in := range ins {
			byID[in.ID] = in
			if !in.Leaving && !in.Unreachable {
				live++
			}
		}
		at := Location{Zone: "r0-0", Region: "r0"}
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		a := BuildAnswer(3, &table.Route{Name: "feedlog"}, at, ins, rnd)
		if live > 0 && len(a.Instances) == 0 {
			t.Fatalf("%d live instances and an empty answer", live)
		}
		last, seen := 0, make(map[string]int)
		for _, li := range a.Instances {
			in := byID[li.ID]
			want := orderOf(at, in)
			if in.Leaving || in.Unreachable || li.Order != want || li.Order < last {
				t.Fatalf("instance %+v of %+v", li, in)
			}
			last = li.Order
			seen[li.ID]++
		}
		for id, n := range seen {
			if n > 1 {
				t.Fatalf("%s is named %d times", id, n)
			}
		}
	})
}

func TestTTLIsSpreadBelowTheRoutes(t *testing.T) {
	r := &table.Route{LookupTTL: table.Duration(10 * time.Second)}
	if got := TTL(r, 0); got != 7*time.Second {
		t.Errorf("shortest %v", got)
	}
	if got := TTL(r, 0.999999); got > 10*time.Second || got < 9900*time.Millisecond {
		t.Errorf("longest %v", got)
	}
	if got := TTL(&table.Route{}, 1); got != table.DefaultLookupTTL {
		t.Errorf("default %v", got)
	}
}

// TestEqualInstancesAreNamedEquallyOften checks the first place of answers.
func TestEqualInstancesAreNamedEquallyOften(t *testing.T) {
	ins := make([]Instance, 8)
	for i := range ins {
		ins[i] = Instance{ID: fmt.Sprint("i", i), Zone: "z", Region: "r"}
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	first := make(map[string]int)
	const answers = 8000
	for range answers {
		first[BuildAnswer(1, &table.Route{}, Location{"z", "r"}, ins, rnd).Instances[0].ID]++
	}
	for id, n := range first {
		if n < answers/8*8/10 || n > answers/8*12/10 {
			t.Errorf("%s is first in %d of %d answers", id, n, answers)
		}
	}
}
