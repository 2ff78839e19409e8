package wire

// Dialect names the header fields in which callers and targets speak with an
// instance, where platforms differ. An empty name switches the field off.
type Dialect struct {
	// RequestID identifies a request. With OpaqueIDs its form is the caller's
	// own, and each submission has another one.
	RequestID string
	OpaqueIDs bool
	// DeadlineMS is the time left to the whole answer in milliseconds.
	DeadlineMS string
	// AffinityCookie is the cookie that names the object of a request.
	AffinityCookie string
	// ExpectTarget names the target that a request is meant for. Another one
	// that has its address answers 421 and does not run the request.
	ExpectTarget string
	// NotRun is on answers of a target that did not run the request.
	NotRun string
	// Leaving is "true" or "1" on answers of a target that is leaving.
	Leaving string
	// Load holds the running and waiting requests and the slots of a target.
	Load string
	// ResponseStamp is on every success of a target, and is passed on to the caller.
	ResponseStamp string
	// EchoesRequestID says that targets repeat the request's id on their answers.
	EchoesRequestID bool
	// RespondingTarget names the target on its answers to requests. Answers under
	// another name, or without one from a target that has given its name before,
	// come from another server that has its address.
	RespondingTarget string
	// HealthTargetID names the target on the answers of its health endpoint, and
	// HealthColdMS says how many milliseconds longer its caches are cold.
	HealthTargetID string
	HealthColdMS   string
	// FractionalRetryAfter says that callers read fractions of a second in the time
	// to come back.
	FractionalRetryAfter bool
	// NoContentEncoding says that targets never encode a body.
	NoContentEncoding bool
}

// NativeDialect returns the system's own names.
func NativeDialect() Dialect {
	return Dialect{
		RequestID:        HeaderRequestID,
		DeadlineMS:       HeaderDeadlineMS,
		NotRun:           HeaderTargetShed,
		Leaving:          HeaderTargetLeaving,
		RespondingTarget: HeaderTarget,
	}
}
