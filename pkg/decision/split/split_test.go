package split

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 17, 100) }

// randomPoints returns random positions for n objects.
func randomPoints(seed uint64, n int) []float64 {
	rnd := rand.New(rand.NewPCG(seed, 1))
	out := make([]float64, n)
	for i := range out {
		out[i] = rnd.Float64()
	}
	return out
}

// pickByPoint is the baseline: it picks the owner of the point and ignores surpluses.
func pickByPoint(backends []Backend, point float64) string {
	total, upper := 0, 0.0
	for _, b := range backends {
		total += b.Weight
	}
	for _, b := range backends {
		if upper += float64(b.Weight) / float64(total); point < upper {
			return b.Name
		}
	}
	return backends[len(backends)-1].Name
}

// distribution is the result of a simulation: the largest difference between a
// backend's share of the requests and its weight, and the mean number of backends that
// have received an object.
type distribution struct {
	maxShareError     float64
	backendsPerObject float64
}

// simulate sends requests for random objects through several instances.
func simulate(backends []Backend, pick func(instance int, point float64) string, instances, objects, requests int, seed uint64) distribution {
	rnd := rand.New(rand.NewPCG(seed, 2))
	points := randomPoints(seed, objects)
	received, seen := make(map[string]int), make(map[int]map[string]bool)
	for range requests {
		object := int(float64(objects) * math.Pow(rnd.Float64(), 1.2)) // some objects are requested more often than others
		name := pick(rnd.IntN(instances), points[object])
		received[name]++
		if seen[object] == nil {
			seen[object] = make(map[string]bool)
		}
		seen[object][name] = true
	}
	total, out := 0, distribution{}
	for _, b := range backends {
		total += b.Weight
	}
	for _, b := range backends {
		out.maxShareError = max(out.maxShareError, math.Abs(float64(received[b.Name])/float64(requests)-float64(b.Weight)/float64(total)))
	}
	for _, names := range seen {
		out.backendsPerObject += float64(len(names)) / float64(len(seen))
	}
	return out
}

// tolerance is the allowed difference between a backend's share and its weight under a
// steady load of a few hundred requests.
const tolerance = 0.1

// TestSharesMatchWeights checks shares for any weights, with 1 to 30 instances of 300
// requests each and as few as 20 objects.
func TestSharesMatchWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var backends []Backend
		for _, name := range []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "parts")] {
			backends = append(backends, Backend{Name: name, Weight: rapid.IntRange(1, 100).Draw(t, "weight")})
		}
		instances, objects := rapid.IntRange(1, 30).Draw(t, "instances"), rapid.IntRange(20, 500).Draw(t, "objects")
		splitters := make([]Splitter, instances)
		got := simulate(backends, func(i int, p float64) string { return splitters[i].Pick(backends, p) }, instances, objects, 300*instances, rapid.Uint64().Draw(t, "seed"))
		if got.maxShareError > tolerance {
			t.Fatalf("weights %v, %d instances, %d objects: largest error of a share is %.3f", backends, instances, objects, got.maxShareError)
		}
	})
}

// TestObjectsStayOnTheirBackend compares Splitter with two baselines: choosing by
// object alone, which misses the weights when there are few objects, and round-robin,
// which sends each object to every backend.
func TestObjectsStayOnTheirBackend(t *testing.T) {
	backends := []Backend{{"old", 70}, {"new", 30}}
	const instances, objects, requests, seeds = 12, 72, 2400, 20
	var splitter, byPoint, roundRobin distribution
	for seed := range uint64(seeds) {
		splitters, n := make([]Splitter, instances), 0
		add := func(sum *distribution, pick func(int, float64) string) {
			got := simulate(backends, pick, instances, objects, requests, seed)
			sum.maxShareError = max(sum.maxShareError, got.maxShareError)
			sum.backendsPerObject += got.backendsPerObject / seeds
		}
		add(&splitter, func(i int, p float64) string { return splitters[i].Pick(backends, p) })
		add(&byPoint, func(_ int, p float64) string { return pickByPoint(backends, p) })
		add(&roundRobin, func(int, float64) string {
			n++
			return pickByPoint(backends, math.Mod(float64(n)*0.618033988749895, 1))
		})
	}
	t.Logf("largest error of a share and backends per object: %.3f, %.2f; by object %.3f, %.2f; round-robin %.3f, %.2f",
		splitter.maxShareError, splitter.backendsPerObject, byPoint.maxShareError, byPoint.backendsPerObject, roundRobin.maxShareError, roundRobin.backendsPerObject)
	if splitter.maxShareError > tolerance || splitter.backendsPerObject > 1.4 {
		t.Errorf("largest error of a share is %.3f, backends per object %.2f", splitter.maxShareError, splitter.backendsPerObject)
	}
	if byPoint.maxShareError < tolerance || roundRobin.backendsPerObject < 1.8 {
		t.Errorf("the baselines are not worse: error of a share by object %.3f, backends per object round-robin %.2f", byPoint.maxShareError, roundRobin.backendsPerObject)
	}
}

func TestWeightChangeMovesOnlyNecessaryObjects(t *testing.T) {
	before, after := []Backend{{"old", 90}, {"new", 10}}, []Backend{{"old", 70}, {"new", 30}}
	var s Splitter
	points := randomPoints(3, 1000)
	previous := make([]string, len(points))
	for i, p := range points {
		previous[i] = s.Pick(before, p)
	}
	moved, movedBack := 0, 0
	for i, p := range points {
		if now := s.Pick(after, p); now != previous[i] {
			moved++
			if now == "old" {
				movedBack++
			}
		}
	}
	if moved < 150 || moved > 260 || movedBack > 20 {
		t.Errorf("%d of 1000 objects moved, %d of them back to the old backend; about 200 have to move", moved, movedBack)
	}
}

func TestZeroWeightBackendsGetNoRequests(t *testing.T) {
	var s Splitter
	for range 100 {
		if got := s.Pick([]Backend{{"a", 0}, {"b", 3}}, 0); got != "b" {
			t.Fatalf("picked %q", got)
		}
	}
	if got := s.Pick([]Backend{{"a", 0}}, 0.5); got != "" {
		t.Errorf("picked %q", got)
	}
}
