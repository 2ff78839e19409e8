package node

import (
	"net/http"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
)

// logRefusal logs a request that was refused before a decision was made on it.
func (n *Node) logRefusal(r *http.Request, refusal caller.Refusal) {
	if e := n.log.Check(zap.InfoLevel, "request refused"); e != nil {
		e.Write(
			zap.String("id", r.Header.Get(n.dialect.RequestID)), zap.String("host", r.Host), zap.String("path", loggedPath(r)),
			zap.String("kind", refusal.Kind.String()), zap.Uint64("tables", n.snapshot.Load().tables.Version), zap.String("why", refusal.Message),
		)
	}
}

// maxLoggedPath is the number of bytes of a request's path that are logged.
const maxLoggedPath = 128

// loggedPath returns the path of r as the caller sent it, cut to maxLoggedPath.
func loggedPath(r *http.Request) string {
	path := caller.RequestPath(r)
	return path[:min(len(path), maxLoggedPath)]
}

// logFailedAttempt logs an attempt whose response, if any, was not relayed to the
// caller.
func (x *exchange) logFailedAttempt(err error) {
	if e := x.node.log.Check(zap.InfoLevel, "attempt failed"); e != nil {
		fields := []zap.Field{
			zap.String("id", x.id), zap.String("route", x.req.Route.Name), zap.String("pool", x.lastDecision.Pool),
			zap.String("target", x.lastDecision.Target), zap.Int("attempt", x.req.Attempts),
			zap.String("kind", fault.KindOf(err).String()), zap.String("why", err.Error()),
			zap.Uint64("tables", x.arrivalTables),
		}
		e.Write(append(fields, x.placementFields()...)...)
	}
}

// placementFields returns the log fields for where the last attempt went and under which
// tables, or nil without an attempt.
func (x *exchange) placementFields() []zapcore.Field {
	d := &x.lastDecision
	if d.Verdict == steer.Refuse {
		return nil
	}
	fields := []zap.Field{zap.String("region", d.Region()), zap.Uint64("decided_tables", d.TablesVersion)}
	if x.sent.version != 0 {
		fields = append(fields, zap.Uint64("sent_tables", x.sent.version))
	}
	if x.sent.disallowed {
		fields = append(fields, zap.Bool("disallowed", true))
	}
	if regions := x.req.Route.Regions; len(regions) > 0 {
		fields = append(fields, zap.Strings("allowed_regions", regions))
	}
	return fields
}

// logRequest logs the outcome of a request and what its last decision was based
// on. Requests with an unknown outcome are logged as warnings.
func (x *exchange) logRequest(outcome string, took time.Duration) {
	level := zap.InfoLevel
	if x.kind.Info().Outcome == fault.OutcomeUnknown {
		level = zap.WarnLevel
	}
	e := x.node.log.Check(level, "request")
	if e == nil {
		return
	}
	status, interim := x.relay.Statuses()
	fields := []zap.Field{
		zap.String("id", x.id), zap.String("route", x.req.Route.Name), zap.String("path", loggedPath(x.httpReq)), zap.String("object", x.object),
		zap.Bool("idempotent", x.req.Idempotent), zap.String("member", x.req.Member),
		zap.String("outcome", outcome), zap.String("kind", x.kind.String()), zap.Int("status", status), zap.Int("attempts", x.req.Attempts),
		zap.Duration("took", took), zap.Duration("left", x.req.Deadline.Sub(x.node.now())),
		zap.String("pool", x.lastDecision.Pool), zap.String("zone", x.lastZone()), zap.String("target", x.lastDecision.Target),
		zap.Uint64("tables", x.arrivalTables), zap.Duration("tables_age", x.node.now().Sub(x.snapshot.tablesSince)),
	}
	if name := x.workspaceName(); name != "" {
		fields = append(fields, zap.String("workspace", name))
	}
	if x.sentAfter > 0 {
		fields = append(fields, zap.Duration("sent_after", x.sentAfter))
	}
	if len(interim) > 0 {
		fields = append(fields, zap.Ints("interim", interim))
	}
	fields = append(fields, x.placementFields()...)
	e.Write(append(fields, x.diagnosticFields()...)...)
}

// diagnosticFields returns the log fields for what the last decision was based on,
// or nil if the decision recorded nothing.
func (x *exchange) diagnosticFields() []zapcore.Field {
	d := x.diagnostics
	if d.Target == "" {
		return nil
	}
	fields := []zapcore.Field{
		zap.String("best", d.Target), zap.Duration("wait", d.ExpectedWait), zap.Duration("wait_allowed", d.MaxWait),
		zap.Int("in_flight", d.InFlight), zap.Float64("others", d.OthersInFlight), zap.Duration("load_age", d.LoadAge),
	}
	if d.RateLimited {
		fields = append(fields, zap.Float64("rate_limit", d.RateLimit))
	}
	if d.WorkReported {
		fields = append(fields, zap.Float64("work_factor", d.WorkFactor), zap.Duration("work_factor_age", d.WorkFactorAge))
	}
	return fields
}

// recordPanic counts and logs a panic during an attempt.
func (n *Node) recordPanic(value any, stack []byte) {
	if n.metrics != nil {
		n.metrics.CountPanic()
	}
	n.log.Error("attempt ended in a panic", zap.Any("panic", value), zap.ByteString("stack", stack))
}
