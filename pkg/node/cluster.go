package node

import (
	"context"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Cluster provides the state that an instance receives from the platform and from
// other instances. The methods without a context are cheap, never block, and may
// be called from several goroutines at once.
type Cluster interface {
	// Run exchanges state with the platform and other instances until ctx ends.
	Run(ctx context.Context) error
	// Updates receives a value after the result of any method below has changed.
	Updates() <-chan struct{}
	// Tables returns the tables in force, or nil before the first are loaded.
	Tables() *table.Tables
	// RejectedVersion returns the highest version of the tables that could not be read,
	// or 0.
	RejectedVersion() uint64
	// Shares returns the shares that this instance may use now.
	Shares() steer.Shares
	// HasHeldLease reports whether this instance has held a lease on its shares of the
	// zone's limits at any time since its start.
	HasHeldLease() bool
	// Instances returns the live and leaving instances of all zones.
	Instances() []platform.Instance
	// Members returns the instances that may be sending requests to targets: those of
	// Instances, and those that are silent but have neither announced that they leave
	// nor disappeared from the platform's list. An instance that is cut off must not
	// take the silence of the others for their end, and use their shares of what is
	// limited for all together. complete is false until the platform's list has been
	// read.
	Members() (list []platform.Instance, complete bool)
	// UnreachableCells returns, sorted, the other cells from which no recent report
	// exists.
	UnreachableCells() []string
	// Summaries returns the latest headroom summaries of other zones.
	Summaries() []steer.ZoneSummary
	// Leave announces to the platform and to other instances that this instance
	// is leaving.
	Leave(ctx context.Context) error
	// ReturnShares returns the shares of this instance and deregisters it. It is
	// called once no request is in flight or the drain limit of the leave settings
	// is reached; with direct dispatch, which holds no shares, once new requests
	// are refused.
	ReturnShares(ctx context.Context) error
}

// ChangeTimer is a Cluster that knows since when changes of the tables may have been in
// the platform's store.
type ChangeTimer interface {
	// TakeUnappliedSince returns a time at which the store held none of the changes of
	// the tables since the last call, and whether there are any for which one is known.
	TakeUnappliedSince() (at time.Time, ok bool)
}

// EntryChecker is a Cluster that ignores entries of the platform's store.
type EntryChecker interface {
	// TakeRefusedEntries returns how many entries have been ignored since the last call
	// because they could not be read or make no sense.
	TakeRefusedEntries() int
}

// ListTimer is a Cluster that knows when it last read the platform's list of instances.
type ListTimer interface {
	// ListReadAt returns when the list was last read, and false if it never was.
	ListReadAt() (at time.Time, ok bool)
}

// Attacher is a Cluster that sets the shares of the decision core itself. A share
// must be out of use before it is offered as a loan. Polling Shares can't ensure
// that, since the core would get the change only later.
type Attacher interface {
	// Attach is called once, before Run, with the core whose shares are to be set.
	Attach(core *steer.Core)
}
