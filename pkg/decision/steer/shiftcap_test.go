package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestShiftCapKeepsObjectsOnOneTarget guards against a shift cap that makes more than
// one target warm for an object. It replays a region with few targets, most of
// whose requests go to other regions, through many instances with few requests
// each, so that the shares of the regions vary by chance.
func TestShiftCapKeepsObjectsOnOneTarget(t *testing.T) {
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
	sent := make(map[uint64]map[string]bool)
	requests, pairs := 0, 0
	for now := time.Duration(0); now < length; now += time.Second / (instances * rate) {
		key := uint64(rnd.IntN(objects) + 1)
		c := cores[rnd.IntN(instances)]
		d := mustDispatch(t, c.Decide(at(now), directRequest(tb, at(now), key)))
		serviceTime := coldWork
		if sent[key][d.Target] {
			serviceTime = warmWork
		}
		c.Done(at(now+serviceTime), d, Result{Latency: serviceTime})
		if sent[key] == nil {
			sent[key] = make(map[string]bool)
		}
		requests++
		if !sent[key][d.Target] {
			sent[key][d.Target] = true
			pairs++
		}
	}
	t.Logf("%d requests for %d objects, sent to %d pairs of object and target", requests, objects, pairs)
	if pairs > objects {
		t.Errorf("%d objects were sent to %d pairs of object and target, want one target per object", objects, pairs)
	}
}
