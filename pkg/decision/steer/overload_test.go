package steer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// The load of the replay: a service that needs two thirds of its slots
// when targets know the objects, and twice as many when they don't.
const (
	warmWork    = 110 * time.Millisecond
	coldWork    = 360 * time.Millisecond
	remembered  = 43
	replayQueue = 12
)

// simTarget is a target that remembers the objects it handled last.
type simTarget struct {
	slots   int
	running int
	waiting []*simRequest
	known   []uint64
}

// simRequest is a request on its way.
type simRequest struct {
	core    *Core
	d       Decision
	key     uint64
	target  *simTarget
	arrived time.Duration
	region  int
}

// work returns how long the target works on key, and remembers it.
func (s *simTarget) work(key uint64) time.Duration {
	took := coldWork
	for i, k := range s.known {
		if k == key {
			took = warmWork
			s.known = append(s.known[:i], s.known[i+1:]...)
			break
		}
	}
	s.known = append(s.known, key)
	if len(s.known) > remembered {
		s.known = s.known[1:]
	}
	return took
}

// ends is a heap of requests by the time at which they end.
type end struct {
	at time.Duration
	r  *simRequest
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *ends) Push(x any) { *e = append(*e, x.(end)) }

// Pop implements heap.Interface.
func (e *ends) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// traffic is the load of a replay.
type traffic struct {
	perSecond int
	// objects is how many each region has.
	objects int
	length  time.Duration
	// peak is how much more than the mean a region sends at its peak, as a part
	// of it; the regions have their peaks one after the other.
	peak float64
}

// wavePeriod is the time from one peak of a region to its next.
const wavePeriod = 36 * time.Second

// judgedTime is the end of the load that is judged: a whole wave, or five
// seconds of a steady load.
func (t traffic) judgedTime() time.Duration {
	if t.peak > 0 {
		return wavePeriod
	}
	return 5 * time.Second
}

// regionAt draws the region that a request comes from at now.
func (t traffic) regionAt(now time.Duration, rnd *rand.Rand) int {
	n := len(regionNames)
	for {
		region := rnd.IntN(n)
		phase := float64(now)/float64(wavePeriod) + float64(region)/float64(n)
		if (1+t.peak)*rnd.Float64() <= 1+t.peak*math.Sin(2*math.Pi*phase) {
			return region
		}
	}
}

// replay sends a load to the fleet through three instances of each region, and
// returns the part of those that arrived in its last judgedTime that were
// answered in time, by region.
func replay(tb *table.Tables, load traffic) (inTime []float64) {
	length := load.length
	rnd := rand.New(rand.NewPCG(5, 5))
	targets := make(map[string]*simTarget)
	for _, p := range tb.Pools {
		for _, tg := range p.Targets {
			targets[tg.Name] = &simTarget{slots: tg.Slots}
		}
	}
	var cores []*Core
	for _, region := range regionNames {
		for i := range 3 {
			cores = append(cores, directCore(tb, fmt.Sprintf("%s-%d", region, i), region))
		}
	}
	var pending ends
	start := func(now time.Duration, r *simRequest) {
		r.target.running++
		heap.Push(&pending, end{at: now + r.target.work(r.key), r: r})
	}
	asked, good := make([]float64, len(regionNames)), make([]float64, len(regionNames))
	judged := func(r *simRequest) bool { return r.arrived >= length-load.judgedTime() }
	finish := func(e end) {
		s := e.r.target
		s.running--
		took := e.at - e.r.arrived
		load := &TargetLoad{Running: s.running, Waiting: len(s.waiting), Slots: s.slots}
		e.r.core.Done(at(e.at), e.r.d, Result{Latency: took, Load: load})
		if judged(e.r) && took <= 300*time.Millisecond {
			good[e.r.region]++
		}
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			start(e.at, next)
		}
	}
	gap := time.Second / time.Duration(load.perSecond)
	for now := time.Duration(0); now < length; now += gap {
		for len(pending) > 0 && pending[0].at <= now {
			finish(heap.Pop(&pending).(end))
		}
		region := load.regionAt(now, rnd)
		c := cores[3*region+rnd.IntN(3)]
		r := &simRequest{core: c, key: uint64(1000*region + rnd.IntN(load.objects) + 1), arrived: now, region: region}
		if judged(r) {
			asked[region]++
		}
		r.d = c.Decide(at(now), directRequest(tb, at(now), r.key))
		if r.d.Verdict != Dispatch {
			continue
		}
		r.target = targets[r.d.Target]
		switch {
		case r.target.running < r.target.slots:
			start(now, r)
		case len(r.target.waiting) < replayQueue:
			r.target.waiting = append(r.target.waiting, r)
		default:
			c.Done(at(now), r.d, Result{Kind: fault.KindTargetShed})
		}
	}
	for i := range good {
		inTime = append(inTime, good[i]/asked[i])
	}
	return inTime
}

// TestOverloadOfColdTargetsEndsByItself replays a day on which all targets
// begin without knowing any object: the work is then more than all slots can
// do, and falls to two thirds of them once each target knows its objects. The
// state must not outlast its cause.
func TestOverloadOfColdTargetsEndsByItself(t *testing.T) {
	tb := fleet{perRegion: []int{10, 2, 8}, slots: 4}.tables()
	for i, got := range replay(tb, traffic{perSecond: 450, objects: 73, length: 15 * time.Second}) {
		if got < 0.8 {
			t.Errorf("%s: %.2f of the requests were answered in time after ten seconds, want 0.8", regionNames[i], got)
		}
	}
}

// TestRegionWithFewTargetsIsServedAtItsPeak replays regions that peak one after
// the other, with half as many objects as all targets together remember. A region
// with few targets must keep no more than these remember and can carry at its
// peak.
func TestRegionWithFewTargetsIsServedAtItsPeak(t *testing.T) {
	tb := fleet{perRegion: []int{10, 2, 8}, slots: 4}.tables()
	for i, got := range replay(tb, traffic{perSecond: 400, objects: 200, length: 2 * wavePeriod, peak: 0.55}) {
		t.Logf("%s: %.3f in time", regionNames[i], got)
		if got < 0.95 {
			t.Errorf("%s: %.2f of the requests were answered in time, want 0.95", regionNames[i], got)
		}
	}
}
