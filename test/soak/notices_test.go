package soak

import (
	"fmt"
	"time"
)

const (
	// backoffDelay is how long requests may still reach a server after it has
	// answered with Retry-After.
	backoffDelay = 500 * time.Millisecond
	// maxDuringBackoff is how many may reach it from one instance after that.
	maxDuringBackoff = 2
)

// checkNotices checks that instances heed the notices of the servers. It logs how
// many notices there were.
func (c *callers) checkNotices() {
	c.dep.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	h := newHistory(c.dep.exchanges.All(), c.requests, c.dep.disturbed.list)
	for _, violation := range append(h.requestsToLeaving(), h.requestsDuringBackoff()...) {
		c.dep.t.Error(violation)
	}
	leaving, backoffs := h.countNotices()
	c.dep.t.Logf("%d responses of leaving servers passed on, %d with Retry-After", leaving, backoffs)
}

// countNotices returns the number of responses with each notice that the checks
// start from.
func (h history) countNotices() (leaving, backoffs int) {
	for _, all := range h.attempts {
		for _, a := range all {
			if a.toldLeaving() {
				leaving++
			}
			if a.backoff() > 0 {
				backoffs++
			}
		}
	}
	return leaving, backoffs
}

// toldLeaving reports whether the instance certainly knows from this response that
// the server is leaving.
func (a attempt) toldLeaving() bool { return a.Leaving && !a.passedOn.IsZero() }

// backoff returns the time for which the response asks for no requests.
func (a attempt) backoff() time.Duration {
	d, err := time.ParseDuration(a.RetryAfter + "s")
	if err != nil {
		return 0
	}
	return d
}

// requestsToLeaving describes the links over which requests reached a leaving server
// that a caller sent more than drainDelay after the instance had passed on a response
// of that server with the notice.
func (h history) requestsToLeaving() []string {
	var out []string
	for l, all := range h.attempts {
		var late []string
		for _, a := range all {
			if notice, ok := h.ignoredLeaving(l, a); ok {
				late = append(late, fmt.Sprintf("%s sent at %s (notice to %s passed on at %s)", a.ID, clock(a.sent), notice.ID, clock(notice.passedOn)))
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

// ignoredLeaving returns the response with the leaving notice that the instance
// must have heeded when it sent a.
func (h history) ignoredLeaving(l link, a attempt) (attempt, bool) {
	for _, notice := range h.attempts[l] {
		if !notice.toldLeaving() || !a.sent.After(notice.passedOn.Add(drainDelay)) {
			continue
		}
		if !h.mayHaveForgotten(l.instance, notice.passedOn, a.Arrived) {
			return notice, true
		}
	}
	return attempt{}, false
}

// requestsDuringBackoff describes the links over which more than maxDuringBackoff
// requests reached a server in a time for which it had asked the instance for none.
func (h history) requestsDuringBackoff() []string {
	var out []string
	for l, all := range h.attempts {
		var ignored []string
		for _, notice := range all {
			if ids := h.ignoredBackoff(l, notice); len(ids) > maxDuringBackoff {
				ignored = append(ignored, fmt.Sprintf("%s at %s with Retry-After %s, then got %v", notice.ID, clock(notice.Answered), notice.RetryAfter, ids))
			}
		}
		if len(ignored) > 0 {
			out = append(out, fmt.Sprintf("%s ignored %d refusals of %s, which answered first %s", l.instance, len(ignored), l.server, ignored[0]))
		}
	}
	return out
}

// ignoredBackoff returns the ids of the requests that reached the server in the time
// for which notice asked for none, from backoffDelay on.
func (h history) ignoredBackoff(l link, notice attempt) []string {
	from, end := notice.Answered.Add(backoffDelay), notice.Answered.Add(notice.backoff())
	if h.disturbed(l.server, cut, notice.Answered, from) {
		return nil
	}
	var ids []string
	for _, a := range h.attempts[l] {
		if a.Arrived.Before(from) || !a.Arrived.Before(end) || h.mayHaveForgotten(l.instance, notice.Answered, a.Arrived) {
			continue
		}
		ids = append(ids, a.ID)
	}
	return ids
}
