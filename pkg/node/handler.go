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
	v := n.snapshot.Load()
	route, f := n.matchRoute(v, r)
	if f != nil {
		n.logRefusal(r, *f)
		n.withDialect(n.unknownIfRepeat(*f, r)).Write(w)
		return
	}
	n.serveExchange(w, r, v, route, "")
}

// matchRoute returns the route of a caller's request, or a refusal.
func (n *Node) matchRoute(v *snapshot, r *http.Request) (*table.Route, *caller.Refusal) {
	switch {
	case r.Method == http.MethodConnect:
		return nil, &caller.Refusal{Kind: fault.KindBadRequest, Message: "method CONNECT is not supported"}
	case v.tables.Version == 0:
		return nil, &caller.Refusal{Kind: fault.KindNotReady, Message: "this instance has not received any tables yet"}
	}
	route := v.matcher.Match(r.Host, r.URL.Path)
	if route == nil {
		return nil, &caller.Refusal{Kind: fault.KindUnknownRoute, Message: "no route for host " + r.Host + " and path " + r.URL.Path}
	}
	return route, nil
}

// serveHop serves a request that another instance forwarded: a repeat for which
// this instance is the home, or a request whose route and pool are chosen.
func (n *Node) serveHop(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderInstance, n.self.ID)
	if hop.IsHome(r.Header) {
		n.serveRepeat(w, r)
		return
	}
	ch, err := hop.ReadChoice(r)
	if err != nil {
		caller.RefusalOf(err).Write(w)
		return
	}
	v := n.snapshot.Load()
	route := v.tables.Route(ch.Route)
	if route == nil || v.tables.Pool(ch.Pool) == nil {
		f := caller.Refusal{Kind: fault.KindHopRefused, Message: "the forwarded request names a route or pool that the tables of this instance do not contain"}
		f.Write(w)
		return
	}
	n.serveExchange(w, r, v, route, ch.Pool)
}

// serveRepeat serves a repeat that another instance forwarded to this one, its
// home.
func (n *Node) serveRepeat(w http.ResponseWriter, r *http.Request) {
	v := n.snapshot.Load()
	route := v.matcher.Match(r.Host, r.URL.Path)
	if route == nil {
		caller.Refusal{Kind: fault.KindHomeGone, Message: "no route matches the repeated request any longer"}.Write(w)
		return
	}
	n.serveExchange(w, r, v, route, "")
}

// serveExchange serves r on route. pool is empty unless another instance has
// chosen it.
func (n *Node) serveExchange(w http.ResponseWriter, r *http.Request, v *snapshot, route *table.Route, pool string) {
	now := n.now()
	fields, err := caller.ReadFields(r, &n.dialect)
	if err != nil {
		f := caller.RefusalOf(err)
		n.logRefusal(r, f)
		n.withDialect(n.unknownIfRepeat(f, r)).Write(w)
		return
	}
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	atHome := hop.IsHome(r.Header)
	removeHopFields(r.Header)
	deadline := now.Add(route.Timeout.Std())
	if fields.Deadline > 0 {
		deadline = earlier(deadline, now.Add(fields.Deadline))
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	x := &exchange{
		node: n, snapshot: v, forwardedHome: atHome, w: w, in: r, ctx: ctx, relay: caller.NewRelay(w),
		req: steer.Request{
			Route:      route,
			Pool:       pool,
			Member:     fields.Member,
			Idempotent: fields.Mark(route, r.Method),
			Arrived:    now,
			Deadline:   deadline,
			Key:        objectKey(fields.Object),
		},
		id: fields.ID, object: fields.Object,
	}
	if n.dialect.Stamp != "" {
		x.relay.PassOn(n.dialect.Stamp)
	}
	x.setCallerDeadlines()
	var span trace.Span
	x.ctx, span = n.tracer.Server(x.ctx, r.Header, "request "+route.Name)
	x.serve(fields.ID)
	x.report(span)
	if x.truncated {
		panic(http.ErrAbortHandler)
	}
}

// serve runs the request whose id is text. A non-idempotent request with an id
// goes through the registry of submissions, which keeps it from running twice.
// The registry is skipped when the dialect's ids are opaque, when the request is
// idempotent or has no id, and when another instance has chosen its pool.
func (x *exchange) serve(text string) {
	if x.node.dialect.OpaqueIDs || text == "" || x.req.Idempotent || x.req.Pool != "" {
		x.knownFirst = true
		x.runNew()
		return
	}
	id, err := outcome.Parse(text)
	if err != nil {
		x.refuse(caller.RefusalOf(err))
		return
	}
	x.runOnce(id)
}

// runNew runs a request without the registry, or refuses it during shutdown.
func (x *exchange) runNew() {
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

// unknownIfRepeat returns f, unless f states that r was not run although an
// earlier submission of it may have been. It then returns a refusal whose outcome
// is unknown.
func (n *Node) unknownIfRepeat(f caller.Refusal, r *http.Request) caller.Refusal {
	text := r.Header.Get(wire.HeaderRequestID)
	if f.Kind.Answer().Outcome != fault.NotRun || text == "" || n.submissions.certainlyNotRun(n.now(), text) {
		return f
	}
	return caller.Refusal{Kind: fault.KindHomeGone, Message: f.Kind.String() + ": " + f.Message}
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
		if hop.IsHopField(field) {
			delete(h, field)
		}
	}
}
