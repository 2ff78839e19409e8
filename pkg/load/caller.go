package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/standin/exchange"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

const (
	// maxSubmissions bounds how often one request is sent.
	maxSubmissions = 8
	// answerGrace is how long after its deadline an answer is still awaited.
	answerGrace = time.Second
	// maxErrorBytes bounds what is read of an answer that is not checked.
	maxErrorBytes = 64 << 10
	// shortestWait and longestWait bound the wait between submissions when no
	// time to come back was said; it doubles each time.
	shortestWait = 20 * time.Millisecond
	longestWait  = time.Second
)

// Caller sends requests as a caller of the system does. It may be used from
// several goroutines at once.
type Caller struct {
	client  *http.Client
	lookups *lookups
}

// NewCaller returns a Caller that first asks the instances at entries.
func NewCaller(entries []string) *Caller {
	client := &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second},
	}
	return &Caller{
		client:  client,
		lookups: &lookups{entries: entries, client: client, routes: map[string]*cachedRoute{}},
	}
}

// Close drops the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// AwaitLookup asks for route until an instance answers which instances to use.
func (c *Caller) AwaitLookup(ctx context.Context, route string) error {
	for {
		_, err := c.lookups.get(ctx, route)
		if err == nil || !pause(ctx, shortestWait) {
			return err
		}
	}
}

// Request is one request to the system.
type Request struct {
	exchange.RequestSpec
	Route    string
	Host     string
	Member   string
	Deadline time.Duration
}

// Result is what became of a request, over all its submissions.
type Result struct {
	// Outcome is what the caller knows in the end.
	Outcome fault.Outcome
	// Kinds names the error kinds of the answers that the system made itself,
	// in order.
	Kinds []string
	// Wrong is set when an answer was not the whole answer to the request.
	Wrong error
	// CutOff counts the submissions whose connection broke before the answer's end.
	CutOff int
	// Unanswered counts the submissions without an answer until after the deadline.
	Unanswered int
	// Submissions counts how often the request was sent.
	Submissions int
	// Status is the HTTP status of the last answer.
	Status int
}

// Do sends r and submits it again while that is safe and may help: after a
// broken connection or "unknown" under the same id, which keeps the request
// from running twice; after "not run" at the time to come back, under a new
// id when another instance gets it.
func (c *Caller) Do(ctx context.Context, r Request) Result {
	s := submission{caller: c, request: r, tried: map[string]bool{}, end: time.Now().Add(r.Deadline)}
	ctx, cancel := context.WithDeadline(ctx, s.end.Add(answerGrace))
	defer cancel()
	s.result.Outcome = fault.NotRun
	for s.result.Submissions < maxSubmissions {
		wait, again := s.submit(ctx)
		if !again || time.Now().Add(wait).After(s.end) || !pause(ctx, wait) {
			break
		}
	}
	return s.result
}

// submission is the state of one request over its submissions.
type submission struct {
	caller  *Caller
	request Request
	id      string
	tried   map[string]bool
	end     time.Time
	result  Result
	// unsettled is set once a submission under id got no answer, so that it
	// may still arrive and the id must be kept.
	unsettled bool
	// renewable is set while the request has certainly not run under id, so
	// that another instance may get it under an id of its own.
	renewable bool
	// home is the instance that id names.
	home string
	// underID counts the submissions under id.
	underID int
}

// submit sends the request once. It reports whether to send it again, and
// after which time.
func (s *submission) submit(ctx context.Context) (wait time.Duration, again bool) {
	s.result.Submissions++
	answer, err := s.caller.lookups.get(ctx, s.request.Route)
	if err != nil {
		return s.backoff(), true
	}
	in := choose(answer, s.tried)
	fresh := s.id == "" || (s.renewable && in.ID != s.home)
	s.renewable = false
	if fresh {
		s.home, s.underID = in.ID, 0
		s.id = in.IDPrefix + uuid.NewString()
	}
	s.underID++
	resp, sent, err := s.send(ctx, in.Address)
	if err != nil {
		s.tried[in.ID] = true
		s.caller.lookups.expire(s.request.Route)
		if fresh && !sent {
			s.id = ""
		}
		return s.broken(ctx, sent)
	}
	defer func() { _ = resp.Body.Close() }()
	s.result.Status = resp.StatusCode
	return s.take(ctx, in, resp)
}

// send sends the request to an instance. It reports whether a connection was
// had, so that the request may have arrived.
func (s *submission) send(ctx context.Context, address string) (resp *http.Response, sent bool, err error) {
	var got atomic.Bool
	// The transport repeats a request that must not run twice only when
	// nothing of it was written; each try begins with GetConn.
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { got.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { got.Store(true) },
	}
	r := s.request
	var body io.Reader
	if r.BodyBytes > 0 {
		body = r.Body()
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, "http://"+address+r.Path, body)
	if err != nil {
		return nil, false, err
	}
	req.ContentLength = r.BodyBytes
	if r.Host != "" {
		req.Host = r.Host
	}
	r.SetHeader(req.Header)
	req.Header.Set(wire.HeaderRequestID, s.id)
	req.Header.Set(wire.HeaderDeadlineMS, strconv.FormatInt(max(time.Until(s.end).Milliseconds(), 1), 10))
	if r.Member != "" {
		req.Header.Set(wire.HeaderMember, r.Member)
	}
	if r.NonIdempotent {
		req.Header.Set(wire.HeaderIdempotent, "false")
	}
	resp, err = s.caller.client.Do(req)
	return resp, got.Load(), err
}

// broken counts a submission that ended without a whole answer.
func (s *submission) broken(ctx context.Context, sent bool) (time.Duration, bool) {
	if !sent {
		return s.backoff(), true
	}
	s.result.Outcome = fault.Unknown
	s.unsettled = true
	if ctx.Err() != nil {
		s.result.Unanswered++
		return 0, false
	}
	s.result.CutOff++
	return s.backoff(), true
}

// backoff is the wait before the next submission.
func (s *submission) backoff() time.Duration {
	return min(shortestWait<<(s.result.Submissions-1), longestWait)
}

// take takes in an answer.
func (s *submission) take(ctx context.Context, in wire.LookupInstance, resp *http.Response) (time.Duration, bool) {
	kind := resp.Header.Get(wire.HeaderKind)
	switch outcome := fault.Outcome(resp.Header.Get(wire.HeaderOutcome)); outcome {
	case fault.Completed:
		return s.completed(ctx, resp)
	case fault.NotRun, fault.Unknown:
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes))
		s.result.Outcome = outcome
		s.result.Kinds = append(s.result.Kinds, kind)
		s.renewable = outcome == fault.NotRun && !s.unsettled
		s.react(in, kind)
		return retryAfter(resp), true
	default:
		s.result.Wrong = &exchange.WrongResponseError{Reason: "no outcome, status " + strconv.Itoa(resp.StatusCode)}
		s.result.Outcome = fault.Unknown
		return 0, false
	}
}

// react follows from the kind of an answer that the system made itself.
func (s *submission) react(in wire.LookupInstance, kind string) {
	switch kind {
	case fault.KindLeaving.String():
		s.tried[in.ID] = true
		s.caller.lookups.expire(s.request.Route)
	case fault.KindHomeGone.String():
		s.caller.lookups.expire(s.request.Route)
		if s.underID == 1 {
			// The look-up answer is older than the instance's last start: the id
			// names its last incarnation, which never got the request.
			s.id = ""
			s.result.Outcome = fault.NotRun
		}
	}
}

// completed checks a target's answer.
func (s *submission) completed(ctx context.Context, resp *http.Response) (time.Duration, bool) {
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes))
		s.result.Outcome = fault.Completed
		if got := resp.Header.Get(exchange.HeaderNonce); got != s.request.Nonce {
			s.result.Wrong = &exchange.WrongResponseError{Reason: "header nonce " + strconv.Quote(got)}
		}
		return 0, false
	}
	err := exchange.CheckResponse(s.request.RequestSpec, resp)
	if err != nil && !exchange.IsWrongResponse(err) {
		return s.broken(ctx, true)
	}
	s.result.Wrong = err
	s.result.Outcome = fault.Completed
	return 0, false
}

// retryAfter is the time to come back that an answer states.
func retryAfter(resp *http.Response) time.Duration {
	ms, err := strconv.ParseInt(resp.Header.Get(wire.HeaderRetryAfterMS), 10, 64)
	if err != nil {
		return shortestWait
	}
	return max(time.Duration(ms)*time.Millisecond, shortestWait)
}

// pause waits for d and reports false when ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
