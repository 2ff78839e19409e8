// Package demo gathers a whole federation in one process, on loopback: 11
// instances in six availability zones, 68 target stand-ins and a stand-in for
// the platform. It sends bounded traffic of four kinds, makes an edit, drains
// a target, crashes another and takes the store down, and measures what
// callers and targets see.
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

// Options bound the demo.
type Options struct {
	// Rate is the traffic over all callers, in requests a second. Default DefaultRate.
	Rate float64
	// Step is the time between two events. Default DefaultStep; the traffic
	// lasts stepCount steps.
	Step time.Duration
	// Progress gets one line for each event. Default none.
	Progress func(line string)
}

// Defaults of the options.
const (
	DefaultRate = 500
	DefaultStep = 1500 * time.Millisecond
)

const (
	// stepCount is how many steps the traffic lasts.
	stepCount = 9
	// startTimeout bounds the wait until the first tables are in force.
	startTimeout = 10 * time.Second
	// newWorkLimit is how long a leaving target may get new work.
	newWorkLimit = 2 * time.Second
	// inForceLimit is how long an edit may take to be in force everywhere.
	inForceLimit = 10 * time.Second
	// endTimeout bounds the wait for the drain after the traffic.
	endTimeout = 10 * time.Second
)

// The services that lose a target; the one with the most runs is taken.
const (
	drainedService = "feedlog"
	crashedService = "catalogue"
)

// run is one run of the demo.
type run struct {
	options Options
	world   *world
	tables  *table.Tables
	col     *load.Collector
	start   time.Time
	edit    *observer
	editAt  time.Time
	drained string
	drain   conc.WaitGroup
	errs    []error
}

// Run runs the demo and reports on it. The error says that the demo itself
// could not run; broken invariants are in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Rate == 0 {
		o.Rate = DefaultRate
	}
	if o.Step == 0 {
		o.Step = DefaultStep
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	r := &run{options: o, col: load.NewCollector(), start: time.Now()}
	w, err := newWorld(ctx)
	if err != nil {
		return Report{}, err
	}
	r.world = w
	defer w.close()
	r.say("%d instances in %d zones and %d targets are up", instanceCount, len(places), len(w.targets))
	if err := r.putFirstTables(ctx); err != nil {
		return Report{}, err
	}
	return r.measured(ctx)
}

// say shows the progress.
func (r *run) say(format string, args ...any) {
	r.options.Progress(fmt.Sprintf("%5.1f s  %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)))
}

// putFirstTables accepts the first version and waits until every instance
// serves by it.
func (r *run) putFirstTables(ctx context.Context) error {
	r.tables = r.world.firstTables()
	if err := r.world.accept(ctx, r.tables, "first tables"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.awaitServing(ctx); err != nil {
		return fault.Wrap(fault.KindNotReady, err, "the first tables are not in force after %v", startTimeout)
	}
	r.say("the first tables are in force")
	return nil
}

// awaitServing waits until every instance serves requests and look-ups.
func (r *run) awaitServing(ctx context.Context) error {
	o := observe(ctx, services[0].name, r.callerAddresses())
	defer o.end()
	for n := 0; n < instanceCount; n, _ = o.served() {
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
	for _, in := range r.world.running {
		addresses = append(addresses, in.self.CallerAddress)
	}
	return addresses
}

// measured sends the traffic, makes the events and reports.
func (r *run) measured(ctx context.Context) (Report, error) {
	g := measure(ctx, r.world)
	var traffic conc.WaitGroup
	for i, p := range places {
		s := r.traffic(p.zone, uint64(i+1))
		traffic.Go(func() { load.Send(ctx, s, r.col) })
	}
	r.say("traffic of four kinds begins, %.0f requests a second", r.options.Rate)
	r.events(ctx)
	traffic.Wait()
	r.say("traffic has ended")
	r.drain.Wait()
	if r.edit != nil {
		r.edit.end()
	}
	g.end()
	r.world.stopInstances()
	r.say("every instance has left")
	if err := ctx.Err(); err != nil {
		return Report{}, fault.Wrap(fault.KindDeadlinePassed, err, "the demo was interrupted")
	}
	return r.report(g), nil
}

// traffic is the load of the callers of one zone.
func (r *run) traffic(zone string, seed uint64) load.Settings {
	s := load.Settings{
		Entries:  r.world.entries(zone),
		Rate:     r.options.Rate / float64(len(places)),
		Duration: table.Duration(stepCount * r.options.Step),
		Seed:     seed,
		Mix: []load.Kind{
			{Route: "feedlog", Weight: 3, Path: "/feedlog/loads", Method: http.MethodPost, Once: true, BodyBytes: 600, AnswerBytes: 200},
			{Route: "certdesk", Weight: 3, Path: "/certdesk/certificates", AnswerBytes: 4000},
			{Route: "catalogue", Weight: 3, Path: "/catalogue/stock", AnswerBytes: 20_000},
			{Route: "catalogue", Weight: 1, Path: "/catalogue/orders", Method: http.MethodPost, Once: true, BodyBytes: 2000, AnswerBytes: 300},
			{Route: "archive", Weight: 1, Path: "/archive/swatches", AnswerBytes: 25_000},
		},
		Members: []load.Member{{Name: "zadruga-mura"}, {Name: "zadruga-sava"}, {Name: "zadruga-soca"}},
	}
	return s.WithDefaults()
}

// events makes one event after the other, a step apart.
func (r *run) events(ctx context.Context) {
	for _, event := range []func(context.Context){r.makeEdit, r.drainTarget, r.crashTarget, r.takeStoreDown, r.bringStoreBack} {
		if !pause(ctx, r.options.Step) {
			return
		}
		event(ctx)
	}
}

func (r *run) makeEdit(ctx context.Context) {
	r.edit = observe(ctx, editedRoute, r.callerAddresses())
	if err := r.world.accept(ctx, withEditedRoute(r.tables), "add the route "+editedRoute); err != nil {
		r.errs = append(r.errs, err)
		return
	}
	r.editAt = time.Now()
	r.say("an edit is accepted: the route %s is added", editedRoute)
}

func (r *run) drainTarget(ctx context.Context) {
	r.drained = r.world.busiest(drainedService)
	t := r.world.group.Target(r.drained)
	t.StartLeaving()
	r.say("target %s shows that it is leaving", r.drained)
	r.drain.Go(func() {
		limit, cancel := context.WithTimeout(ctx, stepCount*r.options.Step+endTimeout)
		defer cancel()
		if err := t.Drain(limit); err != nil {
			r.say("target %s did not drain: %v", r.drained, err)
			return
		}
		r.say("target %s has stopped", r.drained)
	})
}

func (r *run) crashTarget(context.Context) {
	crashed := r.world.busiest(crashedService)
	r.world.group.Target(crashed).Crash()
	r.say("target %s crashes", crashed)
}

func (r *run) takeStoreDown(context.Context) {
	r.world.store.EditFaults(func(f *standin.Faults) { f.Down = true })
	r.say("the platform's store is down")
}

func (r *run) bringStoreBack(context.Context) {
	r.world.store.EditFaults(func(f *standin.Faults) { f.Down = false })
	r.say("the platform's store is back")
}

// report gathers the figures.
func (r *run) report(g *gauge) Report {
	runs := r.world.group.Runs()
	l := r.col.Report(&runs)
	var st target.Stats
	if t := r.world.group.Target(r.drained); t != nil {
		st = t.Stats()
	}
	store := r.world.store.Stats()
	rep := Report{
		Requests: l.Requests, Completed: l.Completed, NotRun: l.NotRun, Unknown: l.Unknown,
		WrongAnswers: l.WrongAnswers, DuplicateRuns: l.DuplicateRuns, CutOff: l.CutOff + st.AbortedRuns,
		InForceSeconds: -1, DrainSeconds: float64(st.IdleAfterLeavingMS) / 1000,
		LatencyMS: Latency{P50: l.LatencyMS.P50, P99: l.LatencyMS.P99},
		Details: Details{
			Load: l, LastWorkSeconds: float64(st.LastRunAfterLeavingMS) / 1000,
			LowestFree: g.lowest, MeanFree: map[string]float64{},
			Reads: store.Reads, Writes: store.Writes, ReadsPerSecond: store.PeakReads,
		},
	}
	for region, sum := range g.sum {
		rep.Details.MeanFree[region] = sum / float64(max(g.samples, 1))
	}
	if r.edit != nil {
		rep.WrongAnswers += r.edit.wrong
		rep.Details.EditChecks = r.edit.asked
		if n, last := r.edit.served(); n == instanceCount && !r.editAt.IsZero() {
			rep.InForceSeconds = max(0, last.Sub(r.editAt).Seconds())
		}
	}
	rep.Broken = r.broken(rep, l, g)
	return rep
}

// broken lists the invariants that the figures show broken.
func (r *run) broken(rep Report, l load.Report, g *gauge) []string {
	checks := []struct {
		broken bool
		what   string
	}{
		{rep.WrongAnswers > 0, "a caller got a wrong answer"},
		{rep.DuplicateRuns > 0, "a request that must not run twice ran twice"},
		{l.FalseNotRun > 0, "a request ran although its caller was told that it did not"},
		{rep.CutOff > 0, "a planned stop cut off a request"},
		{rep.InForceSeconds < 0 || rep.InForceSeconds > inForceLimit.Seconds(), "the edit was not in force everywhere within seconds"},
		{r.edit != nil && len(r.edit.reverted) > 0, "an instance went back to an older configuration"},
		{rep.Details.LastWorkSeconds > newWorkLimit.Seconds(), "a leaving target got new work for too long"},
		{len(g.over) > 0, "a region got more than it can carry"},
	}
	var broken []string
	for _, c := range checks {
		if c.broken {
			broken = append(broken, c.what)
		}
	}
	for _, err := range r.errs {
		broken = append(broken, err.Error())
	}
	return broken
}

// pause waits for d and reports false when ctx ended first.
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
