// Package steer decides where each request goes. It is deterministic: the time
// and the random source are arguments, and it starts no goroutines and does no
// I/O. A Core may be used from several goroutines at once.
package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// Self identifies the instance that decides, and its location.
type Self struct {
	Instance string
	Zone     string
	Region   string
}

// Wakeup is the final decision on a queued request. A refusal of the kind
// fault.KindTargetLeaving means that the tables no longer allow the request where it waited;
// another call of Decide then chooses again.
type Wakeup struct {
	Ticket   uint64
	Decision Decision
}

// Result describes how an attempt ended.
type Result struct {
	// Kind is fault.KindNone when the target responded.
	Kind fault.Kind
	// Latency is the time from the dispatch to the first byte of the response.
	Latency time.Duration
	// Failed is set when the target's response reports a failure of the target.
	Failed bool
	// Load is the load that the target reported with its response, or nil.
	Load *TargetLoad
}

// Notice is what a target reports about itself with a response, besides its
// load.
type Notice struct {
	// Leaving is set when the target reported that it is leaving.
	Leaving bool
	// RetryAfter is the time for which the target has asked for no requests
	// from this instance. Zero means none.
	RetryAfter time.Duration
}

// TargetLoad is the load that a target reports with a response.
type TargetLoad struct {
	Running int
	Waiting int
	Slots   int
	// WorkPercent is how long work takes at the target now, in percent of the usual
	// time. Zero means that the target doesn't report it.
	WorkPercent int
}

// Shares is what this instance may use at present. The sum over all instances
// of a zone never exceeds the tables' limits.
type Shares struct {
	// Expires is the end of the lease: nothing is dispatched at or after it.
	Expires time.Time
	// Slots is the share of each target's slots, by target name.
	Slots map[string]int
	// Regions is the share of each region's limit, by region name.
	Regions map[string]int
}

// LoadReport is a target's report about itself, which may be late or wrong.
type LoadReport struct {
	Target string
	// At is when the report was requested.
	At       time.Time
	InFlight int
	Slots    int
	Queued   int
	// WorkPercent is as in TargetLoad.
	WorkPercent int
	Leaving     bool
	// Healthy is false when the health endpoint failed.
	Healthy bool
	// Incarnation changes each time the target starts.
	Incarnation string
	// ColdRemaining is how much longer the target's caches will be cold.
	ColdRemaining time.Duration
}

// ZoneSummary is another zone's headroom for one pool. Its field names are part
// of messages between instances.
type ZoneSummary struct {
	Zone string
	Pool string
	// At is when the summary was made.
	At time.Time
	// Free and Slots are sums over the pool's targets in the zone.
	Free  int
	Slots int
	// Queued is the number of queued requests.
	Queued int
	// LatencyEstimate is the mean service time of the pool in the zone.
	LatencyEstimate time.Duration
	// Uptime is how long the instances of the zone have served.
	Uptime time.Duration
	// Share is the smallest share of its arrivals that an instance of the zone
	// gave to this pool within the last shift window.
	Share float64
}

// Add merges the summary of another instance of the same zone and pool into z.
func (z *ZoneSummary) Add(o ZoneSummary) {
	if slots := z.Slots + o.Slots; slots > 0 {
		weighted := z.LatencyEstimate*time.Duration(z.Slots) + o.LatencyEstimate*time.Duration(o.Slots)
		z.LatencyEstimate = weighted / time.Duration(slots)
	}
	z.Free += o.Free
	z.Slots += o.Slots
	z.Queued += o.Queued
	z.Uptime = max(z.Uptime, o.Uptime)
	z.Share = min(z.Share, o.Share)
}
