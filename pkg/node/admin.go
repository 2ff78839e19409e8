package node

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// adminHandler serves status, explanations, readiness and metrics.
func (n *Node) adminHandler() http.Handler {
	r := httprouter.New()
	r.GET(wire.PathStatus, n.serveStatus)
	r.GET(wire.PathExplain, n.serveExplain)
	r.GET(wire.PathReady, n.serveReady)
	if n.metrics != nil {
		r.Handler(http.MethodGet, wire.PathMetrics, n.metrics.Handler())
	}
	return r
}

// serveStatus responds with the status of this instance.
func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, n.Status())
}

// Status returns the status of this instance, with its own view of the pools.
func (n *Node) Status() wire.Status {
	return wire.Status{
		ID:              n.self.ID,
		Zone:            n.self.Zone,
		Region:          n.self.Region,
		Incarnation:     n.self.Incarnation,
		Version:         n.snapshot.Load().tables.Version,
		RejectedVersion: n.cluster.RejectedVersion(),
		Leaving:         n.leaving(),
		InFlight:        int(n.inFlight.Load()),
		Pools:           n.poolStatuses(),
	}
}

// Ready reports whether the instance accepts requests: it has tables, it has held
// its first shares unless dispatch is direct, and it is not leaving. Shares that
// expire later don't affect readiness; otherwise an outage of the store would take
// all instances of a zone out of service at once.
func (n *Node) Ready() bool { return !n.leaving() && n.canDispatch() }

// canDispatch reports whether the instance has the tables and shares that
// dispatch needs.
func (n *Node) canDispatch() bool {
	return n.hasTables.Load() && (n.direct() || n.cluster.HasHeldLease())
}

// serveReady responds with status 200 while the instance is ready, otherwise with
// a refusal that states why.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	switch {
	case n.leaving():
		caller.Refusal{Kind: fault.KindLeaving}.Write(w)
	case !n.canDispatch():
		caller.Refusal{Kind: fault.KindNotReady}.Write(w)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
