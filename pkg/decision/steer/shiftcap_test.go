package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestShiftCapSpreadsNoObjects replays a region with few targets, whose requests
// go to other regions for the most part, through many instances that see few
// requests each. The shares of the regions then vary by chance, which must not
// teach an object to more than one target.
func TestShiftCapSpreadsNoObjects(t *testing.T) {
	const (
		instances = 26
		rate      = 8 // requests a second at each instance
		objects   = 300
		length    = 40 * time.Second
	)
	tb := fleet{perRegion: []int{100, 20, 84}, slots: 5}.tables()
	var cores []*Core
	for i := range instances {
		cores = append(cores, directCore(tb, fmt.Sprintf("s%d", i), "stajerska"))
	}
	rnd := rand.New(rand.NewPCG(9, 9))
	used := make(map[uint64]map[string]bool)
	requests, learnt := 0, 0
	for now := time.Duration(0); now < length; now += time.Second / (instances * rate) {
		key := uint64(rnd.IntN(objects) + 1)
		c := cores[rnd.IntN(instances)]
		d := mustDispatch(t, c.Decide(at(now), directRequest(tb, at(now), key)))
		took := coldWork
		if used[key][d.Target] {
			took = warmWork
		}
		c.Done(at(now+took), d, Result{Latency: took})
		if used[key] == nil {
			used[key] = make(map[string]bool)
		}
		requests++
		if !used[key][d.Target] {
			used[key][d.Target] = true
			learnt++
		}
	}
	t.Logf("%d requests about %d objects, learnt %d times", requests, objects, learnt)
	if learnt > objects {
		t.Errorf("%d objects are learnt %d times, want one target an object", objects, learnt)
	}
}
