package wire

import "net/http"

// Dialect holds the header field names and conventions between an instance and
// its callers and targets that differ from platform to platform. An empty name
// disables the field.
type Dialect struct {
	// RequestID identifies a request. With OpaqueIDs the caller chooses its
	// format and uses a new id for each submission.
	RequestID string
	OpaqueIDs bool
	// KeyScheme is the scheme of HeaderAuthorization under which callers send their keys,
	// and Workspace the field in which targets receive the name of the workspace. They are
	// used if the tables have workspaces.
	KeyScheme string
	Workspace string
	// DeadlineMS is the time left until the complete response, in milliseconds.
	DeadlineMS string
	// AffinityCookie is the cookie that names the object of a request.
	AffinityCookie string
	// ExpectTarget names the target that a request is addressed to. A different
	// target at the same address responds with 421 and does not run the request.
	ExpectTarget string
	// NotRun is set on responses of a target that did not run the request.
	NotRun string
	// RefusalStatuses states that callers take the statuses 408, 421, 429 and 503 for
	// the statement that the request did not run and never will.
	RefusalStatuses bool
	// Leaving is "true" or "1" on responses of a target that is leaving.
	Leaving string
	// RateLimit is set on the responses of a target that limits its load. It holds
	// the number of requests per second, a decimal number, that the target accepts
	// from all instances together.
	RateLimit string
	// Load holds a target's counts of running requests, waiting requests and
	// slots, and optionally how long work takes there, in percent of the usual time.
	Load string
	// ResponseStamp is set on every successful response of a target, and relayed
	// to the caller.
	ResponseStamp string
	// EchoesRequestID states that targets return the request's id on their
	// responses.
	EchoesRequestID bool
	// RespondingTarget names the target on its responses to requests. A response
	// with another name, or without a name from a target that has sent one
	// before, comes from another server at the same address.
	RespondingTarget string
	// HealthTargetID names the target on the responses of its health endpoint.
	// HealthColdMS is the time in milliseconds for which its caches stay cold.
	HealthTargetID string
	HealthColdMS   string
	// FractionalRetryAfter states that callers accept fractions of a second in
	// Retry-After.
	FractionalRetryAfter bool
	// NoContentEncoding states that targets never send a body with a content
	// encoding.
	NoContentEncoding bool
}

// NamesAnotherRequest reports whether the header of a response names another request than the
// one with the given id.
func (d *Dialect) NamesAnotherRequest(h http.Header, id string) bool {
	if !d.EchoesRequestID || id == "" {
		return false
	}
	got := h.Get(d.RequestID)
	return got != "" && got != id
}

// NativeDialect returns the dialect with the system's own header fields, which is the
// default for platforms without a dialect.
func NativeDialect() Dialect {
	return Dialect{
		RequestID:        HeaderRequestID,
		KeyScheme:        SchemeBearer,
		Workspace:        HeaderWorkspace,
		DeadlineMS:       HeaderDeadlineMS,
		NotRun:           HeaderTargetShed,
		Leaving:          HeaderTargetLeaving,
		RateLimit:        HeaderTargetRateLimit,
		RespondingTarget: HeaderTarget,
	}
}
