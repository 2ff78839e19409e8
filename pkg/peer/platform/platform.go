// Package platform talks to the platform's transactional table service, its
// object store and its list of instances.
package platform

import (
	"context"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
)

// Row is one row of the table service.
type Row struct {
	Key string `json:"key"`
	// ETag changes with every write of the row. Empty means that the row does
	// not exist.
	ETag  string `json:"etag"`
	Value []byte `json:"value"`
	// ModifiedAt is the platform's time of the last write.
	ModifiedAt time.Time `json:"modified_at"`
}

// Write is one conditional write of a transaction.
type Write struct {
	Key string `json:"key"`
	// IfMatch is the ETag the row must have; empty means that it must not exist.
	IfMatch string `json:"if_match"`
	Value   []byte `json:"value"`
	// Delete removes the row.
	Delete bool `json:"delete,omitempty"`
}

// TableService is the transactional table service.
type TableService interface {
	// Get reads a row. A missing row has an empty ETag and no error. When the
	// row still has the ETag ifNoneMatch, changed is false and the row empty.
	Get(ctx context.Context, key, ifNoneMatch string) (row Row, changed bool, err error)
	// List reads the rows whose key starts with prefix, by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies all writes or none. It returns the new ETags in order.
	// Errors: fault.KindEditConflict when a condition failed (nothing was
	// written), fault.KindStoreUnavailable when it was refused before it
	// could take effect, fault.KindStoreAmbiguous when it may have taken effect.
	Commit(ctx context.Context, writes []Write) (etags []string, err error)
}

// ObjectStore is the object store.
type ObjectStore interface {
	// PutObject stores data under name; storing the same again is no error.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject reads an object; fault.KindStoreUnavailable when it can't be
	// read, and found is false when it does not exist.
	GetObject(ctx context.Context, name string) (data []byte, found bool, err error)
}

// Feed is one topic of what operators and targets have written to the
// platform, in the order in which it was accepted.
type Feed interface {
	Topic() catalog.Topic
	// Snapshot reads all entries as of version. Errors:
	// fault.KindStoreUnavailable.
	Snapshot(ctx context.Context) (entries []catalog.Entry, version uint64, err error)
	// Changes returns the entries above the version after, and the version up
	// to which they are complete, as soon as there are any or wait has passed.
	// Errors: fault.KindHistoryGone when it takes a snapshot to go on, and
	// fault.KindStoreUnavailable.
	Changes(ctx context.Context, after uint64, wait time.Duration) (entries []catalog.Entry, version uint64, err error)
}

// Instance is one entry of the platform's list.
type Instance struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Cell groups the instances that send each other heartbeats. Default: the
	// zone.
	Cell        string `json:"cell,omitempty"`
	Incarnation string `json:"incarnation"`
	// CallerAddress, HopAddress, PeerAddress and AdminAddress are the IP
	// addresses and ports of the instance's listeners.
	CallerAddress string `json:"caller_address"`
	HopAddress    string `json:"hop_address"`
	PeerAddress   string `json:"peer_address"`
	AdminAddress  string `json:"admin_address"`
	// AdminTLS says that the admin listener takes only TLS, with a certificate
	// of the caller.
	AdminTLS bool `json:"admin_tls,omitempty"`
	// Leaving is set once the instance has been told to stop.
	Leaving bool `json:"leaving"`
}

// EffectiveCell returns the cell of the instance.
func (in *Instance) EffectiveCell() string {
	if in.Cell != "" {
		return in.Cell
	}
	return in.Zone
}

// InstanceRegistry is the platform's lagging list of live and leaving instances.
type InstanceRegistry interface {
	// ListInstances reads the list. It may be seconds old.
	ListInstances(ctx context.Context) ([]Instance, error)
	// Register announces an instance or updates its entry. Instances call it
	// at their start and when they begin to leave.
	Register(ctx context.Context, in Instance) error
	// Deregister removes an entry of the given incarnation.
	Deregister(ctx context.Context, id, incarnation string) error
}
