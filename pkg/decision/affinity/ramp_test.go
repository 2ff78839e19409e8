package affinity

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// share draws shares of n places that add up to 1; some may be 0.
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

// TestSharesRiseNoFasterThanTheCap moves shares to others that are wanted, over and
// over; only what a place loses that may get nothing counts beyond the cap.
func TestSharesRiseNoFasterThanTheCap(t *testing.T) {
	const rise, window, step = 0.1, 2 * time.Second, 100 * time.Millisecond
	places := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		var r Ramp
		now := int64(0)
		last, _ := r.Advance(now, places, drawShares(t, len(places), "first"), rise, window)
		for range 5 {
			want := drawShares(t, len(places), "want")
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				now += int64(step)
				lost, risen, sum := 0.0, 0.0, 0.0
				got, settled := r.Advance(now, places, want, rise, window)
				for i := range got {
					if want[i] == 0 {
						lost += last[i]
					}
					risen += max(0, got[i]-last[i])
					sum += got[i]
				}
				if risen > lost+rise*float64(step)/float64(window)+1e-9 || math.Abs(sum-1) > 1e-9 {
					t.Fatalf("from %v to %v on the way to %v: a rise of %.4f", last, got, want, risen)
				}
				if settled && !slices.EqualFunc(got, want, func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }) {
					t.Fatalf("settled at %v, not at %v", got, want)
				}
				last = slices.Clone(got)
			}
		}
	})
}

func TestRampSettles(t *testing.T) {
	var r Ramp
	places := []string{"a", "b"}
	r.Advance(int64(-time.Minute), places, []float64{1, 0}, 0.1, time.Second)
	if got, settled := r.Advance(0, places, []float64{0.5, 0.5}, 0.1, time.Second); settled || got[1] != 0 {
		t.Errorf("shares %v at the change after a minute of rest, settled %t", got, settled)
	}
	if got, settled := r.Advance(int64(4*time.Second), places, []float64{0.5, 0.5}, 0.1, time.Second); settled || math.Abs(got[1]-0.4) > 1e-9 {
		t.Errorf("shares %v after four windows, settled %t", got, settled)
	}
	if got, settled := r.Advance(int64(6*time.Second), places, []float64{0.5, 0.5}, 0.1, time.Second); !settled || got[1] != 0.5 {
		t.Errorf("shares %v after six windows, settled %t", got, settled)
	}
}
