package node

import (
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
	snap := n.snapshot.Load()
	route, refusal := n.matchRoute(snap, r)
	if refusal != nil {
		n.logRefusal(r, *refusal)
		n.withDialect(n.unknownIfRepeat(*refusal, r)).Write(w)
		return
	}
	n.serveExchange(w, r, snap, route, "")
}

// matchRoute returns the route of a caller's request, or a refusal.
func (n *Node) matchRoute(snap *snapshot, r *http.Request) (*table.Route, *caller.Refusal) {
	switch {
	case r.Method == http.MethodConnect:
		return nil, &caller.Refusal{Kind: fault.KindBadRequest, Message: "method CONNECT is not supported"}
	case snap.tables.Version == 0:
		return nil, &caller.Refusal{Kind: fault.KindNotReady, Message: "this instance has not received any tables yet"}
	}
	path := caller.RequestPath(r)
	route := snap.matcher.Match(r.Host, path)
	if route == nil {
		return nil, &caller.Refusal{Kind: fault.KindUnknownRoute, Message: "no route for host " + r.Host + " and path " + path}
	}
	return route, nil
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
	snap := n.snapshot.Load()
	route := snap.tables.Route(decision.Route)
	if route == nil || snap.tables.Pool(decision.Pool) == nil {
		refusal := caller.Refusal{Kind: fault.KindHopRefused, Message: "the forwarded request names a route or pool that the tables of this instance do not contain"}
		refusal.Write(w)
		return
	}
	n.serveExchange(w, r, snap, route, decision.Pool)
}

// serveRepeat serves a repeat that another instance forwarded to this one, its
// home.
func (n *Node) serveRepeat(w http.ResponseWriter, r *http.Request) {
	snap := n.snapshot.Load()
	route := snap.matcher.Match(r.Host, caller.RequestPath(r))
	if route == nil {
		caller.Refusal{Kind: fault.KindHomeGone, Message: "no route matches the repeated request any longer"}.Write(w)
		return
	}
	n.serveExchange(w, r, snap, route, "")
}

// serveExchange serves r on route. pool is empty unless another instance has
// chosen it.
func (n *Node) serveExchange(w http.ResponseWriter, r *http.Request, snap *snapshot, route *table.Route, pool string) {
	now := n.now()
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
	deadline := now.Add(route.Timeout.Std())
	if fields.RequestTimeout > 0 {
		deadline = earlier(deadline, now.Add(fields.RequestTimeout))
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	x := &exchange{
		node: n, snapshot: snap, forwardedHome: forwardedHome, w: w, httpReq: r, ctx: ctx, relay: caller.NewResponseRelay(w, n.bodies),
		req: steer.Request{
			Route:      route,
			Pool:       pool,
			Member:     fields.Member,
			Idempotent: fields.IsIdempotent(route, r.Method),
			Arrived:    now,
			Deadline:   deadline,
			ObjectKey:  objectKey(fields.Object),
		},
		id: fields.ID, object: fields.Object,
	}
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

// serve runs the request with the id rawID. A non-idempotent request with an id
// goes through the registry of submissions, which keeps it from running twice.
// The registry is skipped when the dialect's ids are opaque, when the request is
// idempotent or has no id, and when another instance has chosen its pool.
func (x *exchange) serve(rawID string) {
	if x.node.dialect.OpaqueIDs || rawID == "" || x.req.Idempotent || x.req.Pool != "" {
		x.knownFirst = true
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
