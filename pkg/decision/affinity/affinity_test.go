package affinity

import (
	"testing"

	"pgregory.net/rapid"
)

// busiest returns the largest load of a slot when each place has the same
// traffic, as a multiple of the mean, and what the places keep themselves.
func busiest(slots []float64, weights func([]float64, int) []float64) (load float64, kept []float64) {
	loads, all := make([]float64, len(slots)), 0.0
	for own := range slots {
		w := weights(slots, own)
		sum := 0.0
		for i := range w {
			sum += w[i] * slots[i]
		}
		for i := range w {
			loads[i] += w[i] * slots[i] / sum
		}
		kept = append(kept, w[own]*slots[own]/sum)
		all += slots[own]
	}
	for i := range loads {
		load = max(load, loads[i]/slots[i]*all/float64(len(slots)))
	}
	return load, kept
}

// bySlots spreads what a place does not keep over all others by their slots.
func bySlots(slots []float64, own int) []float64 {
	w := Weights(slots, own)
	outside, sum := 0.0, 0.0
	for i, s := range slots {
		if i != own {
			outside += w[i] * s
			sum += s
		}
	}
	for i := range w {
		if i != own {
			w[i] = outside / sum
		}
	}
	return w
}

// evenLoad bounds the busiest slot, as a multiple of the mean.
const evenLoad = 1.1

func TestNoPlaceIsLoadedAboveTheMean(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.SliceOfN(rapid.Float64Range(1, 100), 2, 9).Draw(t, "slots")
		if load, _ := busiest(slots, Weights); load > evenLoad {
			t.Fatalf("slots %v: the busiest is loaded to %.2f of the mean", slots, load)
		}
	})
}

func TestSpreadingBySlotsLoadsAPlaceAboveTheMean(t *testing.T) {
	slots := []float64{10, 1, 5}
	if load, _ := busiest(slots, bySlots); load <= evenLoad {
		t.Errorf("the broken spread loads the busiest slot to %.2f of the mean only", load)
	}
}

func TestPlacesKeepWhatTheirTargetsCarry(t *testing.T) {
	_, kept := busiest([]float64{10, 2, 8}, Weights)
	for i, want := range []float64{0.975, 0.3, 0.97} {
		if diff := kept[i] - want; diff < -0.01 || diff > 0.01 {
			t.Errorf("place %d keeps %.2f, want %.2f", i, kept[i], want)
		}
	}
}

func TestWeightsOfPlacesWithoutTargets(t *testing.T) {
	for _, c := range []struct {
		slots []float64
		own   int
		want  []float64
	}{
		{[]float64{0, 4}, 0, []float64{1, 1}},
		{[]float64{4, 0}, 0, []float64{1, 1}},
		{[]float64{4, 2}, -1, []float64{1, 1}},
		{nil, -1, []float64{}},
	} {
		got := Weights(c.slots, c.own)
		for i := range c.want {
			if got[i] != c.want[i] {
				t.Errorf("slots %v, own %d: %v, want %v", c.slots, c.own, got, c.want)
			}
		}
	}
}
