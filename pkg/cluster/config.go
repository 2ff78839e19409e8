// Package cluster maintains the state that the instances share. It runs the
// loops that read the platform and exchange messages with other instances, and
// passes what they receive to the packages that decide without I/O: member
// (membership), spread (propagation of the tables) and allowance (leases on
// shares of the zone's limits).
//
// The instances form cells: a cell is an availability zone, unless the entries
// of its instances name another group, such as the region. The members of a
// cell send heartbeats to its first instances in rank order, the watchers. In a
// large cell with feeds, relays stand between them: the members report to a
// relay, and the relays to the watchers. The watchers read the tables from the
// store, or the first of them the feeds, and announce changes to the others.
package cluster

import (
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/departure"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

// Core makes the decisions that use the shares. *steer.Core implements it.
type Core interface {
	// SetShares replaces the shares. They are in force when it returns.
	SetShares(now time.Time, sh steer.Shares)
	// Demand returns which shares are used, idle and missing.
	Demand() steer.Demand
	// Summaries returns this instance's contribution to its zone's headroom.
	Summaries(now time.Time) []steer.ZoneSummary
	// PoisonRecords returns the poison records that have changed since a time.
	PoisonRecords(since time.Time) []poison.Record
	// MergePoison merges poison records of other instances.
	MergePoison(now time.Time, recs []poison.Record)
	// LeavingRecords returns the targets' leaving notices to send with a message of
	// the given kind, without those in omit.
	LeavingRecords(now time.Time, message departure.Source, omit []departure.Record) []departure.Record
	// MergeLeaving records leaving notices that the peer reportedBy has sent.
	MergeLeaving(now time.Time, source departure.Source, reportedBy string, recs []departure.Record)
	// RateLimitRecords returns the targets' rate limits to send with a message, without
	// those in omit.
	RateLimitRecords(now time.Time, omit []ratelimit.Record) []ratelimit.Record
	// MergeRateLimits records rate limits that the peer reportedBy has sent.
	MergeRateLimits(now time.Time, reportedBy string, recs []ratelimit.Record)
}

// Timing holds the intervals of the loops and the timeouts of calls.
type Timing struct {
	Member    member.Timing
	Spread    spread.Timing
	Allowance allowance.Timing
	// HeartbeatInterval is the time between two heartbeats to the watchers or
	// the relay.
	HeartbeatInterval time.Duration
	// JoinInterval replaces HeartbeatInterval until the instance is recorded in
	// the zone's row or, with feeds, has received a first reply.
	JoinInterval time.Duration
	// RenewInterval is the time between two writes of the zone's row, which
	// record the heartbeats and so renew the leases.
	RenewInterval time.Duration
	// SharesInterval is the time between two updates of this instance's shares.
	SharesInterval time.Duration
	// WatcherListInterval and ListInterval are the times between two reads of
	// the platform's list of instances, by a watcher and by the others.
	WatcherListInterval time.Duration
	ListInterval        time.Duration
	// ZoneInterval is the time between two exchanges of reports with the other
	// cells.
	ZoneInterval time.Duration
	// CallTimeout bounds one call to another instance, StoreTimeout one call to
	// the platform.
	CallTimeout  time.Duration
	StoreTimeout time.Duration
}

// DefaultTiming returns the intervals and timeouts for production use.
func DefaultTiming() Timing {
	return Timing{
		Member:              member.DefaultTiming(),
		Spread:              spread.DefaultTiming(),
		Allowance:           allowance.DefaultTiming(),
		HeartbeatInterval:   time.Second,
		JoinInterval:        200 * time.Millisecond,
		RenewInterval:       2 * time.Second,
		SharesInterval:      200 * time.Millisecond,
		WatcherListInterval: 3 * time.Second,
		ListInterval:        30 * time.Second,
		ZoneInterval:        time.Second,
		CallTimeout:         700 * time.Millisecond,
		StoreTimeout:        2 * time.Second,
	}
}

// Config configures a Cluster.
type Config struct {
	// Self is this instance's entry in the platform's list. Its incarnation
	// must be higher than that of any earlier process with the same id.
	Self   platform.Instance
	Timing Timing
	// Tables, Objects and Instances are the platform's table service, object
	// store and list of instances.
	Tables    platform.TableService
	Objects   platform.ObjectStore
	Instances platform.InstanceRegistry
	// Seeds are peer addresses in this cell that receive heartbeats while no
	// other live member is known, so that an instance can start without the
	// platform's list. Optional.
	Seeds []string
	// Feeds deliver what operators and targets have written. With feeds, the
	// tables are assembled from them, each target limits its own load, and no
	// shares are leased: Tables and Objects are not used.
	Feeds []platform.Feed
	// StoreGeneration returns the generation of the platform's store, as far as this
	// instance has seen it; see catalog.GenerationOf. Optional.
	StoreGeneration func() uint64
	// Peers calls other instances.
	Peers instance.Transport
	Log   *zap.Logger
	// Rand returns a uniform random number in [0, 1). It must be safe for
	// concurrent use.
	Rand func() float64
}

func toInfo(in platform.Instance) member.Info { return member.Info(in) }

func toInstance(in member.Info) platform.Instance { return platform.Instance(in) }

// holderKeyOf returns the key under which the instance holds shares.
func holderKeyOf(in member.Info) allowance.HolderKey {
	return allowance.HolderKey{ID: in.ID, Incarnation: in.Incarnation}
}
