package instance

import (
	"context"
	"encoding/json"

	"github.com/jacinthramp/jacinthramp/pkg/decision/departure"
	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// Dispatch decodes and validates the parameters of a call of method m and calls the
// corresponding method of h. Errors: fault.KindBadRequest for an unknown method or
// invalid parameters, and those of the handler.
func Dispatch(ctx context.Context, h Handler, m Method, params []byte) (any, error) {
	switch m {
	case MethodHeartbeat:
		return decodeAndHandle(ctx, params, h.Heartbeat)
	case MethodAnnounce, MethodAnnouncePatch:
		return decodeAndHandle(ctx, params, h.Announce)
	case MethodTables:
		return decodeAndHandle(ctx, params, h.Tables)
	case MethodLend:
		return decodeAndHandle(ctx, params, h.Lend)
	case MethodPromise:
		return decodeAndHandle(ctx, params, h.Promise)
	case MethodConsent:
		return decodeAndHandle(ctx, params, h.Consent)
	case MethodZone:
		return decodeAndHandle(ctx, params, h.Zone)
	case MethodCatalog:
		return decodeAndHandle(ctx, params, h.Catalog)
	case MethodQuota:
		return decodeAndHandle(ctx, params, h.Quota)
	case MethodAdmit:
		return decodeAndHandle(ctx, params, h.Admit)
	}
	return nil, fault.New(fault.KindBadRequest, "unknown method %q", string(m))
}

// decodeAndHandle decodes params as a Q, validates them and calls handle.
func decodeAndHandle[Q, R any](ctx context.Context, params []byte, handle func(context.Context, *Q) (*R, error)) (any, error) {
	req := new(Q)
	if err := json.Unmarshal(params, req); err != nil {
		return nil, fault.Wrap(fault.KindBadRequest, err, "cannot decode the parameters of the call")
	}
	if v, ok := any(req).(validator); ok {
		if err := v.validate(); err != nil {
			return nil, err
		}
	}
	reply, err := handle(ctx, req)
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// validator is implemented by requests with constraints beyond their types.
type validator interface{ validate() error }

// validate requires that the heartbeat is the sender's own, and valid lists of leaving
// targets and rate limits.
func (req *HeartbeatRequest) validate() error {
	if req.From.ID == "" || req.From.ID != req.Heartbeat.ID || req.From.Incarnation != req.Heartbeat.Incarnation {
		return fault.New(fault.KindBadRequest, "the heartbeat of %q was sent by %q; id and incarnation must be those of the sender", req.Heartbeat.ID, req.From.ID)
	}
	if err := departure.Validate(req.LeavingTargets); err != nil {
		return err
	}
	return ratelimit.Validate(req.RateLimits)
}

// validate requires a valid list of rate limits.
func (req *ZoneRequest) validate() error { return ratelimit.Validate(req.RateLimits) }

// validate requires bounded counts and names.
func (req *QuotaRequest) validate() error { return req.Ask.Validate() }

// validate requires a name of bounded length.
func (req *AdmitRequest) validate() error { return req.Admission.Validate() }

// validate requires a count of at least zero, and a borrower other than the lender.
func (req *LendRequest) validate() error {
	if req.Loan.Count < 0 || req.Loan.Borrower.ID == "" || req.Loan.Borrower == req.Loan.Lender {
		return fault.New(fault.KindBadRequest, "invalid request for a loan of %d shares to %q", req.Loan.Count, req.Loan.Borrower.ID)
	}
	return nil
}

// Transport calls methods of other instances. Client implements it and documents the
// errors.
type Transport interface {
	Call(ctx context.Context, address string, m Method, params, result any) error
}
