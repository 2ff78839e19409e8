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
	// responseGrace is how long after its deadline an answer is still awaited.
	responseGrace = time.Second
	// maxErrorBodyBytes bounds what is read of an answer that is not checked.
	maxErrorBodyBytes = 64 << 10
	// minBackoff and maxBackoff bound the wait between submissions when no
	// time to come back was said; it doubles each time.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
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
		lookups: &lookups{entryAddresses: entries, client: client, routes: map[string]*cachedRoute{}},
	}
}

// Close drops the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// AwaitLookup asks for route until an instance answers which instances to use.
func (c *Caller) AwaitLookup(ctx context.Context, route string) error {
	for {
		_, err := c.lookups.get(ctx, route)
		if err == nil || !pause(ctx, minBackoff) {
			return err
		}
	}
}

// Request is one request to the system.
type Request struct {
	exchange.Sent
	Route           string
	Host            string
	Member          string
	ResponseTimeout time.Duration
}

// Result is what became of a request, over all its submissions.
type Result struct {
	// Outcome is what the caller knows in the end.
	Outcome fault.Outcome
	// ErrorKinds names the error kinds of the answers that the system made itself,
	// in order.
	ErrorKinds []string
	// Mismatch is set when an answer was not the whole answer to the request.
	Mismatch error
	// CutOff counts the submissions whose connection broke before the answer's end.
	CutOff int
	// TimedOut counts the submissions without an answer until after the deadline.
	TimedOut int
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
	s := requestState{caller: c, request: r, triedInstances: map[string]bool{}, deadline: time.Now().Add(r.ResponseTimeout)}
	ctx, cancel := context.WithDeadline(ctx, s.deadline.Add(responseGrace))
	defer cancel()
	s.result.Outcome = fault.OutcomeNotRun
	for s.result.Submissions < maxSubmissions {
		wait, retry := s.submit(ctx)
		if !retry || time.Now().Add(wait).After(s.deadline) || !pause(ctx, wait) {
			break
		}
	}
	return s.result
}

// requestState is the state of one request over its submissions.
type requestState struct {
	caller         *Caller
	request        Request
	id             string
	triedInstances map[string]bool
	deadline       time.Time
	result         Result
	// mayStillRun is set once a submission under id got no answer, so that it
	// may still arrive and the id must be kept.
	mayStillRun bool
	// mayReplaceID is set while the request has certainly not run under id, so
	// that another instance may get it under an id of its own.
	mayReplaceID bool
	// homeInstance is the instance that id names.
	homeInstance string
	// submissionsOfID counts the submissions under id.
	submissionsOfID int
}

// submit sends the request once. It reports whether to send it again, and
// after which time.
func (s *requestState) submit(ctx context.Context) (wait time.Duration, retry bool) {
	s.result.Submissions++
	answer, err := s.caller.lookups.get(ctx, s.request.Route)
	if err != nil {
		return s.backoff(), true
	}
	in := chooseInstance(answer, s.triedInstances)
	newID := s.id == "" || (s.mayReplaceID && in.ID != s.homeInstance)
	s.mayReplaceID = false
	if newID {
		s.homeInstance, s.submissionsOfID = in.ID, 0
		s.id = in.IDPrefix + uuid.NewString()
	}
	s.submissionsOfID++
	resp, maybeSent, err := s.send(ctx, in.Address)
	if err != nil {
		s.triedInstances[in.ID] = true
		s.caller.lookups.expire(s.request.Route)
		if newID && !maybeSent {
			s.id = ""
		}
		return s.handleBrokenSubmission(ctx, maybeSent)
	}
	defer func() { _ = resp.Body.Close() }()
	s.result.Status = resp.StatusCode
	return s.handleResponse(ctx, in, resp)
}

// send sends the request to an instance. It reports whether a connection was
// had, so that the request may have arrived.
func (s *requestState) send(ctx context.Context, address string) (resp *http.Response, maybeSent bool, err error) {
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
	req.Header.Set(wire.HeaderDeadlineMS, strconv.FormatInt(max(time.Until(s.deadline).Milliseconds(), 1), 10))
	if r.Member != "" {
		req.Header.Set(wire.HeaderMember, r.Member)
	}
	if r.Once {
		req.Header.Set(wire.HeaderIdempotent, "false")
	}
	resp, err = s.caller.client.Do(req)
	return resp, got.Load(), err
}

// handleBrokenSubmission counts a submission that ended without a whole answer.
func (s *requestState) handleBrokenSubmission(ctx context.Context, maybeSent bool) (time.Duration, bool) {
	if !maybeSent {
		return s.backoff(), true
	}
	s.result.Outcome = fault.OutcomeUnknown
	s.mayStillRun = true
	if ctx.Err() != nil {
		s.result.TimedOut++
		return 0, false
	}
	s.result.CutOff++
	return s.backoff(), true
}

// backoff is the wait before the next submission.
func (s *requestState) backoff() time.Duration {
	return min(minBackoff<<(s.result.Submissions-1), maxBackoff)
}

// handleResponse takes in an answer.
func (s *requestState) handleResponse(ctx context.Context, in wire.LookupInstance, resp *http.Response) (time.Duration, bool) {
	kind := resp.Header.Get(wire.HeaderKind)
	switch outcome := fault.Outcome(resp.Header.Get(wire.HeaderOutcome)); outcome {
	case fault.OutcomeCompleted:
		return s.handleTargetResponse(ctx, resp)
	case fault.OutcomeNotRun, fault.OutcomeUnknown:
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBodyBytes))
		s.result.Outcome = outcome
		s.result.ErrorKinds = append(s.result.ErrorKinds, kind)
		s.mayReplaceID = outcome == fault.OutcomeNotRun && !s.mayStillRun
		s.handleErrorKind(in, kind)
		return retryAfter(resp), true
	default:
		s.result.Mismatch = &exchange.WrongAnswerError{Reason: "no outcome, status " + strconv.Itoa(resp.StatusCode)}
		s.result.Outcome = fault.OutcomeUnknown
		return 0, false
	}
}

// handleErrorKind follows from the kind of an answer that the system made itself.
func (s *requestState) handleErrorKind(in wire.LookupInstance, kind string) {
	switch kind {
	case fault.KindLeaving.String():
		s.triedInstances[in.ID] = true
		s.caller.lookups.expire(s.request.Route)
	case fault.KindHomeGone.String():
		s.caller.lookups.expire(s.request.Route)
		if s.submissionsOfID == 1 {
			// The look-up answer is older than the instance's last start: the id
			// names its last incarnation, which never got the request.
			s.id = ""
			s.result.Outcome = fault.OutcomeNotRun
		}
	}
}

// handleTargetResponse checks a target's answer.
func (s *requestState) handleTargetResponse(ctx context.Context, resp *http.Response) (time.Duration, bool) {
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBodyBytes))
		s.result.Outcome = fault.OutcomeCompleted
		if got := resp.Header.Get(exchange.HeaderNonce); got != s.request.Nonce {
			s.result.Mismatch = &exchange.WrongAnswerError{Reason: "header nonce " + strconv.Quote(got)}
		}
		return 0, false
	}
	err := exchange.Check(s.request.Sent, resp)
	if err != nil && !exchange.IsWrong(err) {
		return s.handleBrokenSubmission(ctx, true)
	}
	s.result.Mismatch = err
	s.result.Outcome = fault.OutcomeCompleted
	return 0, false
}

// retryAfter is the time to come back that an answer states.
func retryAfter(resp *http.Response) time.Duration {
	ms, err := strconv.ParseInt(resp.Header.Get(wire.HeaderRetryAfterMS), 10, 64)
	if err != nil {
		return minBackoff
	}
	return max(time.Duration(ms)*time.Millisecond, minBackoff)
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
