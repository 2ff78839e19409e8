package target

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/jacinthramp/jacinthramp/pkg/standin"
	"github.com/jacinthramp/jacinthramp/pkg/table"
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
	// PathLeave makes one target announce with its responses that it is leaving, on
	// POST. It keeps running.
	PathLeave = "/control/targets/:name/leave"
	// PathBackoff makes one target refuse requests with Retry-After on POST, for the
	// time in the body.
	PathBackoff = "/control/targets/:name/backoff"
	// PathRateLimit makes one target announce a rate limit on PUT, and no longer on
	// DELETE.
	PathRateLimit = "/control/targets/:name/rate-limit"
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
	r.POST(PathLeave, c.withTarget(c.leave))
	r.POST(PathBackoff, c.withTarget(c.backOff))
	r.PUT(PathRateLimit, c.withTarget(c.putRateLimit))
	r.DELETE(PathRateLimit, c.withTarget(c.deleteRateLimit))
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
	if !decodeBody(w, r, &f) {
		return
	}
	t.SetFaults(f)
	standin.WriteJSON(w, http.StatusOK, f)
}

// decodeBody decodes the JSON body of r into v, or responds with status 400 and reports false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
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

func (controlHandler) leave(w http.ResponseWriter, _ *http.Request, t *Target) {
	t.StartLeaving()
	w.WriteHeader(http.StatusNoContent)
}

// backoffRequest is the body of a request to PathBackoff.
type backoffRequest struct {
	For table.Duration `json:"for"`
}

func (controlHandler) backOff(w http.ResponseWriter, r *http.Request, t *Target) {
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

// rateLimitRequest is the body of a request to PathRateLimit.
type rateLimitRequest struct {
	PerSecond float64 `json:"per_second"`
}

func (controlHandler) putRateLimit(w http.ResponseWriter, r *http.Request, t *Target) {
	var q rateLimitRequest
	if !decodeBody(w, r, &q) {
		return
	}
	if q.PerSecond < 0 {
		http.Error(w, "per_second must be 0 or more", http.StatusBadRequest)
		return
	}
	t.SetRateLimit(q.PerSecond)
	w.WriteHeader(http.StatusNoContent)
}

func (controlHandler) deleteRateLimit(w http.ResponseWriter, _ *http.Request, t *Target) {
	t.SetRateLimit(noRateLimit)
	w.WriteHeader(http.StatusNoContent)
}
