package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/hashing"
)

const (
	// sendersPerRequest is the number of senders for each request a second. A sender
	// saves up one request, so that all together exceed the limit by two seconds'
	// requests at most, in any span of time.
	sendersPerRequest = 2
	// savedSeconds is how many seconds' requests the senders save up together where
	// that is more than one each.
	savedSeconds = 1.5
	// minPerSecond replaces a lower limit. A target that accepts nothing gets a request
	// now and then, because only its response shows the end of the limit.
	minPerSecond = 0.1
	// staleAfter is the time without a response of the target, to any instance, after
	// which instances that are not senders check whether the limit still holds.
	staleAfter = 10 * time.Second
	// checkFraction is the part of the limit that these checks use together.
	checkFraction = 0.25
	// never is a duration that does not pass.
	never = math.MaxInt64
)

// Target is what the shares of a target's limit depend on.
type Target struct {
	// Hash is a hash of the target's name.
	Hash uint64
	// Demand is the relative demand of the instances of each region for the target, and
	// OtherDemand that of the regions that it lacks. If all are zero, the demand of all
	// regions is equal.
	Demand      map[string]float64
	OtherDemand float64
}

// demandOf returns the relative demand of a region.
func (t *Target) demandOf(region string) float64 {
	if demand, ok := t.Demand[region]; ok {
		return demand
	}
	return t.OtherDemand
}

// Share is what one instance may send to a target with a limit.
type Share struct {
	// PerSecond is the target's limit.
	PerSecond float64
	// Interval is the mean time between two requests of this instance, at the least.
	Interval time.Duration
	// Burst is the number of requests that this instance saves up, at least 1.
	Burst int
	// SenderInterval is the mean time between two requests of one of the senders.
	SenderInterval time.Duration
	// SilentFor is how long no instance must have received a response from the target
	// that announced the limit, before this instance may send a request. It is zero for
	// the senders.
	SilentFor time.Duration
}

// Share returns this instance's share of the limit perSecond of t.
//
// Each region gets a part of the limit by its demand, which some members of the region,
// the senders, share equally. There are so few senders that they may all send at the same
// moment. The other members send nothing while the senders receive responses.
func (m *Members) Share(t Target, perSecond float64) Share {
	rate := max(perSecond, minPerSecond)
	parts := m.divide(t, rate)
	s := Share{PerSecond: perSecond, Burst: 1, SenderInterval: parts[0].interval()}
	if !m.complete {
		s.SilentFor = never
		return s
	}
	for _, p := range parts {
		if p.members.IsSender(t.Hash, p.senders) {
			s.Interval = p.interval()
			s.Burst = max(1, int(savedSeconds*p.perSecond/float64(p.senders)))
			return s
		}
	}
	s.Interval = seconds(float64(m.Count()) / (checkFraction * rate))
	// The hash spreads the checks of the members.
	s.SilentFor = staleAfter + time.Duration(hashing.Uniform(t.Hash, hashing.Name(m.self))*float64(s.Interval))
	return s
}

// part is the part of a limit that the senders of one region share.
type part struct {
	region    string
	members   *Members
	demand    float64
	senders   int
	perSecond float64
}

// interval returns the mean time between two requests of a sender.
func (p *part) interval() time.Duration { return seconds(float64(p.senders) / p.perSecond) }

// divide divides rate among the regions by their demand. A region whose part is less than
// a sender's is left out, unless all are. The first part is that of the largest demand.
func (m *Members) divide(t Target, rate float64) []part {
	var parts []part
	total := 0.0
	for region, count := range m.countByRegion() {
		demand := t.demandOf(region)
		parts = append(parts, part{region: region, demand: demand, senders: count})
		total += demand
	}
	if total == 0 {
		for i := range parts {
			parts[i].demand = 1
			total++
		}
	}
	slices.SortFunc(parts, func(a, b part) int {
		return cmp.Or(cmp.Compare(b.demand, a.demand), cmp.Compare(a.region, b.region))
	})
	if len(parts) == 0 {
		return []part{{members: m, senders: 1, perSecond: rate}}
	}
	used := 0.0
	for i := range parts {
		p := &parts[i]
		p.members = m.inRegion(p.region)
		senders := int(sendersPerRequest * rate * p.demand / total)
		if i == 0 {
			senders = max(1, senders)
		}
		p.senders = min(p.senders, senders)
		if p.senders > 0 {
			used += p.demand
		}
	}
	parts = slices.DeleteFunc(parts, func(p part) bool { return p.senders == 0 })
	for i := range parts {
		parts[i].perSecond = rate * parts[i].demand / used
	}
	return parts
}

// seconds returns s seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
