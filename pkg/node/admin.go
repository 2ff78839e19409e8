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

// serveStatus answers with this instance's own view.
func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, n.Status())
}

// Status returns this instance's own view.
func (n *Node) Status() wire.Status {
	return wire.Status{
		ID:          n.self.ID,
		Zone:        n.self.Zone,
		Region:      n.self.Region,
		Incarnation: n.self.Incarnation,
		Version:     n.view.Load().tables.Version,
		Rejected:    n.cluster.RejectedVersion(),
		Leaving:     n.leaving(),
		InFlight:    int(n.inFlight.Load()),
		Pools:       n.poolStatuses(),
	}
}

// Ready reports whether the instance takes work: the decisions have tables, it
// has held its first shares unless its dispatch needs none, and it is not
// leaving. Shares that lapse later leave it ready, or an outage of the store
// would take off all instances of a zone at once.
func (n *Node) Ready() bool { return !n.leaving() && n.canDispatch() }

// canDispatch reports whether the decisions have what they need.
func (n *Node) canDispatch() bool {
	return n.decides.Load() && (n.direct() || n.cluster.HasHeldLease())
}

// serveReady answers 200 while the instance takes work.
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
