package lookup

import (
	"testing"
	"time"
)

func TestDeparturesOfReachableInstancesAreRecentForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	before := Departures{}.Observe(now, []Instance{{ID: "a", Region: "ra", Leaving: true}})
	d := before.Observe(now.Add(time.Second), []Instance{
		{ID: "a", Region: "ra"}, {ID: "b", Region: "rb", Leaving: true, Unreachable: true}, {ID: "c", Region: "rc", Leaving: true},
	})
	for _, c := range []struct {
		region string
		after  time.Duration
		want   bool
	}{
		{"ra", restartTime - 1, true},
		{"ra", restartTime, false},
		{"rb", 0, false},
		{"rc", restartTime, true},
		{"rc", restartTime + time.Second, false},
	} {
		if got := d.Recent(now.Add(c.after), c.region); got != c.want {
			t.Errorf("%s after %v: %v, want %v", c.region, c.after, got, c.want)
		}
	}
	if before.Recent(now, "rc") {
		t.Error("an observation has changed the departures before it")
	}
}
