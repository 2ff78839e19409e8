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
	// maxSubmissions is the largest number of times that one request is sent.
	maxSubmissions = 8
	// responseGrace is how long after the request's deadline a response is
	// still awaited.
	responseGrace = time.Second
	// maxErrorBodyBytes is the largest part of an unchecked response body that
	// is read.
	maxErrorBodyBytes = 64 << 10
	// minBackoff and maxBackoff bound the wait between submissions if no retry
	// time was received. It doubles with each submission.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// Caller sends requests as a caller of the system does. It is safe for
// concurrent use.
type Caller struct {
	client  *http.Client
	lookups *lookups
}

// NewCaller returns a Caller that sends its first lookups to the instances at
// the addresses in entries.
func NewCaller(entries []string) *Caller {
	client := &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second},
	}
	return &Caller{
		client:  client,
		lookups: &lookups{entryAddresses: entries, client: client, routes: map[string]*cachedRoute{}},
	}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// AwaitLookup repeats the lookup of route until an instance returns a usable
// response or ctx ends.
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
	exchange.RequestSpec
	Route           string
	Host            string
	Member          string
	Key             Key
	ResponseTimeout time.Duration
}

// Result describes the outcome of a request over all its submissions.
type Result struct {
	// Outcome is the outcome that the caller can conclude from all responses.
	Outcome fault.Outcome
	// ErrorKinds lists the error kinds of the error responses that instances
	// generated, in order.
	ErrorKinds []string
	// Mismatch is set when a response was not the complete response to the
	// request.
	Mismatch error
	// AbortedSubmissions counts the submissions whose connection broke before the
	// end of the response.
	AbortedSubmissions int
	// TimedOut counts the submissions without a response by responseGrace after
	// the deadline.
	TimedOut int
	// Submissions counts the attempts to send the request, including those for
	// which no lookup response was available.
	Submissions int
	// Status is the HTTP status of the last response.
	Status int
}

// Do sends r and repeats it while a repeat is safe and may succeed. After a
// broken connection or the outcome "unknown", it repeats r with the same id,
// which prevents a second run. After "not run", it waits for the stated retry
// time and uses a new id if it sends r to another instance.
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

// requestState holds the state of one request over its submissions.
type requestState struct {
	caller         *Caller
	request        Request
	id             string
	triedInstances map[string]bool
	deadline       time.Time
	result         Result
	// mayStillRun is set once a submission with id got no response. It may
	// still arrive at the instance, so the id must be kept.
	mayStillRun bool
	// mayReplaceID is set while the request has certainly not run with id, so
	// that it may be sent to another instance with a new id.
	mayReplaceID bool
	// homeInstance is the id of the instance that id names.
	homeInstance string
	// submissionsOfID counts the submissions with id.
	submissionsOfID int
}

// submit sends the request once. It reports whether to repeat it, and after
// which wait.
func (s *requestState) submit(ctx context.Context) (wait time.Duration, retry bool) {
	s.result.Submissions++
	lookupResponse, err := s.caller.lookups.get(ctx, s.request.Route)
	if err != nil {
		return s.backoff(), true
	}
	instance := chooseInstance(lookupResponse, s.triedInstances)
	newID := s.id == "" || (s.mayReplaceID && instance.ID != s.homeInstance)
	s.mayReplaceID = false
	if newID {
		s.homeInstance, s.submissionsOfID = instance.ID, 0
		s.id = instance.IDPrefix + uuid.NewString()
	}
	s.submissionsOfID++
	resp, maybeSent, err := s.send(ctx, instance.Address)
	if err != nil {
		s.triedInstances[instance.ID] = true
		s.caller.lookups.expire(s.request.Route)
		if newID && !maybeSent {
			s.id = ""
		}
		return s.handleFailedSubmission(ctx, maybeSent)
	}
	defer func() { _ = resp.Body.Close() }()
	s.result.Status = resp.StatusCode
	return s.handleResponse(ctx, instance, resp)
}

// send sends the request to the instance at address. maybeSent reports whether
// a connection was obtained, so that the request may have arrived.
func (s *requestState) send(ctx context.Context, address string) (resp *http.Response, maybeSent bool, err error) {
	var gotConn atomic.Bool
	// The transport repeats a non-idempotent request only if nothing of it was
	// written. Each attempt starts with GetConn.
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { gotConn.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
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
	r.Key.SetHeader(req.Header)
	if r.NonIdempotent {
		req.Header.Set(wire.HeaderIdempotent, "false")
	}
	resp, err = s.caller.client.Do(req)
	return resp, gotConn.Load(), err
}

// handleFailedSubmission records a submission that ended without a complete
// response. It reports whether to repeat the request, and after which wait.
func (s *requestState) handleFailedSubmission(ctx context.Context, maybeSent bool) (time.Duration, bool) {
	if !maybeSent {
		return s.backoff(), true
	}
	s.result.Outcome = fault.OutcomeUnknown
	s.mayStillRun = true
	if ctx.Err() != nil {
		s.result.TimedOut++
		return 0, false
	}
	s.result.AbortedSubmissions++
	return s.backoff(), true
}

// backoff returns the wait before the next submission.
func (s *requestState) backoff() time.Duration {
	return min(minBackoff<<(s.result.Submissions-1), maxBackoff)
}

// handleResponse processes a response according to its outcome header.
func (s *requestState) handleResponse(ctx context.Context, instance wire.LookupInstance, resp *http.Response) (time.Duration, bool) {
	kind := resp.Header.Get(wire.HeaderKind)
	switch outcome := fault.Outcome(resp.Header.Get(wire.HeaderOutcome)); outcome {
	case fault.OutcomeCompleted:
		return s.handleTargetResponse(ctx, resp)
	case fault.OutcomeNotRun, fault.OutcomeUnknown:
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBodyBytes))
		s.result.Outcome = outcome
		s.result.ErrorKinds = append(s.result.ErrorKinds, kind)
		s.mayReplaceID = outcome == fault.OutcomeNotRun && !s.mayStillRun
		s.handleErrorKind(instance, kind)
		return retryAfter(resp), true
	default:
		s.result.Mismatch = &exchange.WrongResponseError{Reason: "response without an outcome header, status " + strconv.Itoa(resp.StatusCode)}
		s.result.Outcome = fault.OutcomeUnknown
		return 0, false
	}
}

// handleErrorKind updates the state for an error response of the given kind that
// an instance generated.
func (s *requestState) handleErrorKind(instance wire.LookupInstance, kind string) {
	switch kind {
	case fault.KindLeaving.String():
		s.triedInstances[instance.ID] = true
		s.caller.lookups.expire(s.request.Route)
	case fault.KindHomeGone.String():
		s.caller.lookups.expire(s.request.Route)
		if s.submissionsOfID == 1 {
			// The lookup response is older than the instance's last start: the id
			// names its previous incarnation, which never received the request.
			s.id = ""
			s.result.Outcome = fault.OutcomeNotRun
		}
	}
}

// handleTargetResponse checks the response of a target.
func (s *requestState) handleTargetResponse(ctx context.Context, resp *http.Response) (time.Duration, bool) {
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBodyBytes))
		s.result.Outcome = fault.OutcomeCompleted
		if got := resp.Header.Get(exchange.HeaderNonce); got != s.request.Nonce {
			s.result.Mismatch = &exchange.WrongResponseError{Reason: "response header has nonce " + strconv.Quote(got)}
		}
		return 0, false
	}
	err := exchange.CheckResponse(s.request.RequestSpec, resp)
	if err != nil && !exchange.IsWrongResponse(err) {
		return s.handleFailedSubmission(ctx, true)
	}
	s.result.Mismatch = err
	s.result.Outcome = fault.OutcomeCompleted
	return 0, false
}

// retryAfter returns the retry time that a response states, at least minBackoff.
func retryAfter(resp *http.Response) time.Duration {
	ms, err := strconv.ParseInt(resp.Header.Get(wire.HeaderRetryAfterMS), 10, 64)
	if err != nil {
		return minBackoff
	}
	return max(time.Duration(ms)*time.Millisecond, minBackoff)
}

// pause waits for d. It returns false if ctx ends first.
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
