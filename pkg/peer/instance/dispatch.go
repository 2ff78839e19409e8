package instance

import (
	"context"
	"encoding/json"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// Dispatch decodes the parameters of one call and passes them to h. Errors:
// fault.KindBadRequest for an unknown method or unreadable parameters, or
// those of the handler.
func Dispatch(ctx context.Context, h Handler, m Method, params []byte) (any, error) {
	switch m {
	case MethodHeartbeat:
		return call(ctx, params, h.Heartbeat)
	case MethodAnnounce:
		return call(ctx, params, h.Announce)
	case MethodTables:
		return call(ctx, params, h.Tables)
	case MethodLend:
		return call(ctx, params, h.Lend)
	case MethodPromise:
		return call(ctx, params, h.Promise)
	case MethodConsent:
		return call(ctx, params, h.Consent)
	case MethodZone:
		return call(ctx, params, h.Zone)
	case MethodCatalog:
		return call(ctx, params, h.Catalog)
	}
	return nil, fault.New(fault.KindBadRequest, "unknown method %q", string(m))
}

func call[Q, R any](ctx context.Context, params []byte, f func(context.Context, *Q) (*R, error)) (any, error) {
	q := new(Q)
	if err := json.Unmarshal(params, q); err != nil {
		return nil, fault.Wrap(fault.KindBadRequest, err, "parameters can't be read")
	}
	if v, ok := any(q).(validator); ok {
		if err := v.validate(); err != nil {
			return nil, err
		}
	}
	r, err := f(ctx, q)
	if err != nil {
		return nil, err
	}
	return r, nil
}

// validator is a message with rules beyond its types.
type validator interface{ validate() error }

func (q *HeartbeatRequest) validate() error {
	if q.From.ID == "" || q.From.ID != q.Heartbeat.ID || q.From.Incarnation != q.Heartbeat.Incarnation {
		return fault.New(fault.KindBadRequest, "heartbeat of %q sent by %q", q.Heartbeat.ID, q.From.ID)
	}
	return nil
}

func (q *LendRequest) validate() error {
	if q.Loan.Count < 0 || q.Loan.Taker.ID == "" || q.Loan.Taker == q.Loan.Giver {
		return fault.New(fault.KindBadRequest, "loan of %d shares to %q", q.Loan.Count, q.Loan.Taker.ID)
	}
	return nil
}

// Caller sends calls to other instances. Errors: fault.KindPeerUnavailable
// when no answer came, fault.KindPeerRejected when a certificate was refused.
type Caller interface {
	Call(ctx context.Context, address string, m Method, params, result any) error
}
