package node

import (
	"context"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Cluster is what an instance learns from the platform and from the other
// instances. The methods that return a view are cheap, never block, and may
// be called from several goroutines at once.
type Cluster interface {
	// Run works until ctx ends.
	Run(ctx context.Context) error
	// Updates receives a value after any of the views below has changed.
	Updates() <-chan struct{}
	// Tables returns the highest accepted version known, or nil.
	Tables() *table.Tables
	// RejectedVersion returns the highest version that could not be read, or 0.
	RejectedVersion() uint64
	// Shares returns what this instance may use at present.
	Shares() steer.Shares
	// HasHeldLease reports whether this instance has held its part of what the zone
	// may use. It stays true from then on.
	HasHeldLease() bool
	// Instances returns the live and leaving instances of all zones.
	Instances() []platform.Instance
	// UnreachableCells returns the other cells that nothing was heard from lately,
	// in their order.
	UnreachableCells() []string
	// Summaries returns the latest summaries of other zones.
	Summaries() []steer.ZoneSummary
	// Leave announces that this instance is leaving.
	Leave(ctx context.Context) error
	// ReturnShares gives back what this instance holds, once nothing is in flight.
	ReturnShares(ctx context.Context) error
}

// Attacher is a Cluster that puts the shares into the decisions itself. A
// share that is lent must be out of use before it is offered, which a value
// that is read and set later can't ensure.
type Attacher interface {
	// Attach is called once, before Run.
	Attach(core *steer.Core)
}
