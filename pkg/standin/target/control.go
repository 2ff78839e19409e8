package target

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/jacinthramp/jacinthramp/pkg/standin"
)

// Paths of the control endpoints.
const (
	// PathTargets returns the counters of every target on GET.
	PathTargets = "/control/targets"
	// PathRuns returns the counted runs on GET.
	PathRuns = "/control/runs"
	// PathFaults returns the faults of one target on GET. PUT sets the named
	// faults and keeps the others.
	PathFaults = "/control/targets/:name/faults"
	// PathDrain, PathCrash, PathStall and PathStart drain, crash, stall or
	// start one target on POST.
	PathDrain = "/control/targets/:name/drain"
	PathCrash = "/control/targets/:name/crash"
	PathStall = "/control/targets/:name/silence"
	PathStart = "/control/targets/:name/start"
)

// ControlHandler returns a handler that serves the control endpoints of the targets
// in g.
func ControlHandler(g *Group) http.Handler {
	c := controlHandler{g}
	r := httprouter.New()
	r.GET(PathTargets, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		standin.WriteJSON(w, http.StatusOK, g.Stats())
	})
	r.GET(PathRuns, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		standin.WriteJSON(w, http.StatusOK, g.Runs())
	})
	r.GET(PathFaults, c.withTarget(c.getFaults))
	r.PUT(PathFaults, c.withTarget(c.putFaults))
	r.POST(PathDrain, c.withTarget(c.drain))
	r.POST(PathCrash, c.withTarget(c.crash))
	r.POST(PathStall, c.withTarget(c.stall))
	r.POST(PathStart, c.withTarget(c.start))
	return r
}

type controlHandler struct{ group *Group }

// withTarget returns a handler that calls handle with the target that the path
// names, or responds with status 404 if there is none.
func (c controlHandler) withTarget(handle func(http.ResponseWriter, *http.Request, *Target)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		t := c.group.Target(p.ByName("name"))
		if t == nil {
			http.Error(w, "the group has no target with this name", http.StatusNotFound)
			return
		}
		handle(w, r, t)
	}
}

func (controlHandler) getFaults(w http.ResponseWriter, _ *http.Request, t *Target) {
	standin.WriteJSON(w, http.StatusOK, t.Faults())
}

func (controlHandler) putFaults(w http.ResponseWriter, r *http.Request, t *Target) {
	f := t.Faults()
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(f)
	standin.WriteJSON(w, http.StatusOK, f)
}

// drain starts to drain the target in the background and responds immediately with
// status 202.
func (c controlHandler) drain(w http.ResponseWriter, r *http.Request, t *Target) {
	t.StartLeaving()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), DrainTimeout)
	c.group.background.Go(func() {
		defer cancel()
		_ = t.Drain(ctx)
	})
	w.WriteHeader(http.StatusAccepted)
}

func (controlHandler) crash(w http.ResponseWriter, _ *http.Request, t *Target) {
	t.Crash()
	w.WriteHeader(http.StatusNoContent)
}

func (controlHandler) stall(w http.ResponseWriter, _ *http.Request, t *Target) {
	t.StallConnections()
	w.WriteHeader(http.StatusNoContent)
}

func (controlHandler) start(w http.ResponseWriter, _ *http.Request, t *Target) {
	if _, err := t.Start(); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
