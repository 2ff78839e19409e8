package target

import (
	"net/http"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/standin"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// cachedReport is a load report that is served until it has aged.
type cachedReport struct {
	at   time.Time
	load wire.TargetLoad
}

// showsLeaving reports whether the target says that it is leaving.
func (t *Target) showsLeaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats.Leaving && !t.faults.HideLeaving
}

// serveHealth answers 200 when the target says that it is well, else 503.
func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	f := t.Faults()
	if f.ReportsUnresponsive {
		<-r.Context().Done()
		return
	}
	t.nameSelf(w)
	ill := f.Shed || f.Hang || f.Malformed != MalformedNone
	if f.FalseHealth != FalseReportNone {
		ill = f.FalseHealth == FalseReportBad
	}
	if ill {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveLoad answers the load report.
func (t *Target) serveLoad(w http.ResponseWriter, r *http.Request) {
	if t.Faults().ReportsUnresponsive {
		<-r.Context().Done()
		return
	}
	t.nameSelf(w)
	standin.WriteJSON(w, http.StatusOK, t.loadReport())
}

// loadReport returns the report that is served now.
func (t *Target) loadReport() wire.TargetLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.report.at.IsZero() || time.Since(t.report.at) >= t.faults.ReportLag.Std() {
		t.report = cachedReport{at: time.Now(), load: t.trueLoad()}
	}
	load := t.report.load
	switch t.faults.FalseLoad {
	case FalseReportGood:
		load.InFlight, load.Queued = 0, 0
	case FalseReportBad:
		load.InFlight, load.Queued = t.config.Slots, t.config.Queue
	}
	return load
}

// trueLoad is the target's load at this moment; the caller holds t.mu.
func (t *Target) trueLoad() wire.TargetLoad {
	return wire.TargetLoad{
		InFlight:    t.stats.Running,
		Slots:       t.config.Slots,
		Queued:      t.stats.Queued,
		Leaving:     t.stats.Leaving && !t.faults.HideLeaving,
		Incarnation: t.incarnation,
	}
}

// nameSelf sets what the target says of itself on all its answers.
func (t *Target) nameSelf(w http.ResponseWriter) {
	w.Header().Set(wire.HeaderTarget, t.config.Name)
	if t.showsLeaving() {
		w.Header().Set(wire.HeaderTargetLeaving, "true")
	}
}
