package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/decision/quota"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
)

// QuotaSource is a Cluster that keeps the limits of workspaces together with the other
// instances. Its methods may be called from several goroutines at once.
type QuotaSource interface {
	// AdmitRequest decides whether a request of a workspace may be sent. It waits for the
	// decision at most for the given time, or until ctx ends.
	AdmitRequest(ctx context.Context, workspace string, wait time.Duration) quota.Decision
	// ReturnToken takes back the admission d of a request that was not sent.
	ReturnToken(workspace string, d quota.Decision)
	// OwnedQuotas returns the state of the workspaces for which this instance decides how
	// many requests the others may admit.
	OwnedQuotas() []quota.Status
	// PeekQuota returns what this instance knows about the quota of a workspace, and
	// changes nothing. limited is false if it has none.
	PeekQuota(workspace string) (k quota.Known, limited bool)
}

const (
	// quotaWaitFraction is the part of a route's target latency that a request waits for
	// its admission at most.
	quotaWaitFraction = 0.5
	// quotaLogInterval is the time between two log lines about requests beyond a quota.
	quotaLogInterval = time.Second
)

// admission is what a request has used of its workspace's quota.
type admission struct {
	workspace string
	decision  quota.Decision
	// counted is set if the request counts towards the quota.
	counted bool
}

// admit admits a caller's request under the quota of its workspace. It reports false after
// it has refused the request.
func (x *exchange) admit() bool {
	w, source := x.req.Workspace, x.node.quotas
	if w == nil || w.Rate <= 0 || x.req.Pool != "" || source == nil {
		return true
	}
	wait := time.Duration(float64(x.req.Route.TargetLatency.Std()) * quotaWaitFraction)
	d := source.AdmitRequest(x.ctx, w.Name, wait)
	x.countAdmission(w.Name, d)
	switch {
	case d.Verdict == quota.Admit:
		x.admission.workspace, x.admission.decision, x.admission.counted = w.Name, d, true
		return true
	case x.ctx.Err() != nil:
		x.refuse(caller.Refusal{Kind: x.contextErrorKind()})
		return false
	}
	x.node.logQuotaRefusal(w.Name, d)
	x.refuse(caller.Refusal{Kind: fault.KindQuotaExceeded, RetryAfter: d.RetryAfter, Message: "the quota of workspace " + w.Name + " is used up"})
	return false
}

// returnAdmission gives back what a request has used of its quota if nothing of it has been
// sent.
func (x *exchange) returnAdmission() {
	if x.admission.counted && !x.anySent.Load() {
		x.node.quotas.ReturnToken(x.admission.workspace, x.admission.decision)
	}
}

// countAdmission counts the decision on a request.
func (x *exchange) countAdmission(workspace string, d quota.Decision) {
	if m := x.node.metrics; m != nil {
		result := "admitted"
		if d.Verdict != quota.Admit {
			result = string(d.Reason)
		}
		m.CountQuotaDecision(workspace, result)
	}
}

// logQuotaRefusal logs a refusal with what it was based on, at most once in
// quotaLogInterval.
func (n *Node) logQuotaRefusal(workspace string, d quota.Decision) {
	omitted, ok := n.quotaRefusals.Allow(n.now())
	if !ok {
		return
	}
	n.log.Info("request beyond the quota of its workspace",
		zap.String("workspace", workspace), zap.String("reason", string(d.Reason)), zap.Float64("rate", d.Limit.Rate), zap.Float64("burst", d.Limit.Burst),
		zap.String("owner", d.Owner), zap.Duration("grant_age", d.GrantAge), zap.Duration("retry_after", d.RetryAfter),
		zap.Uint64("tables", n.snapshot.Load().tables.Version), zap.Int("omitted", omitted),
	)
}

// reportQuotas updates the metrics of the workspaces that this instance owns. The share of
// those that it has reported before and does not own any more becomes zero. It returns the
// workspaces that it owns.
func (n *Node) reportQuotas(reported map[string]bool) (owned map[string]bool) {
	if n.quotas == nil {
		return nil
	}
	owned = make(map[string]bool)
	for _, s := range n.quotas.OwnedQuotas() {
		owned[s.Workspace] = true
		n.metrics.RecordQuota(s.Workspace, s.Limit.Rate, s.Share, s.Tokens)
	}
	for name := range reported {
		if !owned[name] {
			n.metrics.RecordQuota(name, 0, 0, 0)
		}
	}
	return owned
}
