package steer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/hashing"
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
	// arrivals holds the requests that reached each target, and told what each
	// instance has last been told of the target's limit.
	arrivals map[string][]limitedArrival
	told     map[string]map[int]announcement
	// loss is the fraction of the messages between instances that are lost. At 1
	// instances send none.
	loss float64
	// refused counts the refused requests, and refusedAfter holds the times to come
	// back that they carried.
	refused      int
	refusedAfter []time.Duration
}

// limitedRun is a request of an instance that a target runs.
type limitedRun struct {
	instance int
	decision Decision
	ends     time.Duration
}

// announcement is a limit that a target announces, and when an instance first received it.
// An instance that has not been told of a changed limit obeys the previous one.
type announcement struct {
	limit float64
	at    time.Duration
}

// limitedArrival is the arrival of a request of an instance at a target.
type limitedArrival struct {
	at       time.Duration
	instance int
	// toldSince is when the instance was told of the limit that the target announced at
	// the arrival; never if it had not been.
	toldSince time.Duration
}

// never is later than any time of a replay.
const never = time.Duration(1<<63 - 1)

// newLimitReplay returns a replay of n instances, spread over three regions with
// perRegion targets each.
func newLimitReplay(n, perRegion int, limits func(string, time.Duration) float64) *limitReplay {
	tb := fleet{perRegion: []int{perRegion, perRegion, perRegion}, slots: 9}.tables()
	r := &limitReplay{
		tables: tb, rnd: rand.New(rand.NewPCG(uint64(n), 3)), limits: limits,
		arrivals: map[string][]limitedArrival{}, told: map[string]map[int]announcement{},
	}
	for i := range n {
		r.ids = append(r.ids, fmt.Sprintf("front-%d", i))
	}
	for i := range r.ids {
		r.cores = append(r.cores, r.newCore(i))
		r.cores[i].SetInstances(epoch, r.members(), true)
	}
	return r
}

// newCore returns the core of an instance that has not heard of the others yet.
func (r *limitReplay) newCore(i int) *Core {
	region := regionNames[i%len(regionNames)]
	c := New(Self{Instance: r.ids[i], Zone: region + "-a", Region: region}, rand.NewPCG(hashing.Name(r.ids[i]), 1))
	c.EnableDirect(directPolicy)
	c.SetTables(epoch, r.tables)
	return c
}

// members returns all instances.
func (r *limitReplay) members() []ratelimit.Member {
	var list []ratelimit.Member
	for i, id := range r.ids {
		region := regionNames[i%len(regionNames)]
		list = append(list, ratelimit.Member{ID: id, Zone: region + "-a", Region: region})
	}
	return list
}

// restart replaces an instance by one that has lost all that it knew.
func (r *limitReplay) restart(i int) {
	r.cores[i] = r.newCore(i)
	r.inFlight = slices.DeleteFunc(r.inFlight, func(run limitedRun) bool { return run.instance == i })
	for _, told := range r.told {
		delete(told, i)
	}
}

// exchange has each instance send what it knows about limits to a few others, which
// reply, as heartbeats do.
func (r *limitReplay) exchange(now time.Duration) {
	const receivers = 3
	for i, c := range r.cores {
		for range receivers {
			j := r.rnd.IntN(len(r.cores))
			sent := c.RateLimitRecords(at(now), nil)
			if i == j || r.rnd.Float64() < r.loss {
				continue
			}
			r.cores[j].MergeRateLimits(at(now), r.ids[i], sent)
			if r.rnd.Float64() >= r.loss {
				c.MergeRateLimits(at(now), r.ids[j], r.cores[j].RateLimitRecords(at(now), sent))
			}
		}
	}
}

// run replays perSecond requests a second at random instances from one time to another.
func (r *limitReplay) run(from, to time.Duration, perSecond float64) {
	due := 0.0
	for now := from; now < to; now += limitStep {
		r.finish(now)
		if now%RecomputeInterval == 0 {
			for _, c := range r.cores {
				c.Tick(at(now))
			}
		}
		if now%time.Second == 0 && r.loss < 1 {
			r.exchange(now)
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
		r.refusedAfter = append(r.refusedAfter, d.RetryAfter)
		return
	}
	r.inFlight = append(r.inFlight, limitedRun{instance: instance, decision: d, ends: now + limitServiceTime})
	arrival := limitedArrival{at: now, instance: instance, toldSince: never}
	if told, ok := r.told[d.Target][instance]; ok && told.limit == r.limits(d.Target, now) {
		arrival.toldSince = told.at
	}
	r.arrivals[d.Target] = append(r.arrivals[d.Target], arrival)
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
	}
}

func (r *limitReplay) announcement(target string, now time.Duration) ratelimit.Notice {
	if limit := r.limits(target, now); limit >= 0 {
		return ratelimit.Notice{State: ratelimit.Limited, PerSecond: limit}
	}
	return ratelimit.Notice{State: ratelimit.Unlimited}
}

// recordTold records that an instance has received an announcement of the target.
func (r *limitReplay) recordTold(target string, instance int, now time.Duration) {
	limit := r.limits(target, now)
	if r.told[target] == nil {
		r.told[target] = map[int]announcement{}
	}
	if told, ok := r.told[target][instance]; !ok || told.limit != limit {
		r.told[target][instance] = announcement{limit: limit, at: now}
	}
}

// checkLimit fails the test if a target got more than the largest limit that it had
// announced in a window allows, from the instances that it had told.
func (r *limitReplay) checkLimit(t *testing.T, target string) {
	t.Helper()
	r.checkArrivals(t, target, func(a limitedArrival) bool {
		return a.toldSince != never && a.at >= a.toldSince+limitReaction
	})
}

// checkArrivals is checkLimit for the arrivals that counts selects.
func (r *limitReplay) checkArrivals(t *testing.T, target string, counts func(limitedArrival) bool) {
	t.Helper()
	first := r.firstAnnouncement(target)
	var counted []time.Duration
	for _, a := range r.arrivals[target] {
		if a.at >= first+limitGrace && r.limits(target, a.at) >= 0 && counts(a) {
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

// firstAnnouncement returns when a request first reached the target while it announced a
// limit.
func (r *limitReplay) firstAnnouncement(target string) time.Duration {
	for _, a := range r.arrivals[target] {
		if r.limits(target, a.at) >= 0 {
			return a.at
		}
	}
	return never
}

// arrivalRate returns the requests per second that reached the target between two times.
func (r *limitReplay) arrivalRate(target string, from, to time.Duration) float64 {
	n := 0
	for _, a := range r.arrivals[target] {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
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
