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

// classifyResponse tells an answer to the request with the given id from a refusal, and
// from what is no answer to it. In the last two cases the answer is closed.
func (c *Client) classifyResponse(resp *upstream.Response, id string) (*Response, error) {
	dialect := &c.dialect
	out := &Response{Response: resp, Load: parseLoad(resp.Header, dialect), Notice: c.parseNotice(resp.StatusCode, resp.Header)}
	notRun := dialect.NotRun != "" && resp.Header.Get(dialect.NotRun) != ""
	if reason := c.mismatchReason(resp, id, notRun); reason != "" {
		resp.SuspendReuse()
		resp.Close()
		return &Response{}, fault.New(fault.KindTargetGarbage, "target %s: %s", c.name, reason)
	}
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest && dialect.ExpectTarget != "":
		resp.Close()
		return &Response{Notice: Notice{Leaving: true}}, fault.New(fault.KindTargetShed, "another target has the address of %s", c.name)
	case notRun:
		resp.Close()
		return &Response{Notice: out.Notice, Load: out.Load}, fault.New(fault.KindTargetShed, "target %s refused the request without running it", c.name)
	}
	return out, nil
}

// mismatchReason says why a is no answer to the request with the given id, or
// returns "".
func (c *Client) mismatchReason(resp *upstream.Response, id string, notRun bool) string {
	dialect := &c.dialect
	if name, ok := c.isFromTarget(resp.Header); !ok {
		return "the answer is that of the server " + strconv.Quote(name)
	}
	if dialect.EchoID && id != "" {
		got := resp.Header.Get(dialect.RequestID)
		if got != id && (got != "" || !notRun && resp.StatusCode != http.StatusMisdirectedRequest) {
			return "the answer has the id " + strconv.Quote(got) + " of another request"
		}
	}
	if dialect.PlainBodies && resp.Header.Get("Content-Encoding") != "" {
		return "the body is encoded"
	}
	if dialect.Stamp != "" && resp.StatusCode < http.StatusMultipleChoices && resp.Header.Get(dialect.Stamp) == "" {
		return "the success has no stamp"
	}
	return ""
}

// isFromTarget returns the name on an answer and whether it is this target's, as far
// as the target names itself.
func (c *Client) isFromTarget(h http.Header) (name string, ok bool) {
	if c.dialect.AnsweredBy == "" {
		return "", true
	}
	name = h.Get(c.dialect.AnsweredBy)
	if name == c.name {
		c.sendsName.Store(true)
		return name, true
	}
	return name, name == "" && !c.sendsName.Load()
}

// numLoadCounts is the number of counts in a load field.
const numLoadCounts = 3

// parseLoad reads the load field; it returns nil when there is none.
func parseLoad(h http.Header, d *wire.Dialect) *Load {
	if d.Load == "" {
		return nil
	}
	parts := strings.Split(h.Get(d.Load), ",")
	if len(parts) != numLoadCounts {
		return nil
	}
	var counts [numLoadCounts]int
	for i, p := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || v < 0 {
			return nil
		}
		counts[i] = v
	}
	return &Load{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
}
