package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

const (
	// maxAttempts bounds the dispatches and hops of one request.
	maxAttempts = 4
	// maxWithdrawn bounds the attempts of one request that were withdrawn and do not count.
	maxWithdrawn = 4
)

// Request holds what a decision depends on. The calling package owns it for the
// request's whole life and passes the same one to each decision.
type Request struct {
	// Route is the matched row of the tables, and TablesVersion the version of the
	// tables that it belongs to. Each decision under newer tables replaces both.
	Route         *table.Route
	TablesVersion uint64
	// Host and Path are what the route was matched by; see table.Matcher.Match. Path is
	// empty if another instance has chosen the route.
	Host string
	Path string
	// Pool is set when another instance has chosen the pool and forwarded the
	// request, which is then served in this zone or refused.
	Pool string
	// Key is the digest of the key with which the caller has identified its workspace;
	// empty without one.
	Key table.KeyDigest
	// Workspace is the workspace of Key in the tables in force; nil without one. Identify
	// and each decision set it.
	Workspace *table.Workspace
	// Member is the member on whose behalf the caller sends the request. It is
	// used only for fairness.
	Member string
	// Idempotent reports whether the request may run more than once. Newer tables may
	// only clear it.
	Idempotent bool
	// Method is the method of the request if its route determines whether it is
	// idempotent; empty if the caller has.
	Method string
	// Fingerprint identifies repeats of the same request for the poison check.
	// Zero disables the check.
	Fingerprint uint64
	// ObjectKey identifies the object that the request is about, for affinity.
	// Zero means none.
	ObjectKey uint64
	// BodyBytes is the announced size of the body in bytes, or -1 if unknown.
	BodyBytes int64
	// Arrived is the time of arrival. Deadline is when the request ends.
	Arrived  time.Time
	Deadline time.Time
	// CallerDeadline is when the caller gives up, with all its further requests for the
	// same; zero if it has not said so. Deadline is not later.
	CallerDeadline time.Time

	// Attempts counts the dispatches and hops so far.
	Attempts int
	// excluded holds the targets and zones that must not be chosen again.
	excluded      [maxAttempts]string
	excludedCount int
	// mayHaveRun is set once an attempt had an unknown outcome.
	mayHaveRun bool
	// unknownKind is the error kind of the first such attempt.
	unknownKind fault.Kind
	// withdrawn counts the attempts that were withdrawn before their first byte, up to
	// maxWithdrawn. They do not count towards the limit.
	withdrawn int
	// deposited is set once the retry budget counts the request.
	deposited bool
	// hedged is set once a hedge was allowed, which may run beside an earlier attempt.
	hedged bool
	// service is the service that direct dispatch has chosen for the request.
	service string
	// roomSince is when the request first asked for scarce room for the attempt roomAttempt.
	roomSince   time.Time
	roomAttempt int
	// countedInRoom is set once the request counts as one of its rank.
	countedInRoom bool
	// workspaceRegions is the regionsKey of the regions of Workspace.
	workspaceRegions string
}

// Exclude prevents name, a target or a zone, from being chosen again for r.
func (r *Request) Exclude(name string) {
	if r.excludedCount < len(r.excluded) {
		r.excluded[r.excludedCount] = name
		r.excludedCount++
	}
}

// Excluded reports whether name must not be chosen again for r.
func (r *Request) Excluded(name string) bool {
	for _, excluded := range r.excluded[:r.excludedCount] {
		if excluded == name {
			return true
		}
	}
	return false
}

// attemptLimit returns the largest number of attempts of a request of the route.
func attemptLimit(row *table.Route) int {
	if n := row.MaxAttempts; n > 0 {
		return min(n, maxAttempts)
	}
	return maxAttempts
}

// MayHaveRun reports whether an attempt of the request had an unknown outcome.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun }

// ResponseKind returns the error kind to report to the caller when the last
// attempt or decision ended with k: a kind that states "not run" is replaced
// once an earlier attempt may have run.
func (r *Request) ResponseKind(k fault.Kind) fault.Kind {
	if r.mayHaveRun && k.Info().Outcome == fault.OutcomeNotRun {
		return r.unknownKind
	}
	return k
}
