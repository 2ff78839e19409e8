package hashing

import (
	"math"
	"testing"
)

func TestUniformCoversTheInterval(t *testing.T) {
	const n, buckets = 100000, 20
	var counts [buckets]int
	for i := range uint64(n) {
		u := Uniform(Name("target"), i)
		if u <= 0 || u >= 1 {
			t.Fatalf("%v is not between 0 and 1", u)
		}
		counts[int(u*buckets)]++
	}
	for i, c := range counts {
		if math.Abs(float64(c)-n/buckets) > n/buckets/10 {
			t.Errorf("bucket %d has %d of %d numbers", i, c, n)
		}
	}
}

func TestMixDependsOnTheOrder(t *testing.T) {
	if Mix(1, 2) == Mix(2, 1) {
		t.Error("both orders give the same hash")
	}
}
