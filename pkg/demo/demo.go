// Package demo runs a whole federation in one process on loopback: 11 instances
// in six availability zones, 68 target stand-ins and a stand-in for the platform.
// It sends rate-limited traffic to four services, accepts an edit, drains a
// target, crashes another, stops and restores the store, and measures the
// results from the callers' and targets' side.
package demo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/load"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
	"github.com/jacinthramp/jacinthramp/pkg/standin/target"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Options configures the demo.
type Options struct {
	// Rate is the traffic of all callers together, in requests per second.
	// Default DefaultRate.
	Rate float64
	// EventInterval is the time between two events. Default
	// DefaultEventInterval. The traffic lasts eventIntervals times as long.
	EventInterval time.Duration
	// Progress is called with one line for each event. Default none.
	Progress func(line string)
}

// Defaults of the options.
const (
	DefaultRate          = 500
	DefaultEventInterval = 1500 * time.Millisecond
)

const (
	// eventIntervals is the duration of the traffic in event intervals.
	eventIntervals = 9
	// startTimeout limits the wait until the first tables are in force. It is long
	// because the host may be busy.
	startTimeout = 60 * time.Second
	// newRequestLimit is the longest time for which a leaving target may receive
	// new requests.
	newRequestLimit = 2 * time.Second
	// inForceLimit is the longest time until an edit must be in force on all
	// instances.
	inForceLimit = 10 * time.Second
	// drainTimeout limits the wait for the drain after the end of the traffic.
	drainTimeout = 10 * time.Second
)

// The services of which one target is drained or crashed: the target with the
// most runs.
const (
	drainedService = "feedlog"
	crashedService = "catalogue"
)

// run holds the state of one run of the demo.
type run struct {
	options        Options
	federation     *federation
	tables         *table.Tables
	collector      *load.Collector
	start          time.Time
	editObserver   *observer
	editAcceptedAt time.Time
	drainedTarget  string
	drainWait      conc.WaitGroup
	errs           []error
}

// Run runs the demo and returns its report. It returns an error only if the demo
// itself could not run; violated invariants are in the report. Errors:
// fault.KindNotReady when the first tables are not in force within startTimeout,
// fault.KindDeadlinePassed when ctx ended, and the errors of starting the
// stand-ins and the instances and of accepting the first tables.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Rate == 0 {
		o.Rate = DefaultRate
	}
	if o.EventInterval == 0 {
		o.EventInterval = DefaultEventInterval
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	r := &run{options: o, collector: load.NewCollector(), start: time.Now()}
	f, err := newFederation(ctx)
	if err != nil {
		return Report{}, err
	}
	r.federation = f
	defer f.close()
	r.progress("%d instances in %d zones and %d targets have started", instanceCount, len(locations), len(f.targets))
	if err := r.acceptInitialTables(ctx); err != nil {
		return Report{}, err
	}
	return r.runTraffic(ctx)
}

// progress reports one line of progress, prefixed with the elapsed time.
func (r *run) progress(format string, args ...any) {
	r.options.Progress(fmt.Sprintf("%5.1f s  %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)))
}

// acceptInitialTables accepts the first version of the tables and waits until
// every instance serves with it.
func (r *run) acceptInitialTables(ctx context.Context) error {
	r.tables = r.federation.initialTables()
	if err := r.federation.accept(ctx, r.tables, "first tables"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.awaitServing(ctx); err != nil {
		return fault.Wrap(fault.KindNotReady, err, "the first tables are not in force on all instances after %v", startTimeout)
	}
	r.progress("the first tables are in force")
	return nil
}

// awaitServing waits until every instance serves requests and lookups.
func (r *run) awaitServing(ctx context.Context) error {
	o := startObserver(ctx, services[0].name, r.callerAddresses())
	defer o.stop()
	for n := 0; n < instanceCount; n, _ = o.servingInstances() {
		if !pause(ctx, observeInterval) {
			return ctx.Err()
		}
	}
	for _, address := range r.callerAddresses() {
		c := load.NewCaller([]string{address})
		defer c.Close()
		if err := c.AwaitLookup(ctx, services[0].name); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) callerAddresses() []string {
	var addresses []string
	for _, in := range r.federation.instances {
		addresses = append(addresses, in.self.CallerAddress)
	}
	return addresses
}

// runTraffic sends the traffic, triggers the events and returns the report.
func (r *run) runTraffic(ctx context.Context) (Report, error) {
	sampler := startSlotSampler(ctx, r.federation)
	var traffic conc.WaitGroup
	for i, loc := range locations {
		s := r.trafficSettings(loc.zone, uint64(i+1))
		traffic.Go(func() { load.Send(ctx, s, r.collector) })
	}
	r.progress("traffic to four services has started, %.0f requests per second", r.options.Rate)
	r.runEvents(ctx)
	traffic.Wait()
	r.progress("traffic has ended")
	r.drainWait.Wait()
	if r.editObserver != nil {
		r.editObserver.stop()
	}
	sampler.stop()
	r.federation.stopInstances()
	r.progress("all instances have stopped")
	if err := ctx.Err(); err != nil {
		return Report{}, fault.Wrap(fault.KindDeadlinePassed, err, "the demo was interrupted")
	}
	return r.report(sampler), nil
}

// trafficSettings returns the settings of the load of one zone's callers.
func (r *run) trafficSettings(zone string, seed uint64) load.Settings {
	s := load.Settings{
		Entries:  r.federation.entryAddresses(zone),
		Rate:     r.options.Rate / float64(len(locations)),
		Duration: table.Duration(eventIntervals * r.options.EventInterval),
		Seed:     seed,
		Mix: []load.RequestKind{
			{Route: "feedlog", Weight: 3, Path: "/feedlog/loads", Method: http.MethodPost, NonIdempotent: true, BodyBytes: 600, ResponseBytes: 200},
			{Route: "certdesk", Weight: 3, Path: "/certdesk/certificates", ResponseBytes: 4000},
			{Route: "catalogue", Weight: 3, Path: "/catalogue/stock", ResponseBytes: 20_000},
			{Route: "catalogue", Weight: 1, Path: "/catalogue/orders", Method: http.MethodPost, NonIdempotent: true, BodyBytes: 2000, ResponseBytes: 300},
			{Route: "archive", Weight: 1, Path: "/archive/swatches", ResponseBytes: 25_000},
		},
		Members: callers,
	}
	return s.WithDefaults()
}

// runEvents triggers the events one after another, with EventInterval before
// each.
func (r *run) runEvents(ctx context.Context) {
	for _, event := range []func(context.Context){r.acceptEdit, r.drainTarget, r.crashTarget, r.stopStore, r.restoreStore} {
		if !pause(ctx, r.options.EventInterval) {
			return
		}
		event(ctx)
	}
}

func (r *run) acceptEdit(ctx context.Context) {
	r.editObserver = startObserver(ctx, editedRoute, r.callerAddresses())
	if err := r.federation.accept(ctx, withEditedRoute(r.tables), "add the route "+editedRoute); err != nil {
		r.errs = append(r.errs, err)
		return
	}
	r.editAcceptedAt = time.Now()
	r.progress("an edit was accepted: it adds the route %s", editedRoute)
}

func (r *run) drainTarget(ctx context.Context) {
	r.drainedTarget = r.federation.targetWithMostRuns(drainedService)
	t := r.federation.targetGroup.Target(r.drainedTarget)
	t.StartLeaving()
	r.progress("target %s reports that it is leaving", r.drainedTarget)
	r.drainWait.Go(func() {
		limit, cancel := context.WithTimeout(ctx, eventIntervals*r.options.EventInterval+drainTimeout)
		defer cancel()
		if err := t.Drain(limit); err != nil {
			r.progress("target %s failed to drain: %v", r.drainedTarget, err)
			return
		}
		r.progress("target %s has drained and stopped", r.drainedTarget)
	})
}

func (r *run) crashTarget(context.Context) {
	crashed := r.federation.targetWithMostRuns(crashedService)
	r.federation.targetGroup.Target(crashed).Crash()
	r.progress("target %s has crashed", crashed)
}

func (r *run) stopStore(context.Context) {
	r.federation.store.EditFaults(func(f *standin.Faults) { f.Down = true })
	r.progress("the platform's store is unavailable")
}

func (r *run) restoreStore(context.Context) {
	r.federation.store.EditFaults(func(f *standin.Faults) { f.Down = false })
	r.progress("the platform's store is available again")
}

// report combines the figures of callers, targets, store and observers.
func (r *run) report(sampler *slotSampler) Report {
	runs := r.federation.targetGroup.Runs()
	loadReport := r.collector.Report(&runs)
	var st target.Stats
	if t := r.federation.targetGroup.Target(r.drainedTarget); t != nil {
		st = t.Stats()
	}
	store := r.federation.store.Stats()
	rep := Report{
		Requests: loadReport.Requests, Completed: loadReport.Completed, NotRun: loadReport.NotRun, Unknown: loadReport.Unknown,
		WrongResponses: loadReport.WrongResponses, DuplicateRuns: loadReport.DuplicateRuns, AbortedRequests: loadReport.AbortedSubmissions + st.AbortedRuns,
		InForceSeconds: -1, DrainSeconds: float64(st.IdleAfterLeavingMS) / 1000,
		LatencyMS: Latency{P50: loadReport.LatencyMS.P50, P99: loadReport.LatencyMS.P99},
		Details: Details{
			Load: loadReport, LastNewRequestSeconds: float64(st.LastRunAfterLeavingMS) / 1000,
			MinFreeFraction: sampler.minFree, MeanFreeFraction: map[string]float64{},
			StoreReads: store.Reads, StoreWrites: store.Writes, PeakStoreReadsPerSecond: store.PeakReads,
		},
	}
	for _, s := range r.federation.targetGroup.Stats() {
		rep.Details.RunsWithKey += s.WithKey
		rep.Details.RunsWithoutWorkspace += s.Workspaces[""]
	}
	for region, sum := range sampler.sumFree {
		rep.Details.MeanFreeFraction[region] = sum / float64(max(sampler.samples, 1))
	}
	if r.editObserver != nil {
		rep.WrongResponses += r.editObserver.wrongResponses
		rep.Details.EditProbes = r.editObserver.responses
		if n, last := r.editObserver.servingInstances(); n == instanceCount && !r.editAcceptedAt.IsZero() {
			rep.InForceSeconds = max(0, last.Sub(r.editAcceptedAt).Seconds())
		}
	}
	rep.Violations = r.violations(rep, loadReport, sampler)
	return rep
}

// violations describes the invariants that the figures show to be violated, and
// the errors of the run.
func (r *run) violations(rep Report, loadReport load.Report, sampler *slotSampler) []string {
	checks := []struct {
		violated bool
		what     string
	}{
		{rep.WrongResponses > 0, "a caller received a wrong response"},
		{rep.DuplicateRuns > 0, "a non-idempotent request ran more than once"},
		{loadReport.FalseNotRun > 0, "a request ran although its response stated that it did not run"},
		{rep.AbortedRequests > 0, "a planned shutdown aborted a request"},
		{rep.InForceSeconds < 0 || rep.InForceSeconds > inForceLimit.Seconds(), "the edit was not in force on all instances within the limit"},
		{r.editObserver != nil && len(r.editObserver.reverted) > 0, "an instance reverted to an older version of the tables"},
		{rep.Details.LastNewRequestSeconds > newRequestLimit.Seconds(), "a leaving target received new requests for too long"},
		{rep.Details.RunsWithKey > 0, "a target received the key of a workspace"},
		{rep.Details.RunsWithoutWorkspace > 0, "a target was not told the workspace of a request"},
		{len(sampler.overloadedSamples) > 0, "a region received more requests than it has slots"},
	}
	var violations []string
	for _, c := range checks {
		if c.violated {
			violations = append(violations, c.what)
		}
	}
	for _, err := range r.errs {
		violations = append(violations, err.Error())
	}
	return violations
}

// pause waits for d. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
