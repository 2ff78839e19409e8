// Package platform defines the interfaces of the platform: its transactional table
// service, object store, feeds and instance registry. Client implements all but the
// feeds over HTTP.
package platform

import (
	"context"
	"net/netip"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// Row is one row of the table service.
type Row struct {
	Key string `json:"key"`
	// ETag changes with every write of the row. It is empty if the row does not
	// exist.
	ETag  string `json:"etag"`
	Value []byte `json:"value"`
	// ModifiedAt is the time of the last write, by the platform's clock.
	ModifiedAt time.Time `json:"modified_at"`
}

// Write is one conditional write of a transaction.
type Write struct {
	Key string `json:"key"`
	// IfMatch is the ETag that the row must have; empty means that the row must not
	// exist.
	IfMatch string `json:"if_match"`
	Value   []byte `json:"value"`
	// Delete deletes the row instead of writing Value.
	Delete bool `json:"delete,omitempty"`
}

// TableService is the transactional table service.
type TableService interface {
	// Get reads a row. For a row that does not exist it returns an empty ETag and no
	// error. If the row still has the ETag ifNoneMatch, changed is false and row is
	// empty.
	Get(ctx context.Context, key, ifNoneMatch string) (row Row, changed bool, err error)
	// List reads the rows whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies all writes or none and returns the new ETags in the order of
	// the writes. Errors: fault.KindEditConflict if a condition failed and nothing
	// was written, fault.KindStoreUnavailable if the transaction was refused before
	// it could take effect, fault.KindStoreAmbiguous if it may have taken effect.
	Commit(ctx context.Context, writes []Write) (etags []string, err error)
}

// ObjectStore is the object store.
type ObjectStore interface {
	// PutObject stores data under name. Storing the same data again is not an error.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject reads an object. If it does not exist, found is false. Errors:
	// fault.KindStoreUnavailable if it can't be read.
	GetObject(ctx context.Context, name string) (data []byte, found bool, err error)
}

// Feed is one topic of the entries that operators and targets have written to the
// platform, in the order in which they were accepted.
type Feed interface {
	Topic() catalog.Topic
	// Snapshot reads all entries. Errors: fault.KindStoreUnavailable.
	Snapshot(ctx context.Context) (FeedRead, error)
	// Changes returns the entries above the version after. It returns as soon as
	// there are any, or after wait. Errors: fault.KindHistoryGone if the caller must
	// read a snapshot first, and fault.KindStoreUnavailable.
	Changes(ctx context.Context, after uint64, wait time.Duration) (FeedRead, error)
}

// FeedRead is the result of one read of a feed.
type FeedRead struct {
	Entries []catalog.Entry
	// Version is the version up to which Entries are complete.
	Version uint64
	// StoreTime is the platform's steady clock when it responded, or zero if the
	// response does not state it.
	StoreTime time.Duration
}

// Instance is one entry of the instance registry.
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
	// AdminTLS is true when the admin listener requires TLS with a client
	// certificate.
	AdminTLS bool `json:"admin_tls,omitempty"`
	// LinkMbps is the speed of the instance's link in Mbit/s; zero if it is not known.
	LinkMbps int `json:"link_mbps,omitempty"`
	// Leaving is set once the instance has received the order to stop.
	Leaving bool `json:"leaving"`
}

// Check returns an error of kind fault.KindInvalidTable for an entry that no instance has
// written: without a name, a zone or an incarnation, or with an address at which nothing
// can listen.
func (in *Instance) Check() error {
	for _, name := range []string{in.ID, in.Zone, in.Incarnation} {
		if name == "" || len(name) > catalog.MaxNameBytes {
			return fault.New(fault.KindInvalidTable, "a name has %d bytes, 1 to %d are accepted", len(name), catalog.MaxNameBytes)
		}
	}
	for _, address := range []string{in.CallerAddress, in.HopAddress, in.PeerAddress, in.AdminAddress} {
		if a, err := netip.ParseAddrPort(address); err != nil || a.Port() == 0 {
			return fault.New(fault.KindInvalidTable, "%.64q is not an IP address and a port", address)
		}
	}
	return nil
}

// EffectiveCell returns the cell of the instance, which defaults to its zone.
func (in *Instance) EffectiveCell() string {
	if in.Cell != "" {
		return in.Cell
	}
	return in.Zone
}

// InstanceRegistry is the platform's list of running and leaving instances. It lags
// behind their actual state.
type InstanceRegistry interface {
	// ListInstances returns the entries, which may be seconds old.
	ListInstances(ctx context.Context) ([]Instance, error)
	// Register adds an instance or updates its entry. Instances call it when they
	// start and when they begin to leave.
	Register(ctx context.Context, in Instance) error
	// Deregister removes the entry of the given id and incarnation.
	Deregister(ctx context.Context, id, incarnation string) error
}
