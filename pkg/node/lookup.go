package node

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/jacinthramp/jacinthramp/pkg/decision/lookup"
	"github.com/jacinthramp/jacinthramp/pkg/decision/outcome"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// serveLookup responds with the instances that a caller should use for a route.
func (n *Node) serveLookup(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	w.Header().Set(wire.HeaderInstance, n.self.ID)
	tables := n.core.Tables()
	if tables.Version == 0 {
		refusal := caller.Refusal{Kind: fault.KindNotReady, Message: "this instance has not received any tables yet"}
		refusal.Write(w)
		return
	}
	route := n.lookupRoute(tables, r)
	if route == nil {
		refusal := caller.Refusal{Kind: fault.KindUnknownRoute, Message: "no matching route; the query needs the name of a route, or a host and a path"}
		refusal.Write(w)
		return
	}
	snap := n.snapshot.Load()
	location, err := n.callerLocation(snap, r)
	if err != nil {
		refusal := caller.Refusal{Kind: fault.KindOf(err), Message: err.Error()}
		refusal.Write(w)
		return
	}
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	q := n.query(snap, location, n.allowedRegions(route))
	q.Instances = n.withIDPrefixes(q.Instances)
	c := lookup.Select(q)
	scope := n.recordLookup(route.Name, q, slices.Concat(c.Zone, c.Region, c.Others))
	writeJSON(w, lookup.BuildResponse(tables.Version, route, c, scope, rnd))
}

// query returns the query of a lookup under snap.
func (n *Node) query(snap *snapshot, location lookup.Location, allowed lookup.AllowedRegions) lookup.Query {
	return lookup.Query{
		Caller: location, Allowed: allowed, Instances: n.candidates(snap), Complete: snap.listComplete,
		Departed: snap.departures.Recent(n.now(), location.Region),
	}
}

// candidates returns the candidates of snap in which this instance is marked if it is
// leaving. The result must not be modified.
func (n *Node) candidates(snap *snapshot) []lookup.Instance {
	if !n.leaving() {
		return snap.lookupCandidates
	}
	out := slices.Clone(snap.lookupCandidates)
	for i := range out {
		out[i].Leaving = out[i].Leaving || out[i].ID == n.self.ID
	}
	return out
}

// withIDPrefixes returns a copy of instances in which each instance has an id prefix
// issued now.
func (n *Node) withIDPrefixes(instances []lookup.Instance) []lookup.Instance {
	now := n.submissions.monotonic(n.now())
	out := make([]lookup.Instance, len(instances))
	for i, in := range instances {
		in.IDPrefix = outcome.Prefix(in.ID, in.Incarnation, now)
		out[i] = in
	}
	return out
}

// allowedRegions returns the regions that may serve route. Only direct dispatch
// restricts them.
func (n *Node) allowedRegions(route *table.Route) lookup.AllowedRegions {
	if !n.direct() {
		return lookup.AllowedRegions{}
	}
	return lookup.AllowedBy(route)
}

// lookupRoute returns the route that a lookup names or whose host and path it
// gives, or nil if there is none.
func (n *Node) lookupRoute(tables *table.Tables, r *http.Request) *table.Route {
	q := r.URL.Query()
	if name := q.Get("route"); name != "" {
		return tables.Route(name)
	}
	route, _ := n.core.Match(q.Get("host"), q.Get("path"))
	return route
}

// writeJSON responds with value as JSON, or with status 500 if value can't be
// encoded.
func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}

// randomIndex returns a random number in [0, limit).
func (n *Node) randomIndex(limit int) int { return rand.IntN(limit) }

// LookupHandler returns a handler that serves only lookups.
func (n *Node) LookupHandler() http.Handler {
	r := httprouter.New()
	r.GET(wire.PathLookup, n.serveLookup)
	return r
}

// ReadyHandler returns a handler that serves only readiness.
func (n *Node) ReadyHandler() http.Handler {
	r := httprouter.New()
	r.GET(wire.PathReady, n.serveReady)
	return r
}
