package node

import (
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/target"
)

// The kinds of notices, as they are counted.
const (
	noticeLeaving    = "leaving"
	noticeRetryAfter = "retry-after"
	noticeMalformed  = "malformed-retry-after"
)

// noticed takes in what the target of d has said of itself with an answer to x.
func (x *exchange) noticed(d steer.Decision, s target.Notice) {
	n := x.node
	news := n.core.ObserveNotice(n.now(), d, steer.Notice{Leaving: s.Leaving, RetryAfter: s.RetryAfter})
	if s.Leaving && news {
		n.logNotice(noticeLeaving, x.id, d.Target)
	}
	if s.RetryAfter > 0 && news {
		n.logNotice(noticeRetryAfter, x.id, d.Target, zap.Duration("retry_after", s.RetryAfter))
	}
	if s.Malformed != "" {
		n.logNotice(noticeMalformed, x.id, d.Target, zap.String("retry_after_text", s.Malformed))
	}
}

// logNotice counts and logs a notice of a target with the answer to the request id.
func (n *Node) logNotice(kind, id, name string, more ...zap.Field) {
	if n.metrics != nil {
		n.metrics.CountTargetNotice(kind)
	}
	n.log.Info("target notice", append(more, zap.String("notice", kind), zap.String("target", name), zap.String("id", id))...)
}
