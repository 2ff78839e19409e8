package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/target"
)

const (
	// maxConcurrentProbes bounds the probes in progress.
	maxConcurrentProbes = 16
	// sweepInterval is the interval at which connections are checked for requests
	// without a response.
	sweepInterval = 100 * time.Millisecond
	// freshReportTimeout bounds how long a request waits for the load of its target. It
	// is a multiple of the round trip in a region, and little beside the work.
	freshReportTimeout = 15 * time.Millisecond
	// probeJitter is the largest fraction by which the interval between two rounds
	// of probes is shortened at random, so that instances don't probe at once.
	probeJitter = 0.2
)

// probeLoop probes the targets in rounds until ctx ends.
func (n *Node) probeLoop(ctx context.Context) {
	interval := n.settings.Probe.Interval.Std()
	for {
		n.probeTargets(ctx)
		factor := 1 - probeJitter*rand.Float64()
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(float64(interval) * factor)):
		}
	}
}

// probeTargets probes each target once and waits for the results. With direct
// dispatch it probes only the targets whose state is in doubt.
func (n *Node) probeTargets(ctx context.Context) {
	p := pool.New().WithMaxGoroutines(maxConcurrentProbes)
	for _, c := range n.snapshot.Load().targets {
		if n.direct() && !n.core.ClaimProbe(n.now(), c.Name()) {
			continue
		}
		p.Go(func() { n.probeTarget(ctx, c) })
	}
	p.Wait()
}

// probeTarget probes the target of c and passes its report to the decision core.
// Unless dispatch is direct, a report without a load is passed on only if the target
// is unhealthy or leaving.
func (n *Node) probeTarget(ctx context.Context, c *target.Client) {
	start := n.now()
	probeCtx, cancel := context.WithTimeout(ctx, n.settings.Probe.Timeout.Std())
	defer cancel()
	report := c.Probe(probeCtx)
	if ctx.Err() != nil {
		return
	}
	n.drains.observe(start, c, report.Leaving)
	if report.Healthy && !report.LoadKnown && !report.Leaving && !n.direct() {
		return
	}
	n.core.ObserveLoad(start, steer.LoadReport{
		Target:        c.Name(),
		At:            start,
		InFlight:      report.Load.InFlight,
		Slots:         report.Load.Slots,
		Queued:        report.Load.Queued,
		WorkPercent:   report.Load.WorkPercent,
		Leaving:       report.Leaving,
		Healthy:       report.Healthy,
		Incarnation:   report.Load.Incarnation,
		ColdRemaining: report.ColdRemaining,
	})
}

// refreshReport has the target that the request is likely to be sent to report its load,
// if that is out of date. Without a report in time, the request is decided on what is known.
func (x *exchange) refreshReport() {
	name, ok := x.node.core.TargetToProbe(x.node.now(), &x.req)
	if !ok {
		return
	}
	if c, ok := x.node.snapshot.Load().targets[name]; ok {
		ctx, cancel := context.WithTimeout(x.ctx, freshReportTimeout)
		defer cancel()
		x.node.probeTarget(ctx, c)
	}
}

// sweepLoop checks the connections to targets and instances, the drains in progress and
// the bounded memory, every sweepInterval until ctx ends.
func (n *Node) sweepLoop(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	reports := n.memoryReports()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		snap := n.snapshot.Load()
		for _, c := range snap.targets {
			c.Pool().Sweep()
		}
		for _, c := range snap.peers {
			c.Sweep()
		}
		n.drains.recordEnded(n.now())
		for i := range reports {
			n.reportMemory(n.now(), &reports[i])
		}
	}
}
