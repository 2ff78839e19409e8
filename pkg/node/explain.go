package node

import (
	"net/http"
	"net/url"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// verdictNames are the names of the verdicts in explanations.
var verdictNames = map[steer.Verdict]string{
	steer.Refuse: "refuse", steer.Dispatch: "dispatch", steer.Hop: "hop", steer.Wait: "wait",
}

// serveExplain responds with the decision that a request of a route would get now,
// and the reasons. The query gives the route by name, or by host and path.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	out, err := n.explain(r.URL.Query())
	if err != nil {
		caller.RefusalFromError(err).Write(w)
		return
	}
	writeJSON(w, out)
}

// explain returns the explanation for a query. Errors: fault.KindNotReady without tables,
// fault.KindUnknownRoute, and fault.KindBadRequest for an unknown workspace or zone.
func (n *Node) explain(q url.Values) (wire.Explanation, error) {
	tables := n.core.Tables()
	if tables.Version == 0 {
		return wire.Explanation{}, fault.New(fault.KindNotReady, "this instance has not received any tables yet")
	}
	route := tables.Route(q.Get(wire.QueryRoute))
	if q.Get(wire.QueryRoute) == "" {
		route, _ = n.core.Match(q.Get(wire.QueryHost), q.Get(wire.QueryPath))
	}
	if route == nil {
		return wire.Explanation{}, fault.New(fault.KindUnknownRoute, "the tables of this instance (version %d) have no route for route %q, host %q and path %q", tables.Version, q.Get(wire.QueryRoute), q.Get(wire.QueryHost), q.Get(wire.QueryPath))
	}
	out, err := n.explainRoute(route, q)
	if err == nil {
		err = n.explainWorkspace(&out, tables, q.Get(wire.QueryWorkspace))
	}
	if err == nil {
		err = n.explainLookup(&out, route, q.Get(wire.QueryZone))
	}
	return out, err
}

// explainRoute returns the explanation for a request of the route.
func (n *Node) explainRoute(route *table.Route, q url.Values) (wire.Explanation, error) {
	if n.core.Direct() {
		return n.explainRequest(route, q)
	}
	e, ok := n.core.Explain(n.now(), route.Name)
	if !ok {
		return wire.Explanation{}, fault.New(fault.KindUnknownRoute, "the tables of this instance have no route %s any more", route.Name)
	}
	return n.explanationMessage(route.Name, e), nil
}

// explanationMessage converts e to its wire format.
func (n *Node) explanationMessage(route string, e steer.Explanation) wire.Explanation {
	out := wire.Explanation{
		Instance: n.self.ID, Version: n.core.Tables().Version, Route: route,
		Verdict: verdictNames[e.Verdict], Pool: e.Pool, Target: e.Target, Zone: e.Zone,
	}
	if e.Verdict == steer.Refuse {
		out.Kind = e.Kind.String()
	}
	for _, p := range e.Pools {
		out.Pools = append(out.Pools, n.poolExplanation(p))
	}
	return out
}

// poolExplanation converts the part of an explanation that concerns one pool.
func (n *Node) poolExplanation(p steer.PoolView) wire.PoolExplanation {
	out := wire.PoolExplanation{Pool: p.Pool, Region: p.Region, Share: p.Share, Excluded: p.Excluded}
	for _, t := range p.Targets {
		explained := wire.TargetExplanation{Target: t.Target, Zone: n.self.Zone, InFlight: t.InFlight, Share: t.Share, Excluded: t.Excluded}
		if t.WorkReported {
			explained.WorkFactor, explained.WorkFactorAgeMS = t.WorkFactor, milliseconds(t.WorkFactorAge)
		}
		out.Targets = append(out.Targets, explained)
	}
	for _, z := range p.Zones {
		out.Zones = append(out.Zones, wire.ZoneExplanation{Zone: z.Zone, CostMS: milliseconds(z.Cost), Excluded: z.Excluded})
	}
	return out
}

// poolStatuses returns the pools as this instance sees them, ordered by name.
func (n *Node) poolStatuses() []wire.PoolStatus {
	out := []wire.PoolStatus{}
	for _, p := range n.core.PoolViews(n.now()) {
		s := wire.PoolStatus{Pool: p.Pool, InFlight: p.InFlight, Queued: p.Queued, Slots: p.Slots}
		for _, t := range p.Targets {
			switch {
			case t.Leaving && t.InFlight > 0:
				s.Draining++
			case !t.Leaving:
				s.Targets++
			}
		}
		s.MedianLatencyMS, s.P99LatencyMS = n.latencies.quantiles(p.Pool)
		out = append(out, s)
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
