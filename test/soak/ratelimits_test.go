package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// A server may get rateLimitExcess times its limit in a rateLimitWindow, and
	// rateLimitSlack requests, from rateLimitGrace after its first announcement.
	rateLimitWindow = 4 * time.Second
	rateLimitExcess = 1.5
	rateLimitSlack  = 5
	rateLimitGrace  = 3 * time.Second
	// rateLimitDelay is the time after an announcement from which the requests of the
	// instance that received it count.
	rateLimitDelay = 500 * time.Millisecond
	// heldRequests is how long after a network fault of a server requests that the fault
	// has delayed may arrive together.
	heldRequests = 2 * time.Second
)

// announceRateLimit makes a random server announce a rate limit until the end of the run.
func (dep *deployment) announceRateLimit(rnd *rand.Rand) {
	dep.rateLimit = 0.5 + 9*rnd.Float64()
	dep.rateLimited = dep.backends[rnd.IntN(len(dep.backends))].server
	dep.rateLimited.SetRateLimit(fmt.Sprintf("%.2f", dep.rateLimit))
}

// requestsAboveRateLimit returns a description of the first window in which a server got
// more requests than the limit that it had announced allows. It counts the requests of the
// instances from which callers have received an announcement. An instance that has been
// restarted or frozen since then does not count.
func (h history) requestsAboveRateLimit(server string, perSecond float64) []string {
	first, last := h.announcements(server)
	var counted []time.Time
	for l, all := range h.attempts {
		if l.server != server {
			continue
		}
		for _, a := range all {
			if !a.Arrived.Before(first.Add(rateLimitGrace)) && !a.Arrived.After(last) && h.toldRateLimit(l, a) && !h.hadFault(server, networkFault, a.Arrived.Add(-heldRequests), a.Arrived) {
				counted = append(counted, a.Arrived)
			}
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	allowed := rateLimitExcess*perSecond*rateLimitWindow.Seconds() + rateLimitSlack
	for i, from := range counted {
		n := 0
		for _, at := range counted[i:] {
			if at.Before(from.Add(rateLimitWindow)) {
				n++
			}
		}
		if float64(n) > allowed {
			return []string{fmt.Sprintf("%s got %d requests in %v from %s on, at a limit of %.2f a second; allowed %.1f", server, n, rateLimitWindow, clock(from), perSecond, allowed)}
		}
	}
	return nil
}

// announcements returns when the server first and last announced a rate limit, or zero
// times if it never did.
func (h history) announcements(server string) (first, last time.Time) {
	for l, all := range h.attempts {
		for _, a := range all {
			if l.server != server || a.RateLimit == "" {
				continue
			}
			if first.IsZero() || a.Responded.Before(first) {
				first = a.Responded
			}
			if a.Responded.After(last) {
				last = a.Responded
			}
		}
	}
	return first, last
}

// toldRateLimit reports whether a caller had received an announcement of the server from
// the instance rateLimitDelay before a arrived, without a restart or freeze since then.
func (h history) toldRateLimit(l link, a attempt) bool {
	return slices.ContainsFunc(h.attempts[l], func(notice attempt) bool {
		delivered := notice.RateLimit != "" && !notice.received.IsZero() && !a.Arrived.Before(notice.received.Add(rateLimitDelay))
		return delivered && !h.restartedOrFrozen(l.instance, notice.received, a.Arrived)
	})
}

// checkRateLimitEnds ends the announcement and waits until the server gets more requests
// than it had accepted.
func (c *callers) checkRateLimitEnds() {
	server := c.dep.rateLimited
	server.SetRateLimit("")
	if c.dep.receivesNothing(server) {
		return
	}
	c.dep.await("the server gets requests again after the end of its rate limit", func() bool {
		before := server.Arrived()
		time.Sleep(time.Second)
		return float64(server.Arrived()-before) > 2*c.dep.rateLimit+rateLimitSlack
	})
}
