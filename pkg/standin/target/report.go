package target

import (
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/standin"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// cachedReport is a load report that the target serves until Faults.ReportLag
// has passed.
type cachedReport struct {
	createdAt time.Time
	load      wire.TargetLoad
}

// announcesLeaving reports whether the target announces that it is leaving.
func (t *Target) announcesLeaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats.Leaving && !t.faults.HideLeaving
}

// announcedRateLimit returns the rate limit that the target announces, in requests per
// second. It is negative without one.
func (t *Target) announcedRateLimit() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rateLimit
}

// serveHealth responds with status 200 if the target reports itself as healthy,
// otherwise 503.
func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	f := t.Faults()
	if f.ReportsUnresponsive {
		<-r.Context().Done()
		return
	}
	t.setTargetHeaders(w)
	unhealthy := f.Shed || f.Hang || f.Malformed != MalformedNone
	if f.FalseHealth != FalseReportNone {
		unhealthy = f.FalseHealth == FalseReportBad
	}
	if unhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveLoad responds with the load report.
func (t *Target) serveLoad(w http.ResponseWriter, r *http.Request) {
	if t.Faults().ReportsUnresponsive {
		<-r.Context().Done()
		return
	}
	t.setTargetHeaders(w)
	standin.WriteJSON(w, http.StatusOK, t.loadReport())
}

// loadReport returns the load report to serve, with the faults ReportLag and
// FalseLoad applied.
func (t *Target) loadReport() wire.TargetLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.report.createdAt.IsZero() || time.Since(t.report.createdAt) >= t.faults.ReportLag.Std() {
		t.report = cachedReport{createdAt: time.Now(), load: t.actualLoad()}
	}
	load := t.report.load
	switch t.faults.FalseLoad {
	case FalseReportGood:
		load.InFlight, load.Queued = 0, 0
	case FalseReportBad:
		load.InFlight, load.Queued = t.config.Slots, *t.config.Queue
	}
	return load
}

// actualLoad returns the target's current load. The caller holds t.mu.
func (t *Target) actualLoad() wire.TargetLoad {
	return wire.TargetLoad{
		InFlight:    t.stats.Running,
		Slots:       t.config.Slots,
		Queued:      t.stats.Queued,
		Leaving:     t.stats.Leaving && !t.faults.HideLeaving,
		Incarnation: t.incarnation,
	}
}

// setTargetHeaders sets the target's name, its leaving notice and its rate limit, which all
// responses carry.
func (t *Target) setTargetHeaders(w http.ResponseWriter) {
	w.Header().Set(wire.HeaderTarget, t.config.Name)
	if t.announcesLeaving() {
		w.Header().Set(wire.HeaderTargetLeaving, "true")
	}
	if limit := t.announcedRateLimit(); limit >= 0 {
		w.Header().Set(wire.HeaderTargetRateLimit, strconv.FormatFloat(limit, 'g', -1, 64))
	}
}
