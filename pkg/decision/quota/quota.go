// Package quota decides which requests of a workspace are admitted, so that all
// instances together keep the workspace's limit: one instance, the owner, grants
// tokens, and the others use them. The package is pure: time, randomness and
// messages are arguments. See docs/design/quotas.md.
package quota

import (
	"math"
	"time"
)

// The rule that the instances keep together: in any Window, at most
// (rate × Window + burst) × (1 + Over) + Slack requests of a workspace arrive at
// targets.
const (
	// Window is the time over which requests are counted.
	Window = 5 * time.Second
	// Over is the fraction by which the limit may be exceeded.
	Over = 0.1
	// Slack is the number of requests that may arrive beyond that.
	Slack = 20
)

const (
	// lease is how long tokens are valid, from the sending of the last answered ask.
	lease = 1500 * time.Millisecond
	// AnswerTimeout is how long an instance waits for the answer to an ask.
	AnswerTimeout = 250 * time.Millisecond
	// ownerLease is how long an owner counts a member as in touch, from the arrival of
	// the last ask whose answer the member has acknowledged.
	ownerLease = lease + 100*time.Millisecond
	// partAfter is the time from the sending of the last answered ask after which an
	// instance uses its own part. By then the owner counts it as out of touch.
	partAfter = ownerLease + AnswerTimeout + 150*time.Millisecond
	// keepalive is the longest time between two asks of an open session.
	keepalive = 500 * time.Millisecond
	// minAskInterval is the shortest time between two asks to an owner.
	minAskInterval = 60 * time.Millisecond
	// askInterval is the mean time between two asks to all owners together, at the least,
	// of which askBurst may be saved up. Asks that keep sessions open are sent besides.
	askInterval = 40 * time.Millisecond
	askBurst    = 8
	// closeAfter is the time without requests after which a session is closed.
	closeAfter = 5 * time.Second
	// closeRetry is the time between two attempts to close a session. The owner does not
	// count the weight of a member whose session has lapsed instead.
	closeRetry = 2 * time.Second
	// settleAfter is how long an owner that has just begun counts only the members that
	// are in touch with it: others may be using their own parts, or an earlier owner's
	// tokens.
	settleAfter = Window
	// maxTickGap is the time between two ticks above which an instance must have been
	// frozen or starved, and forgets what it has granted and holds.
	maxTickGap = 1200 * time.Millisecond
	// sweepInterval is the time between two searches for what has lapsed.
	sweepInterval = 50 * time.Millisecond
	// forgetAfter is the time after which a workspace at rest is forgotten.
	forgetAfter = 30 * time.Second
)

const (
	// horizon is the time for whose demand a wallet holds tokens.
	horizon = 600 * time.Millisecond
	// demandSpan is the time over which demand is averaged.
	demandSpan = 3 * time.Second
	// deviations is by how many standard deviations of the demand of the next horizon a
	// wallet's tokens exceed its mean.
	deviations = 1.3
	// updateInterval is the time between two asks while there is something to say that
	// isn't urgent.
	updateInterval = 200 * time.Millisecond
	// pooledBelow is the demand in requests per second below which an instance has the
	// holder of its region admit the requests of a workspace. Above it the instance needs a
	// token within most horizons.
	pooledBelow = 1.2
	// scarceFor is how long after an owner was out of tokens instances ask it themselves: a
	// holder would have none either.
	scarceFor = 5 * time.Second
	// HolderTimeout is how long an instance waits for its holder, several round trips within
	// a region. holderPause is how long it does without one that has not answered.
	HolderTimeout = 60 * time.Millisecond
	holderPause   = time.Second
	// standFor is how long after its last request a workspace keeps a standing token.
	standFor = 20 * time.Second
	// waitersReserve is the fraction of a full bucket that is kept for requests that wait,
	// standingReserve that above which standing tokens are granted.
	waitersReserve  = 0.3
	standingReserve = 0.6
	// wantPause is the time for which an instance asks for no more than it needs after it
	// has not got all that it wanted.
	wantPause = 500 * time.Millisecond
	// spareTokens are the tokens of a full bucket beyond the burst.
	spareTokens = 10
	// minBurstSpan is the time whose requests a full bucket holds at least.
	minBurstSpan = 200 * time.Millisecond
	// minPause and maxPause bound the time until there is room that an owner states.
	minPause = 50 * time.Millisecond
	maxPause = 500 * time.Millisecond
)

// Limit is the limit of one workspace over all instances.
type Limit struct {
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
}

// capacity is the largest number of tokens that may be unused at any time.
func (l Limit) capacity() float64 {
	return max(l.Burst, l.Rate*minBurstSpan.Seconds()) + spareTokens
}

// Allowed returns the largest number of requests that may arrive in a Window.
func (l Limit) Allowed() float64 {
	return (l.Rate*Window.Seconds()+l.Burst)*(1+Over) + Slack
}

// seconds returns s seconds as a duration; at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, time.Hour.Seconds()) * float64(time.Second))
}

// demand is an average of requests per second that follows changes within demandSpan.
type demand struct {
	perSecond float64
	at        time.Time
}

// observe counts n requests at now.
func (d *demand) observe(now time.Time, n float64) {
	d.perSecond = d.value(now) + n/demandSpan.Seconds()
	d.at = now
}

// value returns the average at now, in requests per second.
func (d *demand) value(now time.Time) float64 {
	return d.perSecond * math.Exp(-now.Sub(d.at).Seconds()/demandSpan.Seconds())
}
