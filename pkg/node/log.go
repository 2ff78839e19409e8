package node

import (
	"net/http"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
)

// logRefusal logs a request that was refused before any decision.
func (n *Node) logRefusal(r *http.Request, f caller.Refusal) {
	if e := n.log.Check(zap.InfoLevel, "request refused"); e != nil {
		e.Write(
			zap.String("id", r.Header.Get(n.dialect.RequestID)), zap.String("host", r.Host), zap.String("path", r.URL.Path),
			zap.String("kind", f.Kind.String()), zap.Uint64("tables", n.view.Load().tables.Version), zap.String("why", f.Message),
		)
	}
}

// logAttempt logs an attempt that brought no answer to the caller.
func (x *exchange) logAttempt(err error) {
	if e := x.node.log.Check(zap.InfoLevel, "attempt failed"); e != nil {
		e.Write(
			zap.String("id", x.id), zap.String("route", x.req.Route.Name), zap.String("pool", x.last.Pool),
			zap.String("target", x.last.Target), zap.Int("attempt", x.req.Attempts),
			zap.String("kind", fault.KindOf(err).String()), zap.String("why", err.Error()),
		)
	}
}

// logEnd logs how a request has ended, and what decided it.
func (x *exchange) logEnd(outcome string, took time.Duration) {
	level := zap.InfoLevel
	if x.kind.Answer().Outcome == fault.Unknown {
		level = zap.WarnLevel
	}
	e := x.node.log.Check(level, "request")
	if e == nil {
		return
	}
	fields := []zap.Field{
		zap.String("id", x.id), zap.String("route", x.req.Route.Name), zap.String("object", x.object),
		zap.Bool("idempotent", x.req.Idempotent), zap.String("member", x.req.Member),
		zap.String("outcome", outcome), zap.String("kind", x.kind.String()), zap.Int("attempts", x.req.Attempts),
		zap.Duration("took", took), zap.Duration("left", x.req.Deadline.Sub(x.node.now())),
		zap.String("pool", x.last.Pool), zap.String("zone", x.lastZone()), zap.String("target", x.last.Target),
		zap.Uint64("tables", x.view.tables.Version), zap.Duration("tables_age", x.node.now().Sub(x.view.since)),
	}
	e.Write(append(fields, x.basisFields()...)...)
}

// basisFields returns what the last decision rested on.
func (x *exchange) basisFields() []zapcore.Field {
	b := x.basis
	if b.Target == "" {
		return nil
	}
	return []zapcore.Field{
		zap.String("best", b.Target), zap.Duration("wait", b.ExpectedWait), zap.Duration("wait_allowed", b.MaxWait),
		zap.Int("in_flight", b.InFlight), zap.Float64("others", b.OthersInFlight), zap.Duration("load_age", b.LoadAge),
	}
}

// attemptPanicked takes in a panic while an attempt was made.
func (n *Node) attemptPanicked(value any, stack []byte) {
	if n.metrics != nil {
		n.metrics.CountPanic()
	}
	n.log.Error("attempt not made", zap.Any("panic", value), zap.ByteString("stack", stack))
}
