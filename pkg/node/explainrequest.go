package node

import (
	"cmp"
	"math/rand/v2"
	"net/url"

	"github.com/jacinthramp/jacinthramp/pkg/decision/lookup"
	"github.com/jacinthramp/jacinthramp/pkg/decision/quota"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// quotaVerdicts are the names of the verdicts on quotas in explanations.
var quotaVerdicts = map[quota.Verdict]string{quota.Admit: "admit", quota.Wait: "ask", quota.Refuse: "refuse"}

// explainRequest returns what would become of a request with direct dispatch.
func (n *Node) explainRequest(route *table.Route, q url.Values) (wire.Explanation, error) {
	method := q.Get(wire.QueryMethod)
	e, err := n.core.ExplainRequest(n.now(), steer.RequestQuery{
		Route: route.Name, Method: method, Member: q.Get(wire.QueryMember), Workspace: q.Get(wire.QueryWorkspace), ObjectKey: objectKey(q.Get(wire.QueryObject)),
	})
	if err != nil {
		return wire.Explanation{}, err
	}
	out := wire.Explanation{
		Instance: n.self.ID, Version: e.Version, Route: route.Name,
		Verdict: verdictNames[e.Verdict], Pool: e.Pool, Target: e.Target, Pools: []wire.PoolExplanation{},
	}
	if e.Verdict == steer.Refuse {
		out.Kind, out.RetryAfterMS = e.Kind.String(), milliseconds(e.RetryAfter)
	}
	out.Request = requestMessage(method, &e)
	return out, nil
}

// requestMessage converts e, which is about a request with the method, to its wire format.
func requestMessage(method string, e *steer.RequestExplanation) *wire.RequestExplanation {
	out := &wire.RequestExplanation{
		Idempotent: e.Route.IsIdempotent(method), Priority: string(e.Priority), Service: e.Service, RouteRegions: e.Route.Regions, Regions: e.Regions,
		Affinity: e.Affinity, MaxWaitMS: milliseconds(e.MaxWait), MoreTargets: e.More, Targets: []wire.CandidateExplanation{},
	}
	if rm := e.Room; rm != nil {
		out.Room = &wire.RoomExplanation{
			Waiting: rm.Waiting, ServedFirst: rm.ServedFirst, Full: rm.Full, Ahead: rm.Ahead,
			ExpectedWaitMS: milliseconds(rm.ExpectedWait), MaxWaitMS: milliseconds(rm.MaxWait),
		}
	}
	for i := range e.Targets {
		out.Targets = append(out.Targets, candidateMessage(&e.Targets[i]))
	}
	return out
}

// candidateMessage converts the part of an explanation that concerns one target.
func candidateMessage(v *steer.CandidateView) wire.CandidateExplanation {
	out := wire.CandidateExplanation{
		TargetExplanation: wire.TargetExplanation{Target: v.Target, Zone: v.Zone, InFlight: v.InFlight, Excluded: v.Excluded},
		Region:            v.Region, Slots: v.Slots, Rank: v.Rank, Warm: v.Warm, Cold: v.Cold, Others: v.Others, LoadAgeMS: -1,
		CostMS: milliseconds(v.Cost), WaitMS: milliseconds(v.Wait), NoRoom: v.NoRoom, Compared: v.Compared, RateLimit: v.RateLimit, RateLimited: v.RateLimited,
	}
	if v.LoadReported {
		out.LoadAgeMS = milliseconds(v.LoadAge)
	}
	if v.WorkReported {
		out.WorkFactor, out.WorkFactorAgeMS = v.WorkFactor, milliseconds(v.WorkFactorAge)
	}
	return out
}

// explainWorkspace adds the named workspace and what its quota would do with the request. An
// empty name adds nothing.
func (n *Node) explainWorkspace(out *wire.Explanation, tables *table.Tables, name string) error {
	if name == "" {
		return nil
	}
	for i := range tables.Workspaces {
		if w := &tables.Workspaces[i]; w.Name == name {
			out.Workspace = &wire.WorkspaceExplanation{Workspace: name, Priority: string(w.Priority), Regions: w.Regions}
			n.explainQuota(out, w)
			return nil
		}
	}
	// The error does not repeat the name: it may be a key, given by mistake.
	return fault.New(fault.KindBadRequest, "version %d of the tables has no workspace of that name", tables.Version)
}

// explainQuota adds the quota of w. Requests beyond it are refused before a target is chosen.
func (n *Node) explainQuota(out *wire.Explanation, w *table.Workspace) {
	if w.Rate <= 0 || n.quotas == nil {
		return
	}
	k, limited := n.quotas.PeekQuota(w.Name)
	if !limited {
		return
	}
	out.Workspace.Quota = &wire.QuotaExplanation{
		Rate: k.Limit.Rate, Burst: k.Limit.Burst, Owner: k.Owner, Tokens: k.Tokens, Share: k.Share, Verdict: quotaVerdicts[k.Verdict], Reason: string(k.Reason),
	}
	if k.Verdict == quota.Refuse {
		out.Verdict, out.Pool, out.Target, out.Zone = verdictNames[steer.Refuse], "", "", ""
		out.Kind, out.RetryAfterMS = fault.KindQuotaExceeded.String(), milliseconds(k.RetryAfter)
	}
}

// explainLookup adds the instances that a look-up from the zone would name now, from the own
// zone if it is empty.
func (n *Node) explainLookup(out *wire.Explanation, route *table.Route, zone string) error {
	snap := n.snapshot.Load()
	location := lookup.Location{Zone: n.self.Zone, Region: n.self.Region}
	if zone != "" && zone != n.self.Zone {
		known, ok := snap.sites[zone]
		if !ok {
			return fault.New(fault.KindBadRequest, "no target or instance that this instance knows is in zone %q", zone)
		}
		location = known
	}
	c := lookup.Select(n.query(snap, location, n.allowedRegions(route)))
	named := lookup.BuildResponse(out.Version, route, c, "", rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))).Instances
	out.LookupZone = cmp.Or(zone, n.self.Zone)
	for _, in := range named {
		out.Lookup = append(out.Lookup, wire.LookupExplanation{Instance: in.ID, Zone: in.Zone, Order: in.Order})
	}
	return nil
}
