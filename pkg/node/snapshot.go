package node

import (
	"slices"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/lookup"
	"github.com/jacinthramp/jacinthramp/pkg/peer/hop"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/peer/target"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// snapshot is the immutable state with which a request is served.
type snapshot struct {
	tables *table.Tables
	// tablesSince is when this instance began to use the tables.
	tablesSince time.Time
	hostRegions lookup.HostRegions
	// targets holds the clients of this zone's targets, with direct dispatch those
	// of all targets, by target name.
	targets map[string]*target.Client
	// zonePeers holds the clients of the instances to which requests can be
	// forwarded, by zone.
	zonePeers map[string][]*hop.Client
	// peers holds the clients of all other listed instances, by incarnation. It is
	// used to forward repeats to their home.
	peers map[peerKey]*hop.Client
	// listComplete is set once the platform's list of instances has been read.
	listComplete bool
	// lookupCandidates are the instances that lookup responses may name.
	lookupCandidates []lookup.Instance
	// departures are those of lookupCandidates, also of earlier snapshots.
	departures lookup.Departures
	// sites holds the locations of the sites that callers' blocks may name.
	sites map[string]lookup.Location
	// instances and unreachableCells are what the peers and the lookup candidates
	// were built from.
	instances        []platform.Instance
	unreachableCells []string
}

// peerKey identifies one incarnation of an instance.
type peerKey struct{ instance, incarnation string }

// maxPeerConnections bounds the open connections to one other instance.
const maxPeerConnections = 256

// emptySnapshot returns the snapshot in use before the first tables arrive.
func emptySnapshot() *snapshot {
	return &snapshot{tables: &table.Tables{}}
}

// rebuildSnapshot replaces the snapshot by one built from the cluster's current
// state. It reuses the clients that still apply and closes the others.
func (n *Node) rebuildSnapshot() {
	old := n.snapshot.Load()
	next := *old
	list := n.cluster.Instances()
	_, next.listComplete = n.cluster.Members()
	if t := n.cluster.Tables(); t != nil && t.Version > old.tables.Version {
		next.tables, next.tablesSince = t, n.now()
		next.hostRegions = lookup.NewHostRegions(t)
	}
	next.targets = n.targetClients(old, next.tables)
	if !equalInstances(list, old.instances) {
		next.instances = list
		next.peers = n.peerClients(old, list)
		next.zonePeers = n.zonePeerClients(next.peers, list)
	}
	if unreachable := n.cluster.UnreachableCells(); !equalInstances(list, old.instances) || !slices.Equal(unreachable, old.unreachableCells) {
		next.unreachableCells = unreachable
		next.lookupCandidates = lookupCandidates(list, unreachable)
	}
	next.departures = old.departures.Observe(n.now(), next.lookupCandidates)
	next.sites = siteLocations(next.tables, next.lookupCandidates)
	n.snapshot.Store(&next)
	n.drains.retain(next.targets)
	closeRemoved(old, &next)
}

// equalInstances reports whether a and b hold the same entries in the same order.
func equalInstances(a, b []platform.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// targetClients returns the clients of this zone's targets, with direct dispatch
// those of all targets. It reuses the clients of old whose address is unchanged.
// Each client may open an equal part of the target's connections.
func (n *Node) targetClients(old *snapshot, t *table.Tables) map[string]*target.Client {
	next := make(map[string]*target.Client)
	dispatchers := n.dispatcherCount()
	for _, p := range t.Pools {
		for _, tg := range p.Targets {
			if tg.Zone != n.self.Zone && !n.direct() {
				continue
			}
			limit := max(tg.Connections/dispatchers, 1)
			c, ok := old.targets[tg.Name]
			if !ok || c.Pool().Address() != tg.Address {
				c = target.New(n.dialer, target.Options{
					Name: tg.Name, Address: tg.Address, MaxConnections: limit, Dialect: n.dialect, HealthPath: tg.HealthPath,
					MaxRetryAfter: n.settings.Limits.MaxRetryAfter.Std(),
				})
			}
			c.Pool().SetLimit(limit)
			next[tg.Name] = c
		}
	}
	return next
}

// dispatcherCount returns the number of instances that may have connections to the same
// targets as this one, at least 1.
func (n *Node) dispatcherCount() int {
	count := 0
	list, _ := n.cluster.Members()
	for _, in := range list {
		if in.Zone == n.self.Zone || n.direct() {
			count++
		}
	}
	return max(count, 1)
}

// peerClients returns the clients of all other listed instances. It reuses the
// clients of old whose address is unchanged.
func (n *Node) peerClients(old *snapshot, list []platform.Instance) map[peerKey]*hop.Client {
	next := make(map[peerKey]*hop.Client)
	for _, in := range list {
		if in.ID == n.self.ID {
			continue
		}
		key := peerKey{in.ID, in.Incarnation}
		c, ok := old.peers[key]
		if !ok || c.Address() != in.HopAddress {
			c = hop.New(n.dialer, in.ID, in.HopAddress, maxPeerConnections)
		}
		next[key] = c
	}
	return next
}

// zonePeerClients returns the clients in peers of the instances of other zones
// that are not leaving, by zone.
func (n *Node) zonePeerClients(peers map[peerKey]*hop.Client, list []platform.Instance) map[string][]*hop.Client {
	next := make(map[string][]*hop.Client)
	for _, in := range list {
		if c, ok := peers[peerKey{in.ID, in.Incarnation}]; ok && in.Zone != n.self.Zone && !in.Leaving {
			next[in.Zone] = append(next[in.Zone], c)
		}
	}
	return next
}

// lookupCandidates returns the instances of list as lookup responses name them,
// with those of unreachable cells marked.
func lookupCandidates(list []platform.Instance, unreachable []string) []lookup.Instance {
	out := make([]lookup.Instance, 0, len(list))
	for _, in := range list {
		out = append(out, lookup.Instance{
			ID: in.ID, Address: in.CallerAddress, Zone: in.Zone, Region: in.Region,
			Incarnation: in.Incarnation, Leaving: in.Leaving, Unreachable: slices.Contains(unreachable, in.EffectiveCell()),
		})
	}
	return out
}

// closeRemoved closes the clients of old that next does not hold.
func closeRemoved(old, next *snapshot) {
	for name, c := range old.targets {
		if next.targets[name] != c {
			c.Close()
		}
	}
	for key, c := range old.peers {
		if next.peers[key] != c {
			c.Close()
		}
	}
}
