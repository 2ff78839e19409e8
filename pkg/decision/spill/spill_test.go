package spill

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 51, 100) }

func TestRegionsTogetherFollowThePlan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.01, 1), 1, 6).Draw(rt, "weights")
		regions := rapid.IntRange(1, 3).Draw(rt, "regions")
		var plan []RegionalShare
		total := 0.0
		for i, w := range weights {
			plan = append(plan, RegionalShare{Region: fmt.Sprint(i % regions), Share: w})
			total += w
		}
		used := min(regions, len(weights))
		sums := make([]float64, len(plan))
		for r := range used {
			parts := append([]RegionalShare(nil), plan...)
			SplitForRegion(parts, fmt.Sprint(r))
			whole := 0.0
			for i, p := range parts {
				sums[i] += p.Share / float64(used)
				whole += p.Share
			}
			if math.Abs(whole-total) > 1e-9 {
				rt.Fatalf("region %d splits %v of %v", r, whole, total)
			}
		}
		for i, p := range plan {
			if math.Abs(sums[i]-p.Share) > 1e-9 {
				rt.Fatalf("pool %d gets %v over all regions, planned %v", i, sums[i], p.Share)
			}
		}
	})
}

func TestTrafficStaysInItsRegionUnderEqualWeights(t *testing.T) {
	parts := []RegionalShare{{"a", 0.5}, {"b", 0.5}}
	SplitForRegion(parts, "b")
	if parts[0].Share != 0 || parts[1].Share != 1 {
		t.Fatalf("split = %v", parts)
	}
}

func TestThresholdIsBelowTheKneeAndRisesWithTheDistance(t *testing.T) {
	near := Threshold(12, 20*time.Millisecond, PriorZoneRTT)
	far := Threshold(12, 20*time.Millisecond, PriorRegionRTT)
	if near <= 0.5 || near >= far || far >= 1 {
		t.Fatalf("thresholds = %v near and %v far", near, far)
	}
	if got := Threshold(12, 20*time.Millisecond, 0); got > 0.05 {
		t.Fatalf("threshold for a place that costs nothing more = %v", got)
	}
}
