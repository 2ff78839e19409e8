// Package cluster is the shell around what the instances share: it runs the
// loops that read the platform, exchange messages with other instances, and
// feed the pure decisions of membership, propagation and the share ledger.
package cluster

import (
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

// Core is the part of an instance's decisions that uses the shares. It is
// satisfied by *steer.Core.
type Core interface {
	// SetShares puts the shares in force before it returns.
	SetShares(now time.Time, sh steer.Shares)
	// Demand says where shares are used, idle and missing.
	Demand() steer.Demand
	// Summaries returns this instance's part of its zone's headroom.
	Summaries(now time.Time) []steer.ZoneSummary
	// PoisonRecords returns the records that changed since a time.
	PoisonRecords(since time.Time) []poison.Record
	// MergePoison takes in the records of others.
	MergePoison(now time.Time, recs []poison.Record)
}

// Timing holds the intervals of the loops.
type Timing struct {
	Member    member.Timing
	Spread    spread.Timing
	Allowance allowance.Timing
	// Heartbeat is the interval of heartbeats to the watchers of the zone.
	Heartbeat time.Duration
	// Join is that interval until the instance is in the zone's row.
	Join time.Duration
	// Renew is the interval in which the writer records heartbeats in the row.
	Renew time.Duration
	// Publish is the interval in which shares are brought up to date.
	Publish time.Duration
	// ListWatcher and ListOther are the intervals of reading the platform's list.
	ListWatcher time.Duration
	ListOther   time.Duration
	// Zones is the interval of exchanges between zones.
	Zones time.Duration
	// Call bounds one call to another instance; Store one to the platform.
	Call  time.Duration
	Store time.Duration
}

// DefaultTiming returns the intervals for normal use.
func DefaultTiming() Timing {
	return Timing{
		Member:      member.DefaultTiming(),
		Spread:      spread.DefaultTiming(),
		Allowance:   allowance.DefaultTiming(),
		Heartbeat:   time.Second,
		Join:        200 * time.Millisecond,
		Renew:       2 * time.Second,
		Publish:     200 * time.Millisecond,
		ListWatcher: 3 * time.Second,
		ListOther:   30 * time.Second,
		Zones:       time.Second,
		Call:        700 * time.Millisecond,
		Store:       2 * time.Second,
	}
}

// Config is what a Cluster is made of.
type Config struct {
	// Self is this instance's entry in the platform's list. Its incarnation
	// must be higher than that of any earlier process with the same id.
	Self   platform.Instance
	Timing Timing
	// The platform's services.
	Tables    platform.TableService
	Objects   platform.ObjectStore
	Instances platform.InstanceRegistry
	// Seeds are peer addresses of this zone to try while no other instance of
	// the zone is known, for a start without the platform's list. Optional.
	Seeds []string
	// Feeds tell what operators and targets have written. With feeds the
	// tables are assembled from them, targets bound their own work, and there
	// is no ledger of shares: Tables and Objects are then not used.
	Feeds []platform.Feed
	// Peers sends calls to other instances.
	Peers instance.Caller
	Log   *zap.Logger
	// Rand returns a uniform number in [0, 1). It is called by several
	// goroutines at once.
	Rand func() float64
}

func toInfo(in platform.Instance) member.Info { return member.Info(in) }

func toInstance(in member.Info) platform.Instance { return platform.Instance(in) }

func keyOf(in member.Info) allowance.HolderKey {
	return allowance.HolderKey{ID: in.ID, Incarnation: in.Incarnation}
}
