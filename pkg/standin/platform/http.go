package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/standin"
)

// Paths of the control endpoints.
const (
	// PathFaults returns the faults on GET. PUT sets the named faults and keeps
	// the others.
	PathFaults = "/control/faults"
	// PathStats returns the counters on GET.
	PathStats = "/control/stats"
)

// maxBodyBytes limits the body of one request.
const maxBodyBytes = 256 << 20

// Handler returns a handler that serves the platform's HTTP interface to s and the
// control endpoints of s.
func Handler(s *Store) http.Handler {
	h := handler{s}
	r := httprouter.New()
	r.GET(platform.PathRows, h.list)
	r.GET(platform.PathRows+"/*key", h.get)
	r.POST(platform.PathCommit, h.commit)
	r.PUT(platform.PathObjects+"/*name", h.putObject)
	r.GET(platform.PathObjects+"/*name", h.getObject)
	r.GET(platform.PathInstances, h.listInstances)
	r.PUT(platform.PathInstances+"/:id", h.register)
	r.DELETE(platform.PathInstances+"/:id", h.deregister)
	r.GET(PathFaults, h.getFaults)
	r.PUT(PathFaults, h.putFaults)
	r.GET(PathStats, h.getStats)
	return r
}

type handler struct{ store *Store }

func (h handler) get(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	key := strings.TrimPrefix(p.ByName("key"), "/")
	row, changed, err := h.store.Get(r.Context(), key, r.Header.Get("If-None-Match"))
	switch {
	case err != nil:
		writeError(w, err)
	case row.ETag == "" && (changed || r.Header.Get("If-None-Match") == ""):
		http.Error(w, "no such row", http.StatusNotFound)
	case !changed:
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("ETag", row.ETag)
		w.Header().Set(platform.HeaderModified, row.ModifiedAt.Format(time.RFC3339Nano))
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(row.Value)
	}
}

func (h handler) list(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	rows, err := h.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	standin.WriteJSON(w, http.StatusOK, rows)
}

func (h handler) commit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var req platform.CommitRequest
	if !readJSON(w, r, &req) {
		return
	}
	etags, err := h.store.Commit(r.Context(), req.Writes)
	if err != nil {
		writeError(w, err)
		return
	}
	standin.WriteJSON(w, http.StatusOK, platform.CommitResponse{ETags: etags})
}

func (h handler) putObject(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeNoContent(w, h.store.PutObject(r.Context(), strings.TrimPrefix(p.ByName("name"), "/"), data))
}

func (h handler) getObject(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	data, found, err := h.store.GetObject(r.Context(), strings.TrimPrefix(p.ByName("name"), "/"))
	switch {
	case err != nil:
		writeError(w, err)
	case !found:
		http.Error(w, "no such object", http.StatusNotFound)
	default:
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data)
	}
}

func (h handler) listInstances(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	list, err := h.store.ListInstances(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	standin.WriteJSON(w, http.StatusOK, list)
}

func (h handler) register(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	var instance platform.Instance
	if !readJSON(w, r, &instance) {
		return
	}
	if instance.ID != p.ByName("id") {
		http.Error(w, "the ids in the path and in the body differ", http.StatusBadRequest)
		return
	}
	writeNoContent(w, h.store.Register(r.Context(), instance))
}

func (h handler) deregister(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	writeNoContent(w, h.store.Deregister(r.Context(), p.ByName("id"), r.URL.Query().Get("incarnation")))
}

func (h handler) getFaults(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	standin.WriteJSON(w, http.StatusOK, h.store.Faults())
}

func (h handler) putFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	f := h.store.Faults()
	if !readJSON(w, r, &f) {
		return
	}
	h.store.SetFaults(f)
	standin.WriteJSON(w, http.StatusOK, f)
}

func (h handler) getStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	standin.WriteJSON(w, http.StatusOK, h.store.Stats())
}

// readJSON decodes the request's body into v. If that fails, it responds with
// status 400 and reports false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeNoContent writes the response to a call without a result: status 204, or the
// error.
func writeNoContent(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeError writes the response for err. For fault.KindStoreAmbiguous it closes
// the connection instead, as if the response were lost.
func writeError(w http.ResponseWriter, err error) {
	switch fault.KindOf(err) {
	case fault.KindEditConflict:
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case fault.KindStoreAmbiguous:
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
