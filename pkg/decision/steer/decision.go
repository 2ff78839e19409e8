package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Verdict is the kind of a decision.
type Verdict uint8

// The verdicts.
const (
	// Refuse: respond with Decision.Kind at once.
	Refuse Verdict = iota
	// Dispatch: send the request to Decision.Target, then call Done.
	Dispatch
	// Hop: forward the request to an instance of Decision.Zone, then call Done.
	Hop
	// Wait: the request is queued under Decision.Ticket. A later Wakeup carries
	// the final decision. Cancel removes the request from the queue.
	Wait
)

// Decision is the result of Decide.
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
	// NotAfter is the end of the lease of the shares, set with Dispatch unless
	// direct: no part of the request may be sent at or after it.
	NotAfter time.Time
	// Zone is set with Hop.
	Zone string
	// Ticket is set with Wait.
	Ticket uint64
	// TablesVersion is the version of the tables that the decision is based on.
	TablesVersion uint64
	// Caller is what these tables say about the key of the request.
	Caller Caller

	// The fields below are what Done frees and what it records.
	targetStats *targetStats
	// targetSlots is the number of the target's slots.
	targetSlots int64
	region      *region
	zoneStats   *zoneStats
	poolStats   *poolStats
	fingerprint uint64
	// dispatchedAt is when a Dispatch was decided. deadline is the deadline of
	// its request.
	dispatchedAt int64
	deadline     int64
	// row is the row of the request's route that the decision is based on.
	row *table.Route
	// route and warm are set by direct dispatch. warm is set when this instance
	// has sent the request's object to the target before, or there is no
	// object.
	route *route
	warm  bool
	// room is the waiting room of the target's service; nil where requests don't wait.
	room *room
	// poisonCounted is set when the poison tracker counts the attempt as
	// running.
	poisonCounted bool
	// affinity is set if it matters which target the request is sent to.
	affinity bool
	// repeat is set if an earlier attempt may have run, or may still run.
	repeat bool
	// attempt is the number of the attempt, from 1.
	attempt uint8
	// expectedWait is how long the request was expected to wait at the target.
	expectedWait time.Duration
	// networkCost is the estimated cost of the network path to the target.
	networkCost time.Duration
	// workFactor is the reported work factor that the decision is based on.
	workFactor float64

	// Diagnostics is what direct dispatch based its decision on, for the log.
	Diagnostics Diagnostics
}

// Region returns the region of the chosen target, or "" without one.
func (d *Decision) Region() string {
	if d.region == nil {
		return ""
	}
	return d.region.name
}

// Diagnostics is what a decision of direct dispatch was based on.
type Diagnostics struct {
	// Target is the target of least cost, also when the request was refused.
	Target string
	// ExpectedWait is how long the request was expected to wait there, and
	// MaxWait how long it may wait.
	ExpectedWait time.Duration
	MaxWait      time.Duration
	// InFlight counts this instance's requests at the target, and
	// OthersInFlight estimates those of other instances, from a report of the
	// age LoadAge.
	InFlight       int
	OthersInFlight float64
	LoadAge        time.Duration
	// RateLimit is the rate limit that the target has announced, in requests per
	// second, valid if RateLimited is set.
	RateLimit   float64
	RateLimited bool
	// WorkFactor is the target's last report of how long work takes there, as a
	// multiple of the usual time and within the bounds of what counts, and
	// WorkFactorAge its age. Both are valid if WorkReported is set.
	WorkFactor    float64
	WorkFactorAge time.Duration
	WorkReported  bool
}
