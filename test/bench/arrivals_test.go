package bench

import (
	"fmt"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// call is one request of a caller and its state in the simulation.
type call struct {
	req    steer.Request
	region string
	member int
	sent   time.Duration
	ended  bool
	// poison is set for a request that crashes each target that runs it. resend, if
	// not nil, sends the request again after a failure.
	poison  bool
	resend  func()
	respond func(fault.Kind)
}

// scheduleArrivals sends requests at random intervals, as a Poisson process.
func (sim *simulation) scheduleArrivals(load func(time.Duration) float64) {
	rate := load(sim.now) * sim.svc.capacity()
	gap := time.Duration(sim.rng.ExpFloat64() / max(rate, 1) * float64(time.Second))
	sim.after(gap, func() {
		sim.sendRequest()
		sim.scheduleArrivals(load)
	})
}

// sendRequest sends an ordinary request from a caller in a random region.
func (sim *simulation) sendRequest() { sim.sendWithFingerprint(0) }

// sendWithFingerprint sends a request to an instance of the caller's region. With
// a fingerprint other than 0 it is a poison request, which the caller sends again
// 300 ms after each failure.
func (sim *simulation) sendWithFingerprint(fingerprint uint64) {
	region := sim.svc.regions[sim.rng.IntN(len(sim.svc.regions))]
	sim.requestCount++
	if sim.evenArrivals {
		region = sim.svc.regions[sim.requestCount%len(sim.svc.regions)]
	}
	c := &call{region: region, member: sim.pickMember(), sent: sim.now}
	n := sim.pickInstance(region)
	c.req = steer.Request{
		Route: &sim.tables.Routes[0], Member: fmt.Sprintf("m%d", c.member), Idempotent: true, BodyBytes: -1,
		Arrived: sim.clock(), Deadline: sim.clock().Add(sim.timeout), Fingerprint: sim.rng.Uint64() | 1,
	}
	if fingerprint != 0 {
		c.poison, c.req.Fingerprint = true, fingerprint
		c.resend = func() { sim.after(300*time.Millisecond, func() { sim.sendWithFingerprint(fingerprint) }) }
	}
	sim.measured.recordSent(sim, c)
	finish := func(k fault.Kind) {
		if !c.ended {
			c.ended = true
			sim.measured.recordEnd(sim, c, k)
			if c.resend != nil && k != fault.KindNone {
				c.resend()
			}
		}
	}
	c.respond = func(k fault.Kind) { sim.after(sim.svc.callerDelay, func() { finish(k) }) }
	sim.after(sim.timeout, func() { finish(fault.KindTargetTimeout) })
	sim.after(sim.svc.callerDelay, func() { sim.policy.serve(n, c) })
}

// pickMember returns a random member, weighted by memberShares.
func (sim *simulation) pickMember() int {
	x := sim.rng.Float64()
	sum := 0.0
	for i, share := range sim.memberShares {
		if sum += share; x < sum {
			return i
		}
	}
	return len(sim.memberShares) - 1
}

// pickInstance returns a running instance of the region, or of any region if the region
// has none.
func (sim *simulation) pickInstance(region string) *node {
	var inRegion, all []*node
	for _, n := range sim.nodes {
		if n.down {
			continue
		}
		all = append(all, n)
		if n.self.Region == region {
			inRegion = append(inRegion, n)
		}
	}
	if len(inRegion) == 0 {
		inRegion = all
	}
	if sim.singleEntry {
		return inRegion[0]
	}
	if sim.evenArrivals {
		return inRegion[sim.requestCount/len(sim.svc.regions)%len(inRegion)]
	}
	return inRegion[sim.rng.IntN(len(inRegion))]
}
