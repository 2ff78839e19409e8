package node

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/peer/hop"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
)

const (
	// listReadInterval is the minimum time between two reads of the platform's
	// list of instances.
	listReadInterval = 500 * time.Millisecond
	// listReadTimeout bounds one read.
	listReadTimeout = 500 * time.Millisecond
)

// homeFinder finds home instances that started after the snapshot was built, in
// the platform's list. Concurrent calls share one read of the list.
type homeFinder struct {
	instances platform.InstanceRegistry
	dialer    *upstream.Dialer

	mu sync.Mutex
	// lastRead is when the list was last read, whether or not that succeeded.
	lastRead time.Time
	clients  map[peerKey]*hop.Client
}

func newHomeFinder(instances platform.InstanceRegistry, d *upstream.Dialer) *homeFinder {
	return &homeFinder{instances: instances, dialer: d, clients: make(map[peerKey]*hop.Client)}
}

// find returns the client of the instance key, or nil if the list does not contain
// it, can't be read, or was read less than listReadInterval ago without it.
func (f *homeFinder) find(ctx context.Context, key peerKey) *hop.Client {
	if f.instances == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.clients[key]; ok || time.Since(f.lastRead) < listReadInterval {
		return c
	}
	listCtx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	list, err := f.instances.ListInstances(listCtx)
	f.lastRead = time.Now()
	if err != nil {
		return nil
	}
	f.update(list)
	return f.clients[key]
}

// update replaces the clients by those of the instances in list. It reuses the
// clients whose address is unchanged.
func (f *homeFinder) update(list []platform.Instance) {
	next := make(map[peerKey]*hop.Client, len(list))
	for _, in := range list {
		key := peerKey{in.ID, in.Incarnation}
		c, ok := f.clients[key]
		if !ok || c.Address() != in.HopAddress {
			c = hop.New(f.dialer, in.ID, in.HopAddress, maxPeerConnections)
		}
		next[key] = c
	}
	f.closeExcept(next)
	f.clients = next
}

// closeExcept closes the clients that are not in kept.
func (f *homeFinder) closeExcept(kept map[peerKey]*hop.Client) {
	for key, c := range f.clients {
		if kept[key] != c {
			c.Close()
		}
	}
}

// close closes all clients. After that find returns nil.
func (f *homeFinder) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeExcept(nil)
	f.clients = nil
	f.instances = nil
}
