package target

import (
	"net/http"
	"strconv"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// Response is a target's response to a request.
type Response struct {
	*upstream.Response
	// Notice is what the target reports about itself apart from its load.
	Notice Notice
	// Load is the target's load, or nil if the response doesn't report it.
	Load *Load
}

// classifyResponse returns the target's response to the request with the given id.
// For a refusal, and for a response that doesn't match the request, it closes resp
// and returns an error of kind KindTargetShed or KindTargetGarbage.
func (c *Client) classifyResponse(resp *upstream.Response, id string) (*Response, error) {
	dialect := &c.dialect
	out := &Response{Response: resp, Load: parseLoad(resp.Header, dialect), Notice: c.parseNotice(resp.StatusCode, resp.Header)}
	notRun := c.statesNotRun(resp.Header)
	if reason := c.mismatchReason(resp, id, notRun); reason != "" {
		resp.SuspendReuse()
		resp.Close()
		return &Response{}, fault.New(fault.KindTargetGarbage, "target %s: %s", c.name, reason)
	}
	c.preventReuseAfterRefusal(resp)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest && dialect.ExpectTarget != "":
		resp.Close()
		return &Response{Notice: Notice{Leaving: true}}, fault.New(fault.KindTargetShed, "target %s did not run the request: another target has its address", c.name)
	case notRun:
		resp.Close()
		return &Response{Notice: out.Notice, Load: out.Load}, fault.New(fault.KindTargetShed, "target %s refused the request without running it", c.name)
	case dialect.RefusalStatuses && wire.IsRefusalStatus(resp.StatusCode):
		// Relayed, the status would tell the caller more than the target has stated.
		resp.Close()
		return &Response{Notice: out.Notice, Load: out.Load}, fault.New(fault.KindTargetGarbage, "target %s responded with status %d and does not state that it did not run the request", c.name, resp.StatusCode)
	}
	return out, nil
}

// statesNotRun reports whether a response header states that the request did not run.
func (c *Client) statesNotRun(h http.Header) bool {
	return c.dialect.NotRun != "" && h.Get(c.dialect.NotRun) != ""
}

// preventReuseAfterRefusal has the connection closed after a refusal that does not name
// its request. A second copy of it, sent late, could not be told from the refusal of the
// next request on the connection, which may have run.
func (c *Client) preventReuseAfterRefusal(resp *upstream.Response) {
	named := c.dialect.EchoesRequestID && resp.Header.Get(c.dialect.RequestID) != ""
	if !named && (resp.StatusCode == http.StatusMisdirectedRequest || c.statesNotRun(resp.Header)) {
		resp.PreventReuse()
	}
}

// mismatchReason returns why resp is not the target's response to the request with
// the given id, or "" if it is.
func (c *Client) mismatchReason(resp *upstream.Response, id string, notRun bool) string {
	dialect := &c.dialect
	if name, ok := c.isFromTarget(resp.Header); !ok {
		return "response is from server " + quote(name)
	}
	if dialect.EchoesRequestID && id != "" {
		got := resp.Header.Get(dialect.RequestID)
		if got != id && (got != "" || !notRun && resp.StatusCode != http.StatusMisdirectedRequest) {
			return "response has request id " + quote(got) + " instead of the one sent"
		}
	}
	if dialect.NoContentEncoding && resp.Header.Get("Content-Encoding") != "" {
		return "response body has a content encoding"
	}
	if dialect.ResponseStamp != "" && resp.StatusCode < http.StatusMultipleChoices && resp.Header.Get(dialect.ResponseStamp) == "" {
		return "success response has no stamp"
	}
	return ""
}

// maxQuotedBytes is the number of bytes that errors quote of a header field.
const maxQuotedBytes = 128

// quote returns the start of text in quotes.
func quote(text string) string { return strconv.Quote(text[:min(len(text), maxQuotedBytes)]) }

// isFromTarget returns the target name in a response header and whether the response
// may be from this target. A response without a name is accepted until the target
// has sent its name once.
func (c *Client) isFromTarget(h http.Header) (name string, ok bool) {
	if c.dialect.RespondingTarget == "" {
		return "", true
	}
	name = h.Get(c.dialect.RespondingTarget)
	if name == c.name {
		c.sendsName.Store(true)
		return name, true
	}
	return name, name == "" && !c.sendsName.Load()
}
