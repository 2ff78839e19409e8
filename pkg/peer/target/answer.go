package target

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// Load is the load that a target states with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Response is a target's answer.
type Response struct {
	*upstream.Response
	// Notice is what the target says of itself beside its load.
	Notice Notice
	// Load is what the target states of its load, or nil.
	Load *Load
}

// read tells an answer to the request with the given id from a refusal, and
// from what is no answer to it. In the last two cases the answer is closed.
func (c *Client) read(a *upstream.Response, id string) (*Response, error) {
	d := &c.dialect
	out := &Response{Response: a, Load: readLoad(a.Header, d), Notice: c.notice(a.StatusCode, a.Header)}
	notRun := d.NotRun != "" && a.Header.Get(d.NotRun) != ""
	if text := c.mismatch(a, id, notRun); text != "" {
		a.SuspendReuse()
		a.Close()
		return &Response{}, fault.New(fault.KindTargetGarbage, "target %s: %s", c.name, text)
	}
	switch {
	case a.StatusCode == http.StatusMisdirectedRequest && d.ExpectTarget != "":
		a.Close()
		return &Response{Notice: Notice{Leaving: true}}, fault.New(fault.KindTargetShed, "another target has the address of %s", c.name)
	case notRun:
		a.Close()
		return &Response{Notice: out.Notice, Load: out.Load}, fault.New(fault.KindTargetShed, "target %s refused the request without running it", c.name)
	}
	return out, nil
}

// mismatch says why a is no answer to the request with the given id, or
// returns "".
func (c *Client) mismatch(a *upstream.Response, id string, notRun bool) string {
	d := &c.dialect
	if name, ok := c.ownAnswer(a.Header); !ok {
		return "the answer is that of the server " + strconv.Quote(name)
	}
	if d.EchoID && id != "" {
		got := a.Header.Get(d.RequestID)
		if got != id && (got != "" || !notRun && a.StatusCode != http.StatusMisdirectedRequest) {
			return "the answer has the id " + strconv.Quote(got) + " of another request"
		}
	}
	if d.PlainBodies && a.Header.Get("Content-Encoding") != "" {
		return "the body is encoded"
	}
	if d.Stamp != "" && a.StatusCode < http.StatusMultipleChoices && a.Header.Get(d.Stamp) == "" {
		return "the success has no stamp"
	}
	return ""
}

// ownAnswer returns the name on an answer and whether it is this target's, as far
// as the target names itself.
func (c *Client) ownAnswer(h http.Header) (name string, own bool) {
	if c.dialect.AnsweredBy == "" {
		return "", true
	}
	name = h.Get(c.dialect.AnsweredBy)
	if name == c.name {
		c.named.Store(true)
		return name, true
	}
	return name, name == "" && !c.named.Load()
}

// loadParts is the number of counts in a load field.
const loadParts = 3

// readLoad reads the load field; it returns nil when there is none.
func readLoad(h http.Header, d *wire.Dialect) *Load {
	if d.Load == "" {
		return nil
	}
	parts := strings.Split(h.Get(d.Load), ",")
	if len(parts) != loadParts {
		return nil
	}
	var n [loadParts]int
	for i, p := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || v < 0 {
			return nil
		}
		n[i] = v
	}
	return &Load{Running: n[0], Waiting: n[1], Slots: n[2]}
}
