package upstream

import "sync/atomic"

// DialCause is why a request was sent on a new connection.
type DialCause uint8

// The causes of dials. If all connections of a pool have been closed, the cause is why
// the last one was.
const (
	// DialFirst: the pool has had no connection before.
	DialFirst DialCause = iota
	// DialAllBusy: every open connection carries a request or is being opened.
	DialAllBusy
	// DialTooIdle: the connection had been idle for too long.
	DialTooIdle
	// DialTooIdleNonIdempotent: the idle connections had been idle for too long for a
	// non-idempotent request.
	DialTooIdleNonIdempotent
	// DialClosedByServer: the server closed the idle connection, or it failed.
	DialClosedByServer
	// DialReuseSuspended: the server had sent bytes that belong to no request.
	DialReuseSuspended
	// DialSilent: connections of the same generation had gone silent.
	DialSilent
	// DialNotKept: the response ended the connection, or was not read to its end, or the
	// limit on connections fell.
	DialNotKept
	// DialExchangeFailed: the last exchange failed or was canceled, for instance because a
	// hedge was faster.
	DialExchangeFailed

	numDialCauses
)

var dialCauseNames = [numDialCauses]string{
	"first", "all-busy", "too-idle", "too-idle-non-idempotent", "closed-by-server", "reuse-suspended", "silent", "not-kept", "exchange-failed",
}

// String returns the name of the cause, as it appears in metrics.
func (c DialCause) String() string { return dialCauseNames[c] }

// DialCounts counts dials by cause. It is safe for concurrent use.
type DialCounts struct{ counts [numDialCauses]atomic.Int64 }

func (d *DialCounts) count(c DialCause) { d.counts[c].Add(1) }

// Each calls f with each cause and the number of dials so far, including those that
// failed.
func (d *DialCounts) Each(f func(c DialCause, n int64)) {
	for c := range numDialCauses {
		f(c, d.counts[c].Load())
	}
}
