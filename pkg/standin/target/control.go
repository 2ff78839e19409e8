package target

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/jacinthramp/jacinthramp/pkg/standin"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Paths of the controls.
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
	// PathLeave makes one target announce with its responses that it is leaving, on
	// POST. It keeps running.
	PathLeave = "/control/targets/:name/leave"
	// PathBackoff makes one target turn requests away with Retry-After on POST, for
	// the time in the body.
	PathBackoff = "/control/targets/:name/backoff"
)

// ControlHandler serves the controls of the targets of g.
func ControlHandler(g *Group) http.Handler {
	c := controls{g}
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
	r.POST(PathLeave, c.withTarget(c.leave))
	r.POST(PathBackoff, c.withTarget(c.backOff))
	return r
}

type controls struct{ group *Group }

// withTarget returns a handler that calls do with the target that the path names,
// or returns 404.
func (c controls) withTarget(do func(http.ResponseWriter, *http.Request, *Target)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		t := c.group.Target(p.ByName("name"))
		if t == nil {
			http.Error(w, "the group has no target with this name", http.StatusNotFound)
			return
		}
		do(w, r, t)
	}
}

func (controls) getFaults(w http.ResponseWriter, _ *http.Request, t *Target) {
	standin.WriteJSON(w, http.StatusOK, t.Faults())
}

func (controls) putFaults(w http.ResponseWriter, r *http.Request, t *Target) {
	f := t.Faults()
	if !decodeBody(w, r, &f) {
		return
	}
	t.SetFaults(f)
	standin.WriteJSON(w, http.StatusOK, f)
}

// decodeBody decodes the JSON body of r into v, or returns 400 and reports false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// drain starts to drain the target in the background and returns 202 at once.
func (c controls) drain(w http.ResponseWriter, r *http.Request, t *Target) {
	t.StartLeaving()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), DrainTimeout)
	c.group.background.Go(func() {
		defer cancel()
		_ = t.Drain(ctx)
	})
	w.WriteHeader(http.StatusAccepted)
}

func (controls) crash(w http.ResponseWriter, _ *http.Request, t *Target) {
	t.Crash()
	w.WriteHeader(http.StatusNoContent)
}

func (controls) stall(w http.ResponseWriter, _ *http.Request, t *Target) {
	t.StallConnections()
	w.WriteHeader(http.StatusNoContent)
}

func (controls) start(w http.ResponseWriter, _ *http.Request, t *Target) {
	if _, err := t.Start(); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (controls) leave(w http.ResponseWriter, _ *http.Request, t *Target) {
	t.StartLeaving()
	w.WriteHeader(http.StatusNoContent)
}

// backoffRequest is the body of a request to PathBackoff.
type backoffRequest struct {
	For table.Duration `json:"for"`
}

func (controls) backOff(w http.ResponseWriter, r *http.Request, t *Target) {
	var b backoffRequest
	if !decodeBody(w, r, &b) {
		return
	}
	if b.For <= 0 {
		http.Error(w, "for must be above 0", http.StatusBadRequest)
		return
	}
	t.StartBackoff(b.For.Std())
	w.WriteHeader(http.StatusNoContent)
}
