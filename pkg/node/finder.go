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
	// findInterval is the least time between two reads of the platform's list
	// for homes that the present view lacks.
	findInterval = 500 * time.Millisecond
	// findTimeout bounds such a read.
	findTimeout = 500 * time.Millisecond
)

// finder looks up homes that started after the view was last brought up to
// date. One read serves all that wait for it.
type finder struct {
	list   platform.InstanceRegistry
	dialer *upstream.Dialer

	mu    sync.Mutex
	asked time.Time
	found map[home]*hop.Client
}

func newFinder(list platform.InstanceRegistry, d *upstream.Dialer) *finder {
	return &finder{list: list, dialer: d, found: make(map[home]*hop.Client)}
}

// find returns a client of h, or nil when the list does not have it either.
func (f *finder) find(ctx context.Context, h home) *hop.Client {
	if f.list == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.found[h]; ok || time.Since(f.asked) < findInterval {
		return c
	}
	call, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	list, err := f.list.ListInstances(call)
	f.asked = time.Now()
	if err != nil {
		return nil
	}
	f.take(list)
	return f.found[h]
}

// take replaces what has been found by list.
func (f *finder) take(list []platform.Instance) {
	next := make(map[home]*hop.Client, len(list))
	for _, in := range list {
		key := home{in.ID, in.Incarnation}
		c, ok := f.found[key]
		if !ok || c.Address() != in.HopAddress {
			c = hop.New(f.dialer, in.ID, in.HopAddress, hopConnections)
		}
		next[key] = c
	}
	f.closeExcept(next)
	f.found = next
}

// closeExcept closes the found clients that kept does not have.
func (f *finder) closeExcept(kept map[home]*hop.Client) {
	for key, c := range f.found {
		if kept[key] != c {
			c.Close()
		}
	}
}

// close closes all clients.
func (f *finder) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeExcept(nil)
	f.found = nil
	f.list = nil
}
