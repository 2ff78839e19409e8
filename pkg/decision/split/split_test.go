package split

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 17, 100) }

// points returns the points of n objects.
func points(seed uint64, n int) []float64 {
	rnd := rand.New(rand.NewPCG(seed, 1))
	out := make([]float64, n)
	for i := range out {
		out[i] = rnd.Float64()
	}
	return out
}

// byObject picks by the point alone, the plain baseline.
func byObject(parts []Backend, point float64) string {
	total, from := 0, 0.0
	for _, p := range parts {
		total += p.Weight
	}
	for _, p := range parts {
		if from += float64(p.Weight) / float64(total); point < from {
			return p.Name
		}
	}
	return parts[len(parts)-1].Name
}

// outcome is what a fleet has made of its requests: the largest difference of a
// part's share from its weight, and how many parts an object has been at on average.
type outcome struct {
	off     float64
	perItem float64
}

// divide sends requests about objects through a fleet of instances.
func divide(parts []Backend, pick func(instance int, point float64) string, instances, objects, requests int, seed uint64) outcome {
	rnd := rand.New(rand.NewPCG(seed, 2))
	at := points(seed, objects)
	got, seen := make(map[string]int), make(map[int]map[string]bool)
	for range requests {
		o := int(float64(objects) * math.Pow(rnd.Float64(), 1.2)) // some objects come more often
		name := pick(rnd.IntN(instances), at[o])
		got[name]++
		if seen[o] == nil {
			seen[o] = make(map[string]bool)
		}
		seen[o][name] = true
	}
	total, out := 0, outcome{}
	for _, p := range parts {
		total += p.Weight
	}
	for _, p := range parts {
		out.off = max(out.off, math.Abs(float64(got[p.Name])/float64(requests)-float64(p.Weight)/float64(total)))
	}
	for _, names := range seen {
		out.perItem += float64(len(names)) / float64(len(seen))
	}
	return out
}

// tolerance is how far the share of a part may lie from its weight in a steady load
// of some hundred requests.
const tolerance = 0.1

// TestSharesFollowTheWeights with few or many instances, few objects and any weights,
// over 300 requests of each instance.
func TestSharesFollowTheWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parts []Backend
		for _, name := range []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "parts")] {
			parts = append(parts, Backend{Name: name, Weight: rapid.IntRange(1, 100).Draw(t, "weight")})
		}
		instances, objects := rapid.IntRange(1, 30).Draw(t, "instances"), rapid.IntRange(20, 500).Draw(t, "objects")
		fleet := make([]Splitter, instances)
		got := divide(parts, func(i int, p float64) string { return fleet[i].Pick(parts, p) }, instances, objects, 300*instances, rapid.Uint64().Draw(t, "seed"))
		if got.off > tolerance {
			t.Fatalf("weights %v, %d instances, %d objects: a share is %.3f off", parts, instances, objects, got.off)
		}
	})
}

// TestObjectsKeepTheirPart compares dividing with drawing by object alone, which
// misses the weights with few objects, and in turns, which takes each object to all.
func TestObjectsKeepTheirPart(t *testing.T) {
	parts := []Backend{{"old", 70}, {"new", 30}}
	const instances, objects, requests, seeds = 12, 72, 2400, 20
	var ours, plain, turns outcome
	for seed := range uint64(seeds) {
		fleet, n := make([]Splitter, instances), 0
		add := func(sum *outcome, pick func(int, float64) string) {
			got := divide(parts, pick, instances, objects, requests, seed)
			sum.off = max(sum.off, got.off)
			sum.perItem += got.perItem / seeds
		}
		add(&ours, func(i int, p float64) string { return fleet[i].Pick(parts, p) })
		add(&plain, func(_ int, p float64) string { return byObject(parts, p) })
		add(&turns, func(int, float64) string {
			n++
			return byObject(parts, math.Mod(float64(n)*0.618033988749895, 1))
		})
	}
	t.Logf("largest error of a share, parts an object: %.3f, %.2f; by object %.3f, %.2f; in turns %.3f, %.2f",
		ours.off, ours.perItem, plain.off, plain.perItem, turns.off, turns.perItem)
	if ours.off > tolerance || ours.perItem > 1.4 {
		t.Errorf("a share is %.3f off, an object is at %.2f parts", ours.off, ours.perItem)
	}
	if plain.off < tolerance || turns.perItem < 1.8 {
		t.Errorf("the baselines are no worse: %.3f off, %.2f parts", plain.off, turns.perItem)
	}
}

func TestChangeOfWeightsMovesOnlyWhatItHasTo(t *testing.T) {
	before, after := []Backend{{"old", 90}, {"new", 10}}, []Backend{{"old", 70}, {"new", 30}}
	var d Splitter
	at := points(3, 1000)
	was := make([]string, len(at))
	for i, p := range at {
		was[i] = d.Pick(before, p)
	}
	moved, back := 0, 0
	for i, p := range at {
		if now := d.Pick(after, p); now != was[i] {
			moved++
			if now == "old" {
				back++
			}
		}
	}
	if moved < 150 || moved > 260 || back > 20 {
		t.Errorf("%d of 1000 objects moved, %d of them back, for 200 that have to", moved, back)
	}
}

func TestPartsWithoutWeightGetNothing(t *testing.T) {
	var d Splitter
	for range 100 {
		if got := d.Pick([]Backend{{"a", 0}, {"b", 3}}, 0); got != "b" {
			t.Fatalf("picked %q", got)
		}
	}
	if got := d.Pick([]Backend{{"a", 0}}, 0.5); got != "" {
		t.Errorf("picked %q", got)
	}
}
