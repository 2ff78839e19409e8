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
		Rejected:    n.cluster.Rejected(),
		Leaving:     n.leaving(),
		InFlight:    int(n.inFlight.Load()),
		Pools:       n.poolStatuses(),
	}
}

// serveReady answers 200 once tables are in force and until the instance leaves.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	switch {
	case n.leaving():
		caller.Refusal{Kind: fault.KindLeaving}.Write(w)
	case n.view.Load().tables.Version == 0:
		caller.Refusal{Kind: fault.KindNotReady}.Write(w)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
