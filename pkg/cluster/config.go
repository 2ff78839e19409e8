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
	// HeartbeatInterval is the interval of heartbeats to the watchers of the zone.
	HeartbeatInterval time.Duration
	// JoinInterval is that interval until the instance is in the zone's row.
	JoinInterval time.Duration
	// RenewInterval is the interval in which the writer records heartbeats in the row.
	RenewInterval time.Duration
	// PublishInterval is the interval in which shares are brought up to date.
	PublishInterval time.Duration
	// WatcherListInterval and ListInterval are the intervals of reading the platform's list.
	WatcherListInterval time.Duration
	ListInterval        time.Duration
	// ZoneInterval is the interval of exchanges between zones.
	ZoneInterval time.Duration
	// CallTimeout bounds one call to another instance; Store one to the platform.
	CallTimeout  time.Duration
	StoreTimeout time.Duration
}

// DefaultTiming returns the intervals for normal use.
func DefaultTiming() Timing {
	return Timing{
		Member:              member.DefaultTiming(),
		Spread:              spread.DefaultTiming(),
		Allowance:           allowance.DefaultTiming(),
		HeartbeatInterval:   time.Second,
		JoinInterval:        200 * time.Millisecond,
		RenewInterval:       2 * time.Second,
		PublishInterval:     200 * time.Millisecond,
		WatcherListInterval: 3 * time.Second,
		ListInterval:        30 * time.Second,
		ZoneInterval:        time.Second,
		CallTimeout:         700 * time.Millisecond,
		StoreTimeout:        2 * time.Second,
	}
}

// Config is what a Cluster is made of.
type Config struct {
	// Self is this instance's entry in the platform's list. Its incarnation
	// must be higher than that of any earlier process with the same id.
	Self   platform.Instance
	Timing Timing
	// The platform's services.
	Tables    platform.Tables
	Objects   platform.Objects
	Instances platform.Instances
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

func keyOf(in member.Info) allowance.Key {
	return allowance.Key{ID: in.ID, Incarnation: in.Incarnation}
}
