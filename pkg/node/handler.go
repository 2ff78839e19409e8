package node

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.opentelemetry.io/otel/trace"

	"github.com/jacinthramp/jacinthramp/pkg/decision/outcome"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/peer/hop"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// newRouter returns a router that neither redirects nor rewrites paths and calls
// fallback for every request without a route of its own.
func newRouter(fallback http.HandlerFunc) *httprouter.Router {
	r := httprouter.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.HandleMethodNotAllowed = false
	r.HandleOPTIONS = false
	r.NotFound = fallback
	return r
}

// callerHandler serves lookups and the requests of callers.
func (n *Node) callerHandler() http.Handler {
	r := newRouter(n.serveRequest)
	r.GET(wire.PathLookup, n.serveLookup)
	return r
}

// hopHandler serves requests that other instances forward.
func (n *Node) hopHandler() http.Handler { return http.HandlerFunc(n.serveHop) }

// serveRequest serves a caller's request.
func (n *Node) serveRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderInstance, n.self.ID)
	if n.leaving() {
		w.Header().Set("Connection", "close")
	}
	m, refusal := n.matchRoute(r)
	if refusal != nil {
		n.logRefusal(r, *refusal)
		n.withDialect(n.unknownIfRepeat(*refusal, r)).Write(w)
		return
	}
	n.serveExchange(w, r, m)
}

// match is the route of a request: its row in one version of the tables, and what it was
// found by.
type match struct {
	route   *table.Route
	version uint64
	// host and path are empty, and pool is set, if another instance has chosen route and
	// pool. version is then that of its tables.
	host, path string
	pool       string
	key        callerKey
}

// matchRoute returns the match of a caller's request, or a refusal.
func (n *Node) matchRoute(r *http.Request) (match, *caller.Refusal) {
	if r.Method == http.MethodConnect {
		return match{}, &caller.Refusal{Kind: fault.KindBadRequest, Message: "method CONNECT is not supported"}
	}
	m := n.findRoute(r)
	switch {
	case m.version == 0:
		return m, &caller.Refusal{Kind: fault.KindNotReady, Message: "this instance has not received any tables yet"}
	case m.route == nil:
		return m, &caller.Refusal{Kind: fault.KindUnknownRoute, Message: "no route for host " + r.Host + " and path " + m.path}
	}
	m.key = n.readKey(r)
	return m, nil
}

// findRoute returns the match of r in the tables in force; without one, its route is nil.
func (n *Node) findRoute(r *http.Request) match {
	m := match{host: r.Host, path: cmp.Or(caller.RequestPath(r), "/")}
	m.route, m.version = n.core.Match(m.host, m.path)
	return m
}

// serveHop serves a request that another instance forwarded: a repeat for which
// this instance is the home, or a request whose route and pool are chosen.
func (n *Node) serveHop(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderInstance, n.self.ID)
	if hop.IsForwardedHome(r.Header) {
		n.serveRepeat(w, r)
		return
	}
	decision, err := hop.ReadDecision(r)
	if err != nil {
		caller.RefusalFromError(err).Write(w)
		return
	}
	tables := n.core.Tables()
	route := tables.Route(decision.Route)
	if route == nil || tables.Pool(decision.Pool) == nil {
		refusal := caller.Refusal{Kind: fault.KindHopRefused, Message: "the forwarded request names a route or pool that the tables of this instance do not contain"}
		refusal.Write(w)
		return
	}
	n.serveExchange(w, r, match{route: route, version: decision.TablesVersion, pool: decision.Pool, key: n.readForwardedKey(r)})
}

// serveRepeat serves a repeat that another instance forwarded to this one, its
// home.
func (n *Node) serveRepeat(w http.ResponseWriter, r *http.Request) {
	m := n.findRoute(r)
	if m.route == nil {
		caller.Refusal{Kind: fault.KindHomeGone, Message: "no route matches the repeated request any longer"}.Write(w)
		return
	}
	m.key = n.readForwardedKey(r)
	n.serveExchange(w, r, m)
}

// serveExchange serves r on the route of m.
func (n *Node) serveExchange(w http.ResponseWriter, r *http.Request, m match) {
	now, route := n.now(), m.route
	fields, err := caller.ReadRequestFields(r, &n.dialect)
	if err != nil {
		refusal := caller.RefusalFromError(err)
		n.logRefusal(r, refusal)
		n.withDialect(n.unknownIfRepeat(refusal, r)).Write(w)
		return
	}
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	forwardedHome := hop.IsForwardedHome(r.Header)
	removeHopFields(r.Header)
	deadline, callerDeadline := deadlines(now, route, fields.RequestTimeout)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	x := n.newExchange(w, r, &m, &fields)
	x.ctx, x.forwardedHome = ctx, forwardedHome
	x.req.Arrived, x.req.Deadline, x.req.CallerDeadline = now, deadline, callerDeadline
	if n.dialect.ResponseStamp != "" {
		x.relay.AllowReservedField(n.dialect.ResponseStamp)
	}
	x.setCallerDeadlines()
	defer x.interruptBodyAtStop()()
	var span trace.Span
	x.ctx, span = n.tracer.StartServerSpan(x.ctx, r.Header, "request "+route.Name)
	x.serve(fields.ID)
	x.report(span)
	if x.truncated {
		panic(http.ErrAbortHandler)
	}
}

// deadlines returns when a request on route that arrived at now ends at the latest, and when its
// caller gives up: zero if the caller has not stated a timeout.
func deadlines(now time.Time, route *table.Route, timeout time.Duration) (deadline, callerDeadline time.Time) {
	deadline = now.Add(route.Timeout.Std())
	if timeout <= 0 {
		return deadline, time.Time{}
	}
	callerDeadline = now.Add(timeout)
	return earlier(deadline, callerDeadline), callerDeadline
}

// newExchange returns the exchange of r on the route of m, without its times and context.
func (n *Node) newExchange(w http.ResponseWriter, r *http.Request, m *match, fields *caller.RequestFields) *exchange {
	return &exchange{
		node: n, snapshot: n.snapshot.Load(), arrivalTables: m.version, w: w, httpReq: r, relay: caller.NewResponseRelay(w),
		req: steer.Request{
			Route:         m.route,
			TablesVersion: m.version,
			Host:          m.host,
			Path:          m.path,
			Pool:          m.pool,
			Key:           m.key.digest,
			Member:        fields.Member,
			Idempotent:    fields.IsIdempotent(m.route, r.Method),
			ObjectKey:     objectKey(fields.Object),
			Method:        routedMethod(fields, r.Method),
		},
		id: fields.ID, object: fields.Object, key: m.key,
	}
}

// routedMethod returns method if the route determines whether the request is idempotent,
// else "".
func routedMethod(f *caller.RequestFields, method string) string {
	if f.IdempotentSet {
		return ""
	}
	return method
}

// serve runs the request with the id rawID. A non-idempotent request with an id
// goes through the registry of submissions, which keeps it from running twice.
// The registry is skipped when the dialect's ids are opaque, when the request is
// idempotent or has no id, and when another instance has chosen its pool.
func (x *exchange) serve(rawID string) {
	x.knownFirst = x.node.dialect.OpaqueIDs || rawID == "" || x.req.Idempotent || x.req.Pool != ""
	if !x.identify() {
		return
	}
	if x.knownFirst {
		x.runUnregistered()
		return
	}
	id, err := outcome.Parse(rawID)
	if err != nil {
		x.refuse(caller.RefusalFromError(err))
		return
	}
	x.runOnce(id)
}

// runUnregistered runs a request without the registry, or refuses it during shutdown.
func (x *exchange) runUnregistered() {
	if !x.node.refusesRequests() {
		x.run()
		return
	}
	kind := fault.KindLeaving
	if x.req.Pool != "" {
		kind = fault.KindHopRefused
	}
	x.w.Header().Set("Connection", "close")
	x.refuse(caller.Refusal{Kind: kind, Message: "the instance is shutting down"})
}

// unknownIfRepeat returns refusal, unless it states that r was not run although an
// earlier submission of it may have been. It then returns a refusal whose outcome
// is unknown.
func (n *Node) unknownIfRepeat(refusal caller.Refusal, r *http.Request) caller.Refusal {
	rawID := r.Header.Get(wire.HeaderRequestID)
	if refusal.Kind.Info().Outcome != fault.OutcomeNotRun || rawID == "" || n.submissions.certainlyNotRun(n.now(), rawID) {
		return refusal
	}
	return caller.Refusal{Kind: fault.KindHomeGone, Message: refusal.Kind.String() + ": " + refusal.Message}
}

// setCallerDeadlines bounds reading from and writing to the caller by the
// request's deadline.
func (x *exchange) setCallerDeadlines() {
	rc := http.NewResponseController(x.w)
	// Connections without support for deadlines are served without them.
	_ = rc.SetReadDeadline(x.req.Deadline.Add(bodyReadGrace))
	_ = rc.SetWriteDeadline(x.req.Deadline.Add(responseWriteGrace))
}

const (
	// bodyReadGrace is how long after the deadline the body may still be read.
	bodyReadGrace = 100 * time.Millisecond
	// responseWriteGrace is how long after the deadline the response may still
	// be written.
	responseWriteGrace = time.Second
)

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// removeHopFields removes the header fields that only other instances may set.
func removeHopFields(h http.Header) {
	for field := range h {
		if hop.IsHopHeader(field) {
			delete(h, field)
		}
	}
}
