package steer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/popularity"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// maxTargetsExplained bounds the targets of a RequestExplanation.
const maxTargetsExplained = 20

// RequestQuery describes a request to explain.
type RequestQuery struct {
	// Route is the route's name. Without one the route follows from Host and Path.
	Route, Host, Path string
	Method            string
	Member            string
	// Workspace is the name of the caller's workspace; empty without one.
	Workspace string
	// ObjectKey is as in Request.
	ObjectKey uint64
}

// RequestExplanation describes what direct dispatch would do with a request now, and why.
type RequestExplanation struct {
	// Verdict, Pool, Target, Kind and RetryAfter are as in Decision.
	Verdict    Verdict
	Pool       string
	Target     string
	Kind       fault.Kind
	RetryAfter time.Duration

	// Version is that of the tables in force.
	Version   uint64
	Route     *table.Route
	Workspace *table.Workspace
	Priority  table.Priority
	// Regions are those that route and workspace both allow.
	Regions []string
	Service string
	// Affinity is set if it matters which target the request is sent to. MaxWait is how long
	// it may wait at a target.
	Affinity bool
	MaxWait  time.Duration
	// Room is the state of the service's waiting room; nil if its requests don't wait.
	Room *RoomOutlook
	// Targets begins with those of the object, by rank, then has the others that may be
	// chosen, by cost, then the excluded ones. More is the number of those left out.
	Targets []CandidateView
	More    int
}

// RoomOutlook is the waiting room of a service as a request would find it.
type RoomOutlook struct {
	// Waiting counts the requests that wait. ServedFirst is set if some of them are about to
	// be sent, which may change what becomes of the request.
	Waiting     int
	ServedFirst bool
	// Full is set if no target has room for the request's rank. Ahead is then the number of
	// requests before it, ExpectedWait the wait that follows, and MaxWait how long it may
	// wait.
	Full         bool
	Ahead        int
	ExpectedWait time.Duration
	MaxWait      time.Duration
}

// CandidateView is a target as a request would find it.
type CandidateView struct {
	TargetView
	Zone, Region string
	Slots        int
	// Rank is the target's place among those of the request's object, from 1; zero if it is
	// none of them. Warm is set if this instance has sent the object there.
	Rank int
	Warm bool
	// Cold is set while the caches of the target are cold. It then gets few requests, and none
	// as a target of an object.
	Cold bool
	// Others estimates the requests of other instances, from a report of the age LoadAge if
	// LoadReported is set.
	Others       float64
	LoadAge      time.Duration
	LoadReported bool
	// Cost ranks the targets that may be chosen. It includes Wait, the expected wait there.
	// NoRoom is set if that is longer than the request may wait.
	Cost, Wait time.Duration
	NoRoom     bool
	// Compared is set if a further target of the object is considered although this one has
	// room: it usually has a queue, or work takes longer there now.
	Compared bool
}

// ExplainRequest returns what would become of a request now at this instance, with direct
// dispatch. It uses the code of Decide and changes no state. Requests that wait have the first
// choice: the result is that of Decide if Tick has just been called. The error is of kind
// fault.KindUnknownRoute, or fault.KindBadRequest for a workspace that the tables don't have.
func (c *Core) ExplainRequest(now time.Time, q RequestQuery) (RequestExplanation, error) {
	snap := c.snapshot.Load()
	row := snap.tables.Route(q.Route)
	if q.Route == "" {
		row = snap.matcher.Match(q.Host, q.Path)
	}
	if row == nil {
		return RequestExplanation{}, fault.New(fault.KindUnknownRoute, "the tables have no such route")
	}
	r, refusal, err := snap.requestFor(now, row, q)
	if err != nil {
		return RequestExplanation{}, err
	}
	d := c.tryDecide(snap, now, r)
	if refusal != fault.KindNone {
		d.Decision = refuse(refusal)
	}
	return c.explanationOf(snap, now, r, &d), nil
}

// Direct reports whether direct dispatch is on.
func (c *Core) Direct() bool { return c.direct != nil }

// explanationOf returns the explanation of d, the decision on r.
func (c *Core) explanationOf(snap *snapshot, now time.Time, r *Request, d *dryRunDecision) RequestExplanation {
	e := RequestExplanation{
		Verdict: d.Verdict, Pool: d.Pool, Target: d.Target, Kind: d.Kind, RetryAfter: d.RetryAfter,
		Version: snap.tables.Version, Route: r.Route, Workspace: r.Workspace, Priority: r.Priority(), Service: r.service, Affinity: r.usesAffinity(), MaxWait: max(0, d.est.maxWait),
	}
	if d.room {
		e.Room = &RoomOutlook{Waiting: d.waiting, ServedFirst: d.servedFirst}
	}
	if d.turn != nil {
		e.Room.Full, e.Room.Ahead, e.Room.ExpectedWait, e.Room.MaxWait = true, d.turn.ahead, d.turn.expected, max(0, d.turn.until.Sub(now))
	}
	for _, p := range snap.poolsOf(r.service) {
		if r.mayUseRegion(p.row.Region) {
			e.Regions = append(e.Regions, p.row.Region)
		}
	}
	e.Targets = c.candidateViews(snap, r, d, c.nanos(now))
	if extra := len(e.Targets) - maxTargetsExplained; extra > 0 {
		e.Targets, e.More = e.Targets[:maxTargetsExplained], extra
	}
	return e
}

// candidateViews returns the targets of r's service in the order of RequestExplanation.Targets.
func (c *Core) candidateViews(snap *snapshot, r *Request, d *dryRunDecision, now int64) []CandidateView {
	var set [popularity.MaxTargets]rankedTarget
	ranked := set[:c.rankTargets(snap, r, now, set[:max(c.targetCount(snap, r, d.est), maxTargetsPerObject(c.direct.policy.Without))])]
	var views []CandidateView
	for _, p := range snap.poolsOf(r.service) {
		for _, t := range p.targets {
			rank := 1 + slices.IndexFunc(ranked, func(rt rankedTarget) bool { return rt.target == t })
			views = append(views, c.candidateView(p, t, r, d.est, rank, now))
		}
	}
	slices.SortStableFunc(views, compareCandidates)
	return views
}

// compareCandidates orders the targets of an explanation.
func compareCandidates(a, b CandidateView) int {
	return cmp.Or(
		compareBool(a.Rank > 0, b.Rank > 0), cmp.Compare(a.Rank, b.Rank),
		compareBool(a.Excluded == "", b.Excluded == ""), compareBool(!a.NoRoom, !b.NoRoom), cmp.Compare(a.Cost, b.Cost),
	)
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// candidateView returns the view of t, a target of p that has the rank for the object of r.
func (c *Core) candidateView(p *pool, t *target, r *Request, est estimate, rank int, now int64) CandidateView {
	v := CandidateView{TargetView: t.directView(c, p, r, now), Zone: t.row.Zone, Region: p.row.Region, Slots: t.row.Slots, Rank: rank, Cold: t.isCold(now)}
	v.Warm = r.usesAffinity() && c.direct.history.knows(t.serial, r.ObjectKey)
	if at := t.otherLoad.at.Load(); at != 0 {
		v.Others, v.LoadAge, v.LoadReported = t.otherLoad.value(now), time.Duration(now-at), true
	}
	warm, cold := est.costInputs(c.direct.policy.Without)
	in := cold
	if rank > 0 {
		in = warm
		v.Compared = t.shouldCompare(now, c.direct.policy.Without)
	}
	var b candidate
	b.consider(c, t, p, now, in)
	v.Cost, v.Wait, v.NoRoom = b.cost, b.wait, b.exceedsWait
	return v
}

// directView returns the view of t for r with direct dispatch, which needs no shares.
func (t *target) directView(c *Core, p *pool, r *Request, now int64) TargetView {
	v := t.view(now)
	v.Share, v.Excluded = 0, t.exclusion(now)
	switch {
	case v.Excluded != "":
	case !r.mayUseRegion(p.row.Region):
		v.Excluded = "its region is not allowed by the route or the workspace"
	case t.unreachable.Load():
		v.Excluded = "unreachable since it refused a connection"
	case !t.backoff.allows(now, t.inFlight.Load()):
		v.Excluded = fmt.Sprintf("after a backoff: at most %d requests of this instance until it responds", t.backoff.window.Load())
	case t.isCold(now) && !c.maySendToCold(t, now):
		v.Excluded = fmt.Sprintf("cold for another %v: other instances warm it, or this one has just sent it a request", time.Duration(t.coldUntil.Load()-now).Round(time.Millisecond))
	}
	return v
}
