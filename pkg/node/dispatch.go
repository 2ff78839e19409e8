package node

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/outcome"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/peer/hop"
	"github.com/jacinthramp/jacinthramp/pkg/peer/target"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// wholeAnswerBytes is the largest answer that is read whole before its header
// is passed on, so that a failure within it can still be answered.
const wholeAnswerBytes = 32 << 10

// dispatch sends the request to a target and passes its answer on.
func (x *exchange) dispatch(d steer.Decision, start time.Time, res *steer.Result) error {
	c, ok := x.view.targets[d.Target]
	if !ok {
		return fault.New(fault.KindTargetRefused, "target %s is not known any more", d.Target)
	}
	a, err := c.Send(x.ctx, x.in, x.body, x.req.Deadline, upstream.Terms{NotAfter: d.NotAfter, Once: !x.req.Idempotent})
	if a != nil {
		res.Leaving = a.Leaving
	}
	if err != nil {
		return err
	}
	defer a.Close()
	res.Latency = x.latencySince(start)
	head := headOf(a.Answer)
	first, err := x.readFirst(a.Answer, head)
	if err != nil {
		e := a.BodyError(x.ctx, err)
		return fault.Wrap(target.Kind(e), e, "target %s", d.Target)
	}
	h := x.w.Header()
	h.Set(wire.HeaderOutcome, string(fault.Completed))
	h.Set(wire.HeaderTarget, d.Target)
	x.keep(d.Target, head, first)
	res.Kind = x.pass(a.Answer, head, first, isOwnField)
	return nil
}

// hop passes the request to an instance of the decided zone and passes its
// answer on.
func (x *exchange) hop(d steer.Decision, start time.Time, res *steer.Result) error {
	c := x.pickHop(d.Zone)
	if c == nil {
		return fault.Wrap(fault.KindHopRefused, errNoInstance, "zone %s", d.Zone)
	}
	a, err := c.Send(x.ctx, x.in, x.body, hop.Choice{
		Route: x.req.Route.Name, Pool: d.Pool, Version: x.view.tables.Version,
		Idempotent: x.req.Idempotent, Deadline: x.req.Deadline,
	})
	if err != nil {
		return err
	}
	defer a.Close()
	res.Latency = x.latencySince(start)
	if a.Kind != fault.KindNone {
		return fault.WithRetryAfter(fault.New(a.Kind, "zone %s: %s", d.Zone, a.Kind), a.RetryAfter)
	}
	head := headOf(a.Answer)
	first, err := x.readFirst(a.Answer, head)
	if err != nil {
		return fault.Wrap(fault.KindHopLost, err, "zone %s", d.Zone)
	}
	x.keep(a.Header.Get(wire.HeaderTarget), head, first)
	res.Kind = x.pass(a.Answer, head, first, isInstanceField)
	return nil
}

// pickHop returns an instance of zone at random, or nil.
func (x *exchange) pickHop(zone string) *hop.Client {
	cs := x.view.hops[zone]
	if len(cs) == 0 {
		return nil
	}
	return cs[x.node.random(len(cs))]
}

func headOf(a *upstream.Answer) caller.Head {
	return caller.Head{Status: a.StatusCode, Header: a.Header, Trailer: a.Trailer, Length: a.ContentLength}
}

// firstPart is the start of an answer's body that has been read before its
// header is passed on.
type firstPart struct {
	data []byte
	// whole is set when data is the whole body.
	whole bool
}

// readFirst reads a small answer whole. When the outcome is recorded, an
// answer of unannounced length is read up to the bound as well.
func (x *exchange) readFirst(a *upstream.Answer, head caller.Head) (firstPart, error) {
	switch {
	case head.Length == 0 || a.Request.Method == http.MethodHead:
		return firstPart{whole: true}, nil
	case head.Length > wholeAnswerBytes, head.Length < 0 && !x.record:
		return firstPart{}, nil
	case head.Length > 0:
		buf := make([]byte, head.Length)
		_, err := io.ReadFull(a.Body, buf)
		return firstPart{buf, true}, err
	}
	data, err := io.ReadAll(io.LimitReader(a.Body, wholeAnswerBytes+1))
	return firstPart{data, len(data) <= wholeAnswerBytes}, err
}

// keep records a whole answer for repeats of the request; of a longer one
// only the fact that it was given.
func (x *exchange) keep(target string, head caller.Head, first firstPart) {
	if !x.record {
		return
	}
	x.result = outcome.Result{}
	if first.whole {
		x.recordAnswer(target, head, first.data)
	}
}

// pass gives the answer to the caller. When it breaks off after its header,
// the connection to the caller is cut, so that the caller can tell.
func (x *exchange) pass(a *upstream.Answer, head caller.Head, first firstPart, skip func(string) bool) fault.Kind {
	x.closeUnread()
	x.relay.Final(head, skip)
	var body io.Reader = a.Body
	if len(first.data) > 0 {
		body = io.MultiReader(bytes.NewReader(first.data), a.Body)
	}
	errRead, errWrite := x.relay.Body(body, head)
	switch {
	case errWrite != nil:
		x.broken = true
		return fault.KindCallerGone
	case errRead != nil:
		x.broken = true
		return target.Kind(a.BodyError(x.ctx, errRead))
	}
	return fault.KindNone
}

// isOwnField reports whether field belongs to the system.
func isOwnField(field string) bool { return strings.HasPrefix(field, "Jacinthramp-") }

// isInstanceField reports whether field is set anew by each instance.
func isInstanceField(field string) bool {
	return field == wire.HeaderInstance || field == wire.HeaderRequestID
}
