package node

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/telemetry"
)

// headroomInterval is the interval of the reports of the pools' headroom.
const headroomInterval = time.Second

// report ends span and records the request's outcome in the metrics and the log.
func (x *exchange) report(span trace.Span) {
	n := x.node
	took := n.now().Sub(x.req.Arrived)
	outcome := string(x.kind.Info().Outcome)
	telemetry.EndSpan(span, x.kind, attribute.String("route", x.req.Route.Name), attribute.Int("attempts", x.req.Attempts))
	if n.metrics != nil {
		n.metrics.RecordRequest(telemetry.Labels{
			Route: x.req.Route.Name, Pool: x.lastDecision.Pool, Zone: x.lastZone(), Member: x.req.Member,
			Outcome: outcome, Kind: x.kind.String(),
		}, took)
		x.countRefusal()
	}
	x.logRequest(outcome, took)
}

// countRefusal counts the request by workspace if it was refused and the tables have
// workspaces.
func (x *exchange) countRefusal() {
	if !x.keysInUse || x.kind == fault.KindNone || x.kind.Info().Outcome != fault.OutcomeNotRun {
		return
	}
	x.node.metrics.CountWorkspaceRefusal(x.workspaceName(), x.kind.String())
}

// lastZone returns the zone to which the last attempt went, or "" without one.
func (x *exchange) lastZone() string {
	if x.lastDecision.Verdict == steer.Dispatch {
		return x.node.self.Zone
	}
	return x.lastDecision.Zone
}

// reportHeadroom updates the metrics of the pools' headroom and connections, of quotas,
// waiting rooms and held responses until ctx ends.
func (n *Node) reportHeadroom(ctx context.Context) {
	t := time.NewTicker(headroomInterval)
	defer t.Stop()
	var dialsReported map[upstream.DialCause]int64
	var ownedQuotas map[string]bool
	var roomsReported map[string]steer.RoomView
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			dialsReported = n.reportConnections(dialsReported)
			for _, p := range n.core.PoolViews(now) {
				n.metrics.RecordPool(p.Pool, p.Slots, p.InFlight, p.Queued)
				if w, ok := p.WorkReports(); ok {
					n.metrics.RecordWorkFactor(p.Pool, w.Mean, w.Max, w.MeanAge)
				}
			}
			roomsReported = n.reportRooms(roomsReported)
			ownedQuotas = n.reportQuotas(ownedQuotas)
			n.metrics.RecordHeld(n.holding.State())
		}
	}
}

// reportConnections reports the connections to the targets of each pool, and the dials
// beyond those reported. It returns the dials reported so far.
func (n *Node) reportConnections(reported map[upstream.DialCause]int64) map[upstream.DialCause]int64 {
	next := make(map[upstream.DialCause]int64)
	n.dialer.Dials().Each(func(c upstream.DialCause, count int64) {
		next[c] = count
		if count > reported[c] {
			n.metrics.CountDials(c.String(), count-reported[c])
		}
	})
	snap := n.snapshot.Load()
	for _, p := range snap.tables.Pools {
		open, idle := 0, 0
		for _, tg := range p.Targets {
			if c := snap.targets[tg.Name]; c != nil {
				o, i := c.Pool().Connections()
				open, idle = open+o, idle+i
			}
		}
		n.metrics.RecordConnections(p.Name, open, idle)
	}
	return next
}
