package affinity

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawShares draws n shares that add up to 1; some may be 0.
func drawShares(t *rapid.T, n int, label string) []float64 {
	out := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0.1, 0.5, 1, 3}), n, n).Draw(t, label)
	out[rapid.IntRange(0, n-1).Draw(t, label+" some")] = 1
	sum := 0.0
	for _, s := range out {
		sum += s
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// TestSharesRiseNoFasterThanCap changes the desired shares repeatedly. The shares may
// rise faster than the cap only by the amount that locations lose whose desired share
// is 0.
func TestSharesRiseNoFasterThanCap(t *testing.T) {
	const maxRise, window, step = 0.1, 2 * time.Second, 100 * time.Millisecond
	locations := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		var r Ramp
		now := int64(0)
		last, _ := r.Advance(now, locations, drawShares(t, len(locations), "first"), maxRise, window)
		for range 5 {
			desired := drawShares(t, len(locations), "want")
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				now += int64(step)
				lost, risen, sum := 0.0, 0.0, 0.0
				got, settled := r.Advance(now, locations, desired, maxRise, window)
				for i := range got {
					if desired[i] == 0 {
						lost += last[i]
					}
					risen += max(0, got[i]-last[i])
					sum += got[i]
				}
				if risen > lost+maxRise*float64(step)/float64(window)+1e-9 || math.Abs(sum-1) > 1e-9 {
					t.Fatalf("from %v to %v, towards %v: the shares rose by %.4f", last, got, desired, risen)
				}
				if settled && !slices.EqualFunc(got, desired, func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }) {
					t.Fatalf("settled at %v, want %v", got, desired)
				}
				last = slices.Clone(got)
			}
		}
	})
}

func TestRampSettles(t *testing.T) {
	var r Ramp
	locations := []string{"a", "b"}
	r.Advance(int64(-time.Minute), locations, []float64{1, 0}, 0.1, time.Second)
	if got, settled := r.Advance(0, locations, []float64{0.5, 0.5}, 0.1, time.Second); settled || got[1] != 0 {
		t.Errorf("shares %v at a change after one idle minute, settled %t", got, settled)
	}
	if got, settled := r.Advance(int64(4*time.Second), locations, []float64{0.5, 0.5}, 0.1, time.Second); settled || math.Abs(got[1]-0.4) > 1e-9 {
		t.Errorf("shares %v after four windows, settled %t", got, settled)
	}
	if got, settled := r.Advance(int64(6*time.Second), locations, []float64{0.5, 0.5}, 0.1, time.Second); !settled || got[1] != 0.5 {
		t.Errorf("shares %v after six windows, settled %t", got, settled)
	}
}
