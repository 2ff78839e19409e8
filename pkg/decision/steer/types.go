// Package steer decides where each request goes. It is pure: the time and
// the random source are arguments, it starts no goroutine and does no I/O.
// A Core may be used from several goroutines at once.
package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Self is the place of the instance that decides.
type Self struct {
	Instance string
	Zone     string
	Region   string
}

// Request is what a decision needs to know about one request. The shell owns
// it for the request's whole life and passes the same one to each decision.
type Request struct {
	// Route is the matched row of the tables in force.
	Route *table.Route
	// Pool is set when another instance has chosen the pool already; the
	// request must then be served in this zone or refused.
	Pool string
	// Member is the member on whose behalf the caller asks; it is used for
	// fairness only.
	Member string
	// Idempotent says whether the request may run more than once.
	Idempotent bool
	// Fingerprint identifies repeats of the same request for the poison
	// check. Zero switches the check off.
	Fingerprint uint64
	// Key identifies the object that the request concerns, for affinity. Zero
	// means none.
	Key uint64
	// BodyBytes is the announced size of the body, or -1.
	BodyBytes int64
	// Arrived is the time of arrival; Deadline ends the request.
	Arrived  time.Time
	Deadline time.Time

	// Attempts counts the dispatches and hops made so far.
	Attempts int
	// tried holds the targets and zones that must not be chosen again.
	tried      [maxAttempts]string
	triedCount int
	// mayHaveRun is set once an attempt had an unknown outcome.
	mayHaveRun bool
	// unknown is the kind of the first such attempt.
	unknown fault.Kind
	// service is the service that direct dispatch has chosen for the request.
	service string
}

// maxAttempts bounds the dispatches and hops of one request.
const maxAttempts = 4

// Exclude keeps name, a target or a zone, from being chosen again for r.
func (r *Request) Exclude(name string) {
	if r.triedCount < len(r.tried) {
		r.tried[r.triedCount] = name
		r.triedCount++
	}
}

// Excluded reports whether name must not be chosen again for r.
func (r *Request) Excluded(name string) bool {
	for _, t := range r.tried[:r.triedCount] {
		if t == name {
			return true
		}
	}
	return false
}

// attemptLimit returns how often r may be sent.
func (r *Request) attemptLimit() int {
	if n := r.Route.MaxAttempts; n > 0 {
		return min(n, maxAttempts)
	}
	return maxAttempts
}

// Verdict is the kind of a decision.
type Verdict uint8

// The verdicts.
const (
	// Refuse: answer with Decision.Kind at once.
	Refuse Verdict = iota
	// Dispatch: send to Decision.Target, then call Done.
	Dispatch
	// Hop: pass to an instance of Decision.Zone, then call Done.
	Hop
	// Wait: the request is queued under Decision.Ticket. A later Wakeup
	// carries its final decision; Cancel takes it out.
	Wait
)

// Decision is the answer to Decide.
type Decision struct {
	Verdict Verdict
	// Kind and RetryAfter are set with Refuse.
	Kind       fault.Kind
	RetryAfter time.Duration
	// Pool is the chosen pool with Dispatch, Hop and Wait.
	Pool string
	// Target and Address are set with Dispatch.
	Target  string
	Address string
	// NotAfter is set with Dispatch: nothing of the request may be sent at or
	// after it, because the lease of the shares ends.
	NotAfter time.Time
	// Zone is set with Hop.
	Zone string
	// Ticket is set with Wait.
	Ticket uint64

	// What Done gives back and takes in.
	slot *slot
	// slots are those of the target.
	slots       int64
	region      *region
	zone        *zoneStats
	stats       *poolStats
	fingerprint uint64
	// at is when a Dispatch was decided, and deadline ends its request.
	at       int64
	deadline int64
	// counted is set when the poison register counts the attempt.
	counted bool
	// route and known are set by direct dispatch; known says that this instance
	// has sent the request's object to the target before, or that there is none.
	route *route
	known bool
	// wait is how long the request was expected to wait at the target.
	wait time.Duration
	// distance is what was added for the way to the target.
	distance time.Duration

	// Basis is what direct dispatch has decided on, for the log.
	Basis Basis
}

// Basis is what a decision of direct dispatch rests on.
type Basis struct {
	// Target is the one that cost least, also when the request was refused.
	Target string
	// Wait is how long the request was expected to wait there, and Allowed how
	// long it may wait.
	Wait    time.Duration
	Allowed time.Duration
	// InFlight counts this instance's requests at the target, and Others the
	// estimate of those of other instances, from a report of the age LoadAge.
	InFlight int
	Others   float64
	LoadAge  time.Duration
}

// Wakeup is the final decision on a request that waited.
type Wakeup struct {
	Ticket   uint64
	Decision Decision
}

// Result is how an attempt ended.
type Result struct {
	// Kind is fault.KindNone when the target answered.
	Kind fault.Kind
	// Latency is from the dispatch to the first byte of the answer.
	Latency time.Duration
	// Failed is set when the target's answer reports its own failure.
	Failed bool
	// Load is what the target said of its load with its answer, or nil.
	Load *TargetLoad
}

// Notice is what a target says of itself with an answer, beside its load.
type Notice struct {
	// Leaving is set when the target said that it is leaving.
	Leaving bool
	// RetryAfter is how long the target wants nothing from this instance; zero
	// without such a wish.
	RetryAfter time.Duration
}

// TargetLoad is the load that a target states with an answer.
type TargetLoad struct {
	Running int
	Waiting int
	Slots   int
}

// Shares is what this instance may use at present. The sum over all
// instances of a zone never exceeds the tables' limits.
type Shares struct {
	// Expires ends the lease: nothing is dispatched at or after it.
	Expires time.Time
	// Slots is the share of each target's slots, by target name.
	Slots map[string]int
	// Regions is the share of each region's limit, by region name.
	Regions map[string]int
}

// LoadReport is a target's report about itself, which may be late or wrong.
type LoadReport struct {
	Target string
	// At is when the report was asked for.
	At       time.Time
	InFlight int
	Slots    int
	Queued   int
	Leaving  bool
	// Healthy is false when the health endpoint failed.
	Healthy bool
	// Incarnation changes each time the target starts.
	Incarnation string
	// Cold is how much longer the target's caches are cold.
	Cold time.Duration
}

// ZoneSummary is another zone's headroom for one pool.
type ZoneSummary struct {
	Zone string
	Pool string
	// At is when the summary was made.
	At time.Time
	// Free and Slots are counts over the zone's targets of the pool.
	Free  int
	Slots int
	// Queued is the number of waiting requests.
	Queued int
	// LatencyEstimate is the mean service time of the pool in the zone.
	LatencyEstimate time.Duration
	// Uptime is how long the instances of the zone have served.
	Uptime time.Duration
	// Share is the smallest share of its arrivals that an instance of the zone
	// gave to this pool within the last shift window.
	Share float64
}

// Add takes the summary of another instance of the same zone and pool into z.
func (z *ZoneSummary) Add(o ZoneSummary) {
	if all := z.Slots + o.Slots; all > 0 {
		weighted := z.LatencyEstimate*time.Duration(z.Slots) + o.LatencyEstimate*time.Duration(o.Slots)
		z.LatencyEstimate = weighted / time.Duration(all)
	}
	z.Free += o.Free
	z.Slots += o.Slots
	z.Queued += o.Queued
	z.Uptime = max(z.Uptime, o.Uptime)
	z.Share = min(z.Share, o.Share)
}

// MayHaveRun reports whether an attempt of the request had an unknown outcome.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun }

// Answer returns the kind that the caller must be told when the last attempt
// or decision ended with k: a refusal is not "not run" once an earlier
// attempt may have run.
func (r *Request) Answer(k fault.Kind) fault.Kind {
	if r.mayHaveRun && k.Info().Outcome == fault.OutcomeNotRun {
		return r.unknown
	}
	return k
}
