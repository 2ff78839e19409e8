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
	// listReadInterval is the least time between two reads of the platform's list
	// for homes that the present view lacks.
	listReadInterval = 500 * time.Millisecond
	// listReadTimeout bounds such a read.
	listReadTimeout = 500 * time.Millisecond
)

// homeFinder looks up homes that started after the view was last brought up to
// date. One read serves all that wait for it.
type homeFinder struct {
	instances platform.Instances
	dialer    *upstream.Dialer

	mu       sync.Mutex
	lastRead time.Time
	clients  map[peerKey]*hop.Client
}

func newHomeFinder(list platform.Instances, d *upstream.Dialer) *homeFinder {
	return &homeFinder{instances: list, dialer: d, clients: make(map[peerKey]*hop.Client)}
}

// find returns a client of h, or nil when the list does not have it either.
func (f *homeFinder) find(ctx context.Context, h peerKey) *hop.Client {
	if f.instances == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.clients[h]; ok || time.Since(f.lastRead) < listReadInterval {
		return c
	}
	call, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	list, err := f.instances.ListInstances(call)
	f.lastRead = time.Now()
	if err != nil {
		return nil
	}
	f.update(list)
	return f.clients[h]
}

// update replaces what has been found by list.
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

// closeExcept closes the found clients that kept does not have.
func (f *homeFinder) closeExcept(kept map[peerKey]*hop.Client) {
	for key, c := range f.clients {
		if kept[key] != c {
			c.Close()
		}
	}
}

// close closes all clients.
func (f *homeFinder) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeExcept(nil)
	f.clients = nil
	f.instances = nil
}
