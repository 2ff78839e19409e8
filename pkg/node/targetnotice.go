package node

import (
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/target"
)

// The kinds of notices, as they appear in metrics and logs.
const (
	noticeLeaving    = "leaving"
	noticeRetryAfter = "retry-after"
	noticeMalformed  = "malformed-retry-after"
	// A target has announced a rate limit or changed it, has ended it, or has sent one
	// that is not a number.
	noticeRateLimit          = "rate-limit"
	noticeRateLimitEnded     = "rate-limit-ended"
	noticeMalformedRateLimit = "malformed-rate-limit"
	// A target has reported how long work takes there as something that makes no sense.
	noticeMalformedWorkFactor = "malformed-work-factor"
)

// handleNotice passes the notice that the target of d sent with its response to
// the decision core. It counts and logs what is new to the core, and every
// malformed header field.
func (x *exchange) handleNotice(d steer.Decision, notice target.Notice) {
	n := x.node
	isNew := n.core.ObserveNotice(n.now(), d, steer.Notice{Leaving: notice.Leaving, RetryAfter: notice.RetryAfter})
	if notice.Leaving && isNew {
		n.reportNotice(noticeLeaving, x.id, d.Target)
	}
	if notice.RetryAfter > 0 && isNew {
		n.reportNotice(noticeRetryAfter, x.id, d.Target, zap.Duration("retry_after", notice.RetryAfter))
	}
	if notice.MalformedRetryAfter != "" {
		n.reportNotice(noticeMalformed, x.id, d.Target, zap.String("retry_after_text", notice.MalformedRetryAfter))
	}
	x.handleRateLimit(d, notice)
}

// handleRateLimit is handleNotice for the rate limit.
func (x *exchange) handleRateLimit(d steer.Decision, notice target.Notice) {
	n := x.node
	if notice.MalformedRateLimit != "" {
		n.reportNotice(noticeMalformedRateLimit, x.id, d.Target, zap.String("rate_limit_text", notice.MalformedRateLimit))
	}
	if !n.core.ObserveRateLimit(n.now(), d, notice.RateLimit) {
		return
	}
	if notice.RateLimit.State == ratelimit.Limited {
		n.reportNotice(noticeRateLimit, x.id, d.Target, zap.Float64("rate_limit", notice.RateLimit.PerSecond))
	} else {
		n.reportNotice(noticeRateLimitEnded, x.id, d.Target)
	}
}

// handleLoad returns the load that the target of d reported with its response. It counts
// and logs a work factor that is malformed.
func (x *exchange) handleLoad(d steer.Decision, load *target.Load) *steer.TargetLoad {
	if load.MalformedWorkPercent != "" {
		x.node.reportNotice(noticeMalformedWorkFactor, x.id, d.Target, zap.String("work_factor_text", load.MalformedWorkPercent))
	}
	return &steer.TargetLoad{Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, WorkPercent: load.WorkPercent}
}

// logLeavingReports logs the targets that have begun to count as leaving because of
// peers' reports. It does not count them: the metric counts only the notices that
// targets send to this instance.
func (n *Node) logLeavingReports() {
	for _, r := range n.core.TakeLeavingReports() {
		n.log.Info("target notice", zap.String("notice", noticeLeaving), zap.String("target", r.Target),
			zap.String("reported_by", r.ReportedBy), zap.Duration("age", r.Age))
	}
}

// logRateLimitReports logs the rate limits of targets that peers have reported. Like
// logLeavingReports it does not count them.
func (n *Node) logRateLimitReports() {
	for _, r := range n.core.TakeRateLimitReports() {
		kind := noticeRateLimit
		if r.Ended {
			kind = noticeRateLimitEnded
		}
		n.log.Info("target notice", zap.String("notice", kind), zap.String("target", r.Target),
			zap.String("reported_by", r.ReportedBy), zap.Float64("rate_limit", r.PerSecond))
	}
}

// reportNotice counts and logs a notice that a target sent with its response to the
// request id.
func (n *Node) reportNotice(kind, id, targetName string, more ...zap.Field) {
	if n.metrics != nil {
		n.metrics.CountTargetNotice(kind)
	}
	n.log.Info("target notice", append(more, zap.String("notice", kind), zap.String("target", targetName), zap.String("id", id))...)
}
