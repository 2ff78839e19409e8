package soak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// backoffDelay is how long requests may still reach a server after it has
	// responded with Retry-After.
	backoffDelay = 500 * time.Millisecond
	// maxDuringBackoff is how many may reach it from one instance after that.
	maxDuringBackoff = 2
)

// checkNotices checks that instances obey the notices of the servers: the leaving
// header, Retry-After and the rate limit. It logs how many notices there were.
func (c *callers) checkNotices() {
	c.dep.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	h := newHistory(c.dep.exchanges.All(), c.requests, c.dep.faults.list)
	violations := slices.Concat(h.requestsToLeaving(), h.requestsDuringBackoff(), h.requestsAboveRateLimit(c.dep.rateLimited.ID, c.dep.rateLimit))
	for _, violation := range violations {
		c.dep.t.Error(violation)
	}
	leaving, backoffs := h.countNotices()
	c.dep.t.Logf("%d responses of leaving servers reached callers, %d had Retry-After", leaving, backoffs)
}

// countNotices returns the numbers of notices of each kind to which the checks apply.
func (h history) countNotices() (leaving, backoffs int) {
	for _, all := range h.attempts {
		for _, a := range all {
			if a.leavingNoticeDelivered() {
				leaving++
			}
			if a.backoff() > 0 {
				backoffs++
			}
		}
	}
	return leaving, backoffs
}

// leavingNoticeDelivered reports whether the instance certainly read the leaving header
// of this response, because a caller received the response from it.
func (a attempt) leavingNoticeDelivered() bool { return a.Leaving && !a.received.IsZero() }

// backoff returns the Retry-After time of the response, or zero if it has none.
func (a attempt) backoff() time.Duration {
	d, err := time.ParseDuration(a.RetryAfter + "s")
	if err != nil {
		return 0
	}
	return d
}

// requestsToLeaving returns a description of each link over which requests reached a
// leaving server although the callers sent them more than drainDelay after a caller had
// received a response with that server's leaving notice from the instance.
func (h history) requestsToLeaving() []string {
	var out []string
	for l, all := range h.attempts {
		var late []string
		for _, a := range all {
			if notice, ok := h.ignoredLeaving(l, a); ok {
				late = append(late, fmt.Sprintf("%s sent at %s (leaving notice in the response to %s received at %s)", a.ID, clock(a.sent), notice.ID, clock(notice.received)))
			}
		}
		if len(late) > 0 {
			out = append(out, fmt.Sprintf("%d requests of %s reached %s, which was leaving, first %s", len(late), l.instance, l.server, late[0]))
		}
	}
	return out
}

// clock formats t for comparison with the logs of the instances.
func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// ignoredLeaving returns a response with a leaving notice because of which the instance
// must not have sent a, or false if there is none.
func (h history) ignoredLeaving(l link, a attempt) (attempt, bool) {
	for _, notice := range h.attempts[l] {
		if !notice.leavingNoticeDelivered() || !a.sent.After(notice.received.Add(drainDelay)) {
			continue
		}
		if !h.restartedOrFrozen(l.instance, notice.received, a.Arrived) {
			return notice, true
		}
	}
	return attempt{}, false
}

// requestsDuringBackoff returns a description of each link over which more than
// maxDuringBackoff requests reached a server during a Retry-After time that it had sent
// to the instance.
func (h history) requestsDuringBackoff() []string {
	var out []string
	for l, all := range h.attempts {
		var ignored []string
		for _, notice := range all {
			if ids := h.ignoredBackoff(l, notice); len(ids) > maxDuringBackoff {
				ignored = append(ignored, fmt.Sprintf("%s at %s with Retry-After %s, then received %v", notice.ID, clock(notice.Responded), notice.RetryAfter, ids))
			}
		}
		if len(ignored) > 0 {
			out = append(out, fmt.Sprintf("%s ignored Retry-After in %d responses of %s, first %s", l.instance, len(ignored), l.server, ignored[0]))
		}
	}
	return out
}

// ignoredBackoff returns the ids of the requests that reached the server during the
// Retry-After time of notice, without its first backoffDelay.
func (h history) ignoredBackoff(l link, notice attempt) []string {
	from, end := notice.Responded.Add(backoffDelay), notice.Responded.Add(notice.backoff())
	if h.hadFault(l.server, networkFault, notice.Responded, from) {
		return nil
	}
	var ids []string
	for _, a := range h.attempts[l] {
		if a.Arrived.Before(from) || !a.Arrived.Before(end) || h.restartedOrFrozen(l.instance, notice.Responded, a.Arrived) {
			continue
		}
		ids = append(ids, a.ID)
	}
	return ids
}
