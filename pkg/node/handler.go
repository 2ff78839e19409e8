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

// bareRouter returns a router that changes nothing of a request's path.
func bareRouter(fallback http.HandlerFunc) *httprouter.Router {
	r := httprouter.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.HandleMethodNotAllowed = false
	r.HandleOPTIONS = false
	r.NotFound = fallback
	return r
}

// callerHandler serves look-ups and requests.
func (n *Node) callerHandler() http.Handler {
	r := bareRouter(n.serveRequest)
	r.GET(wire.PathLookup, n.serveLookup)
	return r
}

// hopHandler serves requests passed on by other instances.
func (n *Node) hopHandler() http.Handler { return http.HandlerFunc(n.serveHop) }

// serveRequest serves a caller's request.
func (n *Node) serveRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderInstance, n.self.ID)
	if n.leaving() {
		w.Header().Set("Connection", "close")
	}
	v := n.view.Load()
	route, f := n.admit(v, r)
	if f != nil {
		n.logRefusal(r, *f)
		n.refusal(n.honest(*f, r)).Write(w)
		return
	}
	n.runExchange(w, r, v, route, "")
}

// admit matches the route of a caller's request, or refuses it.
func (n *Node) admit(v *view, r *http.Request) (*table.Route, *caller.Refusal) {
	switch {
	case r.Method == http.MethodConnect:
		return nil, &caller.Refusal{Kind: fault.KindBadRequest, Message: "CONNECT is not served"}
	case v.tables.Version == 0:
		return nil, &caller.Refusal{Kind: fault.KindNotReady, Message: "no tables yet"}
	}
	route := v.matcher.Match(r.Host, r.URL.Path)
	if route == nil {
		return nil, &caller.Refusal{Kind: fault.KindUnknownRoute, Message: "no route for host " + r.Host + " and path " + r.URL.Path}
	}
	return route, nil
}

// serveHop serves a request that another instance has matched already.
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
	v := n.view.Load()
	route := v.tables.Route(ch.Route)
	if route == nil || v.tables.Pool(ch.Pool) == nil {
		f := caller.Refusal{Kind: fault.KindHopRefused, Message: "route or pool is not known in this version"}
		f.Write(w)
		return
	}
	n.runExchange(w, r, v, route, ch.Pool)
}

// serveRepeat serves a repeat that another instance has passed to its home.
func (n *Node) serveRepeat(w http.ResponseWriter, r *http.Request) {
	v := n.view.Load()
	route := v.matcher.Match(r.Host, r.URL.Path)
	if route == nil {
		caller.Refusal{Kind: fault.KindHomeGone, Message: "the route of the request is gone"}.Write(w)
		return
	}
	n.runExchange(w, r, v, route, "")
}

// runExchange serves r on route; pool is set when it has been chosen already.
func (n *Node) runExchange(w http.ResponseWriter, r *http.Request, v *view, route *table.Route, pool string) {
	now := n.now()
	fields, err := caller.ReadFields(r, &n.dialect)
	if err != nil {
		f := caller.RefusalOf(err)
		n.logRefusal(r, f)
		n.refusal(n.honest(f, r)).Write(w)
		return
	}
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	atHome := hop.IsHome(r.Header)
	dropHopFields(r.Header)
	deadline := now.Add(route.Timeout.Std())
	if fields.Deadline > 0 {
		deadline = minTime(deadline, now.Add(fields.Deadline))
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	x := &exchange{
		node: n, view: v, atHome: atHome, w: w, in: r, ctx: ctx, relay: caller.NewRelay(w),
		req: steer.Request{
			Route:      route,
			Pool:       pool,
			Member:     fields.Member,
			Idempotent: fields.Mark(route, r.Method),
			Arrived:    now,
			Deadline:   deadline,
			ObjectKey:  objectKey(fields.Object),
		},
		id: fields.ID, object: fields.Object,
	}
	if n.dialect.Stamp != "" {
		x.relay.PassOn(n.dialect.Stamp)
	}
	x.guardCaller()
	var span trace.Span
	x.ctx, span = n.tracer.StartServerSpan(x.ctx, r.Header, "request "+route.Name)
	x.serve(fields.ID)
	x.account(span)
	if x.broken {
		panic(http.ErrAbortHandler)
	}
}

// serve runs a request whose repeats must not run through the registry.
func (x *exchange) serve(text string) {
	if x.node.dialect.OpaqueIDs || text == "" || x.req.Idempotent || x.req.Pool != "" {
		x.proven = true
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

// runNew runs a request that is not a repeat, unless the instance is leaving.
func (x *exchange) runNew() {
	if !x.node.refusesWork() {
		x.run()
		return
	}
	kind := fault.KindLeaving
	if x.req.Pool != "" {
		kind = fault.KindHopRefused
	}
	x.w.Header().Set("Connection", "close")
	x.refuse(caller.Refusal{Kind: kind, Message: "the instance is leaving"})
}

// honest returns f, or "unknown" in its place when f says that the request
// was not run and an earlier submission of it may have been.
func (n *Node) honest(f caller.Refusal, r *http.Request) caller.Refusal {
	text := r.Header.Get(wire.HeaderRequestID)
	if f.Kind.Answer().Outcome != fault.NotRun || text == "" || n.repeats.fresh(n.now(), text) {
		return f
	}
	return caller.Refusal{Kind: fault.KindHomeGone, Message: f.Kind.String() + ": " + f.Message}
}

// guardCaller bounds reading from and writing to the caller by the deadline.
func (x *exchange) guardCaller() {
	rc := http.NewResponseController(x.w)
	// A connection that knows no deadlines is served without them.
	_ = rc.SetReadDeadline(x.req.Deadline.Add(bodyGrace))
	_ = rc.SetWriteDeadline(x.req.Deadline.Add(callerGrace))
}

const (
	// bodyGrace is how long after the deadline the end of a body is awaited.
	bodyGrace = 100 * time.Millisecond
	// callerGrace is how long after the deadline the answer may be written.
	callerGrace = time.Second
)

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// dropHopFields removes what only other instances may state.
func dropHopFields(h http.Header) {
	for field := range h {
		if hop.IsHopField(field) {
			delete(h, field)
		}
	}
}
