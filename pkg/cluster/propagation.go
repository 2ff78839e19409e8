package cluster

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/departure"
	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
)

// changedPoison returns the poison records to send with a message: those that
// changed within poisonResendWindow.
func (c *Cluster) changedPoison(now time.Time) []poison.Record {
	if c.core == nil {
		return nil
	}
	return c.core.PoisonRecords(now.Add(-poisonResendWindow))
}

// poisonResendWindow is how long after a change a poison record is sent with
// every message.
const poisonResendWindow = 5 * time.Second

// mergePoison merges the poison records of another instance. The caller holds
// mu.
func (c *Cluster) mergePoison(now time.Time, recs []poison.Record) {
	if c.core != nil && len(recs) > 0 {
		c.core.MergePoison(now, recs)
	}
}

// leavingTargets returns the leaving notices of targets to send with a message of
// the given kind, without those in omit. The caller holds mu.
func (c *Cluster) leavingTargets(now time.Time, message departure.Source, omit []departure.Record) []departure.Record {
	if c.core == nil {
		return nil
	}
	return c.core.LeavingRecords(now, message, omit)
}

// mergeLeaving passes the leaving notices of targets in a message of the peer
// reportedBy to the core. The caller holds mu.
func (c *Cluster) mergeLeaving(now time.Time, source departure.Source, reportedBy string, recs []departure.Record) {
	if c.core != nil && len(recs) > 0 {
		c.core.MergeLeaving(now, source, reportedBy, recs)
	}
}

// rateLimits returns the targets' rate limits to send with a message, without those in
// omit. The caller holds mu.
func (c *Cluster) rateLimits(now time.Time, omit []ratelimit.Record) []ratelimit.Record {
	if c.core == nil {
		return nil
	}
	return c.core.RateLimitRecords(now, omit)
}

// mergeRateLimits passes the rate limits of targets in a message of the peer reportedBy
// to the core. The caller holds mu.
func (c *Cluster) mergeRateLimits(now time.Time, reportedBy string, recs []ratelimit.Record) {
	if c.core != nil && len(recs) > 0 {
		c.core.MergeRateLimits(now, reportedBy, recs)
	}
}
