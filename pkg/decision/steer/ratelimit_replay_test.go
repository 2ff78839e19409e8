package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

const (
	// limitStep is the resolution of the replayed time.
	limitStep = 10 * time.Millisecond
	// limitGrace is the time after the first announcement of a limit in which the
	// limit is not enforced. An instance counts from limitReaction after it has
	// received a response that announces the limit.
	limitGrace    = 3 * time.Second
	limitReaction = 500 * time.Millisecond
	// A target may get limitExcess times its limit in a limitWindow, and
	// limitSlack requests.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	// limitServiceTime is the service time of every request.
	limitServiceTime = 100 * time.Millisecond
)

// limitReplay replays the load of a fleet of instances while some of its targets limit
// the requests from all instances together.
type limitReplay struct {
	tables *table.Tables
	cores  []*Core
	ids    []string
	rnd    *rand.Rand
	// limits returns the limit that a target announces at a time since the start, or a
	// negative number without one.
	limits func(target string, at time.Duration) float64
	// inFlight holds the requests that the targets run, in the order of their ends.
	inFlight []limitedRun
	// arrivals holds the requests that reached each target that has announced a
	// limit, and toldAt when each instance first received an announcement of it.
	arrivals map[string][]limitedArrival
	toldAt   map[string]map[int]time.Duration
	// completed and refused count requests.
	completed, refused int
}

// limitedRun is a request of an instance that a target runs.
type limitedRun struct {
	instance int
	decision Decision
	ends     time.Duration
}

// limitedArrival is the arrival of a request of an instance at a target.
type limitedArrival struct {
	at       time.Duration
	instance int
}

// newLimitReplay returns a replay of n instances, spread over three regions with
// perRegion targets each.
func newLimitReplay(n, perRegion int, limits func(string, time.Duration) float64) *limitReplay {
	tb := fleet{perRegion: []int{perRegion, perRegion, perRegion}, slots: 9}.tables()
	r := &limitReplay{
		tables: tb, rnd: rand.New(rand.NewPCG(uint64(n), 3)), limits: limits,
		arrivals: map[string][]limitedArrival{}, toldAt: map[string]map[int]time.Duration{},
	}
	for i := range n {
		r.ids = append(r.ids, fmt.Sprintf("front-%d", i))
	}
	for i, id := range r.ids {
		r.cores = append(r.cores, directCore(tb, id, regionNames[i%len(regionNames)], r.ids...))
	}
	return r
}

// run replays perSecond requests a second at random instances from one time to another.
func (r *limitReplay) run(from, to time.Duration, perSecond float64) {
	due := 0.0
	for now := from; now < to; now += limitStep {
		r.finish(now)
		for _, c := range r.cores {
			c.Tick(at(now))
		}
		for due += perSecond * limitStep.Seconds(); due >= 1; due-- {
			r.send(now, r.rnd.IntN(len(r.cores)))
		}
	}
}

// send has an instance decide on a request for a random object.
func (r *limitReplay) send(now time.Duration, instance int) {
	const objects = 400
	d := r.cores[instance].Decide(at(now), directRequest(r.tables, at(now), 1+r.rnd.Uint64N(objects)))
	if d.Verdict != Dispatch {
		r.refused++
		return
	}
	r.inFlight = append(r.inFlight, limitedRun{instance: instance, decision: d, ends: now + limitServiceTime})
	r.arrivals[d.Target] = append(r.arrivals[d.Target], limitedArrival{at: now, instance: instance})
}

// finish delivers the responses of the requests that have ended by now.
func (r *limitReplay) finish(now time.Duration) {
	for len(r.inFlight) > 0 && r.inFlight[0].ends <= now {
		run := r.inFlight[0]
		r.inFlight = r.inFlight[1:]
		c, target := r.cores[run.instance], run.decision.Target
		c.ObserveRateLimit(at(now), run.decision, r.announcement(target, now))
		r.recordTold(target, run.instance, now)
		c.Done(at(now), run.decision, Result{Kind: fault.KindNone, Latency: limitServiceTime})
		r.completed++
	}
}

func (r *limitReplay) announcement(target string, now time.Duration) ratelimit.Notice {
	if limit := r.limits(target, now); limit >= 0 {
		return ratelimit.Notice{State: ratelimit.Limited, PerSecond: limit}
	}
	return ratelimit.Notice{State: ratelimit.Unlimited}
}

// recordTold records when an instance first received an announcement of the target.
func (r *limitReplay) recordTold(target string, instance int, now time.Duration) {
	if r.limits(target, now) < 0 {
		return
	}
	if r.toldAt[target] == nil {
		r.toldAt[target] = map[int]time.Duration{}
	}
	if _, told := r.toldAt[target][instance]; !told {
		r.toldAt[target][instance] = now
	}
}

// checkLimit fails the test if a target got more than the largest limit that it had
// announced in a window allows, from the instances that it had told.
func (r *limitReplay) checkLimit(t *testing.T, target string) {
	t.Helper()
	first := r.firstAnnouncement(target)
	var counted []time.Duration
	for _, a := range r.arrivals[target] {
		told, ok := r.toldAt[target][a.instance]
		if ok && a.at >= first+limitGrace && a.at >= told+limitReaction && r.limits(target, a.at) >= 0 {
			counted = append(counted, a.at)
		}
	}
	for i, from := range counted {
		n, limit := 0, 0.0
		for _, a := range counted[i:] {
			if a < from+limitWindow {
				n++
				limit = max(limit, r.limits(target, a))
			}
		}
		if allowed := limitExcess*limit*limitWindow.Seconds() + limitSlack; float64(n) > allowed {
			t.Fatalf("%d instances: %s got %d requests in %v from %v on, at a limit of %v a second; allowed %v",
				len(r.cores), target, n, limitWindow, from, limit, allowed)
		}
	}
}

// firstAnnouncement returns when the first instance was told of the target's limit.
func (r *limitReplay) firstAnnouncement(target string) time.Duration {
	first := time.Duration(1<<63 - 1)
	for _, at := range r.toldAt[target] {
		first = min(first, at)
	}
	return first
}

// limitFrom returns limits under which the named target announces perSecond from a time
// on.
func limitFrom(name string, from time.Duration, perSecond float64) func(string, time.Duration) float64 {
	return func(target string, now time.Duration) float64 {
		if target == name && now >= from {
			return perSecond
		}
		return -1
	}
}

// TestTargetGetsItsRateLimitFromAllInstancesTogether guards against instances that each
// keep the limit of a target for themselves, or not at all.
func TestTargetGetsItsRateLimitFromAllInstancesTogether(t *testing.T) {
	for _, instances := range []int{11, 84, 300} {
		for _, limit := range []float64{0.3, 2, 3.9, 20} {
			t.Run(fmt.Sprintf("%d instances, %v per second", instances, limit), func(t *testing.T) {
				const target = "osrednja-1"
				r := newLimitReplay(instances, 4, limitFrom(target, time.Second, limit))
				r.run(0, 16*time.Second, 500)
				r.checkLimit(t, target)
			})
		}
	}
}
