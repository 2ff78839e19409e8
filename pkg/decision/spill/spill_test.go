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

func TestRegionalSplitsAddUpToPlannedShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.01, 1), 1, 6).Draw(rt, "weights")
		regions := rapid.IntRange(1, 3).Draw(rt, "regions")
		var planned []RegionalShare
		total := 0.0
		for i, w := range weights {
			planned = append(planned, RegionalShare{Region: fmt.Sprint(i % regions), Share: w})
			total += w
		}
		used := min(regions, len(weights))
		sums := make([]float64, len(planned))
		for r := range used {
			local := append([]RegionalShare(nil), planned...)
			SplitForRegion(local, fmt.Sprint(r))
			sum := 0.0
			for i, p := range local {
				sums[i] += p.Share / float64(used)
				sum += p.Share
			}
			if math.Abs(sum-total) > 1e-9 {
				rt.Fatalf("shares for region %d add up to %v, want %v", r, sum, total)
			}
		}
		for i, p := range planned {
			if math.Abs(sums[i]-p.Share) > 1e-9 {
				rt.Fatalf("pool %d has share %v over all regions, want %v", i, sums[i], p.Share)
			}
		}
	})
}

func TestTrafficStaysLocalUnderEqualWeights(t *testing.T) {
	shares := []RegionalShare{{"a", 0.5}, {"b", 0.5}}
	SplitForRegion(shares, "b")
	if shares[0].Share != 0 || shares[1].Share != 1 {
		t.Fatalf("split = %v", shares)
	}
}

func TestThresholdIsBelowOneAndRisesWithDistance(t *testing.T) {
	near := Threshold(12, 20*time.Millisecond, PriorZoneRTT)
	far := Threshold(12, 20*time.Millisecond, PriorRegionRTT)
	if near <= 0.5 || near >= far || far >= 1 {
		t.Fatalf("thresholds = %v for a zone and %v for a region", near, far)
	}
	if got := Threshold(12, 20*time.Millisecond, 0); got > 0.05 {
		t.Fatalf("threshold without additional cost = %v, want at most 0.05", got)
	}
}
